"""Attributes failures of tasks to workers or to jobs.

A worker is quarantined when several tasks fail on it in a row and the work is
known to succeed elsewhere or differs in name; the quarantine doubles each
time and ends with a single task as a probe.  Bad work of several names can
fail in a row on every worker, so only a share of them is quarantined at a time.
Work that fails on several workers, at least one of them proven, is taken to be
at fault itself.  Work is identified by team and job name.  Times are in seconds
on the clock of the caller.
"""

import collections
import enum
import typing

import msgspec

from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.policy.backoff import BackoffTracker

MAX_REMEMBERED_JOB_NAMES: typing.Final = 20_000
# Attempts at once on a worker that has had no success yet.
UNPROVEN_CONCURRENCY: typing.Final = 4
# Work that failed on this many workers is taken to be at fault itself.
MIN_WORKERS_FOR_JOB_FAULT: typing.Final = 3
FIRST_QUARANTINE_S: typing.Final = 30.0
MAX_QUARANTINE_S: typing.Final = 3600.0
# Of the workers of a data centre; at least one may be quarantined.
MAX_QUARANTINED_SHARE: typing.Final = 0.5
SUSPENSION_S: typing.Final = 5.0
# A task that has run this long did not fail immediately.
HEALTHY_START_S: typing.Final = 3.0
_MAX_DOUBLINGS: typing.Final = 16  # of quarantine times
_NO_JOB: typing.Final = JobId('')


class WorkerTrust(enum.Enum):
    """How many attempts a worker may run, judged by its results.

    UNPROVEN workers run a few attempts, PROVEN ones any number, PROBING ones
    a single attempt, and SUSPENDED and QUARANTINED ones none.
    """

    UNPROVEN = 'unproven'
    PROVEN = 'proven'
    SUSPENDED = 'doubted'
    QUARANTINED = 'quarantined'
    PROBING = 'probed'


class WorkerHistory(msgspec.Struct):
    """Trust in one worker and its failures since the last success.

    ``excluded_until`` is when a suspension or quarantine ends, and
    ``quarantined_at`` when the last quarantine began.
    """

    trust: WorkerTrust = WorkerTrust.UNPROVEN
    failure_streak: int = 0
    streak_job_names: set[tuple[TeamName, str]] = msgspec.field(
        default_factory=set
    )
    quarantine_count: int = 0
    excluded_until: float = 0
    rack: str = ''
    quarantined_at: float = 0


class _JobNameHistory(msgspec.Struct):
    # Some task of this name succeeded, or did not fail immediately.
    is_known_good: bool = False
    failed_workers: set[WorkerId] = msgspec.field(default_factory=set)


class FailureAssessment(msgspec.Struct, frozen=True):
    """The consequences of one failure.

    ``backoff_s`` is how long the failed task waits before its next attempt.
    """

    counts_against_job: bool
    is_worker_quarantined: bool
    backoff_s: float


