"""The cell's replicated state: jobs, workers and configuration.

Commands are deterministic: the same log gives the same state on each replica.
The resources of an attempt are allocated from the command that starts it until
the command that records its end.
"""

import typing

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.workflows import commands
from cassiahold.workflows.adoption import (
    adopt_configuration,
    forget_unused_policies,
)
from cassiahold.workflows.allocations import AllocationLedger
from cassiahold.workflows.attempt_results import (
    count_against_task,
    count_crash,
    has_exhausted_task,
    mark_done,
    may_have_crashed,
    store_checkpoint,
    update_speed,
)
from cassiahold.workflows.command_dispatch import AcceptOutcome, apply_command
from cassiahold.workflows.configuration import (
    CellConfiguration,
    QueuePlace,
    QueuePolicy,
)
from cassiahold.workflows.crashes import is_suspect
from cassiahold.workflows.late_ends import is_uncounted, remember_lost
from cassiahold.workflows.lost_attempts import LostAttempt
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    AttemptRecord,
    IncarnationKey,
    JobRecord,
    JobState,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkerRecord,
    new_steps,
)
from cassiahold.workflows.snapshots import (
    ReplicatedData,
    decode_snapshot,
    encode_snapshot,
)
from cassiahold.workflows.start_checks import can_start_group
from cassiahold.workflows.steps import step_keys
from cassiahold.workflows.stops import (
    gang_stops,
    job_stops,
    replacement_stops,
)
from cassiahold.workflows.unstarted_jobs import UnstartedJobs
from cassiahold.workflows.waiting_steps import WaitingSteps

_ABORTED_STATES: typing.Final = frozenset((JobState.FAILED, JobState.CANCELLED))


def _is_outdated(
    record: WorkerRecord | None, command: commands.RegisterWorker
) -> bool:
    """Tell whether a description is older than what is known.

    What a poll found holds only if no other incarnation was registered since.
    """
    replaced_incarnation = command.replaced_incarnation
    if replaced_incarnation is not None:
        return record is None or record.info.incarnation != replaced_incarnation
    return record is not None and record.is_newer_than(
        command.info, command.sequence
    )


def _newest_description(
    record: WorkerRecord, command: commands.RegisterWorker
) -> WorkerInfo:
    """Return what is known of the new incarnation of a worker.

    A poll tells only of the incarnation; the rest may have changed since.
    """
    if command.sequence != commands.NO_HEARTBEAT_SEQUENCE:
        return command.info
    return msgspec.structs.replace(
        record.info,
        incarnation=command.info.incarnation,
        is_draining=False,
    )


