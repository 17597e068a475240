"""Tests of the rate-limited log writer."""

import io
import logging as library_logging
import time

from cassiahold.core.logs import (
    MAX_LINES_PER_S,
    LibraryHandler,
    LogWriter,
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


def _wait_for_lines(writer: LogWriter, stream: io.StringIO, lines: int) -> None:
    for _ in range(200):
        writer.flush()
        time.sleep(0.01)
        if len(stream.getvalue().splitlines()) >= lines:
            return


load_tests = function_tests(globals())
