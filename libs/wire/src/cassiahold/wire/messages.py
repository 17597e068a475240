"""Requests and replies between the system's processes.

Each message is a tagged structure.  The tag selects the type to decode, and
decoding checks the types of the fields.  Class names of requests are part of
trace spans and error messages.
"""

import typing

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.cellstate.coordinator_state import Change
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.config.document import Configuration, Key
from cassiahold.core.exceptions import ErrorKind, RetryHint
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
    FailureReason,
    JobKind,
    JobOutcome,
    TaskState,
)

# The log and the messages hold integers of 64 bits, arithmetic adds some up.
MAX_AMOUNT: typing.Final = 9_007_199_254_740_992  # 2**53
MAX_NUMBER: typing.Final = 9_223_372_036_854_775_807  # 2**63 - 1
_MAX_DURATION_S: typing.Final = 31_536_000  # a year
_MAX_SPEED: typing.Final = 1_000_000
_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# Incarnations may be times in nanoseconds.
_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_S)]
_Speed = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_SPEED)]

# Requests of callers, sent by a gateway to a scheduler group.


class Submit(msgspec.Struct, frozen=True, tag='submit'):
    """Submit a job of a team whose key the gateway has verified.

    ``fingerprint`` identifies the content, so that a reused request id with
    other content can be refused.
    """

    team: TeamName
    request: RequestId
    fingerprint: str
    spec: JobSpec
    traceparent: str = ''


class Submitted(msgspec.Struct, frozen=True, tag='submitted'):
    """The job of a request id; ``is_first`` is False for a repeated one."""

    job: JobId
    is_first: bool


class GetJob(msgspec.Struct, frozen=True, tag='get-job'):
    """Ask for the status of a job; ``team`` is None for an operator."""

    job: JobId
    team: TeamName | None


class JobStatus(msgspec.Struct, frozen=True, tag='job', omit_defaults=True):
    """The status of one job; times are Unix times in seconds.

    ``reason`` is set when the job has failed.
    """

    job: JobId
    team: TeamName
    queue: str
    kind: JobKind
    outcome: JobOutcome
    count_by_state: dict[TaskState, int]
    notes: list[str]
    submitted_at: float
    finished_at: float = 0
    reason: FailureReason | None = None


class Why(msgspec.Struct, frozen=True, tag='why'):
    """Ask why a job is waiting; ``team`` is None for an operator."""

    job: JobId
    team: TeamName | None


class WaitReasons(msgspec.Struct, frozen=True, tag='reasons'):
    """Reasons why a job is waiting, as text, the most important first."""

    job: JobId
    reasons: list[str]


