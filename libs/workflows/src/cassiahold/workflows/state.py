"""The cell's replicated state: jobs of steps, workers, configuration.

Equal logs give equal states.  A run reserves its room from the command
that starts it until the command that records its end.
"""

import collections
import typing

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import JobId, QueueName, TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources, is_within_limit
from cassiahold.workflows import commands
from cassiahold.workflows.applying import AcceptOutcome, apply_command
from cassiahold.workflows.configuration import (
    CellConfiguration,
    ConfigurationIndex,
)
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    AttemptRecord,
    JobRecord,
    JobState,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerRecord,
    new_job,
)
from cassiahold.workflows.outcomes import (
    keep_checkpoint,
    learn_speed,
    mark_done,
    mark_failed,
)
from cassiahold.workflows.reservations import Reservations
from cassiahold.workflows.speeds import SpeedEstimate
from cassiahold.workflows.steps import has_startable, is_startable, steps_of

_UNWANTED_STATES: typing.Final = frozenset(
    (JobState.FAILED, JobState.CANCELLED)
)


class _Kept(msgspec.Struct):
    configuration: CellConfiguration = CellConfiguration()
    source: bytes = b''
    job_by_id: dict[JobId, JobRecord] = msgspec.field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerRecord] = msgspec.field(
        default_factory=dict
    )


class _Saved(msgspec.Struct, array_like=True):
    configuration: CellConfiguration
    source: bytes
    jobs: list[JobRecord]
    workers: list[commands.RegisterWorker]
    speeds: list[SpeedEstimate] = msgspec.field(default_factory=list)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Saved).decode


def _keeps_spread(group: list[commands.AttemptStart], kept: _Kept) -> bool:
    step = group[0].attempt.task.step
    record = kept.job_by_id[step.job]
    most = record.spec.steps[step.step_index].max_tasks_per_worker
    if not most:
        return True
    count_by_worker = collections.Counter(start.worker for start in group)
    for worker_id in count_by_worker:
        worker = kept.worker_by_id.get(worker_id)
        if worker is not None:
            count_by_worker[worker_id] += worker.tasks_of(step)
    return max(count_by_worker.values()) <= most


