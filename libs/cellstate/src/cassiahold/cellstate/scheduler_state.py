"""The replicated state of a scheduler group.

It records the accepted jobs, the registered workers with their allocations,
the gateways, and the configuration and quotas adopted from the coordinator.
"""

import typing

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.crash_counting import (
    allocated_attempts,
)
from cassiahold.cellstate.incarnations import IncarnationLedger
from cassiahold.cellstate.jobs import (
    JobRecord,
    TaskRecord,
    WorkerRecord,
    attempt_id,
)
from cassiahold.cellstate.late_results import (
    count_late_result,
    is_uncounted,
)
from cassiahold.cellstate.outcomes import CancelOutcome, SubmitOutcome
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.cellstate.scheduler_dispatch import apply_command
from cassiahold.cellstate.stored_state import (
    GatewayRecord,
    StoredState,
    decode_state,
    encode_state,
)
from cassiahold.cellstate.task_ledger import TaskLedger
from cassiahold.cellstate.task_transitions import (
    state_after_end,
)
from cassiahold.config.document import Configuration
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import (
    DataCentre,
    GatewayId,
    JobId,
    QueueName,
    TeamName,
    WorkerId,
)
from cassiahold.core.states import TaskState


class SchedulerState:
    """State machine of one data centre's scheduler group.

    Commands are applied in log order; equal logs give equal states.  Each
    command also leaves effects, which the leader reads to update its planner.
    """

    def __init__(self, centre: DataCentre) -> None:
        self._centre = centre
        self._effects: list[effects.Effect] = []
        self._use(StoredState())

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
        return self._stored.team_usage(team)

    def team_quota(self, team: TeamName) -> ResourceTotals:
        """Return what a team may run in this data centre."""
        return self._stored.team_quota(team)

    def teams_over_quota(self) -> list[TeamName]:
        """Return the teams that run more than a lowered quota allows."""
        return [
            team
            for team, usage in self._stored.usage_by_team.items()
            if not usage.fits_in(self.team_quota(team))
        ]

    def pop_effects(self) -> list[effects.Effect]:
        """Return the effects since the last call, and clear them."""
        popped = list(self._effects)
        self._effects.clear()
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
        return encode_state(self._stored)

    def restore(self, state: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self._effects.clear()
        self._use(decode_state(state))

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
        self._tasks.adjust_waiting_count(record, spec.tasks)
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
            if self._tasks.start_group(group):
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
        """Record the ends of attempts.

        Those of attempts that were lost before count as far as they still
        matter; others are ignored.
        """
        for result in command.results:
            record = self._stored.job_by_id.get(result.job)
            if record is None:
                continue
            if _is_current_attempt(record, result):
                self._end_current_attempt(record, result, command.ended_at)
            elif is_uncounted(
                record, result.index, result.attempt, result.outcome
            ):
                self._end_lost_attempt(record, result, command.ended_at)

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
                self._tasks.end_waiting_tasks(
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
            self._incarnations.end_incarnation(existing, command)
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
            self._tasks.lose_attempts(worker, command.lost_at)
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

    def _use(self, stored: StoredState) -> None:
        self._stored = stored
        self._tasks = TaskLedger(stored, self._effects)
        self._incarnations = IncarnationLedger(
            stored, self._tasks, self._effects
        )

    def _end_current_attempt(
        self,
        record: JobRecord,
        result: commands.AttemptResult,
        ended_at: float,
    ) -> None:
        self._tasks.release_allocation(record, result.index)
        next_state = state_after_end(
            record,
            record.tasks[result.index],
            result,
            self._stored.configuration.placement,
        )
        self._tasks.set_task_state(
            record, result.index, next_state, result.note, ended_at
        )

    def _end_lost_attempt(
        self,
        record: JobRecord,
        result: commands.AttemptResult,
        ended_at: float,
    ) -> None:
        next_state = count_late_result(
            record, result, self._stored.configuration.placement.max_attempts
        )
        if next_state is not None:
            self._tasks.set_task_state(
                record, result.index, next_state, result.note, ended_at
            )

    def _cancel_job(
        self, job_id: JobId, command: commands.CancelJobs
    ) -> CancelOutcome:
        record = self._stored.job_by_id.get(job_id)
        if record is None or command.team not in {None, record.team}:
            return CancelOutcome(job_id, found=False)
        if record.is_finished:
            return CancelOutcome(job_id, found=True, was_finished=True)
        record.is_cancelled = True
        self._tasks.end_waiting_tasks(
            record, TaskState.CANCELLED, 'cancelled', command.cancelled_at
        )
        return CancelOutcome(job_id, found=True)


def _refusal_by_queue(
    stored: StoredState, queue_name: str
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
