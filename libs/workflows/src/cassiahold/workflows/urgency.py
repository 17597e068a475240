"""Order of the waiting steps by priority and deadline.

Steps whose job can still be on time come first, ordered by the priority of
their queue and by deadline.  Steps of late jobs follow, then those of jobs
that are too late to be useful.
"""

import enum
import operator
import typing

import msgspec

from cassiahold.core.ids import JobId
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import (
    JobRecord,
    StepKey,
    StepSpec,
    WorkflowSpec,
)
from cassiahold.workflows.state import WorkflowState

# A result is useless to its caller after this multiple of the deadline.
TOO_LATE_FACTOR: typing.Final = 3.0


class Timeliness(enum.IntEnum):
    """Whether finishing a job is still useful to its caller."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class DeadlineEstimate(msgspec.Struct, frozen=True):
    """Relative deadline of a job, derived from its estimated durations.

    A job is on time when it takes at most ``relative_deadline_s``;
    ``downstream_s_by_step`` is the longest chain of estimates that follows
    each step.
    """

    relative_deadline_s: float
    downstream_s_by_step: tuple[float, ...]


class Candidate(msgspec.Struct, frozen=True):
    """A step that may start.

    ``time_left_s`` is the time until its job is late, ``downstream_s`` the
    longest chain of estimates that follows the step.
    """

    key: StepKey
    record: JobRecord
    spec: StepSpec
    queue: QueuePolicy
    time_left_s: float = 0.0
    downstream_s: float = 0.0


def estimate_deadline(
    spec: WorkflowSpec, queue: QueuePolicy
) -> DeadlineEstimate:
    """Return the deadline that follows from a job's estimated durations.

    Steps depend on earlier ones only, so one backward pass finds the chains.
    """
    downstream_s = [0.0 for _ in spec.steps]
    for index in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[index]
        chain_s = step.expected_s + downstream_s[index]
        for earlier in step.depends_on:
            downstream_s[earlier] = max(downstream_s[earlier], chain_s)
    longest_chain_s = max(
        (
            step.expected_s + later_s
            for step, later_s in zip(spec.steps, downstream_s, strict=True)
        ),
        default=0.0,
    )
    return DeadlineEstimate(
        queue.objective_s + queue.slack_factor * longest_chain_s,
        tuple(downstream_s),
    )


def urgency_key(
    reference_at: float,
    queue: QueuePolicy,
    relative_deadline_s: float,
    now: float,
) -> tuple[Timeliness, int, float]:
    """Return a sort key; the smallest is the most urgent.

    ``reference_at`` is when the job was accepted or its occurrence was due;
    it and ``now`` are in seconds since 1970.
    """
    age_s = now - reference_at
    timeliness = Timeliness.ON_TIME
    if age_s > TOO_LATE_FACTOR * relative_deadline_s:
        timeliness = Timeliness.TOO_LATE
    elif age_s > relative_deadline_s:
        timeliness = Timeliness.LATE
    return timeliness, queue.priority, reference_at + relative_deadline_s


class Backlog:
    """The waiting steps of a state in the order of their urgency.

    Caches the deadline estimates of the jobs between calls.
    """

    def __init__(self, state: WorkflowState) -> None:
        self._state = state
        self._estimate_by_job: dict[JobId, DeadlineEstimate] = {}

    def candidates(self, unix_time_s: float) -> list[Candidate]:
        """Return the steps that may start now, the most urgent first."""
        ranked = []
        estimate_by_job: dict[JobId, DeadlineEstimate] = {}
        for key in self._state.waiting_steps():
            record = self._state.job_by_id[key.job]
            queue = self._state.queue_of(record)
            if queue is None:
                continue
            due_at = record.spec.due_at(key.occurrence)
            if due_at > unix_time_s:
                continue
            estimate = self._estimate_by_job.get(key.job)
            if estimate is None:
                estimate = estimate_deadline(record.spec, queue)
            estimate_by_job[key.job] = estimate
            reference_at = due_at or record.accepted_at
            sort_key = urgency_key(
                reference_at, queue, estimate.relative_deadline_s, unix_time_s
            )
            candidate = Candidate(
                key,
                record,
                record.spec.steps[key.step_index],
                queue,
                reference_at + estimate.relative_deadline_s - unix_time_s,
                estimate.downstream_s_by_step[key.step_index],
            )
            ranked.append((sort_key, key, candidate))
        self._estimate_by_job = estimate_by_job
        ranked.sort(key=operator.itemgetter(0, 1))
        return [candidate for _, _, candidate in ranked]
