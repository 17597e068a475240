"""Entry point of the ``cassiahold`` command."""

import argparse
import pathlib
import sys

from cassiahold.cli.base import (
    DEFAULT_GATEWAY,
    GATEWAYS_VARIABLE,
    KEY_VARIABLE,
)
from cassiahold.cli.commands import COMMANDS
from cassiahold.cli.output import print_error
from cassiahold.core.exceptions import CassiaholdError


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog='cassiahold',
        description='Operates a cassiahold cell.',
        epilog='Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable '
        'or outcome unknown, 4 accepted but not yet in force everywhere.',
    )
    parser.add_argument(
        '--gateway',
        action='append',
        metavar='IP:PORT',
        help=f'may be repeated; default ${GATEWAYS_VARIABLE} or '
        f'{DEFAULT_GATEWAY}',
    )
    parser.add_argument(
        '--operator-key-file',
        type=pathlib.Path,
        help=f"file with the operators' key; default is ${KEY_VARIABLE}",
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of text'
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name, help=command.help, description=command.help
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        return int(arguments.run(arguments))
    except CassiaholdError as exc:
        return int(print_error(exc, as_json=arguments.json))


if __name__ == '__main__':
    sys.exit(main())
