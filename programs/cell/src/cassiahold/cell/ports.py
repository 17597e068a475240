"""What the cell asks of the outside: workers and advisors.

Implementations translate to a protocol; they keep no state beyond their
connections and decide nothing.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advising import Advice
from cassiahold.workflows.model import RunKey, StepKey, WorkerInfo
from cassiahold.workflows.sessions import WorkerView


class Answer(enum.Enum):
    """How a worker answered an order.

    ``GONE`` means that another incarnation answered; ``SICK`` that the
    worker did nothing because it is unhealthy; ``SUPERSEDED`` that it has
    seen a higher fence; ``OBSOLETE`` that the run or a later one has ended.
    """

    DONE = 'done'
    GONE = 'gone'
    SICK = 'sick'
    SUPERSEDED = 'superseded'
    OBSOLETE = 'obsolete'
    LATE = 'late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    INVALID = 'invalid'


class OrderReply(msgspec.Struct, frozen=True):
    """A worker's answer to an order and its clock in milliseconds."""

    answer: Answer
    clock_ms: int = 0


class StartOrder(msgspec.Struct, frozen=True):
    """A start; ``until_ms`` is on the worker's clock."""

    worker: WorkerInfo
    run: RunKey
    payload: str
    fence: int
    until_ms: int
    saved: str = ''
    token: str = ''


class StopOrder(msgspec.Struct, frozen=True):
    """A stop."""

    worker: WorkerInfo
    run: RunKey
    fence: int


class LookOrder(msgspec.Struct, frozen=True):
    """A look at a worker that renews its lease.

    Ends up to ``last_seen`` are stored and may be forgotten; the worker
    may wait ``wait_s`` for another one.
    """

    worker: WorkerInfo
    fence: int
    last_seen: int
    until_ms: int | None
    wait_s: float


class WorkerCalls(typing.Protocol):
    """Calls to workers; each raises ``OUTCOME_UNKNOWN`` without an answer."""

    def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        """Start a run."""

    def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        """Stop a run."""

    def look(self, order: LookOrder, timeout_s: float) -> WorkerView | None:
        """Return runs and ends; None when another incarnation answered."""


class AdvisorCalls(typing.Protocol):
    """Calls to the advisor from this host, one at a time."""

    def advise(
        self,
        step: StepKey,
        workers: typing.Sequence[WorkerId],
        timeout_s: float,
    ) -> Advice:
        """Return the allowed workers; raises ``OUTCOME_UNKNOWN``."""
