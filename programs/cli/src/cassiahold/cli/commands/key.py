"""``cassiahold key``: grant and withdraw API keys of teams."""

import argparse
import secrets

from cassiahold.cli.base import DEFAULT_WAIT_S, open_client
from cassiahold.cli.commands.apply import (
    report_rollout,
    wait_until_in_force,
)
from cassiahold.cli.output import ExitCode, print_json, print_line
from cassiahold.config.keys import new_key


class KeyCommand:
    """Grants a new key to a team, or withdraws one for good."""

    name = 'key'
    help = 'grant or withdraw a key'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommands ``grant`` and ``withdraw``."""
        actions = parser.add_subparsers(dest='action', required=True)
        grant = actions.add_parser('grant', help='create a key for a team')
        grant.add_argument('team')
        grant.add_argument('--id', default='', help='id of the key')
        withdraw = actions.add_parser(
            'withdraw', help='withdraw a key for good'
        )
        withdraw.add_argument('key_id')
        for action in (grant, withdraw):
            action.add_argument(
                '--wait',
                type=float,
                default=DEFAULT_WAIT_S,
                metavar='SECONDS',
                help='longest wait until it is in force everywhere (default 9)',
            )

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Change the key and wait until the change is in force."""
        client = open_client(arguments)
        if arguments.action == 'withdraw':
            version = client.withdraw_key(arguments.key_id)
            return report_rollout(
                client, version, arguments.wait, as_json=arguments.json
            )
        key_id = arguments.id or f'{arguments.team}-{secrets.token_hex(3)}'
        fresh = new_key(key_id)
        version = client.grant_key(arguments.team, key_id, fresh.key.sha256)
        missing = wait_until_in_force(client, version, arguments.wait)
        # The secret is shown only here; the cell stores its hash.
        if arguments.json:
            print_json(
                {
                    'key': fresh.presented,
                    'version': version,
                    'waiting_for': missing,
                }
            )
        else:
            print_line(fresh.presented)
        return ExitCode.NOT_YET_IN_FORCE if missing else ExitCode.DONE