class WorkflowState:
    """State machine to which the commands of the log are applied in order.

    Beside the replicated data it contains what is derived from them (waiting
    steps, allocations, counts) and the effects not drained yet.
    """

    def __init__(self) -> None:
        self._data = ReplicatedData()
        self._effects: list[commands.Effect] = []
        self._rebuild_derived()

    # Read access; only commands may change the returned objects.

    @property
    def configuration(self) -> CellConfiguration:
        """Return the adopted configuration."""
        return self._data.configuration

    @property
    def configuration_source(self) -> bytes:
        """Return the operator's document of the adopted configuration."""
        return self._data.configuration_source

    @property
    def job_by_id(self) -> dict[JobId, JobRecord]:
        """Return the jobs that have not been removed."""
        return self._data.job_by_id

    @property
    def worker_by_id(self) -> dict[WorkerId, WorkerRecord]:
        """Return the registered workers."""
        return self._data.worker_by_id

    def has_lost_attempts(self, worker: WorkerId) -> bool:
        """Tell whether a worker was lost and it is not known why."""
        return worker in self._data.lost_attempts

    def usage_of(self, team: TeamName) -> Resources:
        """Return the resources allocated to a team's attempts."""
        return self._allocations.usage_of(team)

    def waiting_steps(self) -> list[StepKey]:
        """Return the steps that are ready and have a task to start."""
        return self._waiting_steps.keys()

    def count_unstarted_jobs(self, place: QueuePlace | None) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return self._unstarted_jobs.count(place)

    def queue_of(self, record: JobRecord) -> QueuePolicy | None:
        """Return the policy of a job's queue, its last one if it was removed.

        Returns None if the queue was removed before policies were kept.
        """
        if record.place is None:
            return None
        return self.configuration_index.queue_by_place.get(record.place)

    def find_attempt(self, key: TaskKey) -> AttemptRecord | None:
        """Return the attempt of a task that may be in progress."""
        record = self._data.job_by_id.get(key.step.job)
        if record is None:
            return None
        task = record.step(key.step).tasks[key.task_index]
        return task.active_attempt

    def gang_members(self, attempt: AttemptKey) -> list[AttemptKey]:
        """Return the attempts that may be in progress of one run of a gang.

        Returns none for an attempt of a step that is not a gang.
        """
        key = attempt.task.step
        record = self._data.job_by_id.get(key.job)
        if record is None or not record.spec.steps[key.step_index].is_gang:
            return []
        return [
            AttemptKey(TaskKey(key, index), attempt.attempt_number)
            for index, task in enumerate(record.step(key).tasks)
            if task.active_attempt is not None
            and task.active_attempt.attempt_number == attempt.attempt_number
        ]

    def should_continue(self, attempt: AttemptKey) -> bool:
        """Tell whether an attempt that may be in progress should continue."""
        key = attempt.task.step
        record = self._data.job_by_id.get(key.job)
        if record is None or record.state in _ABORTED_STATES:
            return False
        current = self.find_attempt(attempt.task)
        if current is None or current.attempt_number != attempt.attempt_number:
            return False
        step = record.step(key)
        task = step.tasks[attempt.task.task_index]
        if task.is_done and task.done_attempt_number:
            return attempt.attempt_number == task.done_attempt_number
        if (
            not record.spec.steps[key.step_index].is_gang
            or not step.remaining_tasks
        ):
            return True
        # A gang cannot complete once one of its members is missing.
        return all(task.active_attempt is not None for task in step.tasks)

    def step_spec(self, key: StepKey) -> StepSpec:
        """Return the specification of a step."""
        spec = self._data.job_by_id[key.job].spec
        return spec.steps[key.step_index]

    def drain_effects(self) -> list[commands.Effect]:
        """Return the effects since the last call and clear them."""
        drained = self._effects
        self._effects = []
        return drained

    # Log.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one encoded command of the log and return its outcome."""
        outcome = apply_command(commands.decode_command(payload), self)
        self._waiting_steps.update()
        return outcome

    def snapshot(self) -> bytes:
        """Return the encoded replicated data."""
        return encode_snapshot(self._data)

    def restore(self, state: bytes) -> None:
        """Replace the replicated data by a snapshot and drop all effects."""
        self._data = decode_snapshot(state)
        self._effects = []
        self._rebuild_derived()

    # Commands.

    def accept_job(self, command: commands.AcceptJob) -> AcceptOutcome:
        """Store a job if its id is new and its queue exists."""
        if command.id in self._data.job_by_id:
            return AcceptOutcome(is_first=False)
        queue = self.configuration_index.accepting_queue(
            command.place, command.queue
        )
        if queue is None:
            return AcceptOutcome(is_first=False, error=ErrorKind.NOT_FOUND)
        team = self.configuration_index.team_by_key.get(command.key)
        record = JobRecord(
            command.id,
            queue.name,
            command.team if team is None else team.name,
            command.spec,
            command.accepted_at,
            new_steps(command.spec),
            place=queue.place,
            key=command.key,
        )
        self._data.job_by_id[command.id] = record
        self._unstarted_jobs.add(record)
        self._waiting_steps.mark_job(record)
        return AcceptOutcome(is_first=True)

    def cancel_job(self, command: commands.CancelJob) -> bool:
        """Cancel an open job; return False when the job does not exist."""
        record = self._data.job_by_id.get(command.id)
        if record is None:
            return False
        if record.is_open:
            self._finish_job(record, JobState.CANCELLED, command.cancelled_at)
        return True

    def start_attempts(self, command: commands.StartAttempts) -> int:
        """Start each group that is still valid; return how many attempts.

        Groups can be outdated by commands applied since they were planned.
        """
        started_count = 0
        for group in command.groups:
            if can_start_group(group, self):
                started_count += len(group)
                for start in group:
                    self._start_attempt(start, command.term)
        return started_count

    def end_attempts(self, command: commands.EndAttempts) -> list[LostAttempt]:
        """Record the ends of attempts and release their resources.

        Results of attempts that have no allocation any more are ignored.
        Returns the attempts that were lost before and count as crashed now.
        """
        for job in command.begun_jobs:
            record = self._data.job_by_id.get(job)
            if record is not None:
                self._unstarted_jobs.record_begin(record)
        for result in command.results:
            self._end_attempt(result, command.ended_at)
        for result in command.late_results:
            self._count_late_end(result, command.ended_at)
        for key in command.departed:
            self._record_departure(key)
        crashed_attempts: list[LostAttempt] = []
        for key in command.replying:
            crashed_attempts.extend(
                self._data.lost_attempts.resolve(key, command.ended_at)
            )
        for lost in crashed_attempts:
            self._count_late_crash(lost, command.ended_at)
        return crashed_attempts

    def register_worker(self, command: commands.RegisterWorker) -> bool:
        """Add or update a worker; return False for an older description.

        A newer heartbeat with the same description only raises the sequence.
        """
        info = command.info
        record = self._data.worker_by_id.get(info.id)
        if _is_outdated(record, command):
            return False
        if record is None:
            record = WorkerRecord(info)
            self._data.worker_by_id[info.id] = record
        elif info == record.info and command.sequence is not None:
            record.sequence = command.sequence
            return True
        elif info.incarnation != record.info.incarnation:
            info = _newest_description(record, command)
            record.replace_incarnation(info.incarnation)
        # Attempts of earlier incarnations stay until their end is known.
        record.info = info
        if command.sequence is not None:
            record.sequence = max(command.sequence, 0)
        if info.is_draining:
            self._data.lost_attempts.forget_incarnation(
                IncarnationKey(info.id, info.incarnation)
            )
        self._effects.append(commands.WorkerChanged(info.id))
        return True

    def remove_worker(self, command: commands.RemoveWorker) -> None:
        """Remove a worker; its attempts end as lost."""
        record = self._data.worker_by_id.get(command.id)
        if record is None or record.info.incarnation != command.incarnation:
            return
        results = [
            commands.AttemptResult(attempt, command.id, AttemptOutcome.LOST)
            for attempt in record.resources_by_attempt
        ]
        for result in results:
            self._end_attempt(result, command.removed_at)
        self._data.worker_by_id.pop(command.id)
        self._effects.append(commands.WorkerChanged(command.id))

    def put_configuration(self, command: commands.PutConfiguration) -> bool:
        """Adopt a configuration; return False unless its version is higher.

        Jobs that have failed as often as their queue allows now end.
        """
        if command.configuration.version <= self._data.configuration.version:
            return False
        changes = adopt_configuration(self._data, command.configuration)
        self._data.configuration_source = command.source
        self._allocations.rename_teams(changes.team_by_former)
        self.configuration_index = self._data.index()
        self._unstarted_jobs = UnstartedJobs(self._data.job_by_id.values())
        self._effects.append(commands.ConfigurationAdopted(changes))
        for record in self._data.job_by_id.values():
            if has_exhausted_task(record, self.queue_of(record)):
                self._finish_job(
                    record,
                    JobState.FAILED,
                    max(command.adopted_at, record.accepted_at),
                    commands.FailureReason.ATTEMPTS,
                )
        return True

    def prune_jobs(self, command: commands.PruneJobs) -> int:
        """Remove old finished jobs without allocations; return how many."""
        running_jobs = {
            attempt.task.step.job
            for worker in self._data.worker_by_id.values()
            for attempt in worker.resources_by_attempt
        }
        expired_jobs = [
            record.id
            for record in self._data.job_by_id.values()
            if not record.is_open
            and record.finished_at < command.finished_before
            and record.id not in running_jobs
        ]
        for job in expired_jobs:
            self._data.job_by_id.pop(job)
        former = self._data.former
        forget_unused_policies(self._data)
        if self._data.former != former:
            self.configuration_index = self._data.index()
        return len(expired_jobs)

    # Helpers.

    def _rebuild_derived(self) -> None:
        self.configuration_index = self._data.index()
        self._waiting_steps = WaitingSteps(
            self._data.job_by_id, self._record_closed_step
        )
        self._allocations: AllocationLedger = AllocationLedger(
            self._data.worker_by_id
        )
        self._unstarted_jobs = UnstartedJobs(self._data.job_by_id.values())
        for record in self._data.job_by_id.values():
            self._waiting_steps.mark_job(record)
            for key in step_keys(record):
                self._allocations.restore(record, key)
        self._waiting_steps.update()

    def _record_closed_step(self, key: StepKey) -> None:
        self._effects.append(commands.StepClosed(key))

    def _start_attempt(self, start: commands.AttemptStart, term: int) -> None:
        key = start.attempt.task.step
        record = self._data.job_by_id[key.job]
        task = record.step(key).tasks[start.attempt.task.task_index]
        task.last_attempt_number = start.attempt.attempt_number
        task.active_attempt = AttemptRecord(
            start.attempt.attempt_number, start.worker, start.incarnation
        )
        self._allocations.allocate(
            record.team,
            start.attempt,
            start.worker,
            self.step_spec(key),
            record.step(key),
        )
        self._waiting_steps.mark(key)
        self._effects.append(commands.AttemptScheduled(start, term))

    def _end_attempt(
        self, result: commands.AttemptResult, ended_at: float
    ) -> None:
        key = result.attempt.task.step
        record = self._data.job_by_id.get(key.job)
        if record is None:
            return
        task = record.step(key).tasks[result.attempt.task.task_index]
        attempt = task.active_attempt
        if (
            attempt is None
            or attempt.attempt_number != result.attempt.attempt_number
        ):
            # Given up by a command that was applied before this one.
            self._count_late_end(result, ended_at)
            return
        if attempt.worker != result.worker:
            return
        self._allocations.release(record.team, result.attempt, attempt.worker)
        update_speed(record, result, self._data.worker_by_id[attempt.worker])
        task.active_attempt = None
        if result.outcome is AttemptOutcome.LOST:
            remember_lost(task, result.attempt.attempt_number)
        else:
            self._unstarted_jobs.record_begin(record)
        if result.checkpoint:
            store_checkpoint(record, result)
        if may_have_crashed(record, result):
            self._data.lost_attempts.add(
                LostAttempt(
                    result.attempt,
                    result.worker,
                    attempt.incarnation,
                    result.possible_crash,
                    ended_at,
                )
            )
        self._apply_result(record, result, ended_at)
        self._waiting_steps.mark(key)

    def _count_late_end(
        self, result: commands.AttemptResult, ended_at: float
    ) -> None:
        key = result.attempt.task.step
        record = self._data.job_by_id.get(key.job)
        if record is None or not is_uncounted(
            record, result.attempt, result.outcome
        ):
            return
        self._unstarted_jobs.record_begin(record)
        task = record.step(key).tasks[result.attempt.task.task_index]
        task.lost_attempt_numbers = [
            number
            for number in task.lost_attempt_numbers
            if number != result.attempt.attempt_number
        ]
        if result.outcome is AttemptOutcome.DONE:
            self._effects.extend(replacement_stops(result.attempt, self))
            self._complete_task(record, result, ended_at)
        else:
            self._fail_job_if_hopeless(record, result, ended_at)
        self._waiting_steps.mark(key)

    def _record_departure(self, key: IncarnationKey) -> None:
        self._data.lost_attempts.forget_incarnation(key)
        record = self._data.worker_by_id.get(key.worker)
        if record is not None and not record.has_departed(
            record.info.incarnation
        ):
            record.departed_incarnation = key.incarnation

    def _count_late_crash(self, lost: LostAttempt, counted_at: float) -> None:
        """Count a crash against a task that may be running elsewhere."""
        key = lost.attempt.task
        record = self._data.job_by_id.get(key.step.job)
        if record is None or not record.is_open:
            return
        step = record.step(key.step)
        reason = count_crash(step, key.task_index, lost.evidence, run_s=0.0)
        if reason is not None:
            self._finish_job(record, JobState.FAILED, counted_at, reason)
        task = step.tasks[key.task_index]
        current = task.active_attempt
        if current is not None and is_suspect(task):
            self._allocations.mark_suspect(
                AttemptKey(key, current.attempt_number), current.worker
            )

    def _apply_result(
        self, record: JobRecord, result: commands.AttemptResult, ended_at: float
    ) -> None:
        if not record.is_open:
            return
        key = result.attempt.task.step
        spec = record.spec.steps[key.step_index]
        if result.outcome is AttemptOutcome.DONE and not spec.is_long_running:
            self._complete_task(record, result, ended_at)
            return
        if spec.is_gang and record.step(key).remaining_tasks:
            self._effects.extend(gang_stops(result.attempt, self))
        self._fail_job_if_hopeless(record, result, ended_at)

    def _complete_task(
        self, record: JobRecord, result: commands.AttemptResult, ended_at: float
    ) -> None:
        if mark_done(record, result):
            return
        if any(
            step.remaining_tasks
            for steps in record.steps_by_occurrence
            for step in steps
        ):
            self._waiting_steps.mark_job(record)
        else:
            self._finish_job(record, JobState.COMPLETE, ended_at)

    def _fail_job_if_hopeless(
        self, record: JobRecord, result: commands.AttemptResult, ended_at: float
    ) -> None:
        reason = count_against_task(record, result, self.queue_of(record))
        if reason is not None:
            self._finish_job(record, JobState.FAILED, ended_at, reason)

    def _finish_job(
        self,
        record: JobRecord,
        state: JobState,
        finished_at: float,
        reason: commands.FailureReason | None = None,
    ) -> None:
        self._unstarted_jobs.record_finish(record)
        record.state = state
        record.finished_at = finished_at
        self._effects.append(
            commands.JobFinished(
                record.id, state, finished_at - record.accepted_at, reason
            )
        )
        self._waiting_steps.mark_job(record)
        if state is not JobState.COMPLETE:
            self._effects.extend(job_stops(record))
