"""Requests and replies between the cell's processes.

Tags and field names are part of the wire format.
"""

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.exceptions import ErrorKind, RetryHint
from cassiahold.core.ids import ReplicaId, WorkerId
from cassiahold.wire.messages import Refusal
from cassiahold.wire.transport import make_codec
from cassiahold.workflows.configuration import CellConfiguration
from cassiahold.workflows.model import (
    JobState,
    StepKey,
    WorkerInfo,
    WorkflowSpec,
)


class SubmitWork(msgspec.Struct, frozen=True, tag='submit'):
    """Submits a job; the path is the queue's prefix followed by the job id."""

    host: str
    path: str
    key: str
    spec: WorkflowSpec


class GetWork(msgspec.Struct, frozen=True, tag='get'):
    """Asks for a job's state, or for the queue's length without a job id."""

    host: str
    path: str
    key: str


class CancelWork(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancels the job whose id ends the path."""

    host: str
    path: str
    key: str


class PutCellConfiguration(msgspec.Struct, frozen=True, tag='configure'):
    """Submits a configuration; the highest version is in force.

    ``source`` is the operator's document as it was received.
    """

    configuration: CellConfiguration
    source: bytes


class GetCellConfiguration(msgspec.Struct, frozen=True, tag='read'):
    """Asks for the operator's document of the configuration in force."""


class WorkerBeat(msgspec.Struct, frozen=True, tag='beat'):
    """A worker's heartbeat; ``sequence`` increases within an incarnation."""

    info: WorkerInfo
    sequence: int


class WorkerLeft(msgspec.Struct, frozen=True, tag='left'):
    """A worker deregisters; ``incarnation`` is 0 when it is not given."""

    id: WorkerId
    incarnation: int = msgspec.field(name='born')


class Locate(msgspec.Struct, frozen=True, tag='locate'):
    """Asks any replica for its view of the group."""


class AskJoin(msgspec.Struct, frozen=True, tag='join'):
    """Asks the leader to admit a replica to the group."""

    replica: ReplicaId


class OfferHelp(msgspec.Struct, frozen=True, tag='help'):
    """Offers the leader to send advisor queries from this process's host.

    ``address`` is empty when the process has no advisor; the request then
    only checks that the leader can be reached.
    """

    address: str


class AskAdvisor(msgspec.Struct, frozen=True, tag='advise'):
    """Asks a process to query the advisor from its host."""

    step: StepKey
    workers: tuple[WorkerId, ...]
    timeout_s: float


class JobAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The job is stored; ``is_first`` is False if it already was."""

    is_first: bool


class JobStatus(msgspec.Struct, frozen=True, tag='status'):
    """A job's state."""

    state: JobState


class QueueLength(msgspec.Struct, frozen=True, tag='length'):
    """How many accepted jobs of a queue have not started."""

    unstarted_jobs: int = msgspec.field(name='waiting')


class Acknowledged(msgspec.Struct, frozen=True, tag='ok'):
    """The request was carried out or required no change."""


class ConfigurationSource(msgspec.Struct, frozen=True, tag='source'):
    """The operator's document of the configuration in force."""

    source: bytes


class HeartbeatAccepted(msgspec.Struct, frozen=True, tag='beaten'):
    """The leader at ``leader_address`` has received the heartbeat."""

    leader_address: str


class GroupView(msgspec.Struct, frozen=True, tag='view'):
    """A replica's view of its group."""

    leader: ReplicaId | None
    term: int
    membership: Membership


class AdvisorQueryReply(msgspec.Struct, frozen=True, tag='advice'):
    """An advisor's reply: the allowed workers and their ticket tokens."""

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
    | Locate
    | AskJoin
    | OfferHelp
    | AskAdvisor
)
CellReply = (
    JobAccepted
    | JobStatus
    | QueueLength
    | Acknowledged
    | ConfigurationSource
    | HeartbeatAccepted
    | GroupView
    | AdvisorQueryReply
    | Refusal
)
CODEC = make_codec(CellRequest, CellReply)


def request_flow(request: CellRequest) -> str:
    """Return the flow of a request, for admission to the leader.

    Requests of callers are told apart by their key, others by their type.
    """
    if isinstance(request, SubmitWork | GetWork | CancelWork):
        return f'key {request.key}'
    return type(request).__name__


def make_refusal(
    kind: ErrorKind,
    detail: str,
    leader: ReplicaId | None = None,
    hint: RetryHint | None = None,
) -> Refusal:
    """Return the reply for an error, naming the leader if it is known."""
    return Refusal(kind, detail, leader, hint)
