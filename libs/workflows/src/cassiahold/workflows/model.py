"""Data model: jobs, their steps, tasks and attempts, and the workers.

A job consists of steps that depend on each other, a step of equal tasks.  Each
start of a task on a worker is an attempt.  A periodic job repeats its steps;
each repetition is an occurrence.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import JobId, QueueName, TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.configuration import QueuePlace
from cassiahold.workflows.speeds import SpeedEstimate


class JobState(enum.Enum):
    """State of a job; the last three are final.

    A job is ``QUEUED`` until a worker has begun one of its tasks.
    """

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class AttemptOutcome(enum.Enum):
    """How an attempt ended.

    ``LEASE_EXPIRED`` means that the worker's lease ended,
    ``GANG_MEMBER_ENDED`` that another member of the gang ended,
    ``GANG_TIMED_OUT`` that the attempt waited the gang timeout for the other
    members in vain.  ``LOST`` covers attempts that never started and those
    that ended with their worker.  Only ``FAILED`` counts against the limit
    of attempts; crashes of workers are counted apart (``crash_score``).
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_MEMBER_ENDED = 'broken'
    GANG_TIMED_OUT = 'alone'
    LOST = 'lost'


OPEN_STATES: typing.Final = frozenset((JobState.QUEUED, JobState.ACTIVE))


