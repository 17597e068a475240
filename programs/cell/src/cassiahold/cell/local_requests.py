"""Requests of this process's own threads to its replica's service."""

import msgspec

from cassiahold.cell.ports import OrderReply
from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advising import Advice
from cassiahold.workflows.model import RunKey
from cassiahold.workflows.planning import Question
from cassiahold.workflows.sessions import WorkerView


class GetFirstPoll(msgspec.Struct, frozen=True):
    """Asks for the order of a session's first look."""

    worker: WorkerId
    fence: int


class PollDone(msgspec.Struct, frozen=True):
    """Brings a look; ``view`` is None without an answer."""

    worker: WorkerId
    fence: int
    reply: WorkerView | None
    sent_at: float
    is_other_incarnation: bool = False


class StartDone(msgspec.Struct, frozen=True):
    """Brings a worker's answer to a start; None without an answer."""

    worker: WorkerId
    fence: int
    run: RunKey
    reply: OrderReply | None


class StopDone(msgspec.Struct, frozen=True):
    """Brings a worker's answer to a stop; None without an answer."""

    worker: WorkerId
    fence: int
    run: RunKey
    reply: OrderReply | None


class AdvisorQueryDone(msgspec.Struct, frozen=True):
    """Brings an advisor's answer; None without one."""

    query: Question
    answer: Advice | None


class SessionClosed(msgspec.Struct, frozen=True):
    """The session is over; its thread ends."""
