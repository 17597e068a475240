"""``cassiahold get``: print the configuration in force."""

import argparse

from cassiahold.cli.base import dump_yaml, open_client
from cassiahold.cli.output import ExitCode, print_json, print_line


class GetCommand:
    """Prints the configuration in force as YAML that ``apply`` accepts."""

    name = 'get'
    help = 'print the configuration in force'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments."""

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print the configuration; version and keys stand in comments."""
        current = open_client(arguments).configuration()
        if arguments.json:
            print_json(current)
            return ExitCode.DONE
        print_line(f'# version {current["version"]}')
        for location in current['waiting_for']:
            print_line(f'# not yet in force: {location}')
        for key_id, team in sorted(current['team_by_key'].items()):
            print_line(f'# key {key_id} of team {team}')
        print_line(dump_yaml(current['configuration']).rstrip())
        return ExitCode.DONE