class WorkflowState:
    """Applies commands in log order."""

    def __init__(self) -> None:
        self._kept = _Kept()
        self._effects: list[commands.Effect] = []
        self._reset_derived()

    # Views; only commands may change what they return.

    @property
    def configuration(self) -> CellConfiguration:
        """Return the adopted configuration."""
        return self._kept.configuration

    @property
    def source(self) -> bytes:
        """Return the operator's document of the adopted configuration."""
        return self._kept.source

    @property
    def job_by_id(self) -> dict[JobId, JobRecord]:
        """Return the jobs that are remembered."""
        return self._kept.job_by_id

    @property
    def worker_by_id(self) -> dict[WorkerId, WorkerRecord]:
        """Return the workers that are known."""
        return self._kept.worker_by_id

    def usage_of(self, team: TeamName) -> Resources:
        """Return what a team may have running."""
        return self._reservations.usage_of(team)

    def waiting_steps(self) -> list[StepKey]:
        """Return the ready steps that have a task to start."""
        return list(self._waiting)

    def untouched_jobs(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return self._untouched_by_queue.get(queue, 0)

    def run_of(self, key: TaskKey) -> AttemptRecord | None:
        """Return the run of a task that may be in progress."""
        record = self._kept.job_by_id.get(key.step.job)
        if record is None:
            return None
        task = record.step(key.step).tasks[key.task_index]
        return task.active_attempt

    def is_wanted(self, run: AttemptKey) -> bool:
        """Tell whether a run that may be in progress should go on."""
        key = run.task.step
        record = self._kept.job_by_id.get(key.job)
        if record is None or record.state in _UNWANTED_STATES:
            return False
        current = self.run_of(run.task)
        if current is None or current.attempt_number != run.attempt_number:
            return False
        step = record.step(key)
        if not record.spec.steps[key.step_index].is_gang or not step.undone:
            return True
        # A gang of which a member is missing cannot be done any more.
        return all(task.active_attempt is not None for task in step.tasks)

    def spec_of(self, key: StepKey) -> StepSpec:
        """Return what a step asks for."""
        spec = self._kept.job_by_id[key.job].spec
        return spec.steps[key.step_index]

    def drain_effects(self) -> list[commands.Effect]:
        """Return and forget what has changed since the last call."""
        drained = self._effects
        self._effects = []
        return drained

    # Log.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply one command of the log."""
        return apply_command(commands.decode_command(payload), self)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        kept = self._kept
        return _encode(
            _Saved(
                kept.configuration,
                kept.source,
                list(kept.job_by_id.values()),
                [
                    commands.RegisterWorker(worker.info)
                    for worker in kept.worker_by_id.values()
                ],
                [worker.speed for worker in kept.worker_by_id.values()],
            )
        )

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        saved = _decode(state)
        self._kept = _Kept(
            saved.configuration,
            saved.source,
            {record.id: record for record in saved.jobs},
            {put.info.id: WorkerRecord(put.info) for put in saved.workers},
        )
        for put, speed in zip(saved.workers, saved.speeds, strict=False):
            self._kept.worker_by_id[put.info.id].speed = speed
        self._effects = []
        self._reset_derived()

    # Commands.

    def accept(self, command: commands.AcceptJob) -> AcceptOutcome:
        """Store a job once for its id."""
        if command.id in self._kept.job_by_id:
            return AcceptOutcome(is_first=False)
        if command.queue not in self.index.queue_by_name:
            return AcceptOutcome(is_first=False, error=ErrorKind.NOT_FOUND)
        record = new_job(
            command.id, command.queue, command.team, command.spec, command.at
        )
        self._kept.job_by_id[command.id] = record
        self._count_untouched(record, 1)
        self._refresh_steps(record)
        return AcceptOutcome(is_first=True)

    def cancel(self, command: commands.CancelJob) -> bool:
        """Cancel a job; False when it is not known."""
        record = self._kept.job_by_id.get(command.id)
        if record is None:
            return False
        if record.is_open:
            self._finish(record, JobState.CANCELLED, command.at)
        return True

    def start(self, command: commands.StartAttempts) -> int:
        """Start each group that is still right; return how many runs."""
        started = 0
        for group in command.groups:
            if self._may_start(group):
                started += len(group)
                for start in group:
                    self._start_one(start, command.term)
        return started

    def end(self, command: commands.EndAttempts) -> None:
        """Record the ends of runs that still hold their worker."""
        for ended in command.ends:
            self._end_one(ended, command.at)

    def put_worker(self, command: commands.RegisterWorker) -> bool:
        """Add or update a worker; an older incarnation changes nothing."""
        info = command.info
        known = self._kept.worker_by_id.get(info.id)
        if known is None:
            self._kept.worker_by_id[info.id] = WorkerRecord(info)
        elif info.incarnation < known.info.incarnation:
            return False
        else:
            if info.incarnation > known.info.incarnation:
                # The host may be of another kind now.
                known.speed = SpeedEstimate()
            # Runs of an earlier incarnation stay until their end is known.
            known.info = info
        self._effects.append(commands.WorkerChanged(info.id))
        return True

    def forget_worker(self, command: commands.ForgetWorker) -> None:
        """Remove a worker; whatever it ran has ended with it."""
        known = self._kept.worker_by_id.get(command.id)
        if known is None or known.info.incarnation > command.born:
            return
        ends = [
            commands.AttemptResult(run, command.id, AttemptOutcome.LOST)
            for run in known.runs
        ]
        for ended in ends:
            self._end_one(ended, command.at)
        self._kept.worker_by_id.pop(command.id)
        self._effects.append(commands.WorkerChanged(command.id))

    def put_configuration(self, command: commands.PutConfiguration) -> bool:
        """Adopt a higher version; others change nothing."""
        if command.configuration.version <= self._kept.configuration.version:
            return False
        self._kept.configuration = command.configuration
        self._kept.source = command.source
        self.index = ConfigurationIndex(command.configuration)
        return True

    def prune(self, command: commands.PruneJobs) -> int:
        """Forget jobs that finished long ago and hold no worker."""
        busy = {
            run.task.step.job
            for worker in self._kept.worker_by_id.values()
            for run in worker.runs
        }
        old = [
            record.id
            for record in self._kept.job_by_id.values()
            if not record.is_open
            and record.finished_at < command.finished_before
            and record.id not in busy
        ]
        for job in old:
            self._kept.job_by_id.pop(job)
        return len(old)

    # Helpers.

    def _reset_derived(self) -> None:
        self.index = ConfigurationIndex(self._kept.configuration)
        self._waiting: dict[StepKey, None] = {}
        self._reservations = Reservations(self._kept.worker_by_id)
        self._untouched_by_queue: dict[QueueName, int] = {}
        for record in self._kept.job_by_id.values():
            if record.state is JobState.QUEUED:
                self._count_untouched(record, 1)
            self._refresh_steps(record)
            for key in steps_of(record):
                self._reserve_again(record, key)

    def _reserve_again(self, record: JobRecord, key: StepKey) -> None:
        resources = record.spec.steps[key.step_index].resources
        for index, task in enumerate(record.step(key).tasks):
            if task.active_attempt is not None:
                run = AttemptKey(
                    TaskKey(key, index), task.active_attempt.attempt_number
                )
                self._reservations.reserve(
                    record.team, run, task.active_attempt.worker, resources
                )

    def _count_untouched(self, record: JobRecord, change: int) -> None:
        count = self.untouched_jobs(record.queue) + change
        self._untouched_by_queue[record.queue] = count

    def _refresh_steps(self, record: JobRecord) -> None:
        for key in steps_of(record):
            self._refresh_step(record, key)

    def _refresh_step(self, record: JobRecord, key: StepKey) -> None:
        if record.is_open and has_startable(record, key):
            self._waiting[key] = None
            return
        self._waiting.pop(key, None)
        if not record.is_open or not record.step(key).undone:
            self._effects.append(commands.StepClosed(key))

    def _may_start(self, group: list[commands.AttemptStart]) -> bool:
        wanted_by_worker: dict[WorkerId, Resources] = {}
        if not self._keeps_limit(group) or not _keeps_spread(group, self._kept):
            return False
        for start in group:
            worker = self._kept.worker_by_id.get(start.worker)
            record = self._kept.job_by_id.get(start.attempt.task.step.job)
            if worker is None or worker.info.incarnation != start.born:
                return False
            if record is None or not is_startable(record, start):
                return False
            wanted = wanted_by_worker.get(start.worker, NO_RESOURCES)
            wanted += self.spec_of(start.attempt.task.step).resources
            wanted_by_worker[start.worker] = wanted
            if not wanted.fits_in(worker.free):
                return False
        return True

    def _keeps_limit(self, group: list[commands.AttemptStart]) -> bool:
        record = self._kept.job_by_id.get(group[0].attempt.task.step.job)
        if record is None:
            return False
        team = self.index.team_by_name.get(record.team)
        if team is None:
            return True
        resources = self.spec_of(group[0].attempt.task.step).resources
        used = self.usage_of(team.name) + resources * len(group)
        return is_within_limit(used, team.limit)

    def _start_one(self, start: commands.AttemptStart, term: int) -> None:
        key = start.attempt.task.step
        record = self._kept.job_by_id[key.job]
        task = record.step(key).tasks[start.attempt.task.task_index]
        task.last_attempt_number = start.attempt.attempt_number
        task.active_attempt = AttemptRecord(
            start.attempt.attempt_number, start.worker, start.born
        )
        resources = self.spec_of(key).resources
        self._reservations.reserve(
            record.team, start.attempt, start.worker, resources
        )
        if record.state is JobState.QUEUED:
            record.state = JobState.ACTIVE
            self._count_untouched(record, -1)
        self._refresh_step(record, key)
        self._effects.append(commands.AttemptScheduled(start, term))

    def _end_one(self, ended: commands.AttemptResult, at: float) -> None:
        key = ended.attempt.task.step
        record = self._kept.job_by_id.get(key.job)
        if record is None:
            return
        task = record.step(key).tasks[ended.attempt.task.task_index]
        run = task.active_attempt
        if run is None or run.attempt_number != ended.attempt.attempt_number:
            return
        if run.worker != ended.worker:
            return
        self._reservations.release(record.team, ended.attempt, run.worker)
        learn_speed(record, ended, self._kept.worker_by_id[run.worker])
        task.active_attempt = None
        if ended.saved:
            keep_checkpoint(record, ended)
        self._settle(record, ended, at)
        self._refresh_step(record, key)

    def _settle(
        self, record: JobRecord, ended: commands.AttemptResult, at: float
    ) -> None:
        if not record.is_open:
            return
        key = ended.attempt.task.step
        spec = record.spec.steps[key.step_index]
        if ended.outcome is AttemptOutcome.DONE and not spec.is_long_running:
            self._count_done(record, ended, at)
            return
        if spec.is_gang:
            self._stop_gang(record, ended)
        if ended.outcome is AttemptOutcome.FAILED and not spec.is_long_running:
            self._count_failure(record, ended, at)

    def _count_done(
        self, record: JobRecord, ended: commands.AttemptResult, at: float
    ) -> None:
        if mark_done(record, ended):
            return
        if any(later.undone for steps in record.occurrences for later in steps):
            self._refresh_steps(record)
        else:
            self._finish(record, JobState.COMPLETE, at)

    def _count_failure(
        self, record: JobRecord, ended: commands.AttemptResult, at: float
    ) -> None:
        failures = mark_failed(record, ended)
        queue = self.index.queue_by_name.get(record.queue)
        if queue is not None and failures and failures >= queue.max_attempts:
            self._finish(record, JobState.FAILED, at)

    def _stop_gang(
        self, record: JobRecord, ended: commands.AttemptResult
    ) -> None:
        key = ended.attempt.task.step
        step = record.step(key)
        if not step.undone:
            return
        for index, task in enumerate(step.tasks):
            run = task.active_attempt
            if (
                run is not None
                and run.attempt_number == ended.attempt.attempt_number
            ):
                self._effects.append(
                    commands.AttemptStopRequired(
                        AttemptKey(TaskKey(key, index), run.attempt_number),
                        run.worker,
                        'gang_broken',
                    )
                )

    def _finish(self, record: JobRecord, state: JobState, at: float) -> None:
        if record.state is JobState.QUEUED:
            self._count_untouched(record, -1)
        record.state = state
        record.finished_at = at
        self._effects.append(
            commands.JobFinished(record.id, state, at - record.accepted_at)
        )
        self._refresh_steps(record)
        if state is JobState.COMPLETE:
            return
        for key in steps_of(record):
            for index, task in enumerate(record.step(key).tasks):
                if task.active_attempt is not None:
                    run = AttemptKey(
                        TaskKey(key, index), task.active_attempt.attempt_number
                    )
                    self._effects.append(
                        commands.AttemptStopRequired(
                            run, task.active_attempt.worker, state.value
                        )
                    )
