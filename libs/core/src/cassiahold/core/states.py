"""Closed sets of states shared by the programs."""

import enum


class JobKind(enum.Enum):
    """How the tasks of a job relate to each other."""

    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class TaskState(enum.Enum):
    """Where one task stands."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'

    @property
    def is_final(self) -> bool:
        """Tell whether the task can never change again."""
        return self not in _OPEN_TASK_STATES


class JobOutcome(enum.Enum):
    """What a caller is told about accepted work."""

    STILL_RUNNING = 'still_running'
    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    CANCELLED = 'cancelled'


class CommandKind(enum.Enum):
    """What a worker is told to do with one attempt."""

    START = 'start'
    STOP = 'stop'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'


class AttemptOutcome(enum.Enum):
    """How a worker says that one attempt ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    CHECKPOINTED = 'checkpointed'
    NEVER_STARTED = 'never_started'


_OPEN_TASK_STATES = frozenset((TaskState.WAITING, TaskState.RUNNING))
