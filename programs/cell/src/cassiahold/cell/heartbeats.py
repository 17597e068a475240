"""Detection of outdated heartbeats of workers."""

import typing

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import WorkerInfo, WorkerRecord


class _HeartbeatVersion(typing.NamedTuple):
    incarnation: int
    sequence: int


class HeartbeatTracker:
    """Tracks the newest heartbeat of each worker seen by this leader.

    Heartbeats are ordered by incarnation, then by sequence number.
    """

    def __init__(self) -> None:
        self._newest_by_worker: dict[WorkerId, _HeartbeatVersion] = {}

    def is_outdated(
        self, info: WorkerInfo, sequence: int, known_worker: WorkerRecord | None
    ) -> bool:
        """Tell whether a newer heartbeat or incarnation is known."""
        if (
            known_worker is not None
            and info.incarnation < known_worker.info.incarnation
        ):
            return True
        newest = self._newest_by_worker.get(info.id)
        return (
            newest is not None
            and _HeartbeatVersion(info.incarnation, sequence) < newest
        )

    def record(self, info: WorkerInfo, sequence: int) -> None:
        """Record the newest heartbeat of a worker."""
        self._newest_by_worker[info.id] = _HeartbeatVersion(
            info.incarnation, sequence
        )
