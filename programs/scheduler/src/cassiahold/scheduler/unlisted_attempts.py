"""Ends attempts that a worker neither reports as running nor as ended.

A worker reads a reply only as the answer to its newest report, and lists each
attempt that it runs.  So an attempt that it listed before has ended, for
example with its lease.  One that it never lists, although it has been told to
start it for long, is taken back: the worker may have run it under an earlier
leader.  One that must stop is not started at all.

A report that was sent to an earlier leader may arrive late, and tells nothing
about attempts that this one has inherited.
"""

import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import Allocation, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import AttemptId
from cassiahold.core.states import AttemptOutcome
from cassiahold.scheduler.sessions import WorkerSession
from cassiahold.wire.messages import WorkerReport

# A worker starts an attempt at most once, so that repeated starts may have no
# effect.
START_TIMEOUT_S: typing.Final = 30.0


def unlisted_results(
    report: WorkerReport,
    session: WorkerSession,
    state: SchedulerState,
    term: int,
    now: float,
) -> list[commands.AttemptResult]:
    """Return the results of attempts that have ended without a report.

    ``term`` is that of the leader.
    """
    worker = state.worker_by_id[report.worker]
    results = []
    for attempt in _unlisted_attempts(report, worker):
        if report.term < term and attempt in session.inherited_attempts:
            continue
        allocation = worker.allocation_by_attempt[attempt]
        record = state.job_by_id[allocation.job]
        must_stop = record.must_stop_attempt(allocation.index)
        if must_stop or _has_ended(attempt, session, now):
            results.append(_result(attempt, allocation, session, state))
    return results


def _has_ended(attempt: AttemptId, session: WorkerSession, now: float) -> bool:
    sent_at = session.start_times(attempt).first_at
    return (
        attempt in session.listed_attempts or now - sent_at >= START_TIMEOUT_S
    )


def _unlisted_attempts(
    report: WorkerReport, worker: WorkerRecord
) -> typing.Iterator[AttemptId]:
    listed = {running.attempt for running in report.running}
    listed.update(ended.attempt for ended in report.ended)
    for attempt in worker.allocation_by_attempt:
        if attempt not in listed:
            yield attempt


def _result(
    attempt: AttemptId,
    allocation: Allocation,
    session: WorkerSession,
    state: SchedulerState,
) -> commands.AttemptResult:
    task = state.job_by_id[allocation.job].tasks[allocation.index]
    return commands.AttemptResult(
        allocation.job,
        allocation.index,
        task.attempt,
        AttemptOutcome.STOPPED
        if session.may_have_started(attempt)
        else AttemptOutcome.NEVER_STARTED,
        'its worker does not report it',
    )
