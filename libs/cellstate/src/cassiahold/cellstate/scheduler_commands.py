"""Commands of a scheduler group's log; times are seconds since the epoch."""

import msgspec

from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer
from cassiahold.config.document import Configuration
from cassiahold.core.ids import GatewayId, JobId, RequestId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag='submit'):
    """Accepts a job, or finds it again by its request id."""

    team: TeamName
    request: RequestId
    fingerprint: str
    spec: JobSpec
    at: float
    traceparent: str = ''


class AttemptStart(msgspec.Struct, frozen=True, array_like=True):
    """One attempt on one worker."""

    job: JobId
    index: int
    attempt: int
    worker: WorkerId
    resources: Resources


class StartTasks(msgspec.Struct, frozen=True, array_like=True, tag='start'):
    """Starts; each group is accepted whole or not at all."""

    groups: list[list[AttemptStart]]


class AttemptResult(msgspec.Struct, frozen=True, array_like=True):
    """How one attempt ended; ``blames_job`` counts it against the job."""

    job: JobId
    index: int
    attempt: int
    outcome: AttemptOutcome
    note: str = ''
    counts_against_job: bool = True


class EndTasks(msgspec.Struct, frozen=True, array_like=True, tag='end'):
    """Attempts that their workers report as ended."""

    ends: list[AttemptResult]
    at: float


class CancelJobs(msgspec.Struct, frozen=True, array_like=True, tag='cancel'):
    """Cancels jobs; None as team means that an operator asks."""

    jobs: list[JobId]
    team: TeamName | None
    at: float


class ExpireTasks(msgspec.Struct, frozen=True, array_like=True, tag='expire'):
    """Gives up the waiting tasks of jobs whose deadline has passed."""

    jobs: list[JobId]
    at: float


class RegisterWorker(
    msgspec.Struct, frozen=True, array_like=True, tag='worker'
):
    """A worker announces itself or has started anew."""

    id: WorkerId
    incarnation: int
    capacity: Resources
    worker_class: str
    rack: str
    speed: float
    at: float


class MarkWorkersLost(msgspec.Struct, frozen=True, array_like=True, tag='lose'):
    """The leases of workers have surely lapsed."""

    workers: list[WorkerId]
    at: float
    # Workers that have left for good are forgotten once empty.
    should_deregister: bool = False


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag='drain'):
    """A worker gets no new tasks, or gets them again."""

    worker: WorkerId
    is_draining: bool


class RegisterGateway(
    msgspec.Struct, frozen=True, array_like=True, tag='gateway'
):
    """A gateway has started; its earlier requests may still be running."""

    id: GatewayId
    incarnation: int
    at: float


class AdoptConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag='configuration'
):
    """Newer configuration from the coordinator group."""

    version: int
    configuration: Configuration


class AdoptQuotaOffer(
    msgspec.Struct, frozen=True, array_like=True, tag='offer'
):
    """Newer allotment from the coordinator group."""

    offer: QuotaOffer


class PruneJobs(msgspec.Struct, frozen=True, array_like=True, tag='prune'):
    """Forgets jobs that finished before ``finished_before``."""

    finished_before: float


SchedulerCommand = (
    SubmitJob
    | StartTasks
    | EndTasks
    | CancelJobs
    | ExpireTasks
    | RegisterWorker
    | MarkWorkersLost
    | DrainWorker
    | RegisterGateway
    | AdoptConfiguration
    | AdoptQuotaOffer
    | PruneJobs
)
encode_command = msgspec.msgpack.Encoder().encode
decode_command = msgspec.msgpack.Decoder(SchedulerCommand).decode
