"""What commands print, and the codes with which they exit."""

import enum
import json
import sys
import threading
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind


class ExitCode(enum.IntEnum):
    """Documented in the reference of the command line."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_YET_IN_FORCE = 4


_UNREACHABLE: typing.Final = frozenset(
    (ErrorKind.UNREACHABLE, ErrorKind.NO_QUORUM, ErrorKind.OUTCOME_UNKNOWN)
)
_BAD_INPUT: typing.Final = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BAD_SETTINGS,
        ErrorKind.BAD_CONFIGURATION,
    )
)
_PROGRESS_AFTER_S: typing.Final = 1.0


def print_json(payload: typing.Any) -> None:
    """Print for programs."""
    sys.stdout.write(json.dumps(payload, indent=2) + '\n')


def print_line(text: str = '') -> None:
    """Print for people."""
    sys.stdout.write(f'{text}\n')


def print_table(head: typing.Sequence[str], rows: list[list[str]]) -> None:
    """Print columns of equal width, numbers to the right."""
    widths = [
        max(len(cell) for cell in column)
        for column in zip(head, *rows, strict=True)
    ]
    for row in (list(head), *rows):
        cells = [
            cell.rjust(width) if _is_number(cell) else cell.ljust(width)
            for cell, width in zip(row, widths, strict=True)
        ]
        print_line('  '.join(cells).rstrip())


def print_error(exc: CassiaholdError, *, as_json: bool) -> ExitCode:
    """Print what went wrong and return the exit code for it."""
    row = exc.response
    if as_json:
        sys.stderr.write(
            json.dumps(
                {
                    'error': exc.kind.value,
                    'detail': exc.detail,
                    'ran': row.execution.value,
                    'retry': row.retry.value,
                }
            )
            + '\n'
        )
    else:
        sys.stderr.write(f'error: {exc.detail}\n')
        sys.stderr.write(
            f'  {exc.kind.value}: {row.meaning} '
            f'({row.execution.value}; {row.retry.value})\n'
        )
    if exc.kind in _UNREACHABLE:
        return ExitCode.UNREACHABLE
    return ExitCode.BAD_INPUT if exc.kind in _BAD_INPUT else ExitCode.REFUSED


class ProgressLine:
    """Shows on a terminal that a command still waits."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'ProgressLine':
        if sys.stderr.isatty():
            self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._done.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        waited_s = 0
        while not self._done.wait(_PROGRESS_AFTER_S):
            waited_s += 1
            sys.stderr.write(f'\r{self._text} ... {waited_s} s')
            sys.stderr.flush()
        if waited_s:
            sys.stderr.write('\r\033[K')


def _is_number(cell: str) -> bool:
    return cell.rstrip('%').replace('.', '', 1).replace('-', '', 1).isdigit()
