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
    """Prints how each error kind is reported to callers."""

    name = 'explain'
    help = 'explain an error kind, or list all of them'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the error kind."""
        parser.add_argument('error', nargs='?', default='')

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print one error kind or all of them."""
        kinds = (
            [_parse_kind(arguments.error)]
            if arguments.error
            else list(ErrorKind)
        )
        if arguments.json:
            print_json([_to_json_object(kind) for kind in kinds])
            return ExitCode.DONE
        print_table(
            ('error', 'http', 'grpc', 'ran', 'retry'),
            [
                [
                    kind.value,
                    str(response.http_status),
                    response.grpc_status,
                    response.execution.value,
                    response.retry.value,
                ]
                for kind in kinds
                for response in (RESPONSE_BY_KIND[kind],)
            ],
        )
        if arguments.error:
            print_line(RESPONSE_BY_KIND[kinds[0]].meaning)
        return ExitCode.DONE


def _parse_kind(text: str) -> ErrorKind:
    try:
        return ErrorKind(text)
    except ValueError as exc:
        known = ', '.join(kind.value for kind in ErrorKind)
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'{text!r} is not an error kind; expected one of {known}',
        ) from exc


def _to_json_object(kind: ErrorKind) -> dict[str, object]:
    response = RESPONSE_BY_KIND[kind]
    return {
        'error': kind.value,
        'http': response.http_status,
        'grpc': response.grpc_status,
        'ran': response.execution.value,
        'retry': response.retry.value,
        'meaning': response.meaning,
    }
