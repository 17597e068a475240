"""Tests of the journal: synced records survive, damage is detected."""

import contextlib
import errno
import itertools
import pathlib
import tempfile
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.journal import Journal, OsDisk
from cassiahold.journal.framing import MAGIC, encode_frame


@contextlib.contextmanager
def temporary_folder() -> typing.Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def journal_with_records(
    path: pathlib.Path, count: int, **options: typing.Any
) -> Journal:
    journal = Journal(path, **options)
    journal.load()
    for number in range(count):
        journal.append(f'record {number}'.encode())
        journal.sync()
    return journal


def load_again(path: pathlib.Path) -> tuple[bytes | None, list[bytes]]:
    journal = Journal(path)
    loaded = journal.load()
    journal.close()
    return loaded


class FailingDisk(OsDisk):
    """A disk on which one operation fails while ``is_failing``."""

    def __init__(self, path: pathlib.Path, operation: str) -> None:
        super().__init__(path)
        self.operation = operation
        self.is_failing = False

    def sync(self, path: pathlib.Path) -> None:
        if self.is_failing and self.operation == 'sync':
            raise OSError(errno.EIO, 'input/output error')
        super().sync(path)

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        if self.is_failing and self.operation == 'append':
            raise OSError(errno.ENOSPC, 'no space left on device')
        super().append(path, payload)


def test_records_survive_a_restart() -> None:
    with temporary_folder() as path:
        journal_with_records(path, 5).close()
        snapshot, records = load_again(path)
        assert snapshot is None
        assert records == [f'record {n}'.encode() for n in range(5)]


def test_records_of_several_segments_load_in_order() -> None:
    with temporary_folder() as path:
        journal_with_records(path, 50, segment_bytes=64).close()
        assert len(list(path.glob('*.log'))) > 5
        assert len(load_again(path)[1]) == 50


def test_an_interrupted_write_of_any_length_is_cut_off() -> None:
    content = MAGIC + encode_frame(b'first') + encode_frame(b'second')
    first_frame_end = len(MAGIC + encode_frame(b'first'))
    for size in range(len(content)):
        with temporary_folder() as path:
            (path / f'{1:020}.log').write_bytes(content[:size])
            expected = [b'first'] if size >= first_frame_end else []
            assert load_again(path)[1] == expected, size
            # Records appended after the cut must be readable.
            journal = Journal(path)
            journal.load()
            journal.append(b'after')
            journal.sync()
            journal.close()
            assert load_again(path)[1] == [*expected, b'after'], size


def test_damage_before_the_end_is_reported_with_file_and_offset() -> None:
    with temporary_folder() as path:
        journal_with_records(path, 3).close()
        segment = path / f'{1:020}.log'
        content = bytearray(segment.read_bytes())
        content[len(MAGIC) + 10] ^= 1
        segment.write_bytes(content)
        error = expect_error(ErrorKind.STORAGE_FAILED, Journal(path).load)
        assert str(segment) in error.detail
        assert f'offset {len(MAGIC)}' in error.detail


def test_an_unknown_format_is_refused() -> None:
    with temporary_folder() as path:
        (path / f'{1:020}.log').write_bytes(b'CSHJ\x00\x09rest')
        error = expect_error(ErrorKind.STORAGE_FAILED, Journal(path).load)
        assert 'unknown format' in error.detail


def test_a_failed_sync_is_not_retried() -> None:
    with temporary_folder() as path:
        disk = FailingDisk(path, 'sync')
        journal = journal_with_records(path, 1, disk=disk)
        journal.append(b'lost')
        disk.is_failing = True
        expect_error(ErrorKind.STORAGE_FAILED, journal.sync)
        disk.is_failing = False
        expect_error(ErrorKind.STORAGE_FAILED, journal.sync)
        expect_error(ErrorKind.STORAGE_FAILED, lambda: journal.append(b'x'))


