"""Ends attempts that a worker neither reports as running nor as ended.

A worker reads a reply only as the answer to its newest report, and lists each
attempt that it runs.  So an attempt that it listed before has ended, for
example with its lease.
"""

import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import Allocation, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import AttemptId
from cassiahold.core.states import AttemptOutcome
from cassiahold.scheduler.sessions import WorkerSession
from cassiahold.wire.messages import WorkerReport


def unlisted_results(
    report: WorkerReport, session: WorkerSession, state: SchedulerState
) -> list[commands.AttemptResult]:
    """Return the results of attempts that have ended without a report."""
    worker = state.worker_by_id[report.worker]
    return [
        _result(state, worker.allocation_by_attempt[attempt])
        for attempt in _unlisted_attempts(report, worker)
        if attempt in session.listed_attempts
    ]


def _unlisted_attempts(
    report: WorkerReport, worker: WorkerRecord
) -> typing.Iterator[AttemptId]:
    listed = {running.attempt for running in report.running}
    listed.update(ended.attempt for ended in report.ended)
    for attempt in worker.allocation_by_attempt:
        if attempt not in listed:
            yield attempt


def _result(
    state: SchedulerState, allocation: Allocation
) -> commands.AttemptResult:
    task = state.job_by_id[allocation.job].tasks[allocation.index]
    return commands.AttemptResult(
        allocation.job,
        allocation.index,
        task.attempt,
        AttemptOutcome.STOPPED,
        'its worker does not report it',
    )