class StepKey(typing.NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step_index: int


class TaskKey(typing.NamedTuple):
    """Identifies a task of a step."""

    step: StepKey
    task_index: int


class AttemptKey(typing.NamedTuple):
    """Identifies an attempt: one numbered start of a task."""

    task: TaskKey
    attempt_number: int


class IncarnationKey(typing.NamedTuple):
    """Identifies an incarnation of a worker."""

    worker: WorkerId
    incarnation: int


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of one step, as submitted by the caller.

    ``depends_on`` contains indices of earlier steps.  A gang starts all of its
    tasks at the same time.  ``expected_s`` is the caller's rough estimate for
    one task.  ``max_tasks_per_worker`` and ``max_unavailable`` are 0 without
    a limit, ``latency_goal_ms`` is 0 without a goal.  A task of a
    long-running step starts again after every outcome.
    """

    tasks: int
    resources: Resources = NO_RESOURCES
    expected_s: float = 0.0
    depends_on: tuple[int, ...] = msgspec.field(name='after', default=())
    is_gang: bool = False
    is_checkpointable: bool = msgspec.field(
        name='is_checkpointed', default=False
    )
    requires_same_rack: bool = msgspec.field(name='keeps_rack', default=False)
    required_label: str = msgspec.field(name='needs_label', default='')
    preferred_rack: str = msgspec.field(name='near_rack', default='')
    max_tasks_per_worker: int = msgspec.field(name='most_per_worker', default=0)
    allows_speculation: bool = msgspec.field(name='may_copy', default=False)
    is_long_running: bool = msgspec.field(name='is_lasting', default=False)
    is_backfill: bool = msgspec.field(name='is_filler', default=False)
    image: str = ''
    latency_goal_ms: int = 0
    max_unavailable: int = msgspec.field(name='may_be_away', default=0)


class WorkflowSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job: its steps and the payload of every task.

    With ``repeat_count`` above 0 the steps run that often; occurrence ``k``
    is due at ``first_due_at + k * interval_s`` (seconds since 1970).
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = msgspec.field(name='times', default=0)
    first_due_at: float = msgspec.field(name='first_at', default=0.0)
    interval_s: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run, at least once."""
        return max(self.repeat_count, 1)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence may start (Unix time), 0 for any time."""
        if not self.repeat_count:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that may be in progress on one incarnation of a worker."""

    attempt_number: int
    worker: WorkerId
    incarnation: int


class TaskRecord(msgspec.Struct, array_like=True):
    """State of a task.

    ``last_attempt_number`` is the highest number used so far, ``checkpoint``
    the newest one that an attempt left behind.  ``crash_score`` adds up the
    evidence that the task crashes its workers, ``suspect_score`` that since an
    attempt last ran for a while.  ``crash_count`` counts the crashes.
    ``lost_attempt_numbers`` are attempts that were given up as lost and whose
    worker may still report an end, ``done_attempt_number`` is the one that
    ended as done, 0 if unknown.
    """

    is_done: bool = False
    last_attempt_number: int = 0
    failures: int = 0
    checkpoint: str = ''
    active_attempt: AttemptRecord | None = None
    crash_score: int = 0
    suspect_score: int = 0
    crash_count: int = 0
    lost_attempt_numbers: list[int] = msgspec.field(default_factory=list)
    done_attempt_number: int = 0


class StepRecord(msgspec.Struct, array_like=True):
    """State of a step.

    ``remaining_tasks`` counts the tasks that are not done,
    ``gang_failures`` the failed runs of a gang, in which one or more members
    failed, ``only_recent_crashes`` the attempts that ended in crashes shortly
    before which no other job may have had a start.
    ``failed_gang_attempt_numbers`` are the newest failed runs of a gang.
    """

    tasks: list[TaskRecord]
    remaining_tasks: int
    gang_failures: int = 0
    only_recent_crashes: int = 0
    failed_gang_attempt_numbers: list[int] = msgspec.field(default_factory=list)

    @property
    def is_doubted(self) -> bool:
        """Tell whether tasks have crashed workers and none has ended well."""
        return bool(
            self.only_recent_crashes and self.remaining_tasks == len(self.tasks)
        )


class JobRecord(msgspec.Struct, array_like=True):
    """An accepted job and the state of its steps by occurrence.

    ``queue`` is the name that its queue has or had last; ``place`` identifies
    the queue, None if it was removed before places were stored.  ``key`` is
    the one that the job was submitted with, empty if none or unknown.
    ``accepted_at`` and ``finished_at`` are in seconds since 1970.
    """

    id: JobId
    queue: QueueName
    team: TeamName
    spec: WorkflowSpec
    accepted_at: float
    steps_by_occurrence: list[list[StepRecord]]
    state: JobState = JobState.QUEUED
    finished_at: float = 0.0
    place: QueuePlace | None = None
    key: str = ''

    @property
    def is_open(self) -> bool:
        """Tell whether tasks may still start."""
        return self.state in OPEN_STATES

    def step(self, key: StepKey) -> StepRecord:
        """Return the state of a step."""
        return self.steps_by_occurrence[key.occurrence][key.step_index]

    def find_task(self, key: TaskKey) -> TaskRecord | None:
        """Return the state of a task, None for one that the job lacks.

        Workers may list any name.
        """
        step_key = key.step
        if not 0 <= step_key.occurrence < len(self.steps_by_occurrence):
            return None
        if not 0 <= step_key.step_index < len(self.spec.steps):
            return None
        tasks = self.step(step_key).tasks
        return (
            tasks[key.task_index] if 0 <= key.task_index < len(tasks) else None
        )

    def is_step_ready(self, key: StepKey) -> bool:
        """Tell whether every step that this one depends on is done."""
        steps = self.steps_by_occurrence[key.occurrence]
        return all(
            not steps[earlier].remaining_tasks
            for earlier in self.spec.steps[key.step_index].depends_on
        )


class WorkerInfo(msgspec.Struct, frozen=True):
    """Description that a worker registers with.

    ``incarnation`` is the start time of its process in milliseconds since
    1970.  It tells incarnations with the same id apart.
    """

    id: WorkerId
    incarnation: int = msgspec.field(name='born')
    address: str
    service: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ''
    is_draining: bool = False


class WorkerRecord(msgspec.Struct):
    """A known worker and the attempts that may be running on it.

    ``suspect_attempts`` are those of tasks that may crash their worker,
    ``isolation_s_by_attempt`` tells beside which attempts and for how long
    after their start nothing else is to start.
    ``sequence`` is that of the newest heartbeat in the log, 0 if unknown.
    ``departed_incarnation`` is the one that left or drained most recently,
    ``replaced_incarnation`` one that is older though its start time is later.
    """

    info: WorkerInfo
    allocated: Resources = NO_RESOURCES
    resources_by_attempt: dict[AttemptKey, Resources] = msgspec.field(
        default_factory=dict
    )
    speed_estimate: SpeedEstimate = msgspec.field(default_factory=SpeedEstimate)
    suspect_attempts: set[AttemptKey] = msgspec.field(default_factory=set)
    isolation_s_by_attempt: dict[AttemptKey, float] = msgspec.field(
        default_factory=dict
    )
    sequence: int = 0
    departed_incarnation: int | None = None
    replaced_incarnation: int | None = None

    def has_departed(self, incarnation: int) -> bool:
        """Tell whether an incarnation said that it drains or leaves."""
        if incarnation == self.departed_incarnation:
            return True
        return self.info.is_draining and incarnation == self.info.incarnation

    def is_newer_than(self, info: WorkerInfo, sequence: int | None) -> bool:
        """Tell whether a description is older than the known one.

        Descriptions are ordered by incarnation, then by sequence.  One
        without a sequence counts as new within its incarnation.  A later
        start time proves nothing for an incarnation that was replaced by one
        with an earlier time, as after a step of the worker's clock.
        """
        if info.incarnation == self.replaced_incarnation:
            return True
        if info.incarnation != self.info.incarnation:
            return info.incarnation < self.info.incarnation
        return sequence is not None and sequence < self.sequence

    def replace_incarnation(self, incarnation: int) -> None:
        """Note what to remember of an incarnation that another replaces."""
        if self.info.is_draining:
            self.departed_incarnation = self.info.incarnation
        if incarnation < self.info.incarnation:
            self.replaced_incarnation = self.info.incarnation
        # The new incarnation may run on different hardware.
        self.speed_estimate = SpeedEstimate()
        self.sequence = 0

    @property
    def free_resources(self) -> Resources:
        """Return the resources that are not allocated.

        Negative where the capacity has shrunk below what is allocated.
        """
        return self.info.capacity - self.allocated

    def count_tasks(self, step: StepKey) -> int:
        """Return how many tasks of a step may be running on the worker."""
        return sum(
            attempt.task.step == step for attempt in self.resources_by_attempt
        )


def new_steps(spec: WorkflowSpec) -> list[list[StepRecord]]:
    """Return the steps by occurrence of a job of which no task has started."""
    return [
        [
            StepRecord([TaskRecord() for _ in range(step.tasks)], step.tasks)
            for step in spec.steps
        ]
        for _ in range(spec.occurrence_count)
    ]
