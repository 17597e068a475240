"""``cassiahold diff``: compare a file with the configuration in force."""

import argparse
import difflib
import pathlib

from cassiahold.cli.base import (
    convert_to_json_types,
    dump_yaml,
    open_client,
    read_configuration,
)
from cassiahold.cli.output import ExitCode, print_json, print_line


class DiffCommand:
    """Shows what ``cassiahold apply`` would change."""

    name = 'diff'
    help = 'show what applying a file would change'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file."""
        parser.add_argument('file', type=pathlib.Path)

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print a unified diff; exit code 1 if there is a difference."""
        wanted = convert_to_json_types(read_configuration(arguments.file))
        current = open_client(arguments).configuration()
        lines = list(
            difflib.unified_diff(
                dump_yaml(current['configuration']).splitlines(),
                dump_yaml(wanted).splitlines(),
                f'version {current["version"]}',
                str(arguments.file),
                lineterm='',
            )
        )
        if arguments.json:
            print_json({'version': current['version'], 'diff': lines})
        else:
            for line in lines or ['no difference']:
                print_line(line)
        return ExitCode.REFUSED if lines else ExitCode.DONE
