"""Memory of attempts whose worker was lost without a known cause.

When all leases of a silent worker have expired, its attempts end as lost: the
worker has crashed or was only cut off.  Once it replies again, its incarnation
tells which.  The memory is part of the replicated state and is bounded in time
and size.
"""

import types
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.model import AttemptKey, IncarnationKey

# A worker that returns later says little about what ran there.
LOSS_MEMORY_S: typing.Final = 300.0
MAX_LOST_ATTEMPTS: typing.Final = 4096
_MS: typing.Final = 1000
_WEAKER_EVIDENCE: typing.Final = types.MappingProxyType(
    {
        CrashEvidence.TRIAL: CrashEvidence.ONLY_RECENT,
        CrashEvidence.ONLY_RECENT: CrashEvidence.RECENT,
    }
)


class LostAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that ended with an incarnation of a worker that was lost.

    ``evidence`` counts if that incarnation crashed.  ``ended_at`` is when all
    of its leases had expired, in seconds since 1970.
    """

    attempt: AttemptKey
    worker: WorkerId
    incarnation: int
    evidence: CrashEvidence
    ended_at: float

    def weigh(self, incarnation: int) -> CrashEvidence:
        """Return the evidence once another incarnation is known to live.

        An incarnation that started before the leases had expired proves that
        the earlier one ended while the attempt may have been running.  Before
        a later start, the leases may have ended the attempt first; that is
        rarer than a slow restart, so it counts little less.
        """
        if incarnation == self.incarnation:
            return CrashEvidence.NONE
        if incarnation <= self.ended_at * _MS:
            return self.evidence
        return _WEAKER_EVIDENCE.get(self.evidence, self.evidence)


class LostAttempts:
    """Lost attempts by worker; the oldest are dropped when there are many."""

    def __init__(self) -> None:
        self._lost_by_worker: dict[WorkerId, list[LostAttempt]] = {}
        self._count = 0

    def __iter__(self) -> typing.Iterator[LostAttempt]:
        """Iterate over the attempts of all workers."""
        for lost_attempts in self._lost_by_worker.values():
            yield from lost_attempts

    def __contains__(self, worker: WorkerId) -> bool:
        """Tell whether the end of attempts of a worker is unexplained."""
        return worker in self._lost_by_worker

    def add(self, lost: LostAttempt) -> None:
        """Add an attempt; drop the oldest one when there are too many."""
        self._lost_by_worker.setdefault(lost.worker, []).append(lost)
        self._count += 1
        if self._count > MAX_LOST_ATTEMPTS:
            oldest, *remaining = self._take(next(iter(self._lost_by_worker)))
            self._restore(oldest.worker, remaining)

    def forget_incarnation(self, key: IncarnationKey) -> None:
        """Drop the attempts of an incarnation whose end is explained."""
        remaining = [
            lost
            for lost in self._take(key.worker)
            if lost.incarnation != key.incarnation
        ]
        self._restore(key.worker, remaining)

    def resolve(
        self, key: IncarnationKey, resolved_at: float
    ) -> list[LostAttempt]:
        """Remove the attempts of a worker of which an incarnation replies.

        Returns those that count against their tasks, with their evidence.
        """
        return [
            msgspec.structs.replace(lost, evidence=evidence)
            for lost in self._take(key.worker)
            if resolved_at < lost.ended_at + LOSS_MEMORY_S
            and (evidence := lost.weigh(key.incarnation))
            is not CrashEvidence.NONE
        ]

    def _take(self, worker: WorkerId) -> list[LostAttempt]:
        taken = self._lost_by_worker.pop(worker, [])
        self._count -= len(taken)
        return taken

    def _restore(
        self, worker: WorkerId, lost_attempts: list[LostAttempt]
    ) -> None:
        if lost_attempts:
            self._lost_by_worker[worker] = lost_attempts
            self._count += len(lost_attempts)
