"""Commands of the cell's replicated log and the effects of applying them.

Commands are encoded with MessagePack.  Their tags and field names are part of
the stored log format.  Effects stay in the process.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import JobId, QueueName, TeamName, WorkerId
from cassiahold.workflows.configuration import CellConfiguration, QueuePlace
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.identities import IdentityChanges
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    IncarnationKey,
    JobState,
    StepKey,
    WorkerInfo,
    WorkflowSpec,
)

# Of an incarnation that a poll found; each of its heartbeats is newer.
NO_HEARTBEAT_SEQUENCE: typing.Final = -1


class AcceptJob(msgspec.Struct, frozen=True, tag='accept'):
    """Stores a job unless one with the same id is already stored.

    ``place`` identifies its queue and ``key`` its team when the command is
    applied.  Logs written before they were added have only the names, which
    may have changed.
    """

    id: JobId
    queue: QueueName
    team: TeamName
    spec: WorkflowSpec
    accepted_at: float = msgspec.field(name='at')
    place: QueuePlace | None = None
    key: str = ''


class CancelJob(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancels a job that has not finished."""

    id: JobId
    cancelled_at: float = msgspec.field(name='at')


class AttemptStart(msgspec.Struct, frozen=True, array_like=True):
    """Allocates resources to an attempt before its start is sent."""

    attempt: AttemptKey
    worker: WorkerId
    incarnation: int


class StartAttempts(msgspec.Struct, frozen=True, tag='start'):
    """Starts groups of attempts; each group starts as a whole or not at all.

    ``term`` is the term of the leader that sends the attempts to the workers.
    """

    term: int
    groups: list[list[AttemptStart]]


class AttemptResult(msgspec.Struct, frozen=True, array_like=True):
    """How an attempt ended on one incarnation of a worker.

    ``duration_s`` is 0 when the start or the end was not observed.  ``crash``
    is set when the worker crashed while the attempt may have been running,
    ``possible_crash`` when the worker was lost and may have crashed.
    ``observed_s`` is how long the leader has seen the attempt running.
    """

    attempt: AttemptKey
    worker: WorkerId
    outcome: AttemptOutcome
    checkpoint: str = ''
    duration_s: float = 0.0
    crash: CrashEvidence = CrashEvidence.NONE
    possible_crash: CrashEvidence = CrashEvidence.NONE
    observed_s: float = 0.0

    @property
    def longest_known_run_s(self) -> float:
        """How long the attempt ran at least."""
        return max(self.duration_s, self.observed_s)


class EndAttempts(msgspec.Struct, frozen=True, tag='end'):
    """Records the ends of attempts and releases their resources.

    It also explains why incarnations of workers ended: those in ``departed``
    have left, and those in ``replying`` replied to a poll, so that another
    incarnation of the worker with which attempts were lost has crashed.
    ``late_results`` are ends of attempts that were given up as lost before.
    Workers have begun a task of each job in ``begun_jobs``.
    All are part of this command since earlier versions can read it.
    """

    results: list[AttemptResult] = msgspec.field(name='ends')
    ended_at: float = msgspec.field(name='at')
    departed: tuple[IncarnationKey, ...] = msgspec.field(
        name='left', default=()
    )
    replying: tuple[IncarnationKey, ...] = msgspec.field(
        name='alive', default=()
    )
    late_results: tuple[AttemptResult, ...] = msgspec.field(
        name='late', default=()
    )
    begun_jobs: tuple[JobId, ...] = msgspec.field(name='begun', default=())


class RegisterWorker(msgspec.Struct, frozen=True, tag='worker'):
    """Adds a worker or updates its description.

    ``sequence`` is that of the heartbeat with the description.  It is None
    in commands and snapshots of versions that did not store it.

    ``replaced_incarnation`` is the one that a poll was sent to, when another
    one replied: that one is newer, whatever their start times say.
    """

    info: WorkerInfo
    sequence: int | None = msgspec.field(name='seq', default=None)
    replaced_incarnation: int | None = msgspec.field(
        name='replaces', default=None
    )


class RemoveWorker(msgspec.Struct, frozen=True, tag='forget'):
    """Removes an incarnation of a worker that runs nothing any more."""

    id: WorkerId
    incarnation: int = msgspec.field(name='born')
    removed_at: float = msgspec.field(name='at')


class PutConfiguration(msgspec.Struct, frozen=True, tag='configure'):
    """Adopts a configuration when its version is higher.

    ``source`` is the operator's document as it was received.  ``adopted_at``
    is 0 in logs written before it was added.
    """

    configuration: CellConfiguration
    source: bytes
    adopted_at: float = msgspec.field(name='at', default=0.0)


class PruneJobs(msgspec.Struct, frozen=True, tag='prune'):
    """Removes jobs that finished before a Unix time."""

    finished_before: float


Command = (
    AcceptJob
    | CancelJob
    | StartAttempts
    | EndAttempts
    | RegisterWorker
    | RemoveWorker
    | PutConfiguration
    | PruneJobs
)


class AttemptScheduled(msgspec.Struct, frozen=True):
    """The resources of an attempt are allocated; its start may be sent."""

    start: AttemptStart
    term: int


class AttemptStopRequired(msgspec.Struct, frozen=True):
    """An attempt that may be in progress must be stopped."""

    attempt: AttemptKey
    worker: WorkerId
    reason: str


class StepClosed(msgspec.Struct, frozen=True):
    """No task of a step will start any more."""

    step: StepKey


class FailureReason(enum.Enum):
    """Why a job failed: too many failed attempts or crashes of workers."""

    ATTEMPTS = 'attempts'
    CRASHES = 'crashes'


class JobFinished(msgspec.Struct, frozen=True):
    """A job reached a final state; ``reason`` is set if it failed."""

    job: JobId
    state: JobState
    age_s: float
    reason: FailureReason | None = None


class WorkerChanged(msgspec.Struct, frozen=True):
    """A worker was added, updated or removed."""

    worker: WorkerId


class ConfigurationAdopted(msgspec.Struct, frozen=True):
    """A configuration is in force; queues moved, teams were renamed."""

    changes: IdentityChanges


Effect = (
    AttemptScheduled
    | ConfigurationAdopted
    | AttemptStopRequired
    | StepClosed
    | JobFinished
    | WorkerChanged
)

encode_command: typing.Final = msgspec.msgpack.Encoder().encode
decode_command: typing.Final = msgspec.msgpack.Decoder(Command).decode
