"""Tests of the start of a program on a full disk."""

import contextlib
import threading
from unittest import mock

from cassiahold.core import lifecycle
from cassiahold.core.exceptions import CassiaholdError, DiskFullError, ErrorKind
from cassiahold.core.startup import start_when_disk_has_room
from cassiahold.core.testing import expect_error, function_tests

FULL = DiskFullError('no space left on device', 0)


def test_start_on_a_full_disk_waits_and_is_logged_once() -> None:
    start = mock.Mock(side_effect=(FULL, FULL, 'program'))
    stop_requested = mock.Mock(is_set=mock.Mock(return_value=False))
    with mock.patch('cassiahold.core.logs.error') as log:
        assert start_when_disk_has_room(start, stop_requested) == 'program'
    assert stop_requested.wait.call_count == 2
    log.assert_called_once()


def test_start_that_waits_for_room_ends_at_a_stop_request() -> None:
    stop_requested = threading.Event()

    def start() -> None:
        stop_requested.set()
        raise FULL

    with mock.patch('cassiahold.core.logs.error'):
        assert start_when_disk_has_room(start, stop_requested) is None


def test_other_failures_of_a_start_are_not_repeated() -> None:
    damage = CassiaholdError(ErrorKind.STORAGE_FAILED, 'record is damaged')
    start = mock.Mock(side_effect=damage)
    expect_error(
        ErrorKind.STORAGE_FAILED,
        lambda: start_when_disk_has_room(start, threading.Event()),
    )
    start.assert_called_once()


def test_failed_start_releases_what_it_had_opened() -> None:
    closed = mock.Mock()

    def start(settings: object, stack: contextlib.ExitStack) -> object:
        stack.callback(closed)
        raise FULL

    with contextlib.ExitStack() as outer:
        with contextlib.suppress(DiskFullError):
            lifecycle._start_on(outer, start, mock.Mock())
        closed.assert_called_once()


load_tests = function_tests(globals())
