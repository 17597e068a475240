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
    """Checks, applies and waits until the change is in force."""

    name = 'apply'
    help = 'put a configuration file into force everywhere'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the file, the base version and how long to wait."""
        parser.add_argument(
            'file', type=pathlib.Path, help='YAML file, or - to read it here'
        )
        parser.add_argument(
            '--base-version',
            type=int,
            help='version the file was made from; default is the newest',
        )
        parser.add_argument(
            '--change-id',
            default='',
            help='repeat a change whose answer was lost under its first id',
        )
        parser.add_argument(
            '--wait',
            type=float,
            default=DEFAULT_WAIT_S,
            metavar='SECONDS',
            help='wait until it is in force everywhere (default 9)',
        )

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Apply and report where the change is not yet in force."""
        configuration = read_configuration(arguments.file)
        findings = run_checks(configuration)
        if any(found.level is Level.ERROR for found in findings):
            print_findings(findings)
            return ExitCode.BAD_INPUT
        client = open_client(arguments)
        base = arguments.base_version
        if base is None:
            base = client.configuration()['version']
        version = client.apply(
            convert_to_json_types(configuration), base, arguments.change_id
        )
        return report_rollout(
            client, version, arguments.wait, as_json=arguments.json
        )


def report_rollout(
    client: OperatorClient, version: int, wait_s: float, *, as_json: bool
) -> ExitCode:
    """Wait until a version is in force and print where it is not."""
    began = time.monotonic()
    missing = wait_until_in_force(client, version, wait_s)
    took_s = time.monotonic() - began
    if as_json:
        print_json(
            {'version': version, 'waiting_for': missing, 'seconds': took_s}
        )
    elif missing:
        print_line(f'version {version} is accepted but not in force at:')
        for place in missing:
            print_line(f'  {place}')
    else:
        print_line(f'version {version} is in force everywhere, {took_s:.1f} s')
    return ExitCode.NOT_YET_IN_FORCE if missing else ExitCode.DONE


def wait_until_in_force(
    client: OperatorClient, version: int, wait_s: float
) -> list[str]:
    """Wait until a version is in force; return where it is not."""
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
