"""Structured logs: one line of key=value pairs for each event.

After ``set_up``, a separate thread writes the lines to standard output, so
that a slow or closed reader never blocks the caller.  Before it, lines go to
absl's logger.  Lines of one event beyond ``MAX_LINES_PER_S`` are suppressed
and counted, as are those about one path beyond ``MAX_LINES_PER_PATH_S``; so
are lines for which the queue has no space.  Long fields are cut.
"""

import json
import logging as library_logging
import queue
import sys
import threading
import time
import typing

import msgspec
from absl import logging

MAX_LINES_PER_S: typing.Final = 50
MAX_LINES_PER_PATH_S: typing.Final = 10
MAX_FIELD_LENGTH: typing.Final = 2000  # characters
MAX_QUEUED_LINES: typing.Final = 4096
_FLUSH_TIMEOUT_S: typing.Final = 1.0
_FLUSH_POLL_S: typing.Final = 0.01
_CHARACTERS_TO_QUOTE = frozenset((' ', '=', '"', '\\'))


def format_event(event: str, **fields: object) -> str:
    """Return a line of key=value pairs that starts with the event's name."""
    pairs = [f'event={event}']
    pairs.extend(
        f'{name}={_format_field(field)}' for name, field in fields.items()
    )
    return ' '.join(pairs)


class _EventCount(msgspec.Struct):
    window_start_s: int = 0
    line_count: int = 0
    suppressed_count: int = 0
    line_count_by_path: dict[str, int] = msgspec.field(default_factory=dict)

    def start_window(self, now_s: int) -> None:
        """Forget the lines of an earlier second."""
        self.window_start_s = now_s
        self.line_count = 0
        self.suppressed_count = 0
        self.line_count_by_path.clear()

    def try_add(self, path: str) -> bool:
        """Count a line; return False if it has to be suppressed."""
        path_count = self.line_count_by_path.get(path, 0)
        if (
            self.line_count >= MAX_LINES_PER_S
            or path_count >= MAX_LINES_PER_PATH_S
        ):
            self.suppressed_count += 1
            return False
        self.line_count += 1
        if path:
            self.line_count_by_path[path] = path_count + 1
        return True


class LogWriter:
    """Writes log lines to a stream from its own thread, rate-limited."""

    def __init__(self, stream: typing.TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._count_by_event: dict[str, _EventCount] = {}
        self._dropped_lines = 0
        threading.Thread(target=self._run, name='logs', daemon=True).start()

    def write(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Queue a line unless its event has reached its limit per second.

        The first line of a later second reports the number suppressed as the
        field ``left_out``.
        """
        now = time.time()
        count = self._count_by_event.setdefault(event, _EventCount())
        if count.window_start_s != int(now):
            if count.suppressed_count:
                fields = {**fields, 'left_out': count.suppressed_count}
            count.start_window(int(now))
        if not count.try_add(str(fields.get('path', ''))):
            return
        line = f'time={now:.3f} level={level} {format_event(event, **fields)}'
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped_lines += 1

    def flush(self, timeout_s: float = _FLUSH_TIMEOUT_S) -> None:
        """Wait up to ``timeout_s`` until the queue is empty."""
        deadline = time.monotonic() + timeout_s
        while not self._lines.empty() and time.monotonic() < deadline:
            time.sleep(_FLUSH_POLL_S)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while not self._lines.empty():
                lines.append(self._lines.get_nowait())
            if self._dropped_lines:
                lines.append(
                    format_event('lines_dropped', count=self._dropped_lines)
                )
                self._dropped_lines = 0
            try:
                self._stream.write('\n'.join(lines) + '\n')
                self._stream.flush()
            except Exception:  # noqa: BLE001
                # The stream has no reader.  The lines are lost, but the
                # metrics still count their events, and a later line tells how
                # many were lost.
                self._dropped_lines += len(lines)


class LibraryHandler(library_logging.Handler):
    """Logging handler that writes records of libraries as ``library`` events.

    Records below ``WARNING`` are dropped.
    """

    def __init__(self, writer: LogWriter) -> None:
        super().__init__(library_logging.WARNING)
        self._writer = writer

    def emit(self, record: library_logging.LogRecord) -> None:
        """Write one record of a library's logger."""
        fields: dict[str, object] = {
            'logger': record.name,
            'message': record.getMessage(),
        }
        if record.exc_info and record.exc_info[1]:
            fields['error'] = repr(record.exc_info[1])
        self._writer.write(record.levelname.lower(), 'library', fields)


_writers: list[LogWriter] = []


def set_up() -> None:
    """Write all later lines to standard output, from a thread."""
    writer = LogWriter(sys.stdout)
    _writers.append(writer)
    library_logging.getLogger().handlers = [LibraryHandler(writer)]


def flush() -> None:
    """Wait up to a second for queued lines to be written."""
    for writer in _writers:
        writer.flush()


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _log(logging.INFO, 'info', event, fields)


def warning(event: str, **fields: object) -> None:
    """Log an event that may need an operator's action."""
    _log(logging.WARNING, 'warning', event, fields)


def error(event: str, **fields: object) -> None:
    """Log an event that needs an operator's action."""
    _log(logging.ERROR, 'error', event, fields)


def _log(
    absl_level: int, level_name: str, event: str, fields: dict[str, object]
) -> None:
    for writer in _writers:
        writer.write(level_name, event, fields)
    if not _writers:
        logging.log(absl_level, '%s', format_event(event, **fields))


def _format_field(field: object) -> str:
    text = f'{field:.6g}' if isinstance(field, float) else str(field)
    text = text[:MAX_FIELD_LENGTH]
    if not text.isprintable() or _CHARACTERS_TO_QUOTE.intersection(text):
        return json.dumps(text)
    return text or '""'