class FailureTracker:
    """Derives trust in workers from failures across workers and jobs.

    A worker with ``quarantine_after`` failures in a row is quarantined or,
    without evidence that its work succeeds elsewhere, suspended for a while.
    """

    def __init__(self, quarantine_after: int = 4) -> None:
        self.quarantine_after = quarantine_after
        self.history_by_worker: dict[WorkerId, WorkerHistory] = {}
        self._history_by_job_name: collections.OrderedDict[
            tuple[TeamName, str], _JobNameHistory
        ] = collections.OrderedDict()
        self._backoff_tracker = BackoffTracker()

    def add_worker(self, worker: WorkerId, rack: str = '') -> None:
        """Add a worker; one that restarted has to prove itself again."""
        history = self.history_by_worker.get(worker)
        if history is None:
            self.history_by_worker[worker] = WorkerHistory(rack=rack)
        elif history.trust is WorkerTrust.PROVEN:
            history.trust = WorkerTrust.UNPROVEN

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker that has left; unknown ones are ignored."""
        self.history_by_worker.pop(worker, None)

    def concurrency_limit(self, worker: WorkerId) -> int | None:
        """Return how many attempts a worker may run at once, None for any."""
        history = self.history_by_worker.get(worker)
        if history is None or history.trust is WorkerTrust.PROVEN:
            return None
        if history.trust in {WorkerTrust.QUARANTINED, WorkerTrust.SUSPENDED}:
            return 0
        if history.trust is WorkerTrust.PROBING:
            return 1
        return max(
            min(
                UNPROVEN_CONCURRENCY,
                self.quarantine_after - history.failure_streak,
            ),
            1,
        )

    def record_success(
        self,
        worker: WorkerId,
        team: TeamName,
        name: str,
        job: JobId = _NO_JOB,
    ) -> bool:
        """Record a success; return whether the worker's limit may change."""
        self._backoff_tracker.record_success(team, name, job)
        name_history = self._job_name_history(team, name)
        name_history.is_known_good = True
        name_history.failed_workers.clear()
        history = self.history_by_worker.setdefault(worker, WorkerHistory())
        changed = (
            history.trust is not WorkerTrust.PROVEN
            or history.failure_streak > 0
        )
        history.trust = WorkerTrust.PROVEN
        history.failure_streak = 0
        history.streak_job_names.clear()
        history.quarantine_count = 0
        return changed

    def record_healthy_start(self, team: TeamName, name: str) -> None:
        """Record that a task of this name did not fail immediately."""
        self._job_name_history(team, name).is_known_good = True

    def record_long_run(self, worker: WorkerId) -> bool:
        """Record that a task has run for long; return whether trust rose."""
        history = self.history_by_worker.setdefault(worker, WorkerHistory())
        if (
            history.trust is WorkerTrust.UNPROVEN
            and history.failure_streak == 0
        ):
            history.trust = WorkerTrust.PROVEN
            return True
        return False

    def record_failure(
        self,
        worker: WorkerId,
        team: TeamName,
        name: str,
        now: float,
        job: JobId = _NO_JOB,
    ) -> FailureAssessment:
        """Record a failure and return its consequences."""
        backoff_s = self._backoff_tracker.record_failure(team, name, job)
        name_history = self._job_name_history(team, name)
        name_history.failed_workers.add(worker)
        history = self.history_by_worker.setdefault(worker, WorkerHistory())
        is_job_fault = len(
            name_history.failed_workers
        ) >= MIN_WORKERS_FOR_JOB_FAULT and not self._is_none_proven(
            name_history.failed_workers
        )
        if is_job_fault and history.trust is WorkerTrust.PROVEN:
            return FailureAssessment(True, False, backoff_s)
        history.failure_streak += 1
        history.streak_job_names.add((team, name))
        if history.trust is WorkerTrust.PROVEN:
            history.trust = WorkerTrust.UNPROVEN
        is_worker_fault = (
            history.failure_streak > 1 and name_history.is_known_good
        )
        is_quarantined = self._is_worker_at_fault(history) and not is_job_fault
        if is_quarantined:
            self._quarantine(history, now)
        elif (
            history.failure_streak >= self.quarantine_after and not is_job_fault
        ):
            # It is not yet known whether worker or job is at fault.  The
            # worker gets no tasks until the same work has had time to run
            # elsewhere.
            history.trust = WorkerTrust.SUSPENDED
            history.excluded_until = now + SUSPENSION_S
        return FailureAssessment(not is_worker_fault, is_quarantined, backoff_s)

    def end_expired_quarantines(self, now: float) -> list[WorkerId]:
        """Move workers whose exclusion has ended to probing or unproven.

        Returns the workers that may run attempts again.
        """
        released = []
        for worker, history in self.history_by_worker.items():
            if now < history.excluded_until:
                continue
            if history.trust is WorkerTrust.QUARANTINED:
                history.trust = WorkerTrust.PROBING
                released.append(worker)
            elif history.trust is WorkerTrust.SUSPENDED:
                history.trust = WorkerTrust.UNPROVEN
                released.append(worker)
        return released

    def _is_worker_at_fault(self, history: WorkerHistory) -> bool:
        if history.trust is WorkerTrust.PROBING:
            return True
        if history.failure_streak < self.quarantine_after:
            return False
        return len(history.streak_job_names) > 1 or any(
            self._job_name_history(team, name).is_known_good
            for team, name in history.streak_job_names
        )

    def _is_none_proven(self, workers: set[WorkerId]) -> bool:
        histories = [
            self.history_by_worker.get(worker, WorkerHistory())
            for worker in workers
        ]
        return all(
            history.trust is not WorkerTrust.PROVEN for history in histories
        )

    def _quarantine(self, history: WorkerHistory, now: float) -> None:
        history.trust = WorkerTrust.QUARANTINED
        history.excluded_until = now + min(
            FIRST_QUARANTINE_S
            * 2 ** min(history.quarantine_count, _MAX_DOUBLINGS),
            MAX_QUARANTINE_S,
        )
        history.quarantine_count += 1
        history.quarantined_at = now
        history.failure_streak = 0
        history.streak_job_names.clear()
        self._bound_quarantines(now)

    def _bound_quarantines(self, now: float) -> None:
        """End the oldest quarantine when too many workers are quarantined."""
        quarantined = [
            history
            for history in self.history_by_worker.values()
            if history.trust is WorkerTrust.QUARANTINED
            and now < history.excluded_until
        ]
        limit = int(len(self.history_by_worker) * MAX_QUARANTINED_SHARE)
        if len(quarantined) > max(limit, 1):
            oldest = min(quarantined, key=lambda each: each.quarantined_at)
            oldest.excluded_until = now

    def _job_name_history(self, team: TeamName, name: str) -> _JobNameHistory:
        key = (team, name)
        history = self._history_by_job_name.get(key)
        if history is None:
            history = _JobNameHistory()
            self._history_by_job_name[key] = history
            if len(self._history_by_job_name) > MAX_REMEMBERED_JOB_NAMES:
                self._history_by_job_name.popitem(last=False)
        return history
