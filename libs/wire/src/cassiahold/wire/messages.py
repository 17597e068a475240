"""Requests and replies between the system's processes.

Each request is a tagged structure; the tag chooses the handler, and the
field types check what arrives.
"""

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.cellstate.coordinator_state import Change
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.config.document import Configuration, Key
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import (
    AttemptId,
    DataCentre,
    GatewayId,
    GroupName,
    HostName,
    JobId,
    KeyId,
    ReplicaId,
    RequestId,
    ServiceName,
    TargetId,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.core.states import (
    AttemptOutcome,
    CommandKind,
    JobKind,
    JobOutcome,
    TaskState,
)

# Callers, through a gateway, to a scheduler group.


class Submit(msgspec.Struct, frozen=True, tag='submit'):
    """Accept a job for a team whose key has been checked."""

    team: TeamName
    request: RequestId
    fingerprint: str
    spec: JobSpec
    traceparent: str = ''


class Submitted(msgspec.Struct, frozen=True, tag='submitted'):
    """The job that a request id stands for."""

    job: JobId
    is_first: bool


class GetJob(msgspec.Struct, frozen=True, tag='get-job'):
    """Ask about one job; None as team means that an operator asks."""

    job: JobId
    team: TeamName | None


class JobStatus(msgspec.Struct, frozen=True, tag='job', omit_defaults=True):
    """What is known about one job."""

    job: JobId
    team: TeamName
    queue: str
    kind: JobKind
    outcome: JobOutcome
    count_by_state: dict[TaskState, int]
    notes: list[str]
    submitted_at: float
    finished_at: float = 0


class Why(msgspec.Struct, frozen=True, tag='why'):
    """Ask why a job waits."""

    job: JobId
    team: TeamName | None


class WaitReasons(msgspec.Struct, frozen=True, tag='reasons'):
    """Reasons in words and figures, the strongest first."""

    job: JobId
    reasons: list[str]


class Cancel(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancel jobs of one team, or of any for an operator."""

    jobs: list[JobId]
    team: TeamName | None


class CancelResult(msgspec.Struct, frozen=True):
    """What became of one cancellation."""

    job: JobId
    found: bool
    was_finished: bool = False


class CancelResults(msgspec.Struct, frozen=True, tag='cancelled'):
    """One result for each job, in the order asked."""

    results: list[CancelResult]


# Workers, through a gateway, to a scheduler group.


class RunningAttempt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt that the worker holds and what it uses now."""

    attempt: AttemptId
    cores_m: int = 0
    memory_mb: int = 0


class EndedAttempt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt that ended; repeated until the answer confirms it."""

    attempt: AttemptId
    outcome: AttemptOutcome = msgspec.field(name='how')
    note: str = ''
    ran_s: float = 0


class WorkerReport(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='worker-report',
    kw_only=True,
):
    """A worker's announcement, renewal and report in one.

    ``term`` is the newest that the worker has seen.
    """

    worker: WorkerId
    incarnation: int
    data_centre: DataCentre
    sequence: int
    term: int = 0
    capacity: Resources
    worker_class: str = ''
    rack: str = ''
    speed: float = 1.0
    running: list[RunningAttempt] = msgspec.field(default_factory=list)
    ended: list[EndedAttempt] = msgspec.field(default_factory=list)
    # The worker is leaving: it takes no more starts.
    leaving: bool = False


class WorkerCommand(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the worker must do with one attempt."""

    command: CommandKind
    attempt: AttemptId
    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    payload: str = ''
    checkpoint: str = ''
    traceparent: str = ''


class WorkerReportReply(msgspec.Struct, frozen=True, tag='worker-orders'):
    """Answer to a report.

    The worker refuses a ``term`` older than one it has seen.  Its lease
    runs for ``lease_s`` from the moment it sent the report.
    """

    term: int
    lease_s: float
    report_in_s: float
    commands: list[WorkerCommand]
    confirmed: list[AttemptId]


class Drain(msgspec.Struct, frozen=True, tag='drain'):
    """Stop or resume placing tasks on a worker."""

    worker: WorkerId
    is_draining: bool


class DrainAccepted(msgspec.Struct, frozen=True, tag='drained'):
    """The worker is known and the order is in force."""

    worker: WorkerId


# Targets, through a gateway, to a scheduler group.


class TargetReport(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='target-report',
    kw_only=True,
):
    """A target announces itself or renews."""

    target: TargetId
    incarnation: int
    data_centre: DataCentre
    service: ServiceName
    address: str
    slots: int
    connections: int
    leaving: bool = False


class TargetReportReply(msgspec.Struct, frozen=True, tag='target-orders'):
    """Answer to a target's report."""

    lease_s: float
    report_in_s: float
    # Requests in progress at the gateways that a leaving target waits for.
    is_drained: bool = False


class SlotDemand(msgspec.Struct, frozen=True):
    """What one gateway wants and still uses of one service."""

    service: ServiceName
    waiting: int


class HeldSlots(msgspec.Struct, frozen=True):
    """Slots of one target that a gateway has in use or keeps."""

    target: TargetId
    incarnation: int
    slots: int
    in_use: int


class GatewaySync(msgspec.Struct, frozen=True, tag='gateway-sync'):
    """A gateway reports demand and holdings and renews its slots."""

    gateway: GatewayId
    incarnation: int
    sequence: int
    demand: list[SlotDemand]
    held: list[HeldSlots]


class GrantedSlots(msgspec.Struct, frozen=True):
    """Slots of one target that a gateway may use until the lease lapses."""

    target: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    connections: int
    is_leaving: bool


class SlotGrants(msgspec.Struct, frozen=True, tag='slots'):
    """Answer to a gateway; what is not listed must be let go."""

    term: int
    lease_s: float
    granted: list[GrantedSlots]


# Configuration.


class ChangeConfiguration(msgspec.Struct, frozen=True, tag='change'):
    """Change the configuration once."""

    change: Change


class ConfigurationChanged(msgspec.Struct, frozen=True, tag='changed'):
    """The change is accepted as ``version``."""

    version: int


class GetConfiguration(msgspec.Struct, frozen=True, tag='get-configuration'):
    """Ask for the configuration in force."""


class CurrentConfiguration(
    msgspec.Struct, frozen=True, tag='current-configuration'
):
    """The configuration in force and where it is not yet."""

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    waiting_for: list[str]


class ConfigurationSync(msgspec.Struct, frozen=True, tag='configuration-sync'):
    """A gateway renews its lease on the configuration."""

    gateway: GatewayId
    host: HostName
    version: int


class ConfigurationLease(
    msgspec.Struct, frozen=True, tag='configuration-lease'
):
    """The lease runs from when the gateway sent its request.

    ``update`` is None when the gateway has the newest version.
    """

    lease_s: float
    version: int
    update: 'EffectiveUpdate | None' = None


class EffectiveUpdate(msgspec.Struct, frozen=True):
    """A newer configuration with its usable keys."""

    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]


class TeamDemand(msgspec.Struct, frozen=True):
    """What a team uses and would use more in one data centre."""

    team: TeamName
    usage: ResourceTotals
    waiting: ResourceTotals
    # What the oldest waiting job needs at once, and how long it has waited.
    oldest_job_demand: ResourceTotals = msgspec.field(
        name='unit', default=ResourceTotals()
    )
    oldest_wait_s: float = 0.0


class SchedulerSync(msgspec.Struct, frozen=True, tag='scheduler-sync'):
    """A scheduler group's leader reports what it has adopted."""

    centre: DataCentre
    version: int
    # Newest epoch within which everything runs, and the newest adopted.
    kept_epoch: int
    adopted_epoch: int
    demand: list[TeamDemand]


class SchedulerUpdate(msgspec.Struct, frozen=True, tag='scheduler-update'):
    """What a scheduler group should adopt; None where it is up to date."""

    version: int
    configuration: Configuration | None
    offer: QuotaOffer | None


# Operators.


class GetStatus(msgspec.Struct, frozen=True, tag='status'):
    """Ask a group for its figures."""


class WorkerStatus(msgspec.Struct, frozen=True):
    """One worker as the group sees it."""

    worker: WorkerId
    state: str
    capacity: Resources
    reserved: Resources
    tasks: int


class TeamStatus(msgspec.Struct, frozen=True):
    """One team in one data centre."""

    team: TeamName
    usage: ResourceTotals
    allowance: ResourceTotals
    waiting_tasks: int
    entitled_share: float
    share: float


class SchedulerStatus(msgspec.Struct, frozen=True, tag='scheduler-status'):
    """Figures of one scheduler group."""

    centre: DataCentre
    term: int
    version: int
    workers: list[WorkerStatus]
    teams: list[TeamStatus]
    targets: int
    never_fitting: list[JobId]
    packing: float


class ReplicaStatus(msgspec.Struct, frozen=True):
    """One replica's own view."""

    group: GroupName
    replica: ReplicaId
    role: str
    term: int
    leader: ReplicaId | None
    commit: int
    last_index: int
    membership: Membership


class GetReplicas(msgspec.Struct, frozen=True, tag='replicas'):
    """Ask a process for its replicas, whoever leads."""


class Replicas(msgspec.Struct, frozen=True, tag='replica-list'):
    """The replicas of one process."""

    replicas: list[ReplicaStatus]


class ChangeMembers(msgspec.Struct, frozen=True, tag='change-members'):
    """Change who votes and who learns in one group."""

    membership: Membership


class MembersChanged(msgspec.Struct, frozen=True, tag='members-changed'):
    """The change is committed."""

    index: int


class Refusal(msgspec.Struct, frozen=True, tag='refusal'):
    """The request was not served; ``leader`` says who might."""

    kind: ErrorKind
    detail: str
    leader: ReplicaId | None = None


Request = (
    Submit
    | GetJob
    | Why
    | Cancel
    | WorkerReport
    | Drain
    | TargetReport
    | GatewaySync
    | ChangeConfiguration
    | GetConfiguration
    | ConfigurationSync
    | SchedulerSync
    | GetStatus
    | GetReplicas
    | ChangeMembers
)
Reply = (
    Submitted
    | JobStatus
    | WaitReasons
    | CancelResults
    | WorkerReportReply
    | DrainAccepted
    | TargetReportReply
    | SlotGrants
    | ConfigurationChanged
    | CurrentConfiguration
    | ConfigurationLease
    | SchedulerUpdate
    | SchedulerStatus
    | Replicas
    | MembersChanged
    | Refusal
)
