"""``cassiahold why``: explain why a job waits."""

import argparse

from cassiahold.cli.base import open_client
from cassiahold.cli.output import ExitCode, print_json, print_line


class WhyCommand:
    """Prints the reasons why a job waits."""

    name = 'why'
    help = 'explain why a job waits'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the job id."""
        parser.add_argument('job')

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Print the reasons, the strongest first."""
        reply = open_client(arguments).why(arguments.job)
        if arguments.json:
            print_json(reply)
        else:
            for reason in reply['reasons']:
                print_line(reason)
        return ExitCode.DONE
