"""Printing of results, errors and progress, and exit codes."""

import enum
import json
import sys
import threading
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind


class ExitCode(enum.IntEnum):
    """Exit codes, documented in the reference of the command line."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    NOT_YET_IN_FORCE = 4


_UNREACHABLE_KINDS: typing.Final = frozenset(
    (ErrorKind.UNREACHABLE, ErrorKind.NO_QUORUM, ErrorKind.OUTCOME_UNKNOWN)
)
_BAD_INPUT_KINDS: typing.Final = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BAD_SETTINGS,
        ErrorKind.BAD_CONFIGURATION,
    )
)
_PROGRESS_INTERVAL_S: typing.Final = 1.0


def print_json(payload: typing.Any) -> None:
    """Print a result as JSON, for programs."""
    sys.stdout.write(json.dumps(payload, indent=2) + '\n')


def print_line(text: str = '') -> None:
    """Print a line of text, for people."""
    sys.stdout.write(f'{text}\n')


def print_table(header: typing.Sequence[str], rows: list[list[str]]) -> None:
    """Print a table with aligned columns, numbers to the right."""
    widths = [
        max(len(cell) for cell in column)
        for column in zip(header, *rows, strict=True)
    ]
    for row in (list(header), *rows):
        cells = [
            cell.rjust(width) if _is_number(cell) else cell.ljust(width)
            for cell, width in zip(row, widths, strict=True)
        ]
        print_line('  '.join(cells).rstrip())


def print_error(exc: CassiaholdError, *, as_json: bool) -> ExitCode:
    """Print an error to standard error and return its exit code."""
    response = exc.response
    if as_json:
        sys.stderr.write(
            json.dumps(
                {
                    'error': exc.kind.value,
                    'detail': exc.detail,
                    'ran': response.execution.value,
                    'retry': response.retry.value,
                }
            )
            + '\n'
        )
    else:
        sys.stderr.write(f'error: {exc.detail}\n')
        sys.stderr.write(
            f'  {exc.kind.value}: {response.meaning} '
            f'({response.execution.value}; {response.retry.value})\n'
        )
    if exc.kind in _UNREACHABLE_KINDS:
        return ExitCode.UNREACHABLE
    return (
        ExitCode.BAD_INPUT if exc.kind in _BAD_INPUT_KINDS else ExitCode.REFUSED
    )


class ProgressLine:
    """Context that shows on a terminal how long a command has waited."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._finished = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'ProgressLine':
        if sys.stderr.isatty():
            self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._finished.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        waited_s = 0
        while not self._finished.wait(_PROGRESS_INTERVAL_S):
            waited_s += 1
            sys.stderr.write(f'\r{self._text} ... {waited_s} s')
            sys.stderr.flush()
        if waited_s:
            sys.stderr.write('\r\033[K')


def _is_number(cell: str) -> bool:
    return cell.rstrip('%').replace('.', '', 1).replace('-', '', 1).isdigit()
