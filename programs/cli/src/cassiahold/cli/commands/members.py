"""``cassiahold members``: replace the hosts of a group, one at a time."""

import argparse

from cassiahold.cli.base import open_client
from cassiahold.cli.output import ExitCode, print_json, print_line


class MembersCommand:
    """Changes one voter of a group, or its learners."""

    name = 'members'
    help = 'change the voters and learners of a group'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the group and its new members."""
        parser.add_argument('group')
        parser.add_argument('--voters', required=True, help='host,host,...')
        parser.add_argument('--learners', default='', help='host,host,...')

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Change the members; refused when more than one voter changes."""
        voters = arguments.voters.split(',')
        learners = [name for name in arguments.learners.split(',') if name]
        client = open_client(arguments)
        reply = client.change_members(arguments.group, voters, learners)
        if arguments.json:
            print_json(reply)
        else:
            print_line(f'{arguments.group}: voters {", ".join(voters)}')
        return ExitCode.DONE
