"""Runs the demo; exits with 1 if a property was violated or a job lost."""

import argparse
import contextlib
import importlib.util
import pathlib
import sys
import time

from cassiahold.bench.demo.event_journal import EventJournal
from cassiahold.bench.demo.local_cell import LocalCell
from cassiahold.bench.demo.report import DemoReport
from cassiahold.bench.demo.scenario import Scenario
from cassiahold.bench.demo.statsd_listener import StatsdListener
from cassiahold.bench.demo.workload import Workload
from cassiahold.config import Configuration

JOB_WAIT_TIMEOUT_S = 40.0
STATSD_ADDRESS = '127.10.0.1:8125'


def main(argv: list[str] | None = None) -> int:
    """Start the example, load it, inject faults and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--example',
        type=pathlib.Path,
        default=pathlib.Path('examples/rollwerk'),
    )
    parser.add_argument(
        '--folder', type=pathlib.Path, default=pathlib.Path('var/demo')
    )
    arguments = parser.parse_args(argv)
    started_at = time.monotonic()
    configuration = _read_configuration(arguments.example)
    with contextlib.ExitStack() as stack:
        cell = LocalCell(arguments.example, arguments.folder.resolve())
        listener = StatsdListener(STATSD_ADDRESS)
        stack.callback(listener.close)
        cell.update_host_settings({'statsd_address': STATSD_ADDRESS})
        stack.callback(cell.close)
        _print_progress(
            'starting', f'{len(cell.hosts)} entry hosts on loopback'
        )
        cell.start_all()
        cell.wait_until_ready()
        scenario = Scenario(cell, configuration, listener)
        key_by_team = scenario.set_up()
        _print_progress(
            'loading', 'callers of six teams; then kills and changes'
        )
        centres = sorted({host.data_centre for host in cell.hosts})
        # The scenario withdraws the key of this team.
        workshop_key = key_by_team['workshop']
        workload = Workload(cell.gateways(), key_by_team, list(centres))
        scenario.run(workload, workshop_key)
        _print_progress('collecting', f'{len(workload.jobs)} jobs')
        _wait_for_jobs(workload, scenario)
    journal = EventJournal(cell.journal_folder)
    core_limit_by_team = {
        team.name: team.limit.cores for team in configuration.teams
    }
    report = DemoReport(
        workload, journal, scenario.measurements, core_limit_by_team
    )
    report.print()
    _print_progress('took', f'{time.monotonic() - started_at:.0f} s')
    return 0 if report.has_passed else 1


def _wait_for_jobs(workload: Workload, scenario: Scenario) -> None:
    # This team's key was withdrawn; it needs a new one to query its jobs.
    workload.replace_key('workshop', scenario.grant_key('workshop'))
    workload.wait_for_jobs(JOB_WAIT_TIMEOUT_S)
    for job in workload.jobs:
        if job.outcome == 'still_running':
            _print_progress(
                f'unfinished {job.job}', scenario.explain_job(job.job)
            )


def _read_configuration(example: pathlib.Path) -> Configuration:
    path = example / 'configuration.py'
    spec = importlib.util.spec_from_file_location('configuration', path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    configuration: Configuration = module.CONFIGURATION
    return configuration


def _print_progress(step: str, detail: str) -> None:
    sys.stdout.write(f'{step}: {detail}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
