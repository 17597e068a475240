"""Effects of applied commands, from which the leader updates its planner."""

import msgspec

from cassiahold.core.ids import AttemptId, JobId, WorkerId
from cassiahold.core.resources import Resources


class TaskQueued(msgspec.Struct, frozen=True):
    """A task has begun to wait for a worker."""

    job: JobId
    index: int


class TaskDequeued(msgspec.Struct, frozen=True):
    """A waiting task was cancelled or has expired."""

    job: JobId
    index: int


class AttemptStarted(msgspec.Struct, frozen=True):
    """An attempt was started and has an allocation on its worker."""

    job: JobId
    index: int
    attempt: AttemptId
    worker: WorkerId
    resources: Resources


class AttemptRejected(msgspec.Struct, frozen=True):
    """A planned start was not accepted; its task still waits."""

    job: JobId
    index: int
    attempt: AttemptId
    worker: WorkerId


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt has ended or was lost; its allocation is released."""

    job: JobId
    index: int
    attempt: AttemptId
    worker: WorkerId


class WorkerChanged(msgspec.Struct, frozen=True):
    """A worker was registered, deregistered, lost or drained."""

    worker: WorkerId


class WorkerCrashed(msgspec.Struct, frozen=True):
    """A worker has crashed under some attempts.

    ``recent_count`` is how many of them may have started shortly before.
    """

    worker: WorkerId
    incarnation: int
    attempt_count: int
    recent_count: int


class TaskCharged(msgspec.Struct, frozen=True):
    """A crash of a worker was counted against a task."""

    job: JobId
    index: int


class JobGivenUp(msgspec.Struct, frozen=True):
    """A job has failed because a task crashed too many workers."""

    job: JobId


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """Shares, limits, quotas or placement policies have changed."""


Effect = (
    TaskQueued
    | TaskDequeued
    | AttemptStarted
    | AttemptRejected
    | AttemptEnded
    | WorkerChanged
    | WorkerCrashed
    | TaskCharged
    | JobGivenUp
    | ConfigurationChanged
)
