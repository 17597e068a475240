"""What the planner decides."""

import msgspec

from cassiahold.core.ids import JobId, TaskKey, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.preemption import Eviction


class StartDecision(msgspec.Struct, frozen=True):
    """Start one task on one worker."""

    job: JobId
    index: int
    worker: WorkerId
    resources: Resources


class Plan(msgspec.Struct):
    """Groups that start together, and what is stopped to make room."""

    start_groups: list[list[StartDecision]]
    evictions: list[Eviction]
    is_complete: bool = True


def task_key(job: JobId, index: int) -> TaskKey:
    """Return the key under which a task holds its worker."""
    return TaskKey(f'{job}/{index}')
