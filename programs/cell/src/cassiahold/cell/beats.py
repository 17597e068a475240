"""Which heartbeat of each worker is the newest."""

import typing

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import WorkerInfo, WorkerRecord


class _Beat(typing.NamedTuple):
    born: int
    sequence: int


class BeatBook:
    """The newest heartbeat of each worker that this leader has taken."""

    def __init__(self) -> None:
        self._beat_by_worker: dict[WorkerId, _Beat] = {}

    def is_overtaken(
        self, info: WorkerInfo, sequence: int, known: WorkerRecord | None
    ) -> bool:
        """Tell whether a later heartbeat or incarnation is known."""
        if known is not None and info.incarnation < known.info.incarnation:
            return True
        newest = self._beat_by_worker.get(info.id)
        return newest is not None and _Beat(info.incarnation, sequence) < newest

    def take(self, info: WorkerInfo, sequence: int) -> None:
        """Record the newest heartbeat of a worker."""
        self._beat_by_worker[info.id] = _Beat(info.incarnation, sequence)