def test_a_full_disk_is_reported() -> None:
    with temporary_folder() as path:
        disk = FailingDisk(path, 'append')
        journal = journal_with_records(path, 1, disk=disk)
        disk.is_failing = True
        journal.append(b'x')
        error = expect_error(ErrorKind.STORAGE_FAILED, journal.sync)
        assert 'no space left' in error.detail
        expect_error(ErrorKind.STORAGE_FAILED, lambda: journal.append(b'y'))


class PowerLossDisk(OsDisk):
    """Keeps, drops or tears each write since the last sync independently.

    The bytes of a lost part read as zeros.
    """

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path)
        self.unsynced: list[tuple[pathlib.Path, int, int]] = []

    def append(self, path: pathlib.Path, payload: bytes) -> None:
        start = path.stat().st_size if path.exists() else 0
        super().append(path, payload)
        self.unsynced.append((path, start, len(payload)))

    def sync(self, path: pathlib.Path) -> None:
        raise OSError(errno.EIO, 'power is lost')

    def lose_power(self, outcomes: tuple[str, ...]) -> None:
        for (path, start, size), outcome in zip(
            self.unsynced, outcomes, strict=False
        ):
            content = bytearray(path.read_bytes())
            kept = {'kept': size, 'torn': size // 2, 'lost': 0}[outcome]
            content[start + kept : start + size] = bytes(size - kept)
            path.write_bytes(content)


def test_a_power_loss_keeps_synced_records() -> None:
    for outcomes in itertools.product(('kept', 'torn', 'lost'), repeat=3):
        with temporary_folder() as path:
            journal_with_records(path, 3).close()
            disk = PowerLossDisk(path)
            journal = Journal(path, disk=disk)
            journal.load()
            for number in range(3):
                journal.append(f'unsynced {number}'.encode())
            expect_error(ErrorKind.STORAGE_FAILED, journal.sync)
            disk.lose_power(outcomes)
            records = load_again(path)[1]
            assert records[:3] == [f'record {n}'.encode() for n in range(3)]
            assert len(records) in {3, 6}, outcomes


def test_a_snapshot_replaces_the_records_before_it() -> None:
    with temporary_folder() as path:
        journal = journal_with_records(path, 10)
        journal.save_snapshot(b'state')
        journal.append(b'after')
        journal.sync()
        journal.close()
        assert load_again(path) == (b'state', [b'after'])
        assert len(list(path.iterdir())) == 2


def test_a_crash_between_snapshot_and_clean_up_loses_nothing() -> None:
    with temporary_folder() as path:
        journal = journal_with_records(path, 10)
        journal.close()
        (path / f'{11:020}.snapshot').write_bytes(
            MAGIC + encode_frame(b'state')
        )
        assert load_again(path) == (b'state', [])
        journal = Journal(path)
        journal.load()
        journal.append(b'after')
        journal.sync()
        journal.close()
        assert load_again(path) == (b'state', [b'after'])


def test_a_snapshot_after_an_interrupted_first_write_keeps_one_header() -> None:
    # A second header made the journal unreadable at the next start.
    with temporary_folder() as path:
        (path / f'{1:020}.log').write_bytes(MAGIC + b'torn')
        journal = Journal(path)
        assert journal.load() == (None, [])
        journal.save_snapshot(b'state')
        journal.append(b'after')
        journal.sync()
        journal.close()
        assert load_again(path) == (b'state', [b'after'])


def test_a_missing_segment_is_reported() -> None:
    with temporary_folder() as path:
        journal_with_records(path, 50, segment_bytes=64).close()
        sorted(path.glob('*.log'))[2].unlink()
        error = expect_error(ErrorKind.STORAGE_FAILED, Journal(path).load)
        assert 'missing' in error.detail


def test_an_unusable_folder_is_reported_by_name() -> None:
    with temporary_folder() as path:
        (path / 'file').write_bytes(b'')
        try:
            Journal(path / 'file')
        except CassiaholdError as exc:
            assert 'file' in exc.detail
        else:
            raise AssertionError('a file was accepted as a folder')


load_tests = function_tests(globals())
