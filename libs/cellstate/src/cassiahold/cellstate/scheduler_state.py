"""A scheduler group's state: accepted work, leases on workers, limits."""

import typing

import msgspec

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import (
    JobRecord,
    Reservation,
    TaskRecord,
    WorkerRecord,
    attempt_id,
)
from cassiahold.cellstate.outcomes import CancelOutcome, SubmitOutcome
from cassiahold.cellstate.quotas import ZERO_TOTALS, QuotaOffer, ResourceTotals
from cassiahold.cellstate.scheduling_dispatch import apply_command
from cassiahold.cellstate.verdicts import verdict_on_end, verdict_on_loss
from cassiahold.config.document import Configuration
from cassiahold.core.exceptions import ErrorKind, InvariantError
from cassiahold.core.ids import (
    DataCentre,
    GatewayId,
    JobId,
    QueueName,
    TeamName,
    WorkerId,
)
from cassiahold.core.states import TaskState


class GatewayRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest incarnation of a gateway and when it was recorded."""

    incarnation: int
    registered_at: float


class _Kept(msgspec.Struct, array_like=True):
    next_job: int = 1
    version: int = 0
    configuration: Configuration = Configuration()
    offer: QuotaOffer = QuotaOffer(0, {})
    job_by_id: dict[JobId, JobRecord] = msgspec.field(default_factory=dict)
    job_by_request: dict[str, JobId] = msgspec.field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerRecord] = msgspec.field(
        default_factory=dict
    )
    usage_by_team: dict[TeamName, ResourceTotals] = msgspec.field(
        default_factory=dict
    )
    waiting_by_queue: dict[str, int] = msgspec.field(default_factory=dict)
    gateway_by_id: dict[GatewayId, GatewayRecord] = msgspec.field(
        default_factory=dict
    )


_encode = msgspec.msgpack.Encoder().encode
_decode_kept = msgspec.msgpack.Decoder(_Kept).decode


class SchedulerState:
    """Applies commands in log order; equal logs give equal states."""

    def __init__(self, centre: DataCentre) -> None:
        self._centre = centre
        self._kept = _Kept()
        self._effects: list[effects.Effect] = []

    # Views; only commands may change what they return.

    @property
    def configuration_version(self) -> int:
        """Return the adopted version of the configuration."""
        return self._kept.version

    @property
    def configuration(self) -> Configuration:
        """Return the adopted configuration."""
        return self._kept.configuration

    @property
    def quota_offer(self) -> QuotaOffer:
        """Return the adopted allotment."""
        return self._kept.offer

    @property
    def job_by_id(self) -> dict[JobId, JobRecord]:
        """Return the jobs that are remembered."""
        return self._kept.job_by_id

    @property
    def worker_by_id(self) -> dict[WorkerId, WorkerRecord]:
        """Return the workers that are known."""
        return self._kept.worker_by_id

    @property
    def gateway_by_id(self) -> dict[GatewayId, GatewayRecord]:
        """Return the gateways that have started."""
        return self._kept.gateway_by_id

    def team_usage(self, team: TeamName) -> ResourceTotals:
        """Return what a team runs here."""
        return self._kept.usage_by_team.get(team, ZERO_TOTALS)

    def team_quota(self, team: TeamName) -> ResourceTotals:
        """Return what a team may run here."""
        return self._kept.offer.quota_by_team.get(team, ZERO_TOTALS)

    def teams_over_quota(self) -> list[TeamName]:
        """Return the teams whose lowered limit is not yet kept."""
        return [
            team
            for team, usage in self._kept.usage_by_team.items()
            if not usage.fits_in(self.team_quota(team))
        ]

    def pop_effects(self) -> list[effects.Effect]:
        """Return and forget what has changed since the last call."""
        drained = self._effects
        self._effects = []
        return drained

    # Log.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one command of the log."""
        return self.apply_command(commands.decode_command(payload))

    def apply_command(self, command: commands.SchedulerCommand) -> typing.Any:
        """Apply one decoded command."""
        return apply_command(command, self)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encode(self._kept)

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        self._kept = _decode_kept(state)
        self._effects = []

    # Commands.

    def submit(self, command: commands.SubmitJob) -> SubmitOutcome:
        """Accept a job once for its request id."""
        kept = self._kept
        request = f'{command.team}/{command.request}'
        known = kept.job_by_request.get(request)
        if known is not None:
            return _found_again(kept.job_by_id[known], command)
        spec = command.spec
        refusal = self._refuse_if_full(spec.queue)
        if refusal is not None:
            return refusal
        job_id = JobId(f'{self._centre}.{kept.next_job}')
        kept.next_job += 1
        record = JobRecord(
            job_id,
            command.team,
            command.request,
            command.fingerprint,
            spec,
            command.at,
            [TaskRecord() for _ in range(spec.tasks)],
            command.traceparent,
            open_tasks=spec.tasks,
        )
        kept.job_by_id[job_id] = record
        kept.job_by_request[request] = job_id
        self._count_waiting(record, spec.tasks)
        self._effects.extend(
            effects.TaskQueued(job_id, index) for index in range(spec.tasks)
        )
        return SubmitOutcome(job_id)

    def start(self, command: commands.StartTasks) -> int:
        """Start each group that is still right; return how many tasks."""
        started = 0
        for group in command.groups:
            if self._start_group(group):
                started += len(group)
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
        return started

    def end(self, command: commands.EndTasks) -> None:
        """Record ends of attempts that still hold their worker."""
        for ended in command.ends:
            record = self._kept.job_by_id.get(ended.job)
            if record is None or not _is_current(record, ended):
                continue
            task = record.tasks[ended.index]
            self._release(record, ended.index)
            verdict = verdict_on_end(
                record, task, ended, self._kept.configuration.placement
            )
            self._settle(record, ended.index, verdict, ended.note, command.at)

    def cancel(self, command: commands.CancelJobs) -> list[CancelOutcome]:
        """Cancel jobs; running tasks follow once their worker confirms."""
        return [self._cancel_job(job_id, command) for job_id in command.jobs]

    def expire(self, command: commands.ExpireTasks) -> None:
        """Give up waiting tasks of jobs past their deadline."""
        for job_id in command.jobs:
            record = self._kept.job_by_id.get(job_id)
            deadline = record.deadline_at if record else None
            if record and deadline is not None and deadline <= command.at:
                self._give_up_waiting(
                    record, TaskState.NOT_RUN, 'deadline passed', command.at
                )

    def put_worker(self, command: commands.RegisterWorker) -> None:
        """Add a worker; a new incarnation has lost its tasks."""
        known = self._kept.worker_by_id.get(command.id)
        if known is not None and command.incarnation < known.incarnation:
            # A late report must not bring an ended incarnation back.
            return
        if known is not None and command.incarnation > known.incarnation:
            self._lose_attempts(known, command.at)
        fresh = WorkerRecord(
            command.id,
            command.incarnation,
            command.capacity,
            command.worker_class,
            command.rack,
            command.speed,
        )
        if known is not None:
            fresh.is_draining = known.is_draining
            fresh.allocated_resources = known.allocated_resources
            fresh.allocation_by_attempt = known.allocation_by_attempt
        self._kept.worker_by_id[command.id] = fresh
        self._effects.append(effects.WorkerChanged(command.id))

    def lose_workers(self, command: commands.MarkWorkersLost) -> None:
        """Take back the tasks of workers whose lease has surely lapsed."""
        for worker_id in command.workers:
            worker = self._kept.worker_by_id.get(worker_id)
            if worker is None:
                continue
            self._lose_attempts(worker, command.at)
            worker.is_lost = True
            if command.should_deregister:
                self._kept.worker_by_id.pop(worker_id)
            self._effects.append(effects.WorkerChanged(worker_id))

    def drain_worker(self, command: commands.DrainWorker) -> bool:
        """Stop or resume placing on a worker; False when unknown."""
        worker = self._kept.worker_by_id.get(command.worker)
        if worker is None:
            return False
        worker.is_draining = command.is_draining
        self._effects.append(effects.WorkerChanged(worker.id))
        return True

    def put_gateway(self, command: commands.RegisterGateway) -> None:
        """Record a gateway's start; an older one changes nothing."""
        known = self._kept.gateway_by_id.get(command.id)
        if known is None or command.incarnation > known.incarnation:
            self._kept.gateway_by_id[command.id] = GatewayRecord(
                command.incarnation, command.at
            )

    def adopt_configuration(self, command: commands.AdoptConfiguration) -> None:
        """Take newer configuration; an older one changes nothing."""
        if command.version > self._kept.version:
            self._kept.version = command.version
            self._kept.configuration = command.configuration
            self._effects.append(effects.ConfigurationChanged())

    def adopt_offer(self, command: commands.AdoptQuotaOffer) -> None:
        """Take a newer allotment; an older one changes nothing."""
        if command.offer.epoch > self._kept.offer.epoch:
            self._kept.offer = command.offer
            self._effects.append(effects.ConfigurationChanged())

    def prune(self, command: commands.PruneJobs) -> int:
        """Forget jobs that finished long ago; return how many."""
        old = [
            record
            for record in self._kept.job_by_id.values()
            if record.is_finished
            and record.finished_at < command.finished_before
        ]
        for record in old:
            self._kept.job_by_id.pop(record.id)
            self._kept.job_by_request.pop(f'{record.team}/{record.request_id}')
        return len(old)

    # Helpers.

    def _refuse_if_full(self, queue_name: str) -> SubmitOutcome | None:
        queue = self._kept.configuration.queue_by_name.get(
            QueueName(queue_name)
        )
        if queue is None:
            return SubmitOutcome(
                JobId(''),
                error=ErrorKind.NOT_FOUND,
                detail=f'queue {queue_name!r} does not exist',
            )
        waiting = self._kept.waiting_by_queue.get(queue_name, 0)
        if waiting < queue.max_waiting_tasks:
            return None
        return SubmitOutcome(
            JobId(''),
            error=ErrorKind.OVERLOADED,
            detail=f'queue {queue_name!r} holds {waiting} waiting tasks',
        )

    def _count_waiting(self, record: JobRecord, change: int) -> None:
        waiting = self._kept.waiting_by_queue
        queue = record.spec.queue
        waiting[queue] = waiting.get(queue, 0) + change

    def _start_group(self, group: list[commands.AttemptStart]) -> bool:
        if not self._group_is_right(group):
            return False
        for start in group:
            self._start_one(start)
        return True

    def _group_is_right(self, group: list[commands.AttemptStart]) -> bool:
        needed_by_worker: dict[WorkerId, typing.Any] = {}
        needed_by_team: dict[TeamName, ResourceTotals] = {}
        for start in group:
            record = self._kept.job_by_id.get(start.job)
            worker = self._kept.worker_by_id.get(start.worker)
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

    def _start_one(self, start: commands.AttemptStart) -> None:
        record = self._kept.job_by_id[start.job]
        worker = self._kept.worker_by_id[start.worker]
        task = record.tasks[start.index]
        attempt = attempt_id(start.job, start.index, start.attempt)
        if task.worker is not None:
            raise InvariantError(2, f'{attempt} while on {task.worker}')
        if task.has_run and not record.spec.idempotent:
            raise InvariantError(7, f'{attempt} would run a second time')
        task.state = TaskState.RUNNING
        task.attempt = start.attempt
        task.worker = start.worker
        worker.allocated_resources += start.resources
        worker.allocation_by_attempt[attempt] = Reservation(
            start.job, start.index, start.resources
        )
        usage = self.team_usage(record.team) + ResourceTotals(
            start.resources, 1
        )
        self._kept.usage_by_team[record.team] = usage
        self._count_waiting(record, -1)
        if not worker.allocated_resources.fits_in(worker.capacity):
            raise InvariantError(
                1, f'{worker.id} holds {worker.allocated_resources}'
            )
        if not usage.fits_in(self.team_quota(record.team)):
            raise InvariantError(4, f'team {record.team!r} runs {usage}')
        self._effects.append(
            effects.AttemptStarted(
                start.job, start.index, attempt, worker.id, start.resources
            )
        )

    def _release(self, record: JobRecord, index: int) -> None:
        task = record.tasks[index]
        if task.worker is None:
            raise InvariantError(2, f'{record.id}/{index} holds no worker')
        worker = self._kept.worker_by_id[task.worker]
        attempt = attempt_id(record.id, index, task.attempt)
        reservation = worker.allocation_by_attempt.pop(attempt)
        worker.allocated_resources -= reservation.resources
        usage = self.team_usage(record.team)
        self._kept.usage_by_team[record.team] = usage - ResourceTotals(
            reservation.resources, 1
        )
        task.worker = None
        self._effects.append(
            effects.AttemptEnded(record.id, index, attempt, worker.id)
        )

    def _settle(
        self,
        record: JobRecord,
        index: int,
        state: TaskState,
        note: str,
        at: float,
    ) -> None:
        task = record.tasks[index]
        if state is TaskState.NOT_RUN and task.has_run:
            raise InvariantError(6, f'{record.id}/{index} has run')
        was_waiting = task.state is TaskState.WAITING
        task.state = state
        task.note = note
        if state is TaskState.WAITING:
            self._count_waiting(record, 1)
            self._effects.append(effects.TaskQueued(record.id, index))
        elif was_waiting:
            self._count_waiting(record, -1)
            self._effects.append(effects.TaskDequeued(record.id, index))
        if state.is_final:
            record.open_tasks -= 1
            if record.is_finished:
                record.finished_at = at
        record.is_restarting = _must_restart(record, state)

    def _cancel_job(
        self, job_id: JobId, command: commands.CancelJobs
    ) -> CancelOutcome:
        record = self._kept.job_by_id.get(job_id)
        if record is None or command.team not in {None, record.team}:
            return CancelOutcome(job_id, found=False)
        if record.is_finished:
            return CancelOutcome(job_id, found=True, was_finished=True)
        record.is_cancelled = True
        self._give_up_waiting(
            record, TaskState.CANCELLED, 'cancelled', command.at
        )
        return CancelOutcome(job_id, found=True)

    def _give_up_waiting(
        self, record: JobRecord, state: TaskState, note: str, at: float
    ) -> None:
        for index, task in enumerate(record.tasks):
            if task.state is not TaskState.WAITING:
                continue
            truthful = state
            if state is TaskState.NOT_RUN and task.has_run:
                truthful = TaskState.MAY_HAVE_RUN
            self._settle(record, index, truthful, note, at)

    def _lose_attempts(self, worker: WorkerRecord, at: float) -> None:
        for reservation in list(worker.allocation_by_attempt.values()):
            record = self._kept.job_by_id[reservation.job]
            task = record.tasks[reservation.index]
            self._release(record, reservation.index)
            task.has_run = True
            self._settle(
                record,
                reservation.index,
                verdict_on_loss(record),
                f'worker {worker.id} was lost',
                at,
            )


def _found_again(
    record: JobRecord, command: commands.SubmitJob
) -> SubmitOutcome:
    if record.fingerprint == command.fingerprint:
        return SubmitOutcome(record.id, is_first=False)
    return SubmitOutcome(
        record.id,
        is_first=False,
        error=ErrorKind.REQUEST_ID_REUSED,
        detail=f'request id {command.request!r} names other work, '
        f'job {record.id}',
    )


def _is_current(record: JobRecord, ended: commands.AttemptResult) -> bool:
    if not 0 <= ended.index < len(record.tasks):
        return False
    task = record.tasks[ended.index]
    return task.state is TaskState.RUNNING and task.attempt == ended.attempt


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
        and not record.is_cancelled
        and not worker.is_draining
        and not worker.is_lost
    )


def _must_restart(record: JobRecord, state: TaskState) -> bool:
    # A gang runs together or not at all, so one waiting task stops the rest.
    if record.spec.kind.value != 'gang' or record.is_cancelled:
        return False
    if not record.is_restarting and state is not TaskState.WAITING:
        return False
    return any(task.state is TaskState.RUNNING for task in record.tasks)
