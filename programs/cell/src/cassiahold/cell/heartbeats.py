"""Detection of outdated heartbeats of workers."""

import typing

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import WorkerInfo, WorkerRecord


class _Heartbeat(typing.NamedTuple):
    info: WorkerInfo
    sequence: int

    @property
    def version(self) -> tuple[int, int]:
        return self.info.incarnation, self.sequence


class HeartbeatTracker:
    """Tracks the newest heartbeat of each worker seen by this leader.

    Heartbeats are ordered by incarnation, then by sequence number.  The
    registered worker contains the newest heartbeat that is in the log.
    """

    def __init__(self) -> None:
        self._newest_by_worker: dict[WorkerId, _Heartbeat] = {}
        self._removed_workers: set[WorkerId] = set()

    def is_outdated(
        self,
        info: WorkerInfo,
        sequence: int,
        registered_worker: WorkerRecord | None,
    ) -> bool:
        """Tell whether a newer heartbeat or incarnation is known.

        A worker that drains does not become ready again in the same
        incarnation.
        """
        if registered_worker is not None:
            if registered_worker.is_newer_than(info, sequence):
                return True
            known = registered_worker.info
            is_same = info.incarnation == known.incarnation
            if is_same and known.is_draining and not info.is_draining:
                return True
        newest = self._newest_by_worker.get(info.id)
        if newest is None:
            return False
        if info.incarnation != newest.info.incarnation and (
            self._has_ended(newest.info, registered_worker)
        ):
            return False
        return _Heartbeat(info, sequence).version < newest.version

    def record_removed(self, worker: WorkerId) -> None:
        """Record that a worker was removed.

        A heartbeat of another incarnation registers it again, whatever its
        start time says: a poll then tells whether that incarnation lives.
        """
        self._removed_workers.add(worker)

    def is_stored(
        self,
        info: WorkerInfo,
        sequence: int,
        registered_worker: WorkerRecord | None,
    ) -> bool:
        """Tell whether the log has all that a heartbeat says.

        A heartbeat that repeats the registered description is stored unless
        another one was proposed in between.  One after a gap in the sequence
        is not: the missing heartbeats may say otherwise and arrive at a new
        leader, which knows only the sequence in the log.
        """
        if registered_worker is None or registered_worker.info != info:
            return False
        newest = self._newest_by_worker.get(info.id)
        if newest is None:
            return sequence <= registered_worker.sequence + 1
        return newest.info == info and sequence <= newest.sequence + 1

    def has_sent(self, info: WorkerInfo) -> bool:
        """Tell whether the newest heartbeat of a worker says this."""
        newest = self._newest_by_worker.get(info.id)
        return newest is not None and newest.info == info

    def record(self, info: WorkerInfo, sequence: int) -> None:
        """Record the newest heartbeat of a worker."""
        self._newest_by_worker[info.id] = _Heartbeat(info, sequence)
        self._removed_workers.discard(info.id)

    def _has_ended(
        self, info: WorkerInfo, registered_worker: WorkerRecord | None
    ) -> bool:
        """Tell whether an incarnation was removed or replaced by an earlier."""
        if registered_worker is None:
            return info.id in self._removed_workers
        return info.incarnation == registered_worker.replaced_incarnation
