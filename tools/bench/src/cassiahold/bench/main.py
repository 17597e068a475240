"""Entry point of ``cassiahold-bench``.

Runs experiments, measures capacity, checks the formal specifications and
soaks the protocol code in random faults.
"""

import argparse
import pathlib
import sys
import typing

from cassiahold.bench.capacity.main import measure_all, write_page
from cassiahold.bench.experiments.runner import (
    EXPERIMENT_BY_NAME,
    run_experiments,
)
from cassiahold.bench.faults.soak import run_soak
from cassiahold.bench.specification.model_checking import check_specifications

DEFAULT_EXPERIMENTS_FILE: typing.Final = pathlib.Path(
    'tools/bench/experiments/planned_size.yaml'
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; each subcommand sets ``run`` to its function."""
    parser = argparse.ArgumentParser(
        prog='cassiahold-bench',
        description='Measures scheduling decisions and runs randomised faults.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    soak_parser = commands.add_parser(
        'soak', help='run the fault machines with new random seeds'
    )
    soak_parser.add_argument('--minutes', type=float, default=5.0)
    soak_parser.add_argument(
        '--seed', type=int, help='start with this seed and count up'
    )
    soak_parser.set_defaults(run=_run_soak)
    run_parser = commands.add_parser('run', help='run the experiments')
    run_parser.add_argument(
        '--file', type=pathlib.Path, default=DEFAULT_EXPERIMENTS_FILE
    )
    run_parser.add_argument(
        '--report', type=pathlib.Path, default=pathlib.Path('report')
    )
    run_parser.add_argument(
        '--only', action='append', default=[], choices=list(EXPERIMENT_BY_NAME)
    )
    run_parser.set_defaults(run=_run_experiments)
    capacity_parser = commands.add_parser(
        'capacity', help='measure the cost of each kind of load'
    )
    capacity_parser.add_argument(
        '--report', type=pathlib.Path, default=pathlib.Path('report')
    )
    capacity_parser.add_argument(
        '--page-only',
        action='store_true',
        help='only write the page from the committed measurements',
    )
    capacity_parser.set_defaults(run=_measure_capacity)
    model_parser = commands.add_parser('model', help='check the specifications')
    model_parser.set_defaults(run=lambda _: check_specifications())
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand and return its exit code, 0 for success."""
    arguments = build_parser().parse_args(argv)
    return int(arguments.run(arguments))


def _run_experiments(arguments: typing.Any) -> int:
    rows = run_experiments(arguments.file, arguments.report, arguments.only)
    return int(not all(row.is_met for row in rows))


def _measure_capacity(arguments: typing.Any) -> int:
    if arguments.page_only:
        return write_page()
    return measure_all(arguments.report)


def _run_soak(arguments: typing.Any) -> int:
    return int(bool(run_soak(arguments.minutes, arguments.seed)))


if __name__ == '__main__':
    sys.exit(main())
