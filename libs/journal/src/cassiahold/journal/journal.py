"""Segmented log with group sync, snapshots and truncation.

Records carry consecutive numbers.  Nothing counts until ``sync`` returns;
all records that a sync covers are written at once by it.
After a failed sync the kernel may have dropped the dirty pages, so the
journal refuses all further use instead of trying again.
"""

import contextlib
import pathlib
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.journal.files import Disk, OsDisk
from cassiahold.journal.framing import MAGIC, frame, frame_batch, scan

SEGMENT_BYTES: typing.Final = 16_777_216  # 16 MiB
_SEGMENT_SUFFIX: typing.Final = '.log'
_SNAPSHOT_SUFFIX: typing.Final = '.snapshot'


class Journal:
    """Records and the latest snapshot in one folder."""

    def __init__(
        self,
        folder: pathlib.Path,
        disk: Disk | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._failed = ''
        self._segment = folder / f'{1:020}{_SEGMENT_SUFFIX}'
        self._segment_size = 0
        self._next = 1
        self._pending: list[bytes] = []
        with self._storage('open', folder):
            self._disk = OsDisk(folder) if disk is None else disk

    def load(self) -> tuple[bytes | None, list[bytes]]:
        """Return the latest snapshot and every record kept.

        Cuts a torn tail.  Raises ``STORAGE_FAILED`` with file and offset
        when anything before the tail is damaged.
        """
        with self._storage('read', self._folder):
            names = self._disk.names(self._folder)
        snapshot = self._load_snapshot(names)
        # Segments before the snapshot survive only a crash during clean-up.
        first = self._next
        segments = [
            name
            for name in names
            if name.endswith(_SEGMENT_SUFFIX)
            and int(name.split('.')[0]) >= first
        ]
        records: list[bytes] = []
        for name in segments:
            if int(name.split('.')[0]) != self._next:
                raise self._damage(name, 0, 'records before it are missing')
            self._next = int(name.split('.')[0])
            last = name == segments[-1]
            found = self._load_segment(name, last=last)
            records.extend(found)
            self._next += len(found)
        return snapshot, records

    def append(self, payload: bytes) -> int:
        """Add a record and return its number; ``sync`` makes it count."""
        self._refuse_if_failed()
        self._pending.append(payload)
        self._next += 1
        return self._next - 1

    def sync(self) -> None:
        """Return once every appended record is on the disk."""
        self._refuse_if_failed()
        if not self._pending:
            return
        if self._segment_size >= self._segment_bytes:
            self._roll(self._next - len(self._pending))
        framed = frame_batch(self._pending)
        if not self._segment_size:
            framed = MAGIC + framed
        with self._storage('append to', self._segment):
            self._disk.append(self._segment, framed)
        with self._storage('sync', self._segment):
            self._disk.sync(self._segment)
        self._segment_size += len(framed)
        self._pending = []

    def save_snapshot(self, payload: bytes) -> None:
        """Put a snapshot in place and drop every record before it."""
        self._refuse_if_failed()
        self.sync()
        path = self._folder / f'{self._next:020}{_SNAPSHOT_SUFFIX}'
        with self._storage('write', path):
            self._disk.replace(path, MAGIC + frame(payload))
        self._roll(self._next)
        with self._storage('clean up', self._folder):
            for name in self._disk.names(self._folder):
                if int(name.split('.')[0]) < self._next:
                    self._disk.remove(self._folder / name)

    def close(self) -> None:
        """Close the open segment."""
        self._disk.close()

    def _roll(self, first: int) -> None:
        self._segment = self._folder / f'{first:020}{_SEGMENT_SUFFIX}'
        self._segment_size = 0

    def _load_snapshot(self, names: list[str]) -> bytes | None:
        found = [name for name in names if name.endswith(_SNAPSHOT_SUFFIX)]
        if not found:
            return None
        name = found[-1]
        content = self._read(name)
        scanned = scan(content)
        if not scanned.records or scanned.torn or scanned.corrupt:
            raise self._damage(name, scanned.good_size, 'snapshot is damaged')
        self._next = int(name.split('.')[0])
        self._segment = self._folder / f'{self._next:020}{_SEGMENT_SUFFIX}'
        return scanned.records[0]

    def _load_segment(self, name: str, *, last: bool) -> list[bytes]:
        content = self._read(name)
        scanned = scan(content)
        if scanned.corrupt or (scanned.torn and not last):
            raise self._damage(name, scanned.good_size, 'record is damaged')
        path = self._folder / name
        size = scanned.good_size
        if scanned.torn:
            with self._storage('cut', path):
                self._disk.truncate(path, size)
        if last:
            self._segment = path
            self._segment_size = size
        return scanned.records

    def _read(self, name: str) -> bytes:
        with self._storage('read', self._folder / name):
            content = self._disk.read(self._folder / name)
        head = content[: len(MAGIC)]
        if not MAGIC.startswith(head):
            raise self._damage(name, 0, f'unknown format {head!r}')
        return content

    def _damage(self, name: str, offset: int, what: str) -> CassiaholdError:
        return CassiaholdError(
            ErrorKind.STORAGE_FAILED,
            f'{self._folder / name}, offset {offset}: {what}',
        )

    def _refuse_if_failed(self) -> None:
        if self._failed:
            raise CassiaholdError(ErrorKind.STORAGE_FAILED, self._failed)

    @contextlib.contextmanager
    def _storage(self, verb: str, path: pathlib.Path) -> typing.Iterator[None]:
        try:
            yield
        except OSError as exc:
            self._failed = f'cannot {verb} {path}: {exc.strerror or exc}'
            raise CassiaholdError(
                ErrorKind.STORAGE_FAILED, self._failed
            ) from exc
