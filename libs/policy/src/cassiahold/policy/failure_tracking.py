"""Decides whether a failure is the worker's fault or the job's."""

import collections
import enum
import typing

import msgspec

from cassiahold.core.ids import TeamName, WorkerId

MAX_REMEMBERED_NAMES: typing.Final = 20_000
UNPROVEN_SLOTS: typing.Final = 4  # attempts at once before a first success
JOB_FAULT_WORKERS: typing.Final = 3
FIRST_QUARANTINE_S: typing.Final = 30.0
MAX_QUARANTINE_S: typing.Final = 3600.0
DOUBT_S: typing.Final = 5.0
HEALTHY_START_S: typing.Final = (
    3.0  # a task that ran this long did not fail at once
)
FIRST_BACKOFF_S: typing.Final = 1.0
MAX_BACKOFF_S: typing.Final = 300.0
_MAX_DOUBLINGS: typing.Final = 16


class Trust(enum.Enum):
    """How much a worker is trusted with."""

    UNPROVEN = 'unproven'
    PROVEN = 'proven'
    DOUBTED = 'doubted'
    QUARANTINED = 'quarantined'
    PROBED = 'probed'


class WorkerRecord(msgspec.Struct):
    """What is known of one worker's honesty."""

    trust: Trust = Trust.UNPROVEN
    streak: int = 0
    streak_names: set[tuple[TeamName, str]] = msgspec.field(default_factory=set)
    quarantines: int = 0
    until: float = 0
    rack: str = ''


class _NameRecord(msgspec.Struct):
    # Its tasks succeed, or at least run on, on some worker.
    is_sound: bool = False
    streak: int = 0
    failed_on: set[WorkerId] = msgspec.field(default_factory=set)


class FailureAssessment(msgspec.Struct, frozen=True):
    """What one failure means."""

    counts_against_job: bool
    is_worker_quarantined: bool
    backoff_s: float


class FailureTracker:
    """Compares failures across workers and across jobs."""

    def __init__(self, quarantine_after: int = 4) -> None:
        self.quarantine_after = quarantine_after
        self.by_worker: dict[WorkerId, WorkerRecord] = {}
        self._by_name: collections.OrderedDict[
            tuple[TeamName, str], _NameRecord
        ] = collections.OrderedDict()

    def add_worker(self, worker: WorkerId, rack: str = '') -> None:
        """Meet a worker, or meet it again after it started anew."""
        known = self.by_worker.get(worker)
        if known is None:
            self.by_worker[worker] = WorkerRecord(rack=rack)
        elif known.trust is Trust.PROVEN:
            known.trust = Trust.UNPROVEN

    def remove_worker(self, worker: WorkerId) -> None:
        """Forget a worker that has left."""
        self.by_worker.pop(worker, None)

    def concurrency_limit(self, worker: WorkerId) -> int | None:
        """Return how many attempts a worker may hold, None for any."""
        known = self.by_worker.get(worker)
        if known is None or known.trust is Trust.PROVEN:
            return None
        if known.trust in {Trust.QUARANTINED, Trust.DOUBTED}:
            return 0
        if known.trust is Trust.PROBED:
            return 1
        return max(min(UNPROVEN_SLOTS, self.quarantine_after - known.streak), 1)

    def record_success(
        self, worker: WorkerId, team: TeamName, name: str
    ) -> bool:
        """Record a success; True when the worker's standing changed."""
        name_record = self._name(team, name)
        name_record.is_sound = True
        name_record.streak = 0
        name_record.failed_on.clear()
        known = self.by_worker.setdefault(worker, WorkerRecord())
        changed = known.trust is not Trust.PROVEN or known.streak > 0
        known.trust = Trust.PROVEN
        known.streak = 0
        known.streak_names.clear()
        known.quarantines = 0
        return changed

    def record_healthy_start(self, team: TeamName, name: str) -> None:
        """Record that a task has run on where bad work would have failed."""
        self._name(team, name).is_sound = True

    def record_long_run(self, worker: WorkerId) -> bool:
        """Record that a task has run for long; True when trust changed."""
        known = self.by_worker.setdefault(worker, WorkerRecord())
        if known.trust is Trust.UNPROVEN and known.streak == 0:
            known.trust = Trust.PROVEN
            return True
        return False

    def record_failure(
        self, worker: WorkerId, team: TeamName, name: str, now: float
    ) -> FailureAssessment:
        """Record a failure and say whose fault it is taken to be."""
        name_record = self._name(team, name)
        name_record.streak += 1
        name_record.failed_on.add(worker)
        backoff_s = min(
            FIRST_BACKOFF_S * 2 ** min(name_record.streak - 1, _MAX_DOUBLINGS),
            MAX_BACKOFF_S,
        )
        known = self.by_worker.setdefault(worker, WorkerRecord())
        jobs_fault = len(
            name_record.failed_on
        ) >= JOB_FAULT_WORKERS and not self._all_suspects(name_record.failed_on)
        if jobs_fault and known.trust is Trust.PROVEN:
            return FailureAssessment(True, False, backoff_s)
        known.streak += 1
        known.streak_names.add((team, name))
        if known.trust is Trust.PROVEN:
            known.trust = Trust.UNPROVEN
        workers_fault = known.streak > 1 and name_record.is_sound
        quarantined = self._is_bad(known) and not jobs_fault
        if quarantined:
            self._quarantine(known, now)
        elif known.streak >= self.quarantine_after and not jobs_fault:
            # Nothing tells yet whether worker or job is bad, so the worker
            # rests until the same work has had time to show elsewhere.
            known.trust = Trust.DOUBTED
            known.until = now + DOUBT_S
        return FailureAssessment(not workers_fault, quarantined, backoff_s)

    def end_expired_quarantines(self, now: float) -> list[WorkerId]:
        """Let workers whose quarantine is over be probed; return them."""
        freed = []
        for worker, known in self.by_worker.items():
            if now < known.until:
                continue
            if known.trust is Trust.QUARANTINED:
                known.trust = Trust.PROBED
                freed.append(worker)
            elif known.trust is Trust.DOUBTED:
                known.trust = Trust.UNPROVEN
                freed.append(worker)
        return freed

    def _is_bad(self, known: WorkerRecord) -> bool:
        if known.trust is Trust.PROBED:
            return True
        if known.streak < self.quarantine_after:
            return False
        return len(known.streak_names) > 1 or any(
            self._name(team, name).is_sound for team, name in known.streak_names
        )

    def _all_suspects(self, workers: set[WorkerId]) -> bool:
        records = [
            self.by_worker.get(worker, WorkerRecord()) for worker in workers
        ]
        return all(record.trust is not Trust.PROVEN for record in records)

    def _quarantine(self, known: WorkerRecord, now: float) -> None:
        known.trust = Trust.QUARANTINED
        known.until = now + min(
            FIRST_QUARANTINE_S * 2 ** min(known.quarantines, _MAX_DOUBLINGS),
            MAX_QUARANTINE_S,
        )
        known.quarantines += 1
        known.streak = 0
        known.streak_names.clear()

    def _name(self, team: TeamName, name: str) -> _NameRecord:
        key = (team, name)
        known = self._by_name.get(key)
        if known is None:
            known = _NameRecord()
            self._by_name[key] = known
            if len(self._by_name) > MAX_REMEMBERED_NAMES:
                self._by_name.popitem(last=False)
        return known
