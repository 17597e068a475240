"""``cassiahold explain``: what an error kind means."""

import argparse

from cassiahold.cli.output import (
    ExitCode,
    print_json,
    print_line,
    print_table,
)
from cassiahold.core.exceptions import (
    RESPONSE_BY_KIND,
    CassiaholdError,
    ErrorKind,
)


class ExplainCommand:
    """Prints the table from error kind to answer."""

    name = 'explain'
    help = 'say what an error means, or list them all'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the error."""
        parser.add_argument('error', nargs='?', default='')

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print one row or all."""
        kinds = [_kind(arguments.error)] if arguments.error else list(ErrorKind)
        if arguments.json:
            print_json([_as_json(kind) for kind in kinds])
            return ExitCode.DONE
        print_table(
            ('error', 'http', 'grpc', 'ran', 'retry'),
            [
                [
                    kind.value,
                    str(row.http_status),
                    row.grpc_status,
                    row.execution.value,
                    row.retry.value,
                ]
                for kind in kinds
                for row in (RESPONSE_BY_KIND[kind],)
            ],
        )
        if arguments.error:
            print_line(RESPONSE_BY_KIND[kinds[0]].meaning)
        return ExitCode.DONE


def _kind(text: str) -> ErrorKind:
    try:
        return ErrorKind(text)
    except ValueError as exc:
        known = ', '.join(kind.value for kind in ErrorKind)
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'{text!r} is not an error kind; expected one of {known}',
        ) from exc


def _as_json(kind: ErrorKind) -> dict[str, object]:
    row = RESPONSE_BY_KIND[kind]
    return {
        'error': kind.value,
        'http': row.http_status,
        'grpc': row.grpc_status,
        'ran': row.execution.value,
        'retry': row.retry.value,
        'meaning': row.meaning,
    }
