"""Requests and replies between the cell's processes."""

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import ReplicaId, WorkerId
from cassiahold.wire.messages import Refusal
from cassiahold.wire.transport import make_codec
from cassiahold.workflows.configuration import CellConfiguration
from cassiahold.workflows.model import (
    JobState,
    StepKey,
    WorkerInfo,
    WorkSpec,
)


class SubmitWork(msgspec.Struct, frozen=True, tag='submit'):
    """Hands a job in at a queue's place; the job's id ends the path."""

    host: str
    path: str
    key: str
    spec: WorkSpec


class GetWork(msgspec.Struct, frozen=True, tag='get'):
    """Asks for a job's state, or for a queue's length without an id."""

    host: str
    path: str
    key: str


class CancelWork(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancels a job."""

    host: str
    path: str
    key: str


class PutCellConfiguration(msgspec.Struct, frozen=True, tag='configure'):
    """Offers a configuration; the highest version is in force."""

    configuration: CellConfiguration
    source: bytes


class GetCellConfiguration(msgspec.Struct, frozen=True, tag='read'):
    """Asks for the operator's document that is in force."""


class WorkerBeat(msgspec.Struct, frozen=True, tag='beat'):
    """A worker's heartbeat; ``sequence`` grows within an incarnation."""

    info: WorkerInfo
    sequence: int


class WorkerLeft(msgspec.Struct, frozen=True, tag='left'):
    """A worker ends; ``born`` is 0 when it did not say."""

    id: WorkerId
    incarnation: int = msgspec.field(name='born')


class GetGroupView(msgspec.Struct, frozen=True, tag='locate'):
    """Asks any replica for its view of the group."""


class JoinGroup(msgspec.Struct, frozen=True, tag='join'):
    """Asks the leader to admit a replica."""

    replica: ReplicaId


class OfferHelp(msgspec.Struct, frozen=True, tag='help'):
    """Tells the leader of a process that can call advisors for it.

    ``address`` is empty when the process has no advisor.
    """

    address: str


class QueryAdvisor(msgspec.Struct, frozen=True, tag='advise'):
    """Asks a process to call the advisor from its host."""

    step: StepKey
    workers: tuple[WorkerId, ...]
    timeout_s: float


class JobAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The job is stored."""

    is_first: bool


class WorkStatus(msgspec.Struct, frozen=True, tag='status'):
    """A job's state."""

    state: JobState


class QueueLength(msgspec.Struct, frozen=True, tag='length'):
    """How many accepted jobs of a queue have not begun."""

    waiting: int


class Acknowledged(msgspec.Struct, frozen=True, tag='ok'):
    """The request is stored or needed no storing."""


class ConfigurationSource(msgspec.Struct, frozen=True, tag='source'):
    """The document in force."""

    source: bytes


class HeartbeatAccepted(msgspec.Struct, frozen=True, tag='beaten'):
    """The heartbeat is known to the leader at ``leader_host``."""

    leader_address: str


class GroupView(msgspec.Struct, frozen=True, tag='view'):
    """How a replica sees its group."""

    leader: ReplicaId | None
    term: int
    membership: Membership


class AdvisorAnswered(msgspec.Struct, frozen=True, tag='advice'):
    """An advisor's answer: tokens by allowed worker."""

    token_by_worker: dict[WorkerId, str]
    validity_s: float


CellRequest = (
    SubmitWork
    | GetWork
    | CancelWork
    | PutCellConfiguration
    | GetCellConfiguration
    | WorkerBeat
    | WorkerLeft
    | GetGroupView
    | JoinGroup
    | OfferHelp
    | QueryAdvisor
)
CellReply = (
    JobAccepted
    | WorkStatus
    | QueueLength
    | Acknowledged
    | ConfigurationSource
    | HeartbeatAccepted
    | GroupView
    | AdvisorAnswered
    | Refusal
)
CODEC = make_codec(CellRequest, CellReply)


def make_refusal(
    kind: ErrorKind, detail: str, leader: ReplicaId | None = None
) -> Refusal:
    """Return the reply for an error."""
    return Refusal(kind, detail, leader)
