"""Requests that threads of this process send to its replica's service.

They report the outcomes of requests to workers and advisors and never leave
the process.
"""

import enum

import msgspec

from cassiahold.cell.clients import WorkerReply
from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.model import AttemptKey
from cassiahold.workflows.plans import AdvisorQuery
from cassiahold.workflows.sessions import PollReply


class Delivery(enum.Enum):
    """Whether the tries without a reply may have arrived at the worker.

    ``UNREACHABLE`` means that no try could connect, ``NOT_SENT`` that no
    try was without a reply, mostly as the request was withdrawn before.
    """

    POSSIBLE = 'possible'
    UNREACHABLE = 'unreachable'
    NOT_SENT = 'not_sent'


class GetFirstPoll(msgspec.Struct, frozen=True):
    """Asks for the first poll of a session."""

    worker: WorkerId
    fence: int


class PollDone(msgspec.Struct, frozen=True):
    """Reports the outcome of a poll.

    ``reply`` is None without a reply and when another incarnation replied.
    """

    worker: WorkerId
    fence: int
    reply: PollReply | None
    sent_at: float
    is_other_incarnation: bool = False


class StartDone(msgspec.Struct, frozen=True):
    """Reports a worker's reply to a start; None without a reply."""

    worker: WorkerId
    fence: int
    attempt: AttemptKey
    reply: WorkerReply | None
    delivery: Delivery = Delivery.POSSIBLE


class StopDone(msgspec.Struct, frozen=True):
    """Reports a worker's reply to a stop; None without a reply."""

    worker: WorkerId
    fence: int
    attempt: AttemptKey
    reply: WorkerReply | None


class AdvisorQueryDone(msgspec.Struct, frozen=True):
    """Reports an advisor's reply to a query; None without a reply.

    ``received_at`` is on the steady clock.
    """

    query: AdvisorQuery
    reply: AdvisorReply | None
    received_at: float


class SessionClosed(msgspec.Struct, frozen=True):
    """Reply for a session that has ended; its polling thread terminates."""
