"""A durable append-only log in one folder, with snapshots."""

from cassiahold.journal.files import Disk, OsDisk
from cassiahold.journal.journal import Journal

__all__ = ('Disk', 'Journal', 'OsDisk')
