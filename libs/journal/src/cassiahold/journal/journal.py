"""Segmented append-only log with group commit and snapshots.

Records are numbered consecutively from 1.  ``append`` only collects records;
``sync`` writes all of them at once, and they are durable when it returns.
After a failed sync the kernel may have dropped the dirty pages, so the
journal refuses all further use instead of trying again.  A write that fails
for lack of room comes before any sync of it: what was synced is unharmed,
and the journal can be used again once it has been loaded again.
"""

import contextlib
import os
import pathlib
import typing

from cassiahold.core.exceptions import (
    CassiaholdError,
    DiskFullError,
    ErrorKind,
)
from cassiahold.journal.files import Disk, OsDisk, is_out_of_space
from cassiahold.journal.framing import (
    MAGIC,
    encode_batch,
    encode_frame,
    scan_segment,
)

# 16 MiB; records after this size go to a new segment.
MAX_SEGMENT_BYTES: typing.Final = 16_777_216
_SEGMENT_SUFFIX: typing.Final = '.log'
_SNAPSHOT_SUFFIX: typing.Final = '.snapshot'
# Numbered like a file before every record, so that a clean-up removes it.
_PROBE_NAME: typing.Final = f'{0:020}.probe'


class Journal:
    """The records and the latest snapshot of one folder.

    Files are named after the number of the first record that follows: a
    segment starts with it, a snapshot covers every record before it.  Call
    ``load`` first.  Methods raise ``STORAGE_FAILED`` when a file operation
    fails, and after that for every further use.  A ``DiskFullError`` lasts
    only until the next ``load``.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        disk: Disk | None = None,
        segment_bytes: int = MAX_SEGMENT_BYTES,
    ) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._failure: CassiaholdError | None = None
        self._segment_path = folder / f'{1:020}{_SEGMENT_SUFFIX}'
        self._segment_size = 0
        self._next_record = 1
        self._pending_records: list[bytes] = []
        with self._storage_errors('open', folder, needed_bytes=0):
            self._disk = OsDisk(folder) if disk is None else disk

    def load(self) -> tuple[bytes | None, list[bytes]]:
        """Return the latest snapshot, or None, and the records after it.

        An interrupted write at the end is cut off, and records that were not
        synced are dropped.  Raises ``STORAGE_FAILED`` with file and offset
        when anything before the end is damaged.
        """
        if isinstance(self._failure, DiskFullError):
            self._failure = None
        self._check_not_failed()
        self._reset()
        with self._storage_errors('read', self._folder):
            names = self._disk.list_names(self._folder)
        snapshot = self._load_snapshot(names)
        # Segments before the snapshot remain only after a crash during the
        # clean-up; the snapshot covers their records.
        first_record = self._next_record
        segments = [
            name
            for name in names
            if name.endswith(_SEGMENT_SUFFIX)
            and int(name.split('.')[0]) >= first_record
        ]
        records: list[bytes] = []
        for name in segments:
            if int(name.split('.')[0]) != self._next_record:
                raise self._damage_error(
                    name, 0, 'records before it are missing'
                )
            self._next_record = int(name.split('.')[0])
            is_last = name == segments[-1]
            segment_records = self._load_segment(name, is_last=is_last)
            records.extend(segment_records)
            self._next_record += len(segment_records)
        return snapshot, records

    def append(self, payload: bytes) -> int:
        """Add a record, which ``sync`` makes durable; return its number."""
        self._check_not_failed()
        self._pending_records.append(payload)
        self._next_record += 1
        return self._next_record - 1

    def sync(self) -> None:
        """Write every appended record and return once it is on the disk."""
        self._check_not_failed()
        if not self._pending_records:
            return
        if self._segment_size >= self._segment_bytes:
            self._start_segment(self._next_record - len(self._pending_records))
        framed = encode_batch(self._pending_records)
        if not self._segment_size:
            framed = MAGIC + framed
        with self._storage_errors('append to', self._segment_path, len(framed)):
            self._disk.append(self._segment_path, framed)
        with self._storage_errors('sync', self._segment_path):
            self._disk.sync(self._segment_path)
        self._segment_size += len(framed)
        self._pending_records = []

    def save_snapshot(self, payload: bytes) -> None:
        """Write a snapshot and delete the records, all of which it covers."""
        self._check_not_failed()
        self.sync()
        path = self._folder / f'{self._next_record:020}{_SNAPSHOT_SUFFIX}'
        with self._storage_errors('write', path, len(payload)):
            self._disk.replace(path, MAGIC + encode_frame(payload))
        self._start_segment(self._next_record)
        with self._storage_errors('clean up', self._folder):
            for name in self._disk.list_names(self._folder):
                if int(name.split('.')[0]) < self._next_record:
                    self._disk.remove(self._folder / name)

    def has_room(self, size: int) -> bool:
        """Tell whether the disk takes ``size`` more bytes, by writing them."""
        path = self._folder / _PROBE_NAME
        try:
            with self._storage_errors('write', path, size):
                # Random bytes, which no file system stores in less room.
                self._disk.replace(path, os.urandom(size))
        except DiskFullError:
            return False
        with self._storage_errors('clean up', path):
            self._disk.remove(path)
        return True

    def close(self) -> None:
        """Close the disk; records that were not synced are lost."""
        self._disk.close()

    def _reset(self) -> None:
        self._next_record = 1
        self._pending_records = []
        self._segment_size = 0
        self._start_segment(self._next_record)

    def _start_segment(self, first_record: int) -> None:
        path = self._folder / f'{first_record:020}{_SEGMENT_SUFFIX}'
        # A segment without records, cut after an interrupted write, goes on.
        if path != self._segment_path:
            self._segment_path = path
            self._segment_size = 0

    def _load_snapshot(self, names: list[str]) -> bytes | None:
        snapshots = [name for name in names if name.endswith(_SNAPSHOT_SUFFIX)]
        if not snapshots:
            return None
        name = snapshots[-1]
        content = self._read(name)
        scanned = scan_segment(content)
        if not scanned.records or scanned.is_torn or scanned.is_corrupt:
            raise self._damage_error(
                name, scanned.valid_size, 'snapshot is damaged'
            )
        self._next_record = int(name.split('.')[0])
        self._segment_path = (
            self._folder / f'{self._next_record:020}{_SEGMENT_SUFFIX}'
        )
        return scanned.records[0]

    def _load_segment(self, name: str, *, is_last: bool) -> list[bytes]:
        content = self._read(name)
        scanned = scan_segment(content)
        if scanned.is_corrupt or (scanned.is_torn and not is_last):
            raise self._damage_error(
                name, scanned.valid_size, 'record is damaged'
            )
        path = self._folder / name
        size = scanned.valid_size
        if scanned.is_torn:
            with self._storage_errors('truncate', path, needed_bytes=0):
                self._disk.truncate(path, size)
        if is_last:
            self._segment_path = path
            self._segment_size = size
        return scanned.records

    def _read(self, name: str) -> bytes:
        with self._storage_errors('read', self._folder / name):
            content = self._disk.read(self._folder / name)
        magic = content[: len(MAGIC)]
        if not MAGIC.startswith(magic):
            raise self._damage_error(name, 0, f'unknown format {magic!r}')
        return content

    def _damage_error(
        self, name: str, offset: int, fault: str
    ) -> CassiaholdError:
        return CassiaholdError(
            ErrorKind.STORAGE_FAILED,
            f'{self._folder / name}, offset {offset}: {fault}',
        )

    def _check_not_failed(self) -> None:
        if self._failure is not None:
            raise self._failure

    @contextlib.contextmanager
    def _storage_errors(
        self,
        verb: str,
        path: pathlib.Path,
        needed_bytes: int | None = None,
    ) -> typing.Iterator[None]:
        """Report failures; ``needed_bytes`` is None where none may be retried.

        Operations with it have not begun to sync what they write into the
        log, so that lack of room leaves the records before it as they were.
        """
        try:
            yield
        except OSError as exc:
            detail = f'cannot {verb} {path}: {exc.strerror or exc}'
            if needed_bytes is not None and is_out_of_space(exc):
                self._failure = DiskFullError(detail, needed_bytes)
            else:
                self._failure = CassiaholdError(
                    ErrorKind.STORAGE_FAILED, detail
                )
            raise self._failure from exc
