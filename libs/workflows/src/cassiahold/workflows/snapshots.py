"""The replicated data of the cell and their encoding as a snapshot.

The order of the fields is part of the stored format; new ones go to the end
and have a default, so that older snapshots are still read.
"""

import typing

import msgspec

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.workflows.commands import RegisterWorker
from cassiahold.workflows.configuration import (
    NO_FORMER_POLICIES,
    CellConfiguration,
    ConfigurationIndex,
    FormerPolicies,
)
from cassiahold.workflows.lost_attempts import LostAttempt, LostAttempts
from cassiahold.workflows.model import JobRecord, WorkerRecord
from cassiahold.workflows.speeds import SpeedEstimate


class ReplicatedData(msgspec.Struct):
    """Jobs, workers and configuration, as the log has made them."""

    configuration: CellConfiguration = CellConfiguration()
    configuration_source: bytes = b''
    job_by_id: dict[JobId, JobRecord] = msgspec.field(default_factory=dict)
    worker_by_id: dict[WorkerId, WorkerRecord] = msgspec.field(
        default_factory=dict
    )
    lost_attempts: LostAttempts = msgspec.field(default_factory=LostAttempts)
    former: FormerPolicies = NO_FORMER_POLICIES

    def index(self) -> ConfigurationIndex:
        """Return the indexes over the configuration and what was removed."""
        return ConfigurationIndex(self.configuration, self.former)


class _Snapshot(msgspec.Struct, array_like=True):
    configuration: CellConfiguration
    configuration_source: bytes
    jobs: list[JobRecord]
    workers: list[RegisterWorker]
    speeds: list[SpeedEstimate] = msgspec.field(default_factory=list)
    lost_attempts: list[LostAttempt] = msgspec.field(default_factory=list)
    departed_incarnation_by_worker: dict[WorkerId, int] = msgspec.field(
        default_factory=dict
    )
    replaced_incarnation_by_worker: dict[WorkerId, int] = msgspec.field(
        default_factory=dict
    )
    former: FormerPolicies = NO_FORMER_POLICIES


_encode: typing.Final = msgspec.msgpack.Encoder().encode
_decode: typing.Final = msgspec.msgpack.Decoder(_Snapshot).decode


def encode_snapshot(data: ReplicatedData) -> bytes:
    """Return the encoded data without what is derived from the jobs."""
    workers = data.worker_by_id.values()
    return _encode(
        _Snapshot(
            data.configuration,
            data.configuration_source,
            list(data.job_by_id.values()),
            [
                RegisterWorker(worker.info, worker.sequence)
                for worker in workers
            ],
            [worker.speed_estimate for worker in workers],
            list(data.lost_attempts),
            {
                worker.info.id: worker.departed_incarnation
                for worker in workers
                if worker.departed_incarnation is not None
            },
            {
                worker.info.id: worker.replaced_incarnation
                for worker in workers
                if worker.replaced_incarnation is not None
            },
            data.former,
        )
    )


def decode_snapshot(content: bytes) -> ReplicatedData:
    """Return the data of a snapshot; the workers run nothing yet."""
    snapshot = _decode(content)
    data = ReplicatedData(
        snapshot.configuration,
        snapshot.configuration_source,
        {record.id: record for record in snapshot.jobs},
        {
            registration.info.id: WorkerRecord(
                registration.info, sequence=registration.sequence or 0
            )
            for registration in snapshot.workers
        },
    )
    for worker, speed_estimate in zip(
        data.worker_by_id.values(), snapshot.speeds, strict=False
    ):
        worker.speed_estimate = speed_estimate
    departed = snapshot.departed_incarnation_by_worker
    replaced = snapshot.replaced_incarnation_by_worker
    for worker_id, worker in data.worker_by_id.items():
        worker.departed_incarnation = departed.get(worker_id)
        worker.replaced_incarnation = replaced.get(worker_id)
    for lost in snapshot.lost_attempts:
        data.lost_attempts.add(lost)
    data.former = snapshot.former
    _complete_places(data)
    return data


def _complete_places(data: ReplicatedData) -> None:
    """Add the places that snapshots of earlier versions do not contain."""
    place_by_name = {
        queue.name: queue.place for queue in data.configuration.queues
    }
    for record in data.job_by_id.values():
        if record.place is None:
            record.place = place_by_name.get(record.queue)
