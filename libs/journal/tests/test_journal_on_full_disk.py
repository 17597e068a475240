"""Tests of the journal on a disk that is full for a time."""

import errno
import functools
import pathlib
import typing
from unittest import mock

from cassiahold.core.exceptions import DiskFullError, ErrorKind
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.journal import Journal
from cassiahold.journal.testing import SimulatedDisk

FOLDER = pathlib.Path('/simulated')
NO_ROOM = OSError(errno.ENOSPC, 'no space left on device')


def synced_journal(disk: SimulatedDisk, *payloads: bytes) -> Journal:
    journal = Journal(FOLDER, disk, segment_bytes=64)
    journal.load()
    add(journal, *payloads)
    return journal


def add(journal: Journal, *payloads: bytes) -> None:
    for payload in payloads:
        journal.append(payload)
        journal.sync()


def records_on(disk: SimulatedDisk) -> list[bytes]:
    return Journal(FOLDER, disk).load()[1]


def expect_full(call: typing.Callable[[], typing.Any]) -> None:
    assert isinstance(
        expect_error(ErrorKind.STORAGE_FAILED, call), DiskFullError
    )


def test_a_journal_goes_on_once_a_full_disk_has_room() -> None:
    # Every later use was refused for as long as the process ran.
    for torn_bytes in range(40):
        disk = SimulatedDisk()
        journal = synced_journal(disk, b'first')
        disk.is_full, disk.torn_bytes = True, torn_bytes
        journal.append(b'refused')
        journal.append(b'refused as well')
        expect_full(journal.sync)
        expect_full(functools.partial(journal.append, b'before a load'))
        disk.is_full = False
        assert journal.load() == (None, [b'first'])
        add(journal, b'second', b'third')
        assert records_on(disk) == [b'first', b'second', b'third'], torn_bytes
        disk.lose_power()
        assert records_on(disk) == [b'first', b'second', b'third'], torn_bytes


def test_a_journal_is_read_while_its_disk_is_full() -> None:
    disk = SimulatedDisk()
    journal = synced_journal(disk, b'first')
    disk.is_full, disk.torn_bytes = True, 10
    journal.append(b'refused')
    expect_full(journal.sync)
    assert records_on(disk) == [b'first']


def test_a_snapshot_that_finds_no_room_leaves_the_records() -> None:
    disk = SimulatedDisk()
    journal = synced_journal(disk, b'first', b'second')
    disk.is_full = True
    expect_full(lambda: journal.save_snapshot(b'state'))
    disk.is_full = False
    assert journal.load() == (None, [b'first', b'second'])
    journal.save_snapshot(b'state')
    add(journal, b'third')
    assert Journal(FOLDER, disk).load() == (b'state', [b'third'])


def test_a_sync_that_finds_no_room_is_fatal() -> None:
    disk = SimulatedDisk()
    journal = synced_journal(disk, b'first')
    journal.append(b'maybe lost')
    with mock.patch.object(disk, 'sync', side_effect=NO_ROOM):
        error = expect_error(ErrorKind.STORAGE_FAILED, journal.sync)
    assert not isinstance(error, DiskFullError)
    expect_error(ErrorKind.STORAGE_FAILED, journal.load)


def test_a_check_for_room_leaves_no_file() -> None:
    disk = SimulatedDisk()
    journal = synced_journal(disk, b'first')
    names = disk.list_names(FOLDER)
    disk.is_full = True
    assert not journal.has_room(100)
    disk.is_full = False
    assert journal.load() == (None, [b'first'])
    assert journal.has_room(100)
    assert disk.list_names(FOLDER) == names


load_tests = function_tests(globals())
