"""Commands of the cell's replicated log and what applying them changed."""

import typing

import msgspec

from cassiahold.core.ids import JobId, QueueName, TeamName, WorkerId
from cassiahold.workflows.configuration import CellConfiguration
from cassiahold.workflows.model import (
    JobState,
    RunEnd,
    RunKey,
    StepKey,
    WorkerInfo,
    WorkSpec,
)


class AcceptJob(msgspec.Struct, frozen=True, tag='accept'):
    """Stores a job once for its id."""

    id: JobId
    queue: QueueName
    team: TeamName
    spec: WorkSpec
    accepted_at: float = msgspec.field(name='at')


class CancelJob(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancels a job."""

    id: JobId
    cancelled_at: float = msgspec.field(name='at')


class Start(msgspec.Struct, frozen=True, array_like=True):
    """Reserves room for a run before its order is sent."""

    run: RunKey
    worker: WorkerId
    incarnation: int


class StartRuns(msgspec.Struct, frozen=True, tag='start'):
    """Starts groups of runs; each group starts whole or not at all."""

    term: int
    groups: list[list[Start]]


class End(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run on one incarnation of a worker.

    ``took_s`` is how long a whole run that is done took, 0 when not known.
    """

    run: RunKey
    worker: WorkerId
    outcome: RunEnd
    checkpoint: str = ''
    duration_s: float = 0.0


class EndRuns(msgspec.Struct, frozen=True, tag='end'):
    """Records ends."""

    results: list[End] = msgspec.field(name='ends')
    ended_at: float = msgspec.field(name='at')


class PutWorker(msgspec.Struct, frozen=True, tag='worker'):
    """Adds a worker or records what changed about it."""

    info: WorkerInfo


class ForgetWorker(msgspec.Struct, frozen=True, tag='forget'):
    """Removes an incarnation of a worker on which nothing runs any more."""

    id: WorkerId
    incarnation: int = msgspec.field(name='born')
    removed_at: float = msgspec.field(name='at')


class PutConfiguration(msgspec.Struct, frozen=True, tag='configure'):
    """Adopts a configuration when its version is higher.

    ``source`` is the operator's document as it was sent.
    """

    configuration: CellConfiguration
    source: bytes


class PruneJobs(msgspec.Struct, frozen=True, tag='prune'):
    """Forgets jobs that finished before a time."""

    finished_before: float


Command = (
    AcceptJob
    | CancelJob
    | StartRuns
    | EndRuns
    | PutWorker
    | ForgetWorker
    | PutConfiguration
    | PruneJobs
)


class RunScheduled(msgspec.Struct, frozen=True):
    """A run's room is reserved; its order may be sent."""

    start: Start
    term: int


class RunUnwanted(msgspec.Struct, frozen=True):
    """A run that may be in progress must be stopped."""

    run: RunKey
    worker: WorkerId
    reason: str


class StepSettled(msgspec.Struct, frozen=True):
    """No task of a step will start any more."""

    step: StepKey


class JobFinished(msgspec.Struct, frozen=True):
    """A job reached a final state."""

    job: JobId
    state: JobState
    age_s: float


class WorkerChanged(msgspec.Struct, frozen=True):
    """A worker came, changed or was forgotten."""

    worker: WorkerId


Effect = RunScheduled | RunUnwanted | StepSettled | JobFinished | WorkerChanged

encode_command: typing.Final = msgspec.msgpack.Encoder().encode
decode_command: typing.Final = msgspec.msgpack.Decoder(Command).decode
