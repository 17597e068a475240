"""Entry point of ``cassiahold-bench``."""

import argparse
import pathlib
import sys
import typing

from cassiahold.bench.capacity.main import measure_all, write_page
from cassiahold.bench.experiments.runner import RUN_BY_NAME, run_file
from cassiahold.bench.faults.soak import run_soak
from cassiahold.bench.specification.checking import check_all

DEFAULT_EXPERIMENTS_FILE: typing.Final = pathlib.Path(
    'tools/bench/experiments/planned_size.yaml'
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every subcommand."""
    parser = argparse.ArgumentParser(
        prog='cassiahold-bench',
        description='Measures decisions and runs faults.',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    soaking = commands.add_parser('soak', help='run faults on fresh seeds')
    soaking.add_argument('--minutes', type=float, default=5.0)
    soaking.add_argument('--seed', type=int, help='play from this seed on')
    soaking.set_defaults(run=_run_soak)
    running = commands.add_parser('run', help='run the experiments')
    running.add_argument(
        '--file', type=pathlib.Path, default=DEFAULT_EXPERIMENTS_FILE
    )
    running.add_argument(
        '--report', type=pathlib.Path, default=pathlib.Path('report')
    )
    running.add_argument(
        '--only', action='append', default=[], choices=list(RUN_BY_NAME)
    )
    running.set_defaults(run=_run_experiments)
    measuring = commands.add_parser('capacity', help='measure slopes')
    measuring.add_argument(
        '--report', type=pathlib.Path, default=pathlib.Path('report')
    )
    measuring.add_argument(
        '--page-only',
        action='store_true',
        help='write the page from the committed slopes',
    )
    measuring.set_defaults(run=_measure_capacity)
    modelling = commands.add_parser('model', help='check the specifications')
    modelling.set_defaults(run=lambda _: check_all())
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    arguments = build_parser().parse_args(argv)
    return int(arguments.run(arguments))


def _run_experiments(arguments: typing.Any) -> int:
    rows = run_file(arguments.file, arguments.report, arguments.only)
    return int(not all(row.is_met for row in rows))


def _measure_capacity(arguments: typing.Any) -> int:
    if arguments.page_only:
        return write_page()
    return measure_all(arguments.report)


def _run_soak(arguments: typing.Any) -> int:
    return int(bool(run_soak(arguments.minutes, arguments.seed)))


if __name__ == '__main__':
    sys.exit(main())
