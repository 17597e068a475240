"""Interfaces of the clients for workers and advisors, with their messages.

Implementations translate to a wire protocol.  They keep no state beyond their
connections and make no decisions.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.model import AttemptKey, StepKey, WorkerInfo
from cassiahold.workflows.sessions import PollReply


class ReplyStatus(enum.Enum):
    """Status of a worker's reply to a start or stop.

    ``REPLACED`` means that another incarnation replied; ``UNHEALTHY`` that
    the worker did nothing because it is unhealthy; ``SUPERSEDED`` that it has
    seen a higher fence; ``OBSOLETE`` that the attempt or a later one of its
    task has ended; ``NO_TICKET`` that it refused the ticket.
    """

    DONE = 'done'
    REPLACED = 'gone'
    UNHEALTHY = 'sick'
    SUPERSEDED = 'superseded'
    OBSOLETE = 'obsolete'
    DEADLINE_PASSED = 'late'
    NO_CAPACITY = 'no_room'
    NO_TICKET = 'no_ticket'
    INVALID = 'invalid'


class WorkerReply(msgspec.Struct, frozen=True):
    """A worker's reply to a start or stop, with its clock in milliseconds."""

    status: ReplyStatus
    clock_ms: int = 0


class StartRequest(msgspec.Struct, frozen=True):
    """Request to start an attempt.

    ``lease_until_ms`` is on the worker's clock.
    """

    worker: WorkerInfo
    attempt: AttemptKey
    payload: str
    fence: int
    lease_until_ms: int
    checkpoint: str = ''
    ticket_token: str = ''


class StopRequest(msgspec.Struct, frozen=True):
    """Request to stop an attempt."""

    worker: WorkerInfo
    attempt: AttemptKey
    fence: int


class PollRequest(msgspec.Struct, frozen=True):
    """Poll of a worker that renews its lease.

    Ends numbered up to ``last_stored_end`` are stored, and the worker may
    discard them.  It may delay its reply by ``max_wait_s`` until another
    attempt ends.  ``lease_until_ms`` is on the worker's clock, None to renew
    nothing.
    """

    worker: WorkerInfo
    fence: int
    last_stored_end: int
    lease_until_ms: int | None
    max_wait_s: float


class WorkerClient(typing.Protocol):
    """Client of the workers.

    Without a reply, raises ``UNREACHABLE`` when the request cannot have
    arrived and ``OUTCOME_UNKNOWN`` when it may have.
    """

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        """Start an attempt."""

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        """Stop an attempt."""

    def stop_between_polls(
        self, request: StopRequest, timeout_s: float
    ) -> WorkerReply:
        """Stop an attempt over the connection of the worker's polls.

        That connection must not be in use by a poll.
        """

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply | None:
        """Return running and ended attempts.

        Returns None when another incarnation replied.
        """

    def close_idle(self) -> None:
        """Close the connections that are not in use, and others after use."""


class AdvisorClient(typing.Protocol):
    """Client of the advisor for this host; at most one call at a time."""

    def advise(
        self,
        step: StepKey,
        workers: typing.Sequence[WorkerId],
        timeout_s: float,
    ) -> AdvisorReply:
        """Return which of some workers may run a step.

        Raises ``UNREACHABLE`` or ``OUTCOME_UNKNOWN`` without a reply.
        """
