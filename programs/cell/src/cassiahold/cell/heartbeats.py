"""Which heartbeat of each worker is the newest."""

import typing

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import WorkerInfo, WorkerRecord


class _HeartbeatVersion(typing.NamedTuple):
    incarnation: int
    sequence: int


class HeartbeatTracker:
    """The newest heartbeat of each worker that this leader has taken."""

    def __init__(self) -> None:
        self._newest_by_worker: dict[WorkerId, _HeartbeatVersion] = {}

    def is_outdated(
        self, info: WorkerInfo, sequence: int, known: WorkerRecord | None
    ) -> bool:
        """Tell whether a later heartbeat or incarnation is known."""
        if known is not None and info.born < known.info.born:
            return True
        newest = self._newest_by_worker.get(info.id)
        return (
            newest is not None
            and _HeartbeatVersion(info.born, sequence) < newest
        )

    def record(self, info: WorkerInfo, sequence: int) -> None:
        """Record the newest heartbeat of a worker."""
        self._newest_by_worker[info.id] = _HeartbeatVersion(info.born, sequence)
