"""Jobs, tasks and workers as a scheduler group records them."""

import typing

import msgspec

from cassiahold.core.ids import (
    AttemptId,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind, JobOutcome, TaskState

MAX_TASKS: typing.Final = 10_000
MAX_AMOUNT: typing.Final = 1e6  # cores or gigabytes of one task
MAX_DURATION_S: typing.Final = 31_536_000.0  # a year
MAX_TEXT: typing.Final = 200  # characters of a name
MAX_PAYLOAD: typing.Final = 65_536  # characters
_Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
_Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]


class JobSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """What a caller submits; amounts are for one task."""

    queue: str
    kind: JobKind = JobKind.BATCH
    tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    cores: _Amount = 1.0
    memory_gb: _Amount = 1.0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    # Work that is not idempotent runs at most once.
    idempotent: bool = True
    urgent: bool = False
    # Tasks that have not started this long after submission never will.
    deadline_s: _Seconds | None = None
    # Expected run time; used for order and backfill only.
    run_s: _Seconds | None = None
    # Jobs of one team with one name are expected to be alike.
    name: _Text = ''
    worker_class: _Text = ''
    avoid_class: _Text = ''
    # Handed to the worker unread.
    payload: typing.Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD)] = ''

    @property
    def resources(self) -> Resources:
        """Return the declared size of one task."""
        return Resources(
            int(self.cores * 1000),
            int(self.memory_gb * 1000),
            self.accelerators,
        )


class TaskRecord(msgspec.Struct, array_like=True, gc=False):
    """Where one task stands."""

    state: TaskState = TaskState.WAITING
    attempt: int = 0
    worker: WorkerId | None = None
    failure_count: int = 0
    # Whether any earlier attempt may have taken effect.
    has_run: bool = False
    note: str = ''


class JobRecord(msgspec.Struct, array_like=True):
    """One accepted job; times are seconds since the epoch."""

    id: JobId
    team: TeamName
    request_id: RequestId
    fingerprint: str
    spec: JobSpec
    submitted_at: float
    tasks: list[TaskRecord]
    traceparent: str = ''
    is_cancelled: bool = False
    # A gang that lost a task waits for the others to stop, then restarts.
    is_restarting: bool = False
    open_tasks: int = 0
    finished_at: float = 0

    @property
    def deadline_at(self) -> float | None:
        """Return when waiting tasks expire."""
        if self.spec.deadline_s is None:
            return None
        return self.submitted_at + self.spec.deadline_s

    @property
    def is_finished(self) -> bool:
        """Tell whether no task can change any more."""
        return self.open_tasks == 0

    @property
    def may_rerun(self) -> bool:
        """Tell whether a task may be placed again after it ran."""
        return self.spec.idempotent and not self.is_cancelled

    @property
    def outcome(self) -> JobOutcome:
        """Return the truthful answer for the whole job."""
        if not self.is_finished:
            return JobOutcome.STILL_RUNNING
        states = {task.state for task in self.tasks}
        for state, outcome in _OUTCOME_ORDER:
            if state in states:
                return outcome
        return JobOutcome.DONE


class Reservation(msgspec.Struct, frozen=True, array_like=True):
    """What one attempt holds of its worker."""

    job: JobId
    index: int
    resources: Resources


class WorkerRecord(msgspec.Struct, array_like=True):
    """One worker that has announced itself."""

    id: WorkerId
    incarnation: int
    capacity: Resources
    worker_class: str = ''
    rack: str = ''
    speed: float = 1.0
    is_draining: bool = False
    is_lost: bool = False
    allocated_resources: Resources = NO_RESOURCES
    allocation_by_attempt: dict[AttemptId, Reservation] = msgspec.field(
        default_factory=dict
    )


def attempt_id(job: JobId, index: int, attempt: int) -> AttemptId:
    """Return the id that fences one attempt from every other."""
    return AttemptId(f'{job}/{index}/{attempt}')


# The gravest state decides, so that a caller never reads more into the
# answer than is certain.
_OUTCOME_ORDER: typing.Final = (
    (TaskState.MAY_HAVE_RUN, JobOutcome.MAY_HAVE_RUN),
    (TaskState.FAILED, JobOutcome.FAILED),
    (TaskState.CANCELLED, JobOutcome.CANCELLED),
    (TaskState.NOT_RUN, JobOutcome.REFUSED),
)
