"""``cassiahold apply``: put a configuration into force."""

import argparse
import pathlib
import time
import typing

from cassiahold.cli.base import (
    DEFAULT_WAIT_S,
    convert_to_json_types,
    open_client,
    read_configuration,
    show_progress,
)
from cassiahold.cli.commands.check import print_findings
from cassiahold.cli.output import ExitCode, print_json, print_line
from cassiahold.client import OperatorClient
from cassiahold.config.checks import Level, run_checks

_POLL_INTERVAL_S: typing.Final = 0.2


class ApplyCommand:
    """Checks and applies a configuration, then waits until it is in force."""

    name = 'apply'
    help = 'apply a configuration file to the whole cell'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file, the base version, the change id and the wait."""
        parser.add_argument(
            'file', type=pathlib.Path, help='YAML file, or - for standard input'
        )
        parser.add_argument(
            '--base-version',
            type=int,
            help='version the file was made from; default is the newest',
        )
        parser.add_argument(
            '--change-id',
            default='',
            help='id of an earlier change, to send it again when its '
            'response was lost',
        )
        parser.add_argument(
            '--wait',
            type=float,
            default=DEFAULT_WAIT_S,
            metavar='SECONDS',
            help='longest wait until it is in force everywhere (default 9)',
        )

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Apply the file and report where it is not yet in force."""
        configuration = read_configuration(arguments.file)
        findings = run_checks(configuration)
        if any(finding.level is Level.ERROR for finding in findings):
            print_findings(findings)
            return ExitCode.BAD_INPUT
        client = open_client(arguments)
        base_version = arguments.base_version
        if base_version is None:
            base_version = client.configuration()['version']
        version = client.apply(
            convert_to_json_types(configuration),
            base_version,
            arguments.change_id,
        )
        return report_rollout(
            client, version, arguments.wait, as_json=arguments.json
        )


def report_rollout(
    client: OperatorClient, version: int, wait_s: float, *, as_json: bool
) -> ExitCode:
    """Wait for a version to be in force and report where it is not."""
    started_at = time.monotonic()
    missing = wait_until_in_force(client, version, wait_s)
    took_s = time.monotonic() - started_at
    if as_json:
        print_json(
            {'version': version, 'waiting_for': missing, 'seconds': took_s}
        )
    elif missing:
        print_line(f'version {version} is accepted but not in force at:')
        for location in missing:
            print_line(f'  {location}')
    else:
        print_line(f'version {version} is in force everywhere, {took_s:.1f} s')
    return ExitCode.NOT_YET_IN_FORCE if missing else ExitCode.DONE


def wait_until_in_force(
    client: OperatorClient, version: int, wait_s: float
) -> list[str]:
    """Wait for a version to be in force and return where it is not."""
    deadline = time.monotonic() + wait_s
    with show_progress(
        f'version {version} is accepted; waiting for every host'
    ):
        return _poll_until_in_force(client, version, deadline)


def _poll_until_in_force(
    client: OperatorClient, version: int, deadline: float
) -> list[str]:
    while True:
        current = client.configuration()
        missing: list[str] = current['waiting_for']
        if current['version'] >= version and not missing:
            return []
        if time.monotonic() >= deadline:
            return missing or ['the coordinator group']
        time.sleep(_POLL_INTERVAL_S)
