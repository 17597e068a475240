"""Commands in the log of a scheduler group.

They are written to the log as arrays, in the order of their fields; the tags
identify their classes.  Times are in seconds since the epoch.
"""

import msgspec

from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer
from cassiahold.cellstate.worker_crashes import AttemptEvidence
from cassiahold.config.document import Configuration
from cassiahold.core.ids import (
    AttemptId,
    GatewayId,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag='submit'):
    """Accepts a job, unless its request id was already used."""

    team: TeamName
    request_id: RequestId
    fingerprint: str
    spec: JobSpec
    submitted_at: float
    traceparent: str = ''


class AttemptStart(msgspec.Struct, frozen=True, array_like=True):
    """The start of one attempt of a task on a worker."""

    job: JobId
    index: int
    attempt: int
    worker: WorkerId
    resources: Resources


class StartTasks(msgspec.Struct, frozen=True, array_like=True, tag='start'):
    """Starts groups of tasks; each group is accepted whole or not at all."""

    groups: list[list[AttemptStart]]


class AttemptResult(msgspec.Struct, frozen=True, array_like=True):
    """The end of one attempt, as reported by its worker.

    ``counts_against_job`` tells whether a failure counts against the job, and
    not against the worker alone.
    """

    job: JobId
    index: int
    attempt: int
    outcome: AttemptOutcome
    note: str = ''
    counts_against_job: bool = True


class EndTasks(msgspec.Struct, frozen=True, array_like=True, tag='end'):
    """Records attempts that workers report as ended."""

    results: list[AttemptResult]
    ended_at: float
    # The worker that reports them, if it says that it is leaving.
    leaving_worker: WorkerId | None = None


class CancelJobs(msgspec.Struct, frozen=True, array_like=True, tag='cancel'):
    """Cancels jobs of a team, or of any team when ``team`` is None.

    An operator's cancellation has no team.
    """

    jobs: list[JobId]
    team: TeamName | None
    cancelled_at: float


class ExpireTasks(msgspec.Struct, frozen=True, array_like=True, tag='expire'):
    """Ends the waiting tasks of jobs whose deadline has passed."""

    jobs: list[JobId]
    expired_at: float


class RegisterWorker(
    msgspec.Struct, frozen=True, array_like=True, tag='worker'
):
    """Registers a worker, or a new incarnation of it after a restart."""

    id: WorkerId
    incarnation: int
    capacity: Resources
    worker_class: str
    rack: str
    speed: float
    registered_at: float
    # Against the attempts of the earlier incarnation, if this is a new one.
    evidence_by_attempt: dict[AttemptId, AttemptEvidence] | None = None
    is_leaving: bool = False


class MarkWorkersLost(msgspec.Struct, frozen=True, array_like=True, tag='lose'):
    """Marks workers as lost; their leases have certainly expired."""

    workers: list[WorkerId]
    lost_at: float
    # For workers that have left for good: also removes their records, which
    # have no allocations any more.
    should_deregister: bool = False
    # Against their attempts, in case the workers turn out to have crashed.
    evidence_by_attempt: dict[AttemptId, AttemptEvidence] | None = None


class DrainWorker(msgspec.Struct, frozen=True, array_like=True, tag='drain'):
    """Drains a worker, so that it gets no new tasks, or ends the drain.

    ``is_leaving`` is set if the worker itself has said so, for as long as this
    incarnation of it lives.
    """

    worker: WorkerId
    is_draining: bool
    is_leaving: bool | None = None


class RegisterGateway(
    msgspec.Struct, frozen=True, array_like=True, tag='gateway'
):
    """Registers the start of a gateway.

    Requests of its earlier incarnation may still be running.
    """

    id: GatewayId
    incarnation: int
    registered_at: float


class AdoptConfiguration(
    msgspec.Struct, frozen=True, array_like=True, tag='configuration'
):
    """Adopts a newer configuration from the coordinator group."""

    version: int
    configuration: Configuration


class AdoptQuotaOffer(
    msgspec.Struct, frozen=True, array_like=True, tag='offer'
):
    """Adopts a newer quota offer from the coordinator group."""

    offer: QuotaOffer


class PruneJobs(msgspec.Struct, frozen=True, array_like=True, tag='prune'):
    """Removes jobs that finished before ``finished_before``."""

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
