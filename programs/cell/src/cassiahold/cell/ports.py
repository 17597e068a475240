"""Interfaces of the clients for workers and advisors, with their messages.

Implementations translate to a wire protocol.  They keep no state beyond their
connections and make no decisions.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advising import Advice
from cassiahold.workflows.model import RunKey, StepKey, WorkerInfo
from cassiahold.workflows.sessions import WorkerView


class Answer(enum.Enum):
    """Status of a worker's reply to a start or stop.

    ``REPLACED`` means that another incarnation replied; ``UNHEALTHY`` that
    the worker did nothing because it is unhealthy; ``SUPERSEDED`` that it has
    seen a higher fence; ``OBSOLETE`` that the attempt or a later one of its
    task has ended.
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
    """A worker's reply to a start or stop, with its clock in milliseconds."""

    status: Answer
    clock_ms: int = 0


class StartOrder(msgspec.Struct, frozen=True):
    """Request to start an attempt.

    ``lease_until_ms`` is on the worker's clock.
    """

    worker: WorkerInfo
    run: RunKey
    payload: str
    fence: int
    until_ms: int
    saved: str = ''
    token: str = ''


class StopOrder(msgspec.Struct, frozen=True):
    """Request to stop an attempt."""

    worker: WorkerInfo
    run: RunKey
    fence: int


class LookOrder(msgspec.Struct, frozen=True):
    """Poll of a worker that renews its lease.

    Ends numbered up to ``last_stored_end`` are stored, and the worker may
    discard them.  It may delay its reply by ``max_wait_s`` until another
    attempt ends.  ``lease_until_ms`` is on the worker's clock, None to renew
    nothing.
    """

    worker: WorkerInfo
    fence: int
    last_seen: int
    until_ms: int | None
    wait_s: float


class WorkerCalls(typing.Protocol):
    """Client of the workers; raises ``OUTCOME_UNKNOWN`` without a reply."""

    def start(self, order: StartOrder, timeout_s: float) -> OrderReply:
        """Start an attempt."""

    def stop(self, order: StopOrder, timeout_s: float) -> OrderReply:
        """Stop an attempt."""

    def look(self, order: LookOrder, timeout_s: float) -> WorkerView | None:
        """Return running and ended attempts.

        Returns None when another incarnation replied.
        """


class AdvisorCalls(typing.Protocol):
    """Client of the advisor for this host; at most one call at a time."""

    def advise(
        self,
        step: StepKey,
        workers: typing.Sequence[WorkerId],
        timeout_s: float,
    ) -> Advice:
        """Return which of some workers may run a step.

        Raises ``OUTCOME_UNKNOWN`` without a reply.
        """