class Cancel(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancel jobs of one team, or of any team when ``team`` is None."""

    jobs: list[JobId]
    team: TeamName | None


class CancelResult(msgspec.Struct, frozen=True):
    """The result of cancelling one job."""

    job: JobId
    found: bool
    was_finished: bool = False


class CancelResults(msgspec.Struct, frozen=True, tag='cancelled'):
    """One result for each job of the request, in the same order."""

    results: list[CancelResult]


# Requests of workers, sent by a gateway to a scheduler group.


class RunningAttempt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt in progress on the worker and its current usage."""

    attempt: AttemptId
    cores_m: _Amount = 0
    memory_mb: _Amount = 0


class EndedAttempt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An attempt that ended; reported until a reply confirms it."""

    attempt: AttemptId
    outcome: AttemptOutcome = msgspec.field(name='how')
    note: str = ''
    ran_s: _Seconds = 0


class WorkerReport(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='worker-report',
    kw_only=True,
):
    """Registration of a worker, renewal of its lease and report of attempts.

    ``incarnation`` tells apart the processes of one worker, ``sequence`` the
    reports of one process.  ``term`` is the newest that the worker has seen.
    """

    worker: WorkerId
    incarnation: _Number
    data_centre: DataCentre
    sequence: _Number
    term: _Number = 0
    capacity: Resources
    worker_class: str = ''
    rack: str = ''
    speed: _Speed = 1.0
    running: list[RunningAttempt] = msgspec.field(default_factory=list)
    ended: list[EndedAttempt] = msgspec.field(default_factory=list)
    # The worker is shutting down and starts no more attempts.
    leaving: bool = False


class WorkerCommand(msgspec.Struct, frozen=True, omit_defaults=True):
    """A command to a worker about one attempt."""

    command: CommandKind
    attempt: AttemptId
    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    payload: str = ''
    checkpoint: str = ''
    traceparent: str = ''


class WorkerReportReply(msgspec.Struct, frozen=True, tag='worker-orders'):
    """Reply to a ``WorkerReport``.

    The worker refuses a ``term`` older than one it has seen.  Its lease
    lasts ``lease_s`` from the time at which it sent the report, and its next
    report is due after ``report_in_s``.
    """

    term: int
    lease_s: float
    report_in_s: float
    commands: list[WorkerCommand]
    confirmed: list[AttemptId]


class Drain(msgspec.Struct, frozen=True, tag='drain'):
    """Start or stop draining a worker, which then gets no new tasks."""

    worker: WorkerId
    is_draining: bool


class DrainAccepted(msgspec.Struct, frozen=True, tag='drained'):
    """The worker exists and its draining state has been changed."""

    worker: WorkerId


# Requests of targets, sent by a gateway to a scheduler group.


class TargetReport(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag='target-report',
    kw_only=True,
):
    """Registration of a target or renewal of its lease."""

    target: TargetId
    incarnation: _Number
    data_centre: DataCentre
    service: ServiceName
    address: str
    slots: _Amount
    connections: _Amount
    leaving: bool = False


class TargetReportReply(msgspec.Struct, frozen=True, tag='target-orders'):
    """Reply to a ``TargetReport``."""

    lease_s: float
    report_in_s: float
    # Whether no gateway holds slots of the target any more; a leaving target
    # waits for this, because requests in progress occupy slots.
    is_drained: bool = False


class SlotDemand(msgspec.Struct, frozen=True):
    """Requests for one service at a gateway, waiting or in progress."""

    service: ServiceName
    waiting: int


class HeldSlots(msgspec.Struct, frozen=True):
    """Slots of one target at a gateway, of which ``in_use`` are busy."""

    target: TargetId
    incarnation: int
    slots: int
    in_use: int


class GatewaySync(msgspec.Struct, frozen=True, tag='gateway-sync'):
    """A gateway's demand and its slots, whose lease the reply renews."""

    gateway: GatewayId
    incarnation: int
    sequence: int
    demand: list[SlotDemand]
    held: list[HeldSlots]


class GrantedSlots(msgspec.Struct, frozen=True):
    """Slots of one target that a gateway may use until the lease expires."""

    target: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    connections: int
    is_leaving: bool


class SlotGrants(msgspec.Struct, frozen=True, tag='slots'):
    """Reply to a ``GatewaySync``; slots that are not listed are revoked."""

    term: int
    lease_s: float
    granted: list[GrantedSlots]


# Configuration.


class ChangeConfiguration(msgspec.Struct, frozen=True, tag='change'):
    """Change the configuration; a repeated change is made only once."""

    change: Change


class ConfigurationChanged(msgspec.Struct, frozen=True, tag='changed'):
    """The change was accepted and has created ``version``."""

    version: int


class GetConfiguration(msgspec.Struct, frozen=True, tag='get-configuration'):
    """Ask for the current configuration."""


class CurrentConfiguration(
    msgspec.Struct, frozen=True, tag='current-configuration'
):
    """The current configuration and where it is not yet in force.

    ``waiting_for`` lists the gateways and scheduler groups that do not use
    it yet, and limits that are still exceeded.
    """

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    waiting_for: list[str]


class ConfigurationSync(msgspec.Struct, frozen=True, tag='configuration-sync'):
    """Renewal of a gateway's lease on the configuration."""

    gateway: GatewayId
    host: HostName
    version: int


class ConfigurationLease(
    msgspec.Struct, frozen=True, tag='configuration-lease'
):
    """Reply to a ``ConfigurationSync``.

    The lease lasts ``lease_s`` from the time at which the gateway sent its
    request.  ``update`` is None when it has the newest version.
    """

    lease_s: float
    version: int
    update: 'EffectiveUpdate | None' = None


class EffectiveUpdate(msgspec.Struct, frozen=True):
    """A newer configuration with the keys that are valid under it."""

    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]


