"""Which waiting step goes first, and how much time its job has left.

Steps whose job can still be on time come first, by their queue's priority
and their due time; late ones after them, worthless ones last.
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

LATE_FACTOR: typing.Final = 3.0  # objectives after which an answer is worthless


class Standing(enum.IntEnum):
    """What finishing a job can still bring its caller."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Outlook(msgspec.Struct, frozen=True):
    """What a job's specification says of its length.

    ``objective_s`` is how long it may take to be on time;
    ``after_s_by_step`` is the longest chain that follows each step.
    """

    objective_s: float
    after_s_by_step: tuple[float, ...]


class Candidate(msgspec.Struct, frozen=True):
    """A step that may start; ``left_s`` is the time until its job is late.

    ``after_s`` is the longest chain of estimates that follows the step.
    """

    key: StepKey
    record: JobRecord
    spec: StepSpec
    queue: QueuePolicy
    left_s: float = 0.0
    after_s: float = 0.0


def outlook_of(work: WorkflowSpec, queue: QueuePolicy) -> Outlook:
    """Return what estimates say of a job's length."""
    after_s = [0.0 for _ in work.steps]
    for number in range(len(work.steps) - 1, -1, -1):
        step = work.steps[number]
        whole_s = step.expected_s + after_s[number]
        for earlier in step.depends_on:
            after_s[earlier] = max(after_s[earlier], whole_s)
    longest_s = max(
        (
            step.expected_s + follows_s
            for step, follows_s in zip(work.steps, after_s, strict=True)
        ),
        default=0.0,
    )
    return Outlook(
        queue.objective_s + queue.slack_factor * longest_s, tuple(after_s)
    )


def urgency(
    accepted_at: float, queue: QueuePolicy, length_s: float, now: float
) -> tuple[Standing, int, float]:
    """Return a sort key; the smallest goes first.

    ``now`` is the time of day, as is the job's acceptance; ``length_s`` is
    the job's objective.
    """
    age_s = now - accepted_at
    standing = Standing.ON_TIME
    if age_s > LATE_FACTOR * length_s:
        standing = Standing.WORTHLESS
    elif age_s > length_s:
        standing = Standing.LATE
    return standing, queue.priority, accepted_at + length_s


class Backlog:
    """The waiting steps of a state, the most urgent first."""

    def __init__(self, state: WorkflowState) -> None:
        self._state = state
        self._outlook_by_job: dict[JobId, Outlook] = {}

    def candidates(self, time_of_day: float) -> list[Candidate]:
        """Return the steps that are due, in the order of their urgency."""
        ranked = []
        outlook_by_job: dict[JobId, Outlook] = {}
        for key in self._state.waiting_steps():
            record = self._state.job_by_id[key.job]
            queue = self._state.index.queue_by_name.get(record.queue)
            if queue is None:
                continue
            due_at = record.spec.due_at(key.occurrence)
            if due_at > time_of_day:
                continue
            outlook = self._outlook_by_job.get(key.job)
            if outlook is None:
                outlook = outlook_of(record.spec, queue)
            outlook_by_job[key.job] = outlook
            since = due_at or record.accepted_at
            rank = urgency(since, queue, outlook.objective_s, time_of_day)
            candidate = Candidate(
                key,
                record,
                record.spec.steps[key.step_index],
                queue,
                since + outlook.objective_s - time_of_day,
                outlook.after_s_by_step[key.step_index],
            )
            ranked.append((rank, key, candidate))
        self._outlook_by_job = outlook_by_job
        ranked.sort(key=operator.itemgetter(0, 1))
        return [candidate for _, _, candidate in ranked]
