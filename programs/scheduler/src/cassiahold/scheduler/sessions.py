"""Sessions of workers: their leases and reports, in the leader's memory."""

import msgspec

from cassiahold.core.ids import AttemptId, WorkerId


class WorkerSession(msgspec.Struct):
    """One worker's lease and newest report, since this leader's start.

    ``escalation_by_attempt`` counts reports in a row about an attempt that
    overuses its allocation or must stop.
    """

    lease_expires_at: float
    sequence: int = -1
    incarnation: int = 0
    term: int = 0
    escalation_by_attempt: dict[AttemptId, int] = msgspec.field(
        default_factory=dict
    )


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
            session = WorkerSession(now + self._lease_bound_s)
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
