"""Processing of worker reports.

A report lists the attempts that run on a worker and those that have ended.
From it come attempt results for the replicated state, usage for estimates,
and the commands that the worker must carry out.
"""

import re
import typing

import msgspec

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.late_results import is_uncounted
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core import logs
from cassiahold.core.crashes import RECENT_START_S
from cassiahold.core.ids import AttemptId, JobId
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome, CommandKind, TaskState
from cassiahold.policy.decisions import task_key
from cassiahold.policy.failure_tracking import HEALTHY_START_S
from cassiahold.policy.workers import Worker
from cassiahold.scheduler.planner_projection import PlannerProjection
from cassiahold.scheduler.sessions import WorkerSession
from cassiahold.wire.messages import (
    EndedAttempt,
    RunningAttempt,
    WorkerCommand,
    WorkerReport,
)

LONG_RUN_S: typing.Final = 20.0  # run time that shows a worker is healthy
OVERUSE_FACTOR: typing.Final = 1.2  # of the allocation; tolerated
# Reports in a row about an attempt that overuses its allocation, or must
# stop, before it is checkpointed or stopped.
CHECKPOINT_ESCALATION: typing.Final = 3
STOP_ESCALATION: typing.Final = 6
_ATTEMPT_ID: typing.Final = re.compile(
    '([^/]+)/(0|[1-9][0-9]{0,15})/(0|[1-9][0-9]{0,15})'
)


class AttemptParts(msgspec.Struct, frozen=True):
    """The parts of an attempt id, ``job/task index/attempt number``."""

    job: JobId
    task_index: int
    attempt_number: int


def parse_attempt_id(attempt: AttemptId) -> AttemptParts | None:
    """Return the parts of an attempt id, None when it is malformed."""
    match = _ATTEMPT_ID.fullmatch(attempt)
    if match is None:
        return None
    job, index, number = match.groups()
    return AttemptParts(JobId(job), int(index), int(number))


