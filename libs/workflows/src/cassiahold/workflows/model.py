"""Jobs of steps, their tasks and runs, and the workers that run them."""

import enum
import typing

import msgspec

from cassiahold.core.ids import JobId, QueueName, TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.speeds import SpeedEstimate


class JobState(enum.Enum):
    """Where a job stands; the last three are final."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class AttemptOutcome(enum.Enum):
    """How a run ended.

    ``LOST`` covers runs that never began and runs that ended with their
    worker; only ``FAILED`` counts as an attempt.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    LOST = 'lost'


OPEN_STATES: typing.Final = frozenset((JobState.QUEUED, JobState.ACTIVE))


class StepKey(typing.NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step_index: int


class TaskKey(typing.NamedTuple):
    """One task of a step."""

    step: StepKey
    task_index: int


class AttemptKey(typing.NamedTuple):
    """One numbered start of a task."""

    task: TaskKey
    attempt_number: int


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller asks of one step.

    ``after`` names earlier steps by number.  ``most_per_worker`` and
    ``may_be_away`` are 0 without a limit, ``latency_goal_ms`` is 0 without
    a goal.  ``expected_s`` is the caller's rough estimate for a task.
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
    """A job: a payload for every task, and its steps.

    With ``times`` above 0 the steps run that often; occurrence ``k`` is
    due at ``first_at + k * interval_s`` (seconds since 1970).
    """

    payload: str
    steps: tuple[StepSpec, ...]
    times: int = 0
    first_at: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(self.times, 1)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence may start, 0 without a time."""
        if not self.times:
            return 0.0
        return self.first_at + occurrence * self.interval_s


class AttemptRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be in progress on one incarnation of a worker."""

    attempt_number: int
    worker: WorkerId
    born: int


class TaskRecord(msgspec.Struct, array_like=True):
    """A task: ``attempt`` is the highest number used so far."""

    is_done: bool = False
    last_attempt_number: int = 0
    failures: int = 0
    saved: str = ''
    active_attempt: AttemptRecord | None = None


class StepRecord(msgspec.Struct, array_like=True):
    """A step: ``undone`` counts the tasks that have not ended as done."""

    tasks: list[TaskRecord]
    undone: int
    gang_failures: int = 0


class JobRecord(msgspec.Struct, array_like=True):
    """An accepted job."""

    id: JobId
    queue: QueueName
    team: TeamName
    spec: WorkflowSpec
    accepted_at: float
    occurrences: list[list[StepRecord]]
    state: JobState = JobState.QUEUED
    finished_at: float = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether tasks may still start."""
        return self.state in OPEN_STATES

    def step(self, key: StepKey) -> StepRecord:
        """Return the record of a step."""
        return self.occurrences[key.occurrence][key.step_index]

    def is_ready(self, key: StepKey) -> bool:
        """Tell whether every step that this one follows is done."""
        steps = self.occurrences[key.occurrence]
        return all(
            not steps[earlier].undone
            for earlier in self.spec.steps[key.step_index].depends_on
        )


class WorkerInfo(msgspec.Struct, frozen=True):
    """What a worker says of itself; ``born`` tells incarnations apart.

    ``born`` is in milliseconds since 1970.
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
    """A known worker and what may be running on it."""

    info: WorkerInfo
    reserved: Resources = NO_RESOURCES
    runs: dict[AttemptKey, Resources] = msgspec.field(default_factory=dict)
    speed: SpeedEstimate = msgspec.field(default_factory=SpeedEstimate)

    @property
    def free(self) -> Resources:
        """Return the room that is surely not in use."""
        return self.info.capacity - self.reserved

    def tasks_of(self, step: StepKey) -> int:
        """Return how many tasks of a step may be running here."""
        return sum(run.task.step == step for run in self.runs)


def new_job(
    job: JobId,
    queue: QueueName,
    team: TeamName,
    spec: WorkflowSpec,
    accepted_at: float,
) -> JobRecord:
    """Return the record of a job that nothing has run of."""
    occurrences = [
        [
            StepRecord([TaskRecord() for _ in range(step.tasks)], step.tasks)
            for step in spec.steps
        ]
        for _ in range(spec.occurrences)
    ]
    return JobRecord(job, queue, team, spec, accepted_at, occurrences)
