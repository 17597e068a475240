"""Requests of this process's own threads to its replica's service."""

import msgspec

from cassiahold.cell.clients import WorkerReply
from cassiahold.core.ids import WorkerId
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.model import AttemptKey
from cassiahold.workflows.planning import AdvisorQuery
from cassiahold.workflows.sessions import PollReply


class NextLook(msgspec.Struct, frozen=True):
    """Asks for the order of a session's first look."""

    worker: WorkerId
    fence: int


class LookDone(msgspec.Struct, frozen=True):
    """Brings a look; ``view`` is None without an answer."""

    worker: WorkerId
    fence: int
    view: PollReply | None
    sent_at: float
    is_other_incarnation: bool = False


class StartDone(msgspec.Struct, frozen=True):
    """Brings a worker's answer to a start; None without an answer."""

    worker: WorkerId
    fence: int
    run: AttemptKey
    reply: WorkerReply | None


class StopDone(msgspec.Struct, frozen=True):
    """Brings a worker's answer to a stop; None without an answer."""

    worker: WorkerId
    fence: int
    run: AttemptKey
    reply: WorkerReply | None


class AdviceDone(msgspec.Struct, frozen=True):
    """Brings an advisor's answer; None without one."""

    question: AdvisorQuery
    advice: AdvisorReply | None


class SessionClosed(msgspec.Struct, frozen=True):
    """The session is over; its thread ends."""
