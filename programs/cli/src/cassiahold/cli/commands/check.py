"""``cassiahold check``: check a configuration or settings file offline."""

import argparse
import pathlib

from cassiahold.cli.base import read_configuration
from cassiahold.cli.output import ExitCode, print_json, print_line
from cassiahold.config.checks import Finding, Level, run_checks
from cassiahold.core.conf.settings import load_settings


class CheckCommand:
    """Runs every registered check of a configuration, or loads settings."""

    name = 'check'
    help = 'check a configuration file, or settings with --settings'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the file and whether it holds settings."""
        parser.add_argument('file', type=pathlib.Path)
        parser.add_argument(
            '--settings',
            action='store_true',
            help="the file is a host's settings, not a configuration",
        )

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print the findings; exit code 2 if one is an error."""
        if arguments.settings:
            load_settings(arguments.file)
            findings: list[Finding] = []
        else:
            findings = run_checks(read_configuration(arguments.file))
        if arguments.json:
            print_json(
                [
                    {
                        'id': finding.id,
                        'level': finding.level.value,
                        'message': finding.message,
                        'hint': finding.hint,
                    }
                    for finding in findings
                ]
            )
        else:
            print_findings(findings)
        has_errors = any(finding.level is Level.ERROR for finding in findings)
        return ExitCode.BAD_INPUT if has_errors else ExitCode.DONE


def print_findings(findings: list[Finding]) -> None:
    """Print findings as text, with their hints."""
    for finding in findings:
        print_line(f'{finding.level.value} {finding.id}: {finding.message}')
        print_line(f'  hint: {finding.hint}')
    print_line(f'{len(findings)} findings' if findings else 'no findings')
