"""The replicated state of a scheduler group.

It records the accepted jobs, the registered workers with their allocations,
the gateways, and the configuration and quotas adopted from the coordinator.
"""

import typing

import msgspec

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.crash_counting import (
    allocated_attempts,
    count_crash,
    must_give_up,
)
from cassiahold.cellstate.jobs import (
    Allocation,
    JobRecord,
    TaskRecord,
    WorkerRecord,
    attempt_id,
)
from cassiahold.cellstate.outcomes import CancelOutcome, SubmitOutcome
from cassiahold.cellstate.quotas import ZERO_TOTALS, QuotaOffer, ResourceTotals
from cassiahold.cellstate.scheduler_dispatch import apply_command
from cassiahold.cellstate.task_transitions import (
    state_after_end,
    state_after_loss,
    state_of_abandoned,
)
from cassiahold.cellstate.worker_crashes import LostAttempt
from cassiahold.config.document import Configuration
from cassiahold.core.crashes import CrashEvidence
from cassiahold.core.exceptions import ErrorKind, InvariantError
from cassiahold.core.ids import (
    DataCentre,
    GatewayId,
    JobId,
    QueueName,
    TeamName,
    WorkerId,
)
from cassiahold.core.states import FailureReason, TaskState


class GatewayRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest incarnation of a gateway and when it was registered."""

    incarnation: int
    registered_at: float


class _StoredState(msgspec.Struct, array_like=True):
    next_job_number: int = 1
    configuration_version: int = 0
    configuration: Configuration = Configuration()
    quota_offer: QuotaOffer = QuotaOffer(0, {})
    job_by_id: dict[JobId, JobRecord] = msgspec.field(default_factory=dict)
    job_id_by_request: dict[str, JobId] = msgspec.field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerRecord] = msgspec.field(
        default_factory=dict
    )
    usage_by_team: dict[TeamName, ResourceTotals] = msgspec.field(
        default_factory=dict
    )
    waiting_count_by_queue: dict[str, int] = msgspec.field(default_factory=dict)
    gateway_by_id: dict[GatewayId, GatewayRecord] = msgspec.field(
        default_factory=dict
    )


_encode = msgspec.msgpack.Encoder().encode
_decode_state = msgspec.msgpack.Decoder(_StoredState).decode


class SchedulerState:
    """State machine of one data centre's scheduler group.

    Commands are applied in log order; equal logs give equal states.  Each
    command also leaves effects, which the leader reads to update its planner.
    """

    def __init__(self, centre: DataCentre) -> None:
        self._centre = centre
        self._stored = _StoredState()
        self._effects: list[effects.Effect] = []

    # Read access; only commands may change what these return.

    @property
    def configuration_version(self) -> int:
        """Return the version of the adopted configuration."""
        return self._stored.configuration_version

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration that was adopted."""
        return self._stored.configuration

    @property
    def quota_offer(self) -> QuotaOffer:
        """Return the newest quota offer that was adopted."""
        return self._stored.quota_offer

    @property
    def job_by_id(self) -> dict[JobId, JobRecord]:
        """Return all jobs that have not been pruned."""
        return self._stored.job_by_id

    @property
    def worker_by_id(self) -> dict[WorkerId, WorkerRecord]:
        """Return all registered workers, lost ones included."""
        return self._stored.worker_by_id

    @property
    def gateway_by_id(self) -> dict[GatewayId, GatewayRecord]:
        """Return all gateways that have registered."""
        return self._stored.gateway_by_id

    def team_usage(self, team: TeamName) -> ResourceTotals:
        """Return what a team runs in this data centre."""
        return self._stored.usage_by_team.get(team, ZERO_TOTALS)

    def team_quota(self, team: TeamName) -> ResourceTotals:
        """Return what a team may run in this data centre."""
        return self._stored.quota_offer.quota_by_team.get(team, ZERO_TOTALS)

    def teams_over_quota(self) -> list[TeamName]:
        """Return the teams that run more than a lowered quota allows."""
        return [
            team
            for team, usage in self._stored.usage_by_team.items()
            if not usage.fits_in(self.team_quota(team))
        ]

    def pop_effects(self) -> list[effects.Effect]:
        """Return the effects since the last call, and clear them."""
        popped = self._effects
        self._effects = []
        return popped

    # Log.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one encoded command of the log and return its outcome."""
        return self.apply_command(commands.decode_command(payload))

    def apply_command(self, command: commands.SchedulerCommand) -> typing.Any:
        """Apply one decoded command and return its outcome."""
        return apply_command(command, self)

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return _encode(self._stored)

    def restore(self, state: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self._stored = _decode_state(state)
        self._effects = []

    # Commands.

    def submit(self, command: commands.SubmitJob) -> SubmitOutcome:
        """Accept a job, or return the one accepted for the request id.

        Refuses the job when its queue is unknown or full, or when the request
        id was used for a different job.
        """
        stored = self._stored
        request_key = f'{command.team}/{command.request_id}'
        existing_id = stored.job_id_by_request.get(request_key)
        if existing_id is not None:
            return _outcome_of_retry(stored.job_by_id[existing_id], command)
        spec = command.spec
        refusal = _refusal_by_queue(stored, spec.queue)
        if refusal is not None:
            return refusal
        job_id = JobId(f'{self._centre}.{stored.next_job_number}')
        stored.next_job_number += 1
        record = JobRecord(
            job_id,
            command.team,
            command.request_id,
            command.fingerprint,
            spec,
            command.submitted_at,
            [TaskRecord() for _ in range(spec.tasks)],
            command.traceparent,
            open_task_count=spec.tasks,
        )
        stored.job_by_id[job_id] = record
        stored.job_id_by_request[request_key] = job_id
        self._adjust_waiting_count(record, spec.tasks)
        self._effects.extend(
            effects.TaskQueued(job_id, index) for index in range(spec.tasks)
        )
        return SubmitOutcome(job_id)

    def start(self, command: commands.StartTasks) -> int:
        """Start each group that is still valid; return the number of tasks.

        A group is rejected whole when a start no longer agrees with the state,
        exceeds a worker's capacity, or exceeds the team's quota.
        """
        started_count = 0
        for group in command.groups:
            if self._start_group(group):
                started_count += len(group)
            else:
                self._effects.extend(
                    effects.AttemptRejected(
                        start.job,
                        start.index,
                        attempt_id(start.job, start.index, start.attempt),
                        start.worker,
                    )
                    for start in group
                )
        return started_count

    def end(self, command: commands.EndTasks) -> None:
        """Record the ends of current attempts; others are ignored."""
        for result in command.results:
            record = self._stored.job_by_id.get(result.job)
            if record is None or not _is_current_attempt(record, result):
                continue
            task = record.tasks[result.index]
            self._release_allocation(record, result.index)
            next_state = state_after_end(
                record, task, result, self._stored.configuration.placement
            )
            self._set_task_state(
                record,
                result.index,
                next_state,
                result.note,
                command.ended_at,
            )

        if command.leaving_worker is not None:
            self.drain_worker(
                commands.DrainWorker(
                    command.leaving_worker, is_draining=True, is_leaving=True
                )
            )

    def cancel(self, command: commands.CancelJobs) -> list[CancelOutcome]:
        """Cancel jobs.

        Waiting tasks end at once, running tasks when their workers report it.
        """
        return [self._cancel_job(job_id, command) for job_id in command.jobs]

    def expire(self, command: commands.ExpireTasks) -> None:
        """End the waiting tasks of jobs past their deadline."""
        for job_id in command.jobs:
            record = self._stored.job_by_id.get(job_id)
            deadline = record.deadline_at if record else None
            if (
                record
                and deadline is not None
                and deadline <= command.expired_at
            ):
                self._end_waiting_tasks(
                    record,
                    TaskState.NOT_RUN,
                    'deadline passed',
                    command.expired_at,
                )

    def register_worker(self, command: commands.RegisterWorker) -> None:
        """Add or update a worker; a new incarnation has lost its tasks.

        Returning in the same incarnation shows that it has not crashed.
        """
        existing = self._stored.worker_by_id.get(command.id)
        if existing is not None and command.incarnation < existing.incarnation:
            # A late report must not restore an incarnation that has ended.
            return
        if existing is not None and command.incarnation > existing.incarnation:
            self._end_incarnation(existing, command)
        updated = WorkerRecord(
            command.id,
            command.incarnation,
            command.capacity,
            command.worker_class,
            command.rack,
            command.speed,
            is_leaving=command.is_leaving,
        )
        if existing is not None:
            updated.is_draining = existing.is_draining
            updated.allocated_resources = existing.allocated_resources
            updated.allocation_by_attempt = existing.allocation_by_attempt
        self._stored.worker_by_id[command.id] = updated
        self._effects.append(effects.WorkerChanged(command.id))

    def mark_workers_lost(self, command: commands.MarkWorkersLost) -> None:
        """Mark workers as lost and end their attempts.

        Their leases have expired, so the attempts no longer run there.
        """
        for worker_id in command.workers:
            worker = self._stored.worker_by_id.get(worker_id)
            if worker is None:
                continue
            worker.unexplained_losses += allocated_attempts(
                worker, self._stored.job_by_id, command.evidence_by_attempt
            )
            self._lose_attempts(worker, command.lost_at)
            worker.is_lost = True
            if command.should_deregister:
                self._stored.worker_by_id.pop(worker_id)
            self._effects.append(effects.WorkerChanged(worker_id))

    def drain_worker(self, command: commands.DrainWorker) -> bool:
        """Start or end the drain of a worker; return whether it exists."""
        worker = self._stored.worker_by_id.get(command.worker)
        if worker is None:
            return False
        if command.is_leaving is None:
            worker.is_draining = command.is_draining
        else:
            worker.is_leaving = command.is_leaving
        self._effects.append(effects.WorkerChanged(worker.id))
        return True

    def register_gateway(self, command: commands.RegisterGateway) -> None:
        """Record the start of a gateway; older incarnations are ignored."""
        existing = self._stored.gateway_by_id.get(command.id)
        if existing is None or command.incarnation > existing.incarnation:
            self._stored.gateway_by_id[command.id] = GatewayRecord(
                command.incarnation, command.registered_at
            )

    def adopt_configuration(self, command: commands.AdoptConfiguration) -> None:
        """Adopt a newer configuration; older versions are ignored."""
        if command.version > self._stored.configuration_version:
            self._stored.configuration_version = command.version
            self._stored.configuration = command.configuration
            self._effects.append(effects.ConfigurationChanged())

    def adopt_quota_offer(self, command: commands.AdoptQuotaOffer) -> None:
        """Adopt a newer quota offer; older epochs are ignored."""
        if command.offer.epoch > self._stored.quota_offer.epoch:
            self._stored.quota_offer = command.offer
            self._effects.append(effects.ConfigurationChanged())

    def prune(self, command: commands.PruneJobs) -> int:
        """Remove jobs that finished long ago; return how many."""
        old_records = [
            record
            for record in self._stored.job_by_id.values()
            if record.is_finished
            and record.finished_at < command.finished_before
        ]
        for record in old_records:
            self._stored.job_by_id.pop(record.id)
            self._stored.job_id_by_request.pop(
                f'{record.team}/{record.request_id}'
            )
        return len(old_records)

    # Helpers.

    def _adjust_waiting_count(self, record: JobRecord, change: int) -> None:
        count_by_queue = self._stored.waiting_count_by_queue
        queue = record.spec.queue
        count_by_queue[queue] = count_by_queue.get(queue, 0) + change

    def _start_group(self, group: list[commands.AttemptStart]) -> bool:
        if not self._may_start_group(group):
            return False
        for start in group:
            self._start_attempt(start)
        return True

    def _may_start_group(self, group: list[commands.AttemptStart]) -> bool:
        needed_by_worker: dict[WorkerId, typing.Any] = {}
        needed_by_team: dict[TeamName, ResourceTotals] = {}
        for start in group:
            record = self._stored.job_by_id.get(start.job)
            worker = self._stored.worker_by_id.get(start.worker)
            if record is None or worker is None:
                return False
            task = record.tasks[start.index]
            if not _may_start(record, task, worker, start):
                return False
            needed = needed_by_worker.get(
                start.worker, worker.allocated_resources
            )
            needed_by_worker[start.worker] = needed + start.resources
            if not needed_by_worker[start.worker].fits_in(worker.capacity):
                return False
            usage = needed_by_team.get(
                record.team, self.team_usage(record.team)
            )
            usage += ResourceTotals(start.resources, 1)
            needed_by_team[record.team] = usage
            if not usage.fits_in(self.team_quota(record.team)):
                return False
        return True

    def _start_attempt(self, start: commands.AttemptStart) -> None:
        record = self._stored.job_by_id[start.job]
        worker = self._stored.worker_by_id[start.worker]
        task = record.tasks[start.index]
        attempt = attempt_id(start.job, start.index, start.attempt)
        if task.worker is not None:
            raise InvariantError(
                2,
                f'attempt {attempt} would start while the task has an '
                f'allocation on worker {task.worker}',
            )
        if task.may_have_run and not record.spec.idempotent:
            raise InvariantError(
                7,
                f'attempt {attempt} would run a task a second time that is '
                f'not idempotent',
            )
        task.state = TaskState.RUNNING
        task.attempt = start.attempt
        task.worker = start.worker
        worker.allocated_resources += start.resources
        worker.allocation_by_attempt[attempt] = Allocation(
            start.job, start.index, start.resources
        )
        usage = self.team_usage(record.team) + ResourceTotals(
            start.resources, 1
        )
        self._stored.usage_by_team[record.team] = usage
        self._adjust_waiting_count(record, -1)
        if not worker.allocated_resources.fits_in(worker.capacity):
            raise InvariantError(
                1,
                f'worker {worker.id} has {worker.allocated_resources} '
                f'allocated, more than its capacity',
            )
        if not usage.fits_in(self.team_quota(record.team)):
            raise InvariantError(
                4,
                f'team {record.team!r} runs {usage}, more than its quota',
            )
        self._effects.append(
            effects.AttemptStarted(
                start.job, start.index, attempt, worker.id, start.resources
            )
        )

    def _release_allocation(self, record: JobRecord, index: int) -> None:
        task = record.tasks[index]
        if task.worker is None:
            raise InvariantError(
                2, f'task {record.id}/{index} has no allocation to release'
            )
        worker = self._stored.worker_by_id[task.worker]
        attempt = attempt_id(record.id, index, task.attempt)
        allocation = worker.allocation_by_attempt.pop(attempt)
        worker.allocated_resources -= allocation.resources
        usage = self.team_usage(record.team)
        self._stored.usage_by_team[record.team] = usage - ResourceTotals(
            allocation.resources, 1
        )
        task.worker = None
        self._effects.append(
            effects.AttemptEnded(record.id, index, attempt, worker.id)
        )

    def _set_task_state(
        self,
        record: JobRecord,
        index: int,
        state: TaskState,
        note: str,
        changed_at: float,
    ) -> None:
        task = record.tasks[index]
        if state is TaskState.FAILED and record.failure_reason is None:
            record.failure_reason = FailureReason.ATTEMPTS
        if state is TaskState.NOT_RUN and task.may_have_run:
            raise InvariantError(
                6,
                f'task {record.id}/{index} may have run and cannot be '
                f'recorded as not run',
            )
        was_waiting = task.state is TaskState.WAITING
        task.state = state
        task.note = note
        if state is TaskState.WAITING:
            self._adjust_waiting_count(record, 1)
            self._effects.append(effects.TaskQueued(record.id, index))
        elif was_waiting:
            self._adjust_waiting_count(record, -1)
            self._effects.append(effects.TaskDequeued(record.id, index))
        if state.is_final:
            record.open_task_count -= 1
            if record.is_finished:
                record.finished_at = changed_at
        record.is_restarting = _must_restart(record, state)

    def _cancel_job(
        self, job_id: JobId, command: commands.CancelJobs
    ) -> CancelOutcome:
        record = self._stored.job_by_id.get(job_id)
        if record is None or command.team not in {None, record.team}:
            return CancelOutcome(job_id, found=False)
        if record.is_finished:
            return CancelOutcome(job_id, found=True, was_finished=True)
        record.is_cancelled = True
        self._end_waiting_tasks(
            record, TaskState.CANCELLED, 'cancelled', command.cancelled_at
        )
        return CancelOutcome(job_id, found=True)

    def _end_waiting_tasks(
        self, record: JobRecord, state: TaskState, note: str, ended_at: float
    ) -> None:
        for index, task in enumerate(record.tasks):
            if task.state is not TaskState.WAITING:
                continue
            final_state = state
            if state is TaskState.NOT_RUN and task.may_have_run:
                final_state = TaskState.MAY_HAVE_RUN
            self._set_task_state(record, index, final_state, note, ended_at)

    def _lose_attempts(self, worker: WorkerRecord, lost_at: float) -> None:
        for allocation in list(worker.allocation_by_attempt.values()):
            record = self._stored.job_by_id[allocation.job]
            task = record.tasks[allocation.index]
            self._release_allocation(record, allocation.index)
            task.may_have_run = True
            self._set_task_state(
                record,
                allocation.index,
                state_after_loss(record, task),
                f'worker {worker.id} was lost',
                lost_at,
            )

    def _end_incarnation(
        self, worker: WorkerRecord, command: commands.RegisterWorker
    ) -> None:
        """End the attempts of a worker that has restarted; count its crash."""
        lost_attempts = worker.unexplained_losses + allocated_attempts(
            worker, self._stored.job_by_id, command.evidence_by_attempt
        )
        self._lose_attempts(worker, command.registered_at)
        if worker.is_departing or not lost_attempts:
            return
        for lost in lost_attempts:
            record = self._stored.job_by_id.get(lost.job)
            if record is not None:
                count_crash(record, lost, worker, command.registered_at)
                self._effects.append(effects.TaskCharged(lost.job, lost.index))
        self._effects.append(_crash_effect(worker, lost_attempts))
        for job_id in dict.fromkeys(lost.job for lost in lost_attempts):
            record = self._stored.job_by_id.get(job_id)
            if record is not None and must_give_up(record):
                self._give_up(record, command.registered_at)

    def _give_up(self, record: JobRecord, given_up_at: float) -> None:
        """End the waiting tasks of a job that crashes workers.

        Running tasks end when their workers report it.
        """
        record.failure_reason = FailureReason.CRASHES
        record.is_restarting = False
        for index, task in enumerate(record.tasks):
            if task.state is TaskState.WAITING:
                self._set_task_state(
                    record,
                    index,
                    state_of_abandoned(task),
                    'the job crashes workers and was given up',
                    given_up_at,
                )
        self._effects.append(effects.JobGivenUp(record.id))


def _refusal_by_queue(
    stored: _StoredState, queue_name: str
) -> SubmitOutcome | None:
    queue = stored.configuration.queue_by_name.get(QueueName(queue_name))
    if queue is None:
        return SubmitOutcome(
            JobId(''),
            error=ErrorKind.NOT_FOUND,
            detail=f'queue {queue_name!r} does not exist',
        )
    waiting = stored.waiting_count_by_queue.get(queue_name, 0)
    if waiting < queue.max_waiting_tasks:
        return None
    return SubmitOutcome(
        JobId(''),
        error=ErrorKind.OVERLOADED,
        detail=f'queue {queue_name!r} holds {waiting} waiting tasks',
    )


def _outcome_of_retry(
    record: JobRecord, command: commands.SubmitJob
) -> SubmitOutcome:
    if record.fingerprint == command.fingerprint:
        return SubmitOutcome(record.id, is_first=False)
    return SubmitOutcome(
        record.id,
        is_first=False,
        error=ErrorKind.REQUEST_ID_REUSED,
        detail=f'request id {command.request_id!r} was already used for a '
        f'different job, {record.id}',
    )


def _is_current_attempt(
    record: JobRecord, result: commands.AttemptResult
) -> bool:
    if not 0 <= result.index < len(record.tasks):
        return False
    task = record.tasks[result.index]
    return task.state is TaskState.RUNNING and task.attempt == result.attempt


def _may_start(
    record: JobRecord,
    task: TaskRecord,
    worker: WorkerRecord,
    start: commands.AttemptStart,
) -> bool:
    return (
        task.state is TaskState.WAITING
        and start.attempt == task.attempt + 1
        and not record.is_restarting
        and not record.is_stopping
        and not worker.is_departing
        and not worker.is_lost
    )


def _crash_effect(
    worker: WorkerRecord, lost_attempts: list[LostAttempt]
) -> effects.WorkerCrashed:
    return effects.WorkerCrashed(
        worker.id,
        worker.incarnation,
        len(lost_attempts),
        sum(
            lost.evidence.evidence >= CrashEvidence.RECENT
            for lost in lost_attempts
        ),
    )


def _must_restart(record: JobRecord, state: TaskState) -> bool:
    # A gang runs whole or not at all, so one waiting task stops the others.
    if record.spec.kind.value != 'gang' or record.is_stopping:
        return False
    if not record.is_restarting and state is not TaskState.WAITING:
        return False
    return any(task.state is TaskState.RUNNING for task in record.tasks)
