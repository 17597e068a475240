"""Tests of the rate-limited log writer."""

import io
import logging as library_logging
import time
import typing
from unittest import mock

from cassiahold.core.exceptions import (
    MAX_DETAIL_LENGTH,
    CassiaholdError,
    ErrorKind,
)
from cassiahold.core.logs import (
    MAX_FIELD_LENGTH,
    MAX_LINES_PER_PATH_S,
    MAX_LINES_PER_S,
    LibraryHandler,
    LogWriter,
    format_event,
)
from cassiahold.core.testing import function_tests


def test_a_library_record_is_written_as_one_event() -> None:
    stream = io.StringIO()
    writer = LogWriter(stream)
    record = library_logging.LogRecord(
        'http', library_logging.WARNING, '', 0, 'queue is %d', (7,), None
    )
    LibraryHandler(writer).emit(record)
    _wait_for_lines(writer, stream, 1)
    line = stream.getvalue().strip()
    assert 'level=warning event=library logger=http' in line
    assert line.endswith('message="queue is 7"')


def test_lines_of_one_event_are_rate_limited() -> None:
    stream = io.StringIO()
    writer = LogWriter(stream)
    for _ in range(3 * MAX_LINES_PER_S):
        writer.write('info', 'burst', {})
    _wait_for_lines(writer, stream, MAX_LINES_PER_S)
    # The lines may be written across two seconds.
    assert len(stream.getvalue().splitlines()) <= 2 * MAX_LINES_PER_S


class _FaultyStream(io.StringIO):
    """Raises an unexpected error at the first write only."""

    has_failed = False

    def write(self, text: str) -> int:
        if not self.has_failed:
            self.has_failed = True
            raise RuntimeError('unexpected')
        return super().write(text)


def test_log_goes_on_after_an_unexpected_error_of_its_stream() -> None:
    # All later lines of the process were lost.
    stream = _FaultyStream()
    with mock.patch('threading.excepthook'):
        writer = LogWriter(stream)
        writer.write('info', 'first', {})
        _wait_until(lambda: stream.has_failed)
        writer.write('info', 'second', {})
        _wait_for_lines(writer, stream, 2)
    assert 'event=second' in stream.getvalue()
    assert 'event=lines_dropped count=1' in stream.getvalue()


def _wait_until(condition: typing.Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        time.sleep(0.01)


def test_lines_about_one_path_leave_room_for_others() -> None:
    """One sender of malformed requests must not hide the others."""
    stream = io.StringIO()
    writer = LogWriter(stream)
    with mock.patch('time.time', return_value=1000.0):
        for _ in range(1000):
            writer.write('info', 'request_refused', {'path': '/noisy'})
        writer.write('info', 'request_refused', {'path': '/other'})
    _wait_for_lines(writer, stream, MAX_LINES_PER_PATH_S + 1)
    lines = stream.getvalue().splitlines()
    assert len(lines) == MAX_LINES_PER_PATH_S + 1
    assert lines[-1].endswith('path=/other')


def test_fields_of_other_processes_cannot_break_a_line() -> None:
    line = format_event('refused', path='/\x1b[2J\r\x00', detail='x' * 10**6)
    assert line.isprintable()
    assert len(line) < 2 * MAX_FIELD_LENGTH
    error = CassiaholdError(ErrorKind.BAD_REQUEST, 'x' * 10**6)
    assert len(error.detail) == MAX_DETAIL_LENGTH
    assert len(str(error)) < 2 * MAX_DETAIL_LENGTH


def _wait_for_lines(writer: LogWriter, stream: io.StringIO, lines: int) -> None:
    for _ in range(200):
        writer.flush()
        time.sleep(0.01)
        if len(stream.getvalue().splitlines()) >= lines:
            return


load_tests = function_tests(globals())
