"""Tests of the file operations of the journal when one of them fails."""

import contextlib
import errno
import pathlib
import tempfile
import typing
from unittest import mock

from cassiahold.core.testing import function_tests
from cassiahold.journal import OsDisk

FULL_DEVICE = '/dev/full'
NO_ROOM = OSError(errno.ENOSPC, 'no space left on device')


@contextlib.contextmanager
def temporary_folder() -> typing.Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def test_a_write_of_no_bytes_is_not_repeated_for_ever() -> None:
    write = mock.Mock(side_effect=(0, AssertionError('it was repeated')))
    with (
        temporary_folder() as folder,
        contextlib.closing(OsDisk(folder)) as disk,
        mock.patch('os.write', write),
    ):
        try:
            disk.append(folder / 'log', b'record')
        except OSError as exc:
            assert exc.errno == errno.ENOSPC
        else:
            raise AssertionError('the write was accepted')


def test_a_file_that_finds_no_room_keeps_no_room() -> None:
    # The part that was written stayed on the full disk.
    with temporary_folder() as folder:
        (folder / 'state.partial').symlink_to(FULL_DEVICE)
        try:
            OsDisk(folder).replace(folder / 'state.snapshot', b'state')
        except OSError as exc:
            assert exc.errno == errno.ENOSPC
        assert not list(folder.iterdir())


def test_a_file_whose_name_was_not_synced_is_created_again() -> None:
    # Its name was never synced: it was no longer taken for a new file.
    with (
        temporary_folder() as folder,
        contextlib.closing(OsDisk(folder)) as disk,
    ):
        with (
            mock.patch('os.fsync', side_effect=NO_ROOM),
            contextlib.suppress(OSError),
        ):
            disk.append(folder / 'log', b'record')
        with mock.patch('os.fsync') as fsync:
            disk.append(folder / 'log', b'record')
        assert fsync.called


load_tests = function_tests(globals())
