"""Records of jobs, tasks and workers in a scheduler group's state."""

import typing

import msgspec

from cassiahold.cellstate.worker_crashes import CrashRecord, LostAttempt
from cassiahold.core.ids import (
    AttemptId,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import (
    FailureReason,
    JobKind,
    JobOutcome,
    TaskState,
)

MAX_TASKS_PER_JOB: typing.Final = 10_000
MAX_RESOURCE_AMOUNT: typing.Final = 1e6  # cores or gigabytes of one task
MAX_DURATION_S: typing.Final = 31_536_000.0  # a year
MAX_TEXT_LENGTH: typing.Final = 200  # characters of a name
MAX_PAYLOAD_LENGTH: typing.Final = 65_536  # characters
_Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RESOURCE_AMOUNT)]
_Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
_Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]


class JobSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """A job as submitted by a caller; amounts are for one task."""

    queue: str
    kind: JobKind = JobKind.BATCH
    tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)] = 1
    cores: _Amount = 1.0
    memory_gb: _Amount = 1.0
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    # Work that is not idempotent runs at most once.
    idempotent: bool = True
    urgent: bool = False
    # Tasks still waiting this long after submission expire.
    deadline_s: _Seconds | None = None
    # Expected run time; used for order and backfill only.
    run_s: _Seconds | None = None
    # Jobs of one team with the same name are expected to behave alike.
    name: _Text = ''
    worker_class: _Text = ''
    avoid_class: _Text = ''
    # Passed to the worker unread and unchanged.
    payload: typing.Annotated[
        str, msgspec.Meta(max_length=MAX_PAYLOAD_LENGTH)
    ] = ''

    @property
    def resources(self) -> Resources:
        """Return the declared size of one task."""
        return Resources(
            int(self.cores * 1000),
            int(self.memory_gb * 1000),
            self.accelerators,
        )


class TaskRecord(msgspec.Struct, array_like=True, gc=False):
    """The state of one task and its current or last attempt.

    ``crash_score`` adds up the evidence that the task crashes its workers.
    ``lost_attempts`` were lost with their workers, which may still report
    their ends.  ``is_done_late`` is set once one of them has turned out to be
    done, so that the current attempt is not needed any more.
    """

    state: TaskState = TaskState.WAITING
    attempt: int = 0
    worker: WorkerId | None = None
    failure_count: int = 0
    # Whether any earlier attempt may have taken effect.
    may_have_run: bool = False
    note: str = ''
    crash_score: int = 0
    lost_attempts: tuple[int, ...] = ()
    is_done_late: bool = False


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
    open_task_count: int = 0
    finished_at: float = 0
    # Set with the first task that failed, or when the job is given up.
    failure_reason: FailureReason | None = None
    # The newest crashes of workers under attempts of the job.
    crashes: list[CrashRecord] = msgspec.field(default_factory=list)

    @property
    def deadline_at(self) -> float | None:
        """Return when waiting tasks expire, None without a deadline."""
        if self.spec.deadline_s is None:
            return None
        return self.submitted_at + self.spec.deadline_s

    @property
    def is_finished(self) -> bool:
        """Tell whether all tasks have reached a final state."""
        return self.open_task_count == 0

    @property
    def is_given_up(self) -> bool:
        """Tell whether a task of the job crashed too many workers."""
        return self.failure_reason is FailureReason.CRASHES

    @property
    def is_stopping(self) -> bool:
        """Tell whether no task may start and the running ones must stop."""
        return self.is_cancelled or self.is_given_up

    @property
    def must_stop_attempts(self) -> bool:
        """Tell whether the running attempts must stop, for now or for good."""
        return self.is_stopping or self.is_restarting

    def must_stop_attempt(self, index: int) -> bool:
        """Tell whether the running attempt of a task must stop."""
        return self.must_stop_attempts or self.tasks[index].is_done_late

    @property
    def may_rerun(self) -> bool:
        """Tell whether a task may be placed again after it ran."""
        return self.spec.idempotent and not self.is_stopping

    @property
    def outcome(self) -> JobOutcome:
        """Return the outcome of the job, decided by its worst task state."""
        if not self.is_finished:
            return JobOutcome.STILL_RUNNING
        states = {task.state for task in self.tasks}
        for state, outcome in _OUTCOMES_BY_SEVERITY:
            if state in states:
                return outcome
        return JobOutcome.DONE

    @property
    def reported_reason(self) -> FailureReason | None:
        """Return why the job failed, None for any other outcome."""
        return (
            self.failure_reason if self.outcome is JobOutcome.FAILED else None
        )


class Allocation(msgspec.Struct, frozen=True, array_like=True):
    """The resources of a worker that one attempt occupies."""

    job: JobId
    index: int
    resources: Resources


class WorkerRecord(msgspec.Struct, array_like=True):
    """A registered worker and the allocations on it.

    ``incarnation`` grows with each restart of the worker.  ``is_draining`` is
    set by an operator, ``is_leaving`` by the worker until it restarts.
    """

    id: WorkerId
    incarnation: int
    capacity: Resources
    worker_class: str = ''
    rack: str = ''
    speed: float = 1.0
    is_draining: bool = False
    is_lost: bool = False
    allocated_resources: Resources = NO_RESOURCES
    allocation_by_attempt: dict[AttemptId, Allocation] = msgspec.field(
        default_factory=dict
    )
    # Of this incarnation; charged if it turns out to have crashed.
    unexplained_losses: list[LostAttempt] = msgspec.field(default_factory=list)
    is_leaving: bool = False

    @property
    def is_departing(self) -> bool:
        """Tell whether the worker gets no new tasks and ends in order."""
        return self.is_draining or self.is_leaving


def attempt_id(job: JobId, index: int, attempt: int) -> AttemptId:
    """Return the id of one attempt, distinct from all other attempts.

    Reports about an earlier attempt are recognised by it.
    """
    return AttemptId(f'{job}/{index}/{attempt}')


# Worst state first, so that an outcome never claims more than is certain.
_OUTCOMES_BY_SEVERITY: typing.Final = (
    (TaskState.MAY_HAVE_RUN, JobOutcome.MAY_HAVE_RUN),
    (TaskState.FAILED, JobOutcome.FAILED),
    (TaskState.CANCELLED, JobOutcome.CANCELLED),
    (TaskState.NOT_RUN, JobOutcome.REFUSED),
)