class ReportProcessor:
    """Turns worker reports into attempt results, estimates and commands."""

    def __init__(
        self, state: SchedulerState, projection: PlannerProjection
    ) -> None:
        self._state = state
        self._projection = projection

    def new_results(
        self, report: WorkerReport, now: float
    ) -> list[commands.AttemptResult]:
        """Return the results of attempts that the state has as running.

        Those of attempts that were lost before are added as far as they still
        count.  Failures and successes are counted for the worker and the job.
        """
        results = []
        for ended in report.ended:
            parts = parse_attempt_id(ended.attempt)
            record = (
                self._job_of_uncounted_attempt(parts, ended, report)
                if parts
                else None
            )
            if parts is not None and record is not None:
                results.append(
                    self._process_result(parts, record, ended, report, now)
                )
        return results

    def record_usage(
        self, report: WorkerReport, session: WorkerSession, now: float
    ) -> None:
        """Record the resources that running attempts use.

        Usage beyond an allocation reduces the worker's free resources.
        Attempts that have run for some time show that their job and worker
        are healthy.
        """
        planner = self._projection.planner
        worker = planner.worker_pool.worker_by_id.get(report.worker)
        if worker is None:
            return
        changes = [
            self._record_running(running, worker, session, now)
            for running in report.running
        ]
        if any(changes):
            self._projection.update_worker_state(report.worker)

    def commands_for(
        self,
        report: WorkerReport,
        worker: WorkerRecord,
        session: WorkerSession,
    ) -> list[WorkerCommand]:
        """Return the commands for a worker's attempts.

        Attempts that the state does not know are stopped, and those that
        the worker does not report are started, unless they must stop.
        """
        running_ids = {running.attempt for running in report.running}
        ended_ids = {ended.attempt for ended in report.ended}
        worker_commands = [
            WorkerCommand(CommandKind.STOP, attempt)
            for attempt in running_ids
            if attempt not in worker.allocation_by_attempt
        ]
        for attempt, allocation in worker.allocation_by_attempt.items():
            if attempt in ended_ids:
                continue
            record = self._state.job_by_id[allocation.job]
            is_running = attempt in running_ids
            must_stop = record.must_stop_attempt(allocation.index)
            if is_running and must_stop:
                worker_commands.append(WorkerCommand(CommandKind.STOP, attempt))
            elif not is_running and not must_stop:
                worker_commands.append(
                    self._start_command(
                        attempt, record, allocation.index, worker
                    )
                )
        worker_commands.extend(self._enforcement_commands(report, session))
        return worker_commands

    def _record_running(
        self,
        running: RunningAttempt,
        worker: Worker,
        session: WorkerSession,
        now: float,
    ) -> bool:
        """Record one running attempt; return whether the worker changed."""
        planner = self._projection.planner
        parts = parse_attempt_id(running.attempt)
        if parts is None:
            return False
        task = planner.task_by_key.get(task_key(parts.job, parts.task_index))
        if task is None or task.worker != worker.id:
            return False
        has_changed = False
        sent_at = max(session.sent_at(running.attempt), task.started_at)
        if not task.is_settled and now - sent_at >= RECENT_START_S:
            planner.trials.settle(task)
            has_changed = True
        used = Resources(running.cores_m, running.memory_mb)
        task.peak_usage = task.peak_usage.elementwise_max(used)
        planner.estimator.record_usage(task.team, task.name, used)
        if not used.fits_in(task.resources) or worker.overuse_by_key:
            worker.record_usage(task.key, used)
            has_changed = True
        if now - task.started_at >= HEALTHY_START_S:
            planner.failure_tracker.record_healthy_start(task.team, task.name)
        if now - task.started_at >= LONG_RUN_S:
            has_changed |= planner.failure_tracker.record_long_run(worker.id)
        return has_changed

    def _job_of_uncounted_attempt(
        self, parts: AttemptParts, ended: EndedAttempt, report: WorkerReport
    ) -> JobRecord | None:
        record = self._state.job_by_id.get(parts.job)
        if record is None or not 0 <= parts.task_index < len(record.tasks):
            return None
        is_expected = self._is_current_attempt(
            parts, record, report
        ) or is_uncounted(
            record, parts.task_index, parts.attempt_number, ended.outcome
        )
        return record if is_expected else None

    def _is_current_attempt(
        self, parts: AttemptParts, record: JobRecord, report: WorkerReport
    ) -> bool:
        task = record.tasks[parts.task_index]
        return (
            task.state is TaskState.RUNNING
            and task.attempt == parts.attempt_number
            and task.worker == report.worker
        )

    def _process_result(
        self,
        parts: AttemptParts,
        record: JobRecord,
        ended: EndedAttempt,
        report: WorkerReport,
        now: float,
    ) -> commands.AttemptResult:
        planner = self._projection.planner
        counts_against_job = True
        is_current = self._is_current_attempt(parts, record, report)
        job_name = record.spec.name
        if ended.outcome is AttemptOutcome.DONE:
            task = planner.task_by_key.get(
                task_key(parts.job, parts.task_index)
            )
            if task is not None and is_current:
                planner.learn_from_finished_task(
                    task, task.peak_usage, ended.ran_s
                )
            if planner.failure_tracker.record_success(
                report.worker, record.team, job_name, record.id
            ):
                self._projection.update_worker_state(report.worker)
        elif ended.outcome is AttemptOutcome.FAILED:
            assessment = planner.failure_tracker.record_failure(
                report.worker, record.team, job_name, now, record.id
            )
            counts_against_job = assessment.counts_against_job
            if is_current:
                self._projection.set_backoff(
                    parts.job, parts.task_index, assessment.backoff_s
                )
            self._projection.update_worker_state(report.worker)
            if assessment.is_worker_quarantined:
                logs.warning('worker_quarantined', worker=report.worker)
        return commands.AttemptResult(
            parts.job,
            parts.task_index,
            parts.attempt_number,
            ended.outcome,
            ended.note,
            counts_against_job,
        )

    def _start_command(
        self,
        attempt: AttemptId,
        record: JobRecord,
        index: int,
        worker: WorkerRecord,
    ) -> WorkerCommand:
        resources = worker.allocation_by_attempt[attempt].resources
        return WorkerCommand(
            CommandKind.START,
            attempt,
            resources.cores_m,
            resources.memory_mb,
            resources.accelerators,
            record.spec.payload,
            record.tasks[index].note,
            record.traceparent,
        )

    def _enforcement_commands(
        self, report: WorkerReport, session: WorkerSession
    ) -> list[WorkerCommand]:
        """Stop preempted attempts and act on overuse, in escalating steps.

        Overuse is throttled first; it is checkpointed and then stopped only
        while the worker as a whole is overcommitted.
        """
        planner = self._projection.planner
        worker = planner.worker_pool.worker_by_id.get(report.worker)
        is_overcommitted = worker is not None and not Resources().fits_in(
            worker.free
        )
        worker_commands = []
        for running in report.running:
            parts = parse_attempt_id(running.attempt)
            if parts is None:
                continue
            key = task_key(parts.job, parts.task_index)
            task = planner.task_by_key.get(key)
            if task is None or task.worker != report.worker:
                continue
            used = Resources(running.cores_m, running.memory_mb)
            is_overusing = _exceeds_allocation(used, task.resources)
            if task.is_stopping or is_overusing:
                worker_commands.append(
                    _next_enforcement(
                        session,
                        running.attempt,
                        is_stopping=task.is_stopping,
                        is_worker_overcommitted=is_overcommitted,
                    )
                )
            else:
                session.escalation_by_attempt.pop(running.attempt, None)
        return worker_commands


def _exceeds_allocation(used: Resources, allocated: Resources) -> bool:
    return (
        used.cores_m > allocated.cores_m * OVERUSE_FACTOR
        or used.memory_mb > allocated.memory_mb * OVERUSE_FACTOR
    )


def _next_enforcement(
    session: WorkerSession,
    attempt: AttemptId,
    *,
    is_stopping: bool,
    is_worker_overcommitted: bool,
) -> WorkerCommand:
    escalation = session.escalation_by_attempt.get(attempt, 0) + 1
    if is_stopping:
        kind = (
            CommandKind.CHECKPOINT
            if escalation < CHECKPOINT_ESCALATION
            else CommandKind.STOP
        )
    elif escalation < CHECKPOINT_ESCALATION or not is_worker_overcommitted:
        # A worker that is not overcommitted can bear the excess for now.
        escalation = min(escalation, CHECKPOINT_ESCALATION)
        kind = CommandKind.THROTTLE
    elif escalation < STOP_ESCALATION:
        kind = CommandKind.CHECKPOINT
    else:
        kind = CommandKind.STOP
    session.escalation_by_attempt[attempt] = escalation
    return WorkerCommand(kind, attempt)
