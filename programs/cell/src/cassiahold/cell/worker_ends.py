"""Ends of workers' incarnations: departures, crashes and removals."""

import enum
import time
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.attempt_ends import AttemptEnds
from cassiahold.cell.session_table import SessionTable
from cassiahold.core import logs
from cassiahold.core.ids import WorkerId
from cassiahold.workflows import commands
from cassiahold.workflows.model import AttemptKey, IncarnationKey
from cassiahold.workflows.sessions import WorkerSession
from cassiahold.workflows.state import WorkflowState

# A worker that replies to a poll sent this long after it deregistered runs on.
DEREGISTRATION_DELAY_S: typing.Final = 0.5
# A worker that still replies after this time has not left.
MAX_DEPARTURE_S: typing.Final = 10.0


class EndProof(enum.Enum):
    """What proves that a worker's process runs none of its attempts any more.

    ``REPLACED`` means that another process replied at the worker's address,
    ``LEASES_EXPIRED`` that every lease has expired that the worker may hold.

    Nothing else proves it.  A worker ends once its deregistration is
    acknowledged, but the acknowledgement may be lost.  Silence, a refused
    connection and the end of an open one may all come from the network while
    the worker runs on.
    """

    REPLACED = 'replaced'
    LEASES_EXPIRED = 'leases_expired'


