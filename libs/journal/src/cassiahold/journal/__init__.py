"""A durable append-only log in one folder, with snapshots."""

from cassiahold.journal.files import Disk, OsDisk, is_out_of_space
from cassiahold.journal.journal import Journal

__all__ = ('Disk', 'Journal', 'OsDisk', 'is_out_of_space')
