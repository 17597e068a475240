"""``cassiahold drain`` and ``undrain``: stop or resume use of a worker."""

import argparse

from cassiahold.cli.base import open_client
from cassiahold.cli.output import ExitCode, print_json, print_line


class _DrainingCommand:
    name: str
    help: str
    is_draining: bool
    result_text: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the worker and its data centre."""
        parser.add_argument('data_centre')
        parser.add_argument('worker')

    def run(self, arguments: argparse.Namespace) -> ExitCode:
        """Change whether tasks are placed; running tasks continue."""
        client = open_client(arguments)
        client.drain(arguments.data_centre, arguments.worker, self.is_draining)
        if arguments.json:
            print_json(
                {'worker': arguments.worker, 'is_draining': self.is_draining}
            )
        else:
            print_line(f'{arguments.worker} {self.result_text}')
        return ExitCode.DONE


class DrainCommand(_DrainingCommand):
    """Stops placing tasks on a worker."""

    name = 'drain'
    help = 'place no more tasks on a worker'
    is_draining = True
    result_text = 'gets no new tasks'


class UndrainCommand(_DrainingCommand):
    """Resumes placing tasks on a worker."""

    name = 'undrain'
    help = 'place tasks on a worker again'
    is_draining = False
    result_text = 'gets new tasks again'
