"""What the cell asks of the outside: workers and advisors.

Implementations translate to a protocol; they keep no state beyond their
connections and decide nothing.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.model import AttemptKey, StepKey, WorkerInfo
from cassiahold.workflows.sessions import PollReply


class ReplyStatus(enum.Enum):
    """How a worker answered an order.

    ``GONE`` means that another incarnation answered; ``SICK`` that the
    worker did nothing because it is unhealthy; ``SUPERSEDED`` that it has
    seen a higher fence; ``OBSOLETE`` that the run or a later one has ended.
    """

    DONE = 'done'
    REPLACED = 'gone'
    UNHEALTHY = 'sick'
    SUPERSEDED = 'superseded'
    OBSOLETE = 'obsolete'
    DEADLINE_PASSED = 'late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    INVALID = 'invalid'


class WorkerReply(msgspec.Struct, frozen=True):
    """A worker's answer to an order and its clock in milliseconds."""

    answer: ReplyStatus
    clock_ms: int = 0


class StartRequest(msgspec.Struct, frozen=True):
    """A start; ``until_ms`` is on the worker's clock."""

    worker: WorkerInfo
    attempt: AttemptKey
    payload: str
    fence: int
    lease_until_ms: int
    checkpoint: str = ''
    ticket_token: str = ''


class StopRequest(msgspec.Struct, frozen=True):
    """A stop."""

    worker: WorkerInfo
    attempt: AttemptKey
    fence: int


class PollRequest(msgspec.Struct, frozen=True):
    """A look at a worker that renews its lease.

    Ends up to ``last_seen`` are stored and may be forgotten; the worker
    may wait ``wait_s`` for another one.
    """

    worker: WorkerInfo
    fence: int
    last_stored_end: int
    lease_until_ms: int | None
    max_wait_s: float


class WorkerClient(typing.Protocol):
    """Calls to workers; each raises ``OUTCOME_UNKNOWN`` without an answer."""

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        """Start a run."""

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        """Stop a run."""

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply | None:
        """Return runs and ends; None when another incarnation answered."""


class AdvisorClient(typing.Protocol):
    """Calls to the advisor from this host, one at a time."""

    def advise(
        self,
        step: StepKey,
        workers: typing.Sequence[WorkerId],
        timeout_s: float,
    ) -> AdvisorReply:
        """Return the allowed workers; raises ``OUTCOME_UNKNOWN``."""
