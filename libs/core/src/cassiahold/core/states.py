"""Enumerations of job, task and attempt states shared by the programs.

A job has tasks; a task is run by one or more attempts on workers.
"""

import enum


class JobKind(enum.Enum):
    """How the tasks of a job are placed.

    Tasks of a ``BATCH`` job start independently, all tasks of a ``GANG``
    start together, and those of a ``SERVICE`` are kept running until the job
    is cancelled.
    """

    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class TaskState(enum.Enum):
    """The state of one task.

    ``NOT_RUN`` and ``MAY_HAVE_RUN`` say whether a task that ended without a
    result can have had an effect.
    """

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'

    @property
    def is_final(self) -> bool:
        """Return whether the state is final."""
        return self not in _OPEN_TASK_STATES


class JobOutcome(enum.Enum):
    """The outcome of an accepted job, as reported to callers."""

    STILL_RUNNING = 'still_running'
    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    CANCELLED = 'cancelled'


class FailureReason(enum.Enum):
    """Why a job failed, as reported to callers.

    ``ATTEMPTS`` means that a task failed and is not tried again, ``CRASHES``
    that a task crashed the workers on which it started.
    """

    ATTEMPTS = 'attempts'
    CRASHES = 'crashes'


class CommandKind(enum.Enum):
    """A command to a worker about one attempt."""

    START = 'start'
    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'


class AttemptOutcome(enum.Enum):
    """How an attempt ended, as reported by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    NEVER_STARTED = 'never_started'


_OPEN_TASK_STATES = frozenset((TaskState.WAITING, TaskState.RUNNING))
