"""Sessions of workers: their leases and reports, in the leader's memory."""

import math
import typing

import msgspec

from cassiahold.core.ids import AttemptId, WorkerId


class StartTimes(msgspec.Struct, frozen=True):
    """When this leader first and last sent the start of an attempt."""

    first_at: float = math.inf
    last_at: float = -math.inf


_NEVER: typing.Final = StartTimes()


class WorkerSession(msgspec.Struct):
    """One worker's lease and newest report, since this leader's start.

    ``escalation_by_attempt`` counts reports in a row about an attempt that
    overuses its allocation or must stop.  ``alive_at`` is when the registered
    incarnation last reported.  ``inherited_attempts`` were allocated when this
    leader started, so that an earlier one may have sent their starts, and
    ``listed_attempts`` those that the incarnation has reported as running.
    """

    lease_expires_at: float
    opened_at: float
    sequence: int = -1
    incarnation: int = 0
    term: int = 0
    escalation_by_attempt: dict[AttemptId, int] = msgspec.field(
        default_factory=dict
    )
    alive_at: float = -math.inf
    inherited_attempts: frozenset[AttemptId] = frozenset()
    start_times_by_attempt: dict[AttemptId, StartTimes] = msgspec.field(
        default_factory=dict
    )
    listed_attempts: set[AttemptId] = msgspec.field(default_factory=set)

    def begin_report(self, incarnation: int, sequence: int) -> None:
        """Record the number of a report; a new incarnation runs nothing."""
        if incarnation != self.incarnation:
            self.listed_attempts.clear()
        self.incarnation = incarnation
        self.sequence = sequence

    def record_listed(
        self,
        running: typing.Iterable[AttemptId],
        allocated: typing.Container[AttemptId],
    ) -> None:
        """Record the attempts that a report lists as running."""
        self.listed_attempts.update(running)
        self.listed_attempts = {
            attempt for attempt in self.listed_attempts if attempt in allocated
        }

    def start_times(self, attempt: AttemptId) -> StartTimes:
        """Return when this leader sent the start of an attempt."""
        return self.start_times_by_attempt.get(attempt, _NEVER)

    def sent_at(self, attempt: AttemptId) -> float:
        """Return when a start was last sent by this leader."""
        return self.start_times(attempt).last_at

    def may_have_started(self, attempt: AttemptId) -> bool:
        """Tell whether this leader or an earlier one may have sent a start."""
        return (
            attempt in self.start_times_by_attempt
            or attempt in self.inherited_attempts
        )

    def record_starts(
        self,
        started: typing.Iterable[AttemptId],
        allocated: typing.Container[AttemptId],
        now: float,
    ) -> None:
        """Record the starts in a reply; forget attempts that have ended."""
        self.start_times_by_attempt = {
            attempt: times
            for attempt, times in self.start_times_by_attempt.items()
            if attempt in allocated
        }
        for attempt in started:
            first_at = min(self.start_times(attempt).first_at, now)
            self.start_times_by_attempt[attempt] = StartTimes(first_at, now)


class SessionTable:
    """Registry of worker sessions.

    A worker that has not reported to a new leader may hold a lease granted
    by the leader before it.  Its session therefore starts with a full lease.
    """

    def __init__(self, lease_s: float, clock_drift: float) -> None:
        # The worker counts its lease from before it sent its report.  With
        # twice the maximum drift added, the lease ends here after it has
        # ended at the worker, even if both clocks drift the opposite way.
        self._lease_bound_s = lease_s * (1 + 2 * clock_drift)
        self.session_by_worker: dict[WorkerId, WorkerSession] = {}

    def open_session(self, worker: WorkerId, now: float) -> WorkerSession:
        """Return a worker's session; open one with a full lease if needed."""
        session = self.session_by_worker.get(worker)
        if session is None:
            session = WorkerSession(now + self._lease_bound_s, now)
            self.session_by_worker[worker] = session
        return session

    def renew_lease(self, worker: WorkerId, now: float) -> None:
        """Restart a worker's lease from now."""
        session = self.open_session(worker, now)
        session.lease_expires_at = now + self._lease_bound_s

    def lapsed_workers(self, now: float) -> list[WorkerId]:
        """Return the workers whose lease has certainly lapsed."""
        return [
            worker
            for worker, session in self.session_by_worker.items()
            if now >= session.lease_expires_at
        ]

    def close_session(self, worker: WorkerId) -> None:
        """Remove a worker's session, if there is one."""
        self.session_by_worker.pop(worker, None)
