"""Inputs and results of placement passes."""

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import StepKey, WorkerInfo


class AdvisorQuery(msgspec.Struct, frozen=True):
    """A query to a queue's advisor: which of the workers may run a step."""

    step: StepKey
    queue: QueuePolicy
    workers: tuple[WorkerInfo, ...]


class Plan(msgspec.Struct):
    """Result of one pass.

    Each of the ``start_groups`` starts as a whole or not at all.
    """

    start_groups: list[list[AttemptStart]] = msgspec.field(default_factory=list)
    advisor_queries: list[AdvisorQuery] = msgspec.field(default_factory=list)


class PlanningContext(msgspec.Struct, frozen=True):
    """Inputs of a pass beside the replicated state.

    ``usable_workers`` may get new work; those in ``silent_workers`` have not
    replied for a moment and may have crashed unnoticed.  ``now`` is on the
    steady clock, ``unix_time_s`` in seconds since 1970.
    """

    usable_workers: frozenset[WorkerId]
    now: float
    unix_time_s: float
    silent_workers: frozenset[WorkerId] = frozenset()
