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
        self,
        info: WorkerInfo,
        sequence: int,
        registered_worker: WorkerRecord | None,
    ) -> bool:
        """Tell whether a newer heartbeat or incarnation is known.

        A worker that drains does not become ready again in the same
        incarnation.  The registered worker tells so to a new leader, which
        has not seen the sequence numbers of earlier heartbeats.
        """
        if registered_worker is not None:
            known = registered_worker.info
            if info.incarnation < known.incarnation:
                return True
            is_same = info.incarnation == known.incarnation
            if is_same and known.is_draining and not info.is_draining:
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