class WorkerEnds:
    """Tells why incarnations of workers end, and removes workers.

    A worker is removed once there is a proof of its end.  One that leaves
    holds short leases, so its attempts start elsewhere soon after its end.
    """

    def __init__(
        self,
        state: WorkflowState,
        sessions: SessionTable,
        attempt_ends: AttemptEnds,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._attempt_ends = attempt_ends
        # Workers whose address another process has.
        self._replaced_workers: set[WorkerId] = set()
        # Departures that may be those of an earlier incarnation.
        self._unconfirmed_departure_at_by_worker: dict[WorkerId, float] = {}
        # Workers whose address another process has taken without notice.
        self._crashed_workers: set[WorkerId] = set()

    def is_deregistered(self, worker: WorkerId) -> bool:
        """Tell whether a worker will be removed soon."""
        session = self._sessions.get(worker)
        has_deregistered = session is not None and session.has_deregistered
        return has_deregistered or worker in self._replaced_workers

    def deregister(
        self, request: requests.WorkerLeft, now: float
    ) -> requests.Acknowledged | Proposal:
        """Handle a worker's deregistration.

        One without an incarnation may be late and mean an earlier one.  It
        removes a worker only if that is known to be draining.
        """
        session = self._sessions.get(request.id)
        if request.incarnation:
            return self._handle_departure(
                request.id, request.incarnation, session, now
            )
        if session is None:
            return requests.Acknowledged()
        if self._has_departed(session):
            return self._handle_departure(
                request.id, session.info.incarnation, session, now
            )
        self._unconfirmed_departure_at_by_worker[request.id] = now
        logs.info('worker_may_have_left', worker=request.id)
        return requests.Acknowledged()

    def _handle_departure(
        self,
        worker: WorkerId,
        incarnation: int,
        session: WorkerSession | None,
        now: float,
    ) -> requests.Acknowledged | Proposal:
        """Remove an incarnation soon and store that it has not crashed."""
        if session is not None and session.info.incarnation == incarnation:
            if not session.has_deregistered:
                session.deregistered_at = now
            logs.info('worker_left', worker=worker, born=incarnation)
        if not self._is_departure_new(worker, incarnation):
            return requests.Acknowledged()
        return Proposal(
            commands.encode_command(
                commands.EndAttempts(
                    [],
                    time.time(),
                    departed=(IncarnationKey(worker, incarnation),),
                )
            ),
            lambda _: requests.Acknowledged(),
        )

    def _is_departure_new(self, worker: WorkerId, incarnation: int) -> bool:
        """Tell whether the state may have to change for a departure."""
        if self._state.has_lost_attempts(worker):
            return True
        record = self._state.worker_by_id.get(worker)
        return record is not None and not record.has_departed(incarnation)

    def mark_replaced(self, worker: WorkerId) -> None:
        """Remove a worker soon: another process has its address."""
        session = self._sessions.get(worker)
        if (
            session is not None
            and not self._has_departed(session)
            and not self.is_deregistered(worker)
            and worker not in self._unconfirmed_departure_at_by_worker
        ):
            self._crashed_workers.add(worker)
        self._replaced_workers.add(worker)

    def record_reply(self, request: local.PollDone, now: float) -> None:
        """Record that a worker replied to a poll, also after it left.

        One whose deregistration is not acknowledged may run on for a while.
        One that does not end gets work again.
        """
        self._forget_late_departure(request)
        session = self._sessions.get(request.worker)
        if session is None or session.deregistered_at is None:
            return
        if now >= session.deregistered_at + MAX_DEPARTURE_S:
            logs.info('worker_has_not_left', worker=request.worker)
            session.deregistered_at = None

    def record_next_incarnation(self, session: WorkerSession) -> None:
        """Record why the incarnation of a session ended: another follows."""
        if self._has_departed(session):
            return
        if session.info.id in self._unconfirmed_departure_at_by_worker:
            self._attempt_ends.record_departure(session)
        else:
            self._attempt_ends.record_crash(session)

    def forget(self, worker: WorkerId) -> None:
        """Forget what is known of the earlier incarnations of a worker."""
        self._replaced_workers.discard(worker)
        self._unconfirmed_departure_at_by_worker.pop(worker, None)
        self._crashed_workers.discard(worker)

    def removal_commands(self, now: float) -> list[commands.Command]:
        """Return the commands that remove the workers that have ended.

        Their attempts end as lost with their last checkpoint.
        """
        removals: list[commands.Command] = []
        for session in list(self._sessions.session_by_worker.values()):
            proof = self._end_proof(session, now)
            if proof is not None:
                removals.extend(self._remove(session, proof, now))
        return removals

    def _end_proof(self, session: WorkerSession, now: float) -> EndProof | None:
        if session.info.id in self._replaced_workers:
            return EndProof.REPLACED
        if session.has_expired(now, self._attempts(session.info.id)):
            return EndProof.LEASES_EXPIRED
        return None

    def _remove(
        self, session: WorkerSession, proof: EndProof, now: float
    ) -> list[commands.Command]:
        worker = session.info.id
        self._sessions.close(worker)
        logs.info(
            'worker_lost',
            worker=worker,
            born=session.info.incarnation,
            proof=proof.value,
            has_deregistered=session.has_deregistered,
            attempts=len(self._attempts(worker)),
            silent_s=now - (session.last_reply_at or now),
        )
        if worker in self._crashed_workers:
            self._attempt_ends.record_crash(session)
        is_explained = (
            proof is EndProof.REPLACED
            or session.has_deregistered
            or self._has_departed(session)
            or worker in self._unconfirmed_departure_at_by_worker
        )
        self.forget(worker)
        results = self._attempt_ends.lost_with_worker(
            session, is_explained=is_explained
        )
        return [
            self._attempt_ends.end_command(results),
            commands.RemoveWorker(
                worker, session.info.incarnation, time.time()
            ),
        ]

    def _attempts(self, worker: WorkerId) -> typing.Collection[AttemptKey]:
        """Return the attempts that may be running on a worker."""
        record = self._state.worker_by_id.get(worker)
        return () if record is None else record.resources_by_attempt

    def _has_departed(self, session: WorkerSession) -> bool:
        record = self._state.worker_by_id.get(session.info.id)
        return record is not None and record.has_departed(
            session.info.incarnation
        )

    def _forget_late_departure(self, request: local.PollDone) -> None:
        """Forget a departure after which the worker still replies."""
        left_at = self._unconfirmed_departure_at_by_worker.get(request.worker)
        if (
            left_at is not None
            and request.sent_at >= left_at + DEREGISTRATION_DELAY_S
        ):
            self._unconfirmed_departure_at_by_worker.pop(request.worker)
