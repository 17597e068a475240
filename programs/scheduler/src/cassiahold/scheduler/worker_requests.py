"""Reports of workers: leases, registrations, results and commands."""

import time
import typing

from cassiahold.agreement.deferred_replies import DeferredReply
from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import WorkerRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.cellstate.worker_crashes import AttemptEvidence
from cassiahold.core.conf.settings import Timing
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import AttemptId, WorkerId
from cassiahold.core.states import CommandKind
from cassiahold.scheduler.crash_evidence import weigh_worker
from cassiahold.scheduler.handlers import propose
from cassiahold.scheduler.leader_state import LeaderGetter
from cassiahold.scheduler.sessions import WorkerSession
from cassiahold.scheduler.unlisted_attempts import unlisted_results
from cassiahold.wire import messages

# Report interval of a worker that was sent commands; shorter than usual.
COMMANDS_REPORT_INTERVAL_S: typing.Final = 0.25
# Delay of the reply to an attempt result, so that it can carry the starts
# which take the place of that attempt.  Two rounds of planning and one sync
# of the log fit in.
REFILL_WAIT_S: typing.Final = 0.05


class WorkerRequests:
    """Handles the reports of workers; a reply needs the leader again."""

    def __init__(
        self, state: SchedulerState, timing: Timing, leader: LeaderGetter
    ) -> None:
        self._state = state
        self._timing = timing
        self._leader = leader

    def handle_report(
        self, report: messages.WorkerReport, now: float
    ) -> messages.WorkerReportReply | Proposal:
        """Renew a worker's lease and return its commands.

        Raises ``STALE_TERM`` for a report that an earlier leader, an ended
        incarnation or a delay in the network makes outdated.  A report that
        changes the replicated state is replied to once that is committed.
        """
        leader = self._leader()
        if report.term > leader.term:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'worker {report.worker!r} has seen a leader of term '
                f'{report.term}; this leader is of term {leader.term}',
            )
        registered = self._state.worker_by_id.get(report.worker)
        if (
            registered is not None
            and report.incarnation < registered.incarnation
        ):
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'incarnation {report.incarnation} of worker '
                f'{report.worker!r} is older than the registered '
                f'{registered.incarnation}',
            )
        session = leader.sessions.open_session(report.worker, now)
        newest = (session.incarnation, session.sequence)
        if (report.incarnation, report.sequence) <= newest:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'report {report.sequence} of worker {report.worker!r} '
                f'arrived after report {session.sequence}',
            )
        session.begin_report(report.incarnation, report.sequence)
        if self._must_register(report):
            return propose(
                _register_command(report, self._evidence(report, session)),
                lambda _: self._worker_reply(report, session),
            )
        session.alive_at = now
        leader.report_processor.record_usage(report, session, now)
        results = leader.report_processor.new_results(report, now)
        results += unlisted_results(
            report, session, self._state, leader.term, now
        )
        session.record_listed(
            [running.attempt for running in report.running],
            self._state.worker_by_id[report.worker].allocation_by_attempt,
        )
        if results:
            return propose(
                commands.EndTasks(
                    results,
                    time.time(),
                    report.worker if report.leaving else None,
                ),
                lambda _: self._reply_after_refill(report, session),
            )
        record = self._state.worker_by_id[report.worker]
        if report.leaving and not record.is_leaving:
            return propose(
                commands.DrainWorker(
                    report.worker, is_draining=True, is_leaving=True
                ),
                lambda _: self._worker_reply(
                    report, session, confirms_results=True
                ),
            )
        return self._worker_reply(report, session, confirms_results=True)

    def _evidence(
        self, report: messages.WorkerReport, session: WorkerSession
    ) -> dict[AttemptId, AttemptEvidence]:
        registered = self._state.worker_by_id.get(report.worker)
        if registered is None:
            return {}
        return weigh_worker(registered, session, self._state)

    def _must_register(self, report: messages.WorkerReport) -> bool:
        registered = self._state.worker_by_id.get(report.worker)
        if registered is None or registered.is_lost:
            return True
        return (
            self._leader().control_loop.is_loss_pending(report.worker)
            or registered.incarnation != report.incarnation
            or registered.capacity != report.capacity
            or registered.worker_class != report.worker_class
            or registered.rack != report.rack
        )

    def _worker_reply(
        self,
        report: messages.WorkerReport,
        session: WorkerSession,
        *,
        confirms_results: bool = False,
    ) -> messages.WorkerReportReply:
        leader = self._leader()
        timing = self._timing
        record = self._registered_worker(report.worker)
        leader.sessions.renew_lease(report.worker, time.monotonic())
        worker_commands = leader.report_processor.commands_for(
            report, record, session
        )
        session.record_starts(
            _started_attempts(worker_commands),
            record.allocation_by_attempt,
            time.monotonic(),
        )
        ended_ids = [ended.attempt for ended in report.ended]
        return messages.WorkerReportReply(
            leader.term,
            timing.worker_lease_s,
            min(COMMANDS_REPORT_INTERVAL_S, timing.report_s)
            if worker_commands
            else timing.report_s,
            worker_commands,
            ended_ids if confirms_results else [],
        )

    def _registered_worker(self, worker: WorkerId) -> WorkerRecord:
        """Return a worker that may get a lease.

        Raises ``STALE_TERM`` for one that was declared lost since its report.
        """
        record = self._state.worker_by_id.get(worker)
        control_loop = self._leader().control_loop
        if (
            record is None
            or record.is_lost
            or control_loop.is_loss_pending(worker)
        ):
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'worker {worker!r} was declared lost since its report',
            )
        return record

    def _reply_after_refill(
        self, report: messages.WorkerReport, session: WorkerSession
    ) -> messages.WorkerReportReply | DeferredReply:
        """Defer the reply to attempt results while jobs are waiting.

        The reply can then carry the starts that use the freed resources.
        """
        if not (self._leader().projection.planner.waiting_jobs.jobs_by_team):
            return self._worker_reply(report, session, confirms_results=True)
        return DeferredReply(
            time.monotonic() + REFILL_WAIT_S,
            lambda: self._worker_reply(report, session, confirms_results=True),
        )


def _started_attempts(
    worker_commands: list[messages.WorkerCommand],
) -> list[AttemptId]:
    return [
        command.attempt
        for command in worker_commands
        if command.command is CommandKind.START
    ]


def _register_command(
    report: messages.WorkerReport,
    evidence_by_attempt: dict[AttemptId, AttemptEvidence],
) -> commands.RegisterWorker:
    return commands.RegisterWorker(
        report.worker,
        report.incarnation,
        report.capacity,
        report.worker_class,
        report.rack,
        report.speed,
        time.time(),
        evidence_by_attempt,
        report.leaving,
    )
