"""The planner's decisions: tasks to start and tasks to evict."""

import msgspec

from cassiahold.core.ids import JobId, TaskKey, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.preemption import Eviction


class StartDecision(msgspec.Struct, frozen=True):
    """A task to start on a worker, with the resources to allocate."""

    job: JobId
    index: int
    worker: WorkerId
    resources: Resources


class Plan(msgspec.Struct):
    """The result of one planning round.

    Each of the ``start_groups`` is started whole or not at all.
    ``is_complete`` tells whether the round ended before it reached its maximum
    of starts.
    """

    start_groups: list[list[StartDecision]]
    evictions: list[Eviction]
    is_complete: bool = True


def task_key(job: JobId, index: int) -> TaskKey:
    """Return the key of a task's allocation on its worker."""
    return TaskKey(f'{job}/{index}')
