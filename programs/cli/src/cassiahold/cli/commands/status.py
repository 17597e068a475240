"""``cassiahold status``: state of the whole cell."""

import argparse
import collections
import typing

from cassiahold.cli.base import open_client, show_progress
from cassiahold.cli.output import (
    ExitCode,
    print_json,
    print_line,
    print_table,
)


class StatusCommand:
    """Shows data centres, teams and problems."""

    name = 'status'
    help = 'show data centres, teams and problems'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments."""

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print the status; exit code 3 if a part is unreachable."""
        with show_progress('querying every data centre'):
            status = open_client(arguments).status()
        failed = [centre for centre in status['centres'] if centre.get('error')]
        if arguments.json:
            print_json(status)
        else:
            _print_status(status)
        if failed or status['error']:
            return ExitCode.UNREACHABLE
        return ExitCode.DONE


def _print_status(status: dict[str, typing.Any]) -> None:
    print_line(f'configuration version {status["version"]}')
    if status['error']:
        print_line(f'coordinator: {status["error"]}')
    for location in status['waiting_for']:
        print_line(f'not yet in force: {location}')
    print_line()
    print_table(
        ('data centre', 'workers', 'held', 'tasks', 'targets', 'problems'),
        [_data_centre_row(centre) for centre in status['centres']],
    )
    print_line()
    print_table(
        ('data centre', 'team', 'tasks', 'waiting', 'share', 'entitled'),
        [row for centre in status['centres'] for row in _team_rows(centre)],
    )


def _data_centre_row(centre: dict[str, typing.Any]) -> list[str]:
    name = centre['data_centre']
    if centre.get('error'):
        return [name, '-', '-', '-', '-', centre['error']]
    details = centre['status']
    states = collections.Counter(
        worker['state'] for worker in details['workers']
    )
    problems = [
        f'{count} {state}'
        for state, count in sorted(states.items())
        if state not in {'open', 'unproven'}
    ]
    if details['never_fitting']:
        problems.append(f'{len(details["never_fitting"])} jobs never fit')
    return [
        name,
        str(len(details['workers'])),
        f'{details["packing"]:.1%}',
        str(sum(worker['tasks'] for worker in details['workers'])),
        str(details['targets']),
        ', '.join(problems) or '-',
    ]


def _team_rows(centre: dict[str, typing.Any]) -> list[list[str]]:
    if centre.get('error'):
        return []
    return [
        [
            centre['data_centre'],
            team['team'],
            str(team['usage'][1]),
            str(team['waiting_tasks']),
            f'{team["share"]:.1%}',
            f'{team["entitled_share"]:.1%}',
        ]
        for team in centre['status']['teams']
    ]
