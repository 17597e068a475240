"""What a worker's report means and what the worker must do next."""

import typing

import msgspec

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord, WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core import logs
from cassiahold.core.ids import AttemptId, JobId
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome, CommandKind, TaskState
from cassiahold.policy.decisions import task_key
from cassiahold.policy.failure_tracking import HEALTHY_START_S
from cassiahold.scheduler.mirror import Mirror
from cassiahold.scheduler.sessions import WorkerSession
from cassiahold.wire.messages import (
    EndedAttempt,
    WorkerCommand,
    WorkerReport,
)

SURVIVED_S: typing.Final = 20.0
OVERUSE_FACTOR: typing.Final = 1.2
STRIKES_TO_CHECKPOINT: typing.Final = 3
STRIKES_TO_STOP: typing.Final = 6


class AttemptName(msgspec.Struct, frozen=True):
    """An attempt id taken apart."""

    job: JobId
    index: int
    attempt: int


def parse_attempt(attempt: AttemptId) -> AttemptName | None:
    """Return the parts of an attempt id, None when it is malformed."""
    job, _, rest = attempt.partition('/')
    index, _, number = rest.partition('/')
    if not (job and index.isdigit() and number.isdigit()):
        return None
    return AttemptName(JobId(job), int(index), int(number))


class ReportReader:
    """Turns reports into ends, estimates and commands."""

    def __init__(self, state: SchedulerState, mirror: Mirror) -> None:
        self._state = state
        self._mirror = mirror

    def ends_in(
        self, report: WorkerReport, now: float
    ) -> list[commands.AttemptResult]:
        """Return the ends that the state does not know yet."""
        ends = []
        for ended in report.ended:
            name = parse_attempt(ended.attempt)
            record = self._current(name, report) if name else None
            if name is not None and record is not None:
                ends.append(self._judge(name, record, ended, report, now))
        return ends

    def learn_usage(self, report: WorkerReport, now: float) -> None:
        """Count what running attempts use."""
        planner = self._mirror.planner
        worker = planner.worker_pool.worker_by_id.get(report.worker)
        if worker is None:
            return
        has_changed = False
        for running in report.running:
            name = parse_attempt(running.attempt)
            if name is None:
                continue
            task = planner.task_by_key.get(task_key(name.job, name.index))
            if task is None or task.worker != report.worker:
                continue
            used = Resources(running.cores_m, running.memory_mb)
            task.peak_usage = task.peak_usage.elementwise_max(used)
            planner.estimator.record_usage(task.team, task.name, used)
            if not used.fits_in(task.resources) or worker.overuse_by_key:
                worker.record_usage(task.key, used)
                has_changed = True
            if now - task.started_at >= HEALTHY_START_S:
                planner.failure_tracker.record_healthy_start(
                    task.team, task.name
                )
            if now - task.started_at >= SURVIVED_S:
                has_changed |= planner.failure_tracker.record_long_run(
                    report.worker
                )
        if has_changed:
            self._mirror.set_standing(report.worker)

    def commands_for(
        self,
        report: WorkerReport,
        worker: WorkerRecord,
        session: WorkerSession,
    ) -> list[WorkerCommand]:
        """Return what the worker must do with its attempts."""
        reported = {running.attempt for running in report.running}
        ended = {attempt.attempt for attempt in report.ended}
        orders = [
            WorkerCommand(CommandKind.STOP, attempt)
            for attempt in reported
            if attempt not in worker.allocation_by_attempt
        ]
        for attempt, reservation in worker.allocation_by_attempt.items():
            if attempt in ended:
                continue
            record = self._state.job_by_id[reservation.job]
            if attempt not in reported:
                orders.append(
                    self._start(attempt, record, reservation.index, worker)
                )
            elif record.is_cancelled or record.is_restarting:
                orders.append(WorkerCommand(CommandKind.STOP, attempt))
        orders.extend(self._make_room(report, session))
        return orders

    def _current(
        self, name: AttemptName, report: WorkerReport
    ) -> JobRecord | None:
        record = self._state.job_by_id.get(name.job)
        if record is None or not 0 <= name.index < len(record.tasks):
            return None
        task = record.tasks[name.index]
        is_current = (
            task.state is TaskState.RUNNING
            and task.attempt == name.attempt
            and task.worker == report.worker
        )
        return record if is_current else None

    def _judge(
        self,
        name: AttemptName,
        record: JobRecord,
        ended: EndedAttempt,
        report: WorkerReport,
        now: float,
    ) -> commands.AttemptResult:
        planner = self._mirror.planner
        blames_job = True
        job_name = record.spec.name
        if ended.outcome is AttemptOutcome.DONE:
            task = planner.task_by_key.get(task_key(name.job, name.index))
            if task is not None:
                planner.learn_from_finished_task(
                    task, task.peak_usage, ended.ran_s
                )
            if planner.failure_tracker.record_success(
                report.worker, record.team, job_name
            ):
                self._mirror.set_standing(report.worker)
        elif ended.outcome is AttemptOutcome.FAILED:
            judgement = planner.failure_tracker.record_failure(
                report.worker, record.team, job_name, now
            )
            blames_job = judgement.counts_against_job
            self._mirror.back_off(name.job, name.index, judgement.backoff_s)
            self._mirror.set_standing(report.worker)
            if judgement.is_worker_quarantined:
                logs.warning('worker_quarantined', worker=report.worker)
        return commands.AttemptResult(
            name.job,
            name.index,
            name.attempt,
            ended.outcome,
            ended.note,
            blames_job,
        )

    def _start(
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

    def _make_room(
        self, report: WorkerReport, session: WorkerSession
    ) -> list[WorkerCommand]:
        """Order stops for others, and answer over-use step by step."""
        planner = self._mirror.planner
        worker = planner.worker_pool.worker_by_id.get(report.worker)
        is_over = worker is not None and not Resources().fits_in(worker.free)
        orders = []
        for running in report.running:
            name = parse_attempt(running.attempt)
            if name is None:
                continue
            key = task_key(name.job, name.index)
            task = planner.task_by_key.get(key)
            if task is None or task.worker != report.worker:
                continue
            used = Resources(running.cores_m, running.memory_mb)
            overuses = _exceeds(used, task.resources)
            if task.is_stopping or overuses:
                orders.append(
                    _next_step(
                        session,
                        running.attempt,
                        is_stopping=task.is_stopping,
                        is_over=is_over,
                    )
                )
            else:
                session.strikes_by_attempt.pop(running.attempt, None)
        return orders


def _exceeds(used: Resources, held: Resources) -> bool:
    return (
        used.cores_m > held.cores_m * OVERUSE_FACTOR
        or used.memory_mb > held.memory_mb * OVERUSE_FACTOR
    )


def _next_step(
    session: WorkerSession,
    attempt: AttemptId,
    *,
    is_stopping: bool,
    is_over: bool,
) -> WorkerCommand:
    strikes = session.strikes_by_attempt.get(attempt, 0) + 1
    if is_stopping:
        kind = (
            CommandKind.CHECKPOINT
            if strikes < STRIKES_TO_CHECKPOINT
            else CommandKind.STOP
        )
    elif strikes < STRIKES_TO_CHECKPOINT or not is_over:
        # A worker that is not full can carry the excess for now.
        strikes = min(strikes, STRIKES_TO_CHECKPOINT)
        kind = CommandKind.THROTTLE
    elif strikes < STRIKES_TO_STOP:
        kind = CommandKind.CHECKPOINT
    else:
        kind = CommandKind.STOP
    session.strikes_by_attempt[attempt] = strikes
    return WorkerCommand(kind, attempt)
