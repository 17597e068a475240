"""Leases of workers, as the leader keeps them in memory."""

import msgspec

from cassiahold.core.ids import AttemptId, WorkerId


class WorkerSession(msgspec.Struct):
    """What the leader knows of one worker since it began to lead."""

    lease_expires_at: float
    sequence: int = -1
    incarnation: int = 0
    term: int = 0
    strikes_by_attempt: dict[AttemptId, int] = msgspec.field(
        default_factory=dict
    )


class SessionTable:
    """Sessions by worker.

    A worker that a new leader has not heard of may hold a lease from the
    leader before, so it counts as leased for one whole lease.
    """

    def __init__(self, lease_s: float, clock_drift: float) -> None:
        # The worker counts from before it sent its report, so the bound
        # here is later even when both clocks err by the largest amount.
        self._bound_s = lease_s * (1 + 2 * clock_drift)
        self.session_by_worker: dict[WorkerId, WorkerSession] = {}

    def expect(self, worker: WorkerId, now: float) -> WorkerSession:
        """Return a worker's session, opened when it is not known."""
        session = self.session_by_worker.get(worker)
        if session is None:
            session = WorkerSession(now + self._bound_s)
            self.session_by_worker[worker] = session
        return session

    def renew(self, worker: WorkerId, now: float) -> None:
        """Extend a worker's lease from now."""
        session = self.expect(worker, now)
        session.lease_expires_at = now + self._bound_s

    def lapsed(self, now: float) -> list[WorkerId]:
        """Return the workers whose lease has surely lapsed."""
        return [
            worker
            for worker, session in self.session_by_worker.items()
            if now >= session.lease_expires_at
        ]

    def forget(self, worker: WorkerId) -> None:
        """Close a session."""
        self.session_by_worker.pop(worker, None)
