"""Entry point of ``cassiahold-fake-cell``.

Runs the fake workers and targets of one data centre in one process.
"""

import argparse
import contextlib
import pathlib
import signal
import sys
import threading
import typing

import msgspec

from cassiahold.core import tracing
from cassiahold.core.conf.loading import load_yaml
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.fakes.target import FakeTarget, TargetPlan
from cassiahold.fakes.worker import FakeWorker, JournalEvent, WorkerPlan

_EXIT_BAD_PLAN: typing.Final = 2


class CellPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The ``--plan`` file: which fakes to run and which gateways they use.

    ``worker_token`` is sent as the bearer token of every report;
    ``trace_file`` turns tracing on.
    """

    gateways: list[str]
    worker_token: str
    workers: list[WorkerPlan] = []
    targets: list[TargetPlan] = []
    trace_file: str = ''


def main(argv: list[str] | None = None) -> int:
    """Run the fakes until SIGTERM or SIGINT; return 2 for an invalid plan."""
    parser = argparse.ArgumentParser(
        prog='cassiahold-fake-cell',
        description='Runs fake workers and targets.',
    )
    parser.add_argument('--plan', required=True, type=pathlib.Path)
    parser.add_argument(
        '--journal',
        type=pathlib.Path,
        help='append one JSON line to this file for each start and end',
    )
    arguments = parser.parse_args(argv)
    try:
        plan = load_yaml(arguments.plan, CellPlan)
    except CassiaholdError as exc:
        sys.stderr.write(f'cassiahold-fake-cell: {exc.detail}\n')
        return _EXIT_BAD_PLAN
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    with contextlib.ExitStack() as stack:
        if plan.trace_file:
            stack.enter_context(
                tracing.set_up_tracing(
                    'fake-cell', tracing.TraceExporter.FILE, plan.trace_file
                )
            )
        run_fakes(plan, arguments.journal, stack, stop)
    return 0


def run_fakes(
    plan: CellPlan,
    journal_path: pathlib.Path | None,
    stack: contextlib.ExitStack,
    stop: threading.Event,
) -> None:
    """Start every fake and journal new violations until ``stop`` is set."""
    write = _open_journal(journal_path, stack)
    violations: list[str] = []
    workers = [
        FakeWorker(worker, plan.gateways, plan.worker_token, write)
        for worker in plan.workers
    ]
    targets = [
        FakeTarget(target, plan.gateways, plan.worker_token, write)
        for target in plan.targets
    ]
    fakes: list[FakeWorker | FakeTarget] = [*workers, *targets]
    for fake in fakes:
        fake.start()
        stack.callback(fake.close)
    reported_count = 0
    while not stop.wait(0.2):
        violations = [line for fake in fakes for line in fake.violations]
        for line in violations[reported_count:]:
            write(JournalEvent(0, 'stand-in', line, 'broken'))
        reported_count = len(violations)


def _open_journal(
    path: pathlib.Path | None, stack: contextlib.ExitStack
) -> typing.Callable[[JournalEvent], None]:
    if path is None:
        return lambda _: None
    stream = stack.enter_context(path.open('ab', buffering=0))
    lock = threading.Lock()

    def write(event: JournalEvent) -> None:
        with lock:
            stream.write(msgspec.json.encode(event) + b'\n')

    return write


if __name__ == '__main__':
    sys.exit(main())
