"""The leader's open sessions with workers and their fences."""

import typing

from cassiahold.cell.request_interface import RequestSender
from cassiahold.core import logs
from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import WorkerInfo
from cassiahold.workflows.sessions import WorkerSession

MAX_FENCES_PER_TERM: typing.Final = 1_000_000


class SessionTable:
    """Sessions by worker; each new one has a higher fence and is polled."""

    def __init__(
        self, request_sender: RequestSender, max_lease_s: float, term: int
    ) -> None:
        self._request_sender = request_sender
        self._max_lease_s = max_lease_s
        self._term = term
        self._fence_count = 0
        self.session_by_worker: dict[WorkerId, WorkerSession] = {}

    def get(self, worker: WorkerId) -> WorkerSession | None:
        """Return the session with a worker."""
        return self.session_by_worker.get(worker)

    def find(self, worker: WorkerId, fence: int) -> WorkerSession | None:
        """Return the session with a worker unless its fence is another."""
        session = self.session_by_worker.get(worker)
        if session is None or session.fence != fence:
            return None
        return session

    def open(self, info: WorkerInfo, now: float) -> None:
        """Open a session in place of an earlier one and start to poll."""
        self.close(info.id)
        fence = self._next_fence()
        self.session_by_worker[info.id] = WorkerSession(
            info, fence, self._max_lease_s, now
        )
        self._request_sender.start_polling(info, fence)

    def close(self, worker: WorkerId) -> None:
        """End the session with a worker, if any; its starts are withdrawn."""
        session = self.session_by_worker.pop(worker, None)
        if session is not None:
            self._request_sender.withdraw_starts(session.fence)

    def close_all(self) -> None:
        """End every session; polling threads end at their next report."""
        for worker in list(self.session_by_worker):
            self.close(worker)

    def raise_fence(self, session: WorkerSession) -> None:
        """Let a session go on under a higher fence; its polls carry it."""
        self._request_sender.withdraw_starts(session.fence)
        session.raise_fence(self._next_fence())
        logs.info('fence_raised', worker=session.info.id, fence=session.fence)

    def _next_fence(self) -> int:
        self._fence_count += 1
        return self._term * MAX_FENCES_PER_TERM + self._fence_count