class TeamDemand(msgspec.Struct, frozen=True):
    """A team's usage and its additional demand in one data centre."""

    team: TeamName
    usage: ResourceTotals
    waiting: ResourceTotals
    # What the oldest waiting job needs at one time, and how long it has waited.
    oldest_job_demand: ResourceTotals = msgspec.field(
        name='unit', default=ResourceTotals()
    )
    oldest_wait_s: float = 0.0


class SchedulerSync(msgspec.Struct, frozen=True, tag='scheduler-sync'):
    """A scheduler group's adopted version and epochs, and its demand."""

    centre: DataCentre
    version: int
    # The newest epoch whose quotas all usage was within, and the newest epoch
    # that has been adopted.
    kept_epoch: int
    adopted_epoch: int
    demand: list[TeamDemand]


class SchedulerUpdate(msgspec.Struct, frozen=True, tag='scheduler-update'):
    """What a scheduler group has to adopt; None where it is up to date."""

    version: int
    configuration: Configuration | None
    offer: QuotaOffer | None


# Requests of operators.


class GetStatus(msgspec.Struct, frozen=True, tag='status'):
    """Ask a group for its status."""


class WorkerStatus(msgspec.Struct, frozen=True):
    """The status of one worker; ``reserved`` is allocated to attempts."""

    worker: WorkerId
    state: str
    capacity: Resources
    reserved: Resources
    tasks: int


class TeamStatus(msgspec.Struct, frozen=True):
    """The status of one team in one data centre.

    ``allowance`` is the team's quota.  ``share`` and ``entitled_share`` are
    its actual and its fair fraction of the capacity.
    """

    team: TeamName
    usage: ResourceTotals
    allowance: ResourceTotals
    waiting_tasks: int
    entitled_share: float
    share: float


class SchedulerStatus(msgspec.Struct, frozen=True, tag='scheduler-status'):
    """The status of one scheduler group.

    ``never_fitting`` lists waiting jobs that fit on no worker.  ``packing``
    is the used fraction of the capacity in the most used dimension.
    """

    centre: DataCentre
    term: int
    version: int
    workers: list[WorkerStatus]
    teams: list[TeamStatus]
    targets: int
    never_fitting: list[JobId]
    packing: float


class ReplicaStatus(msgspec.Struct, frozen=True):
    """The state of one replica, as it reports it."""

    group: GroupName
    replica: ReplicaId
    role: str
    term: int
    leader: ReplicaId | None
    commit: int
    last_index: int
    membership: Membership


class GetReplicas(msgspec.Struct, frozen=True, tag='replicas'):
    """Ask a process for the status of its replicas, leading or not."""


class Replicas(msgspec.Struct, frozen=True, tag='replica-list'):
    """The status of the replicas of one process."""

    replicas: list[ReplicaStatus]


class ChangeMembers(msgspec.Struct, frozen=True, tag='change-members'):
    """Change the voters and learners of one group."""

    membership: Membership


class MembersChanged(msgspec.Struct, frozen=True, tag='members-changed'):
    """The membership change is committed as the entry at ``index``."""

    index: int


class Refusal(msgspec.Struct, frozen=True, tag='refusal'):
    """The request failed; ``leader`` may be able to serve it.

    ``hint`` describes the load of the process that refused it.
    """

    kind: ErrorKind
    detail: str
    leader: ReplicaId | None = None
    hint: RetryHint | None = None


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
