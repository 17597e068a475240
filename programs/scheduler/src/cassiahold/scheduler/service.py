"""The scheduler group as its leader runs it."""

import time
import typing

import msgspec

from cassiahold.agreement.replica import DeferredReply, Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord, JobSpec
from cassiahold.cellstate.outcomes import SubmitOutcome
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GatewayId, JobId, TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.policy.shapes import TaskShape
from cassiahold.routing.ledger import (
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)
from cassiahold.scheduler import status
from cassiahold.scheduler.control_loop import Chores
from cassiahold.scheduler.explain import reasons_for, show
from cassiahold.scheduler.handlers import handle, propose
from cassiahold.scheduler.mirror import Mirror
from cassiahold.scheduler.reports import ReportReader
from cassiahold.scheduler.sessions import SessionTable, WorkerSession
from cassiahold.wire import messages

# Longest live request; a slot is not granted again before it surely ended.
LONGEST_REQUEST_S: typing.Final = 30.0
# A worker with orders is asked to report again soon.
SOON_S: typing.Final = 0.25
# Two rounds of decisions and a sync fit in before an end is answered.
REFILL_S: typing.Final = 0.05


class _Leading(msgspec.Struct):
    """What only the leader keeps, rebuilt by each new one."""

    term: int
    mirror: Mirror
    reader: ReportReader
    sessions: SessionTable
    ledger: SlotLedger
    chores: Chores
    kept_epoch: int = 0


class SchedulerService:
    """Answers requests and adds commands for one data centre."""

    def __init__(
        self, centre: DataCentre, settings: Settings, metrics: Metrics
    ) -> None:
        self.centre = centre
        self.state = SchedulerState(centre)
        self._settings = settings
        self._metrics = metrics
        self._leading: _Leading | None = None

    # What the replica calls.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command."""
        outcome = self.state.apply(payload)
        if self._leading is None:
            self.state.pop_effects()
        else:
            self._leading.mirror.follow(time.monotonic())
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Build the indexes and expect every known worker."""
        timing = self._settings.cell.timing
        mirror = Mirror(self.state, now)
        sessions = SessionTable(timing.worker_lease_s, timing.clock_drift)
        for worker in self.state.worker_by_id:
            sessions.expect(worker, now)
        drift = 1 + 2 * timing.clock_drift
        gateways = [
            GatewayId(host.name)
            for host in self._settings.cell.hosts
            if host.gateway and host.data_centre == self.centre
        ]
        ledger = SlotLedger(
            gateways,
            LeaseDurations(
                timing.slot_lease_s * drift,
                timing.worker_lease_s * drift,
                LONGEST_REQUEST_S * drift,
            ),
            now,
        )
        for gateway_id, known in self.state.gateway_by_id.items():
            age_s = max(time.time() - known.registered_at, 0)
            ledger.restore_gateway(gateway_id, known.incarnation, age_s)
        self._leading = _Leading(
            term,
            mirror,
            ReportReader(self.state, mirror),
            sessions,
            ledger,
            Chores(self.centre, self.state, mirror, sessions, self._metrics),
        )

    def stop_leading(self) -> None:
        """Drop what only a leader keeps."""
        self._leading = None

    def due_commands(self, now: float) -> list[bytes]:
        """Return starts, losses and expiries that are due."""
        return [
            commands.encode_command(command)
            for command in self._leader_state().chores.due(now)
        ]

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request or propose its command."""
        return handle(request, self, now)

    # Periodic work.

    def _leader_state(self) -> _Leading:
        if self._leading is None:
            raise CassiaholdError(ErrorKind.NO_QUORUM, 'this replica follows')
        return self._leading

    # Requests of callers.

    def submit(self, request: messages.Submit) -> Proposal:
        """Accept a job, unless it can never run."""
        self._refuse_never_fitting(request.team, request.spec)
        command = commands.SubmitJob(
            request.team,
            request.request,
            request.fingerprint,
            request.spec,
            time.time(),
            request.traceparent,
        )
        return propose(command, self._submitted)

    def _submitted(self, outcome: SubmitOutcome) -> messages.Submitted:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        if outcome.is_first:
            record = self.state.job_by_id[outcome.job]
            if self._leading is not None:
                self._leading.mirror.note_deadline(record)
            self._metrics.incr(f'accepted.{record.team}')
        return messages.Submitted(outcome.job, outcome.is_first)

    def _refuse_never_fitting(self, team: TeamName, spec: JobSpec) -> None:
        cell = self._leader_state().mirror.planner.worker_pool
        resources = spec.resources
        shape = TaskShape(
            resources.cores_m,
            resources.memory_mb,
            resources.accelerators,
            spec.worker_class,
            spec.avoid_class,
        )
        if cell.worker_by_id and not cell.has_worker_large_enough(shape):
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'no worker of {self.centre!r} can hold a task of '
                f'{show(resources)}',
            )
        self._refuse_beyond_limit(team, spec)

    def _refuse_beyond_limit(self, team: TeamName, spec: JobSpec) -> None:
        known = self.state.configuration.team_by_name.get(team)
        if known is None:
            return
        at_once = spec.tasks if spec.kind.value == 'gang' else 1
        wanted = spec.resources * at_once
        limit = known.limit
        if not wanted.fits_in(limit.resources) or at_once > limit.tasks:
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'{at_once} tasks at once need {show(wanted)}; the limit of '
                f'team {team!r} is {show(limit.resources)} in '
                f'{limit.tasks} tasks',
            )

    def find_job(self, job: JobId, team: TeamName | None) -> JobRecord:
        """Return a job that the team may see; raises ``NOT_FOUND``."""
        record = self.state.job_by_id.get(job)
        if record is None or team not in {None, record.team}:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return record

    def reasons(self, request: messages.Why) -> messages.WaitReasons:
        """Say why a job waits."""
        record = self.find_job(request.job, request.team)
        return messages.WaitReasons(
            record.id,
            reasons_for(record, self.state, self._leader_state().mirror),
        )

    # Requests of workers and targets.

    def report(
        self, report: messages.WorkerReport, now: float
    ) -> messages.WorkerReportReply | Proposal:
        """Renew a worker's lease and return its orders."""
        leading = self._leader_state()
        if report.term > leading.term:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'worker {report.worker!r} has seen term {report.term}, '
                f'this leader has {leading.term}',
            )
        known = self.state.worker_by_id.get(report.worker)
        if known is not None and report.incarnation < known.incarnation:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'incarnation {report.incarnation} of worker '
                f'{report.worker!r} is older than {known.incarnation}',
            )
        session = leading.sessions.expect(report.worker, now)
        newest = (session.incarnation, session.sequence)
        if (report.incarnation, report.sequence) <= newest:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'report {report.sequence} of {report.worker!r} came after '
                f'{session.sequence}',
            )
        session.incarnation = report.incarnation
        session.sequence = report.sequence
        if self._must_put(report):
            return propose(
                _put_worker(report), lambda _: self._orders(report, session)
            )
        leading.reader.learn_usage(report, now)
        ends = leading.reader.ends_in(report, now)
        if ends:
            return propose(
                commands.EndTasks(ends, time.time()),
                lambda _: self._refilled_orders(report, session),
            )
        record = self.state.worker_by_id[report.worker]
        if report.leaving and not record.is_draining:
            return propose(
                commands.DrainWorker(report.worker, is_draining=True),
                lambda _: self._orders(report, session, confirm=True),
            )
        return self._orders(report, session, confirm=True)

    def _must_put(self, report: messages.WorkerReport) -> bool:
        known = self.state.worker_by_id.get(report.worker)
        if known is None or known.is_lost:
            return True
        return (
            known.incarnation != report.incarnation
            or known.capacity != report.capacity
            or known.worker_class != report.worker_class
            or known.rack != report.rack
        )

    def _orders(
        self,
        report: messages.WorkerReport,
        session: WorkerSession,
        *,
        confirm: bool = False,
    ) -> messages.WorkerReportReply:
        leading = self._leader_state()
        timing = self._settings.cell.timing
        leading.chores.heard(report.worker)
        leading.sessions.renew(report.worker, time.monotonic())
        record = self.state.worker_by_id.get(report.worker)
        orders = (
            leading.reader.commands_for(report, record, session)
            if record
            else []
        )
        ended = [attempt.attempt for attempt in report.ended]
        return messages.WorkerReportReply(
            leading.term,
            timing.worker_lease_s,
            min(SOON_S, timing.report_s) if orders else timing.report_s,
            orders,
            ended if confirm else [],
        )

    def _refilled_orders(
        self, report: messages.WorkerReport, session: WorkerSession
    ) -> messages.WorkerReportReply | DeferredReply:
        """Let the answer to an end carry the starts that take its place."""
        if not self._leader_state().mirror.planner.waiting_jobs.jobs_by_team:
            return self._orders(report, session, confirm=True)
        return DeferredReply(
            time.monotonic() + REFILL_S,
            lambda: self._orders(report, session, confirm=True),
        )

    def target_report(
        self, report: messages.TargetReport, now: float
    ) -> messages.TargetReportReply:
        """Take a target's announcement."""
        timing = self._settings.cell.timing
        info = TargetInfo(
            report.target,
            report.incarnation,
            report.service,
            report.address,
            report.slots,
            report.connections,
            report.leaving,
        )
        is_drained = self._leader_state().ledger.record_target(info, now)
        return messages.TargetReportReply(
            timing.worker_lease_s, timing.report_s, is_drained
        )

    def gateway_sync(
        self, sync: messages.GatewaySync, now: float
    ) -> messages.SlotGrants | Proposal:
        """Renew a gateway's slots, once its incarnation is recorded."""
        known = self.state.gateway_by_id.get(sync.gateway)
        if known is not None and sync.incarnation <= known.incarnation:
            return self._grants_for(sync, now)
        return propose(
            commands.RegisterGateway(
                sync.gateway, sync.incarnation, time.time()
            ),
            lambda _: self._grants_for(sync, time.monotonic()),
        )

    def _grants_for(
        self, sync: messages.GatewaySync, now: float
    ) -> messages.SlotGrants:
        leading = self._leader_state()
        grants = leading.ledger.renew_grants(
            sync.gateway,
            sync.incarnation,
            sync.sequence,
            {demand.service: demand.waiting for demand in sync.demand},
            [
                SlotHolding(held.target, held.incarnation, held.slots)
                for held in sync.held
            ],
            now,
        )
        if grants is None:
            raise CassiaholdError(
                ErrorKind.STALE_TERM, f'sync {sync.sequence} came late'
            )
        return messages.SlotGrants(
            leading.term,
            self._settings.cell.timing.slot_lease_s,
            [
                messages.GrantedSlots(
                    grant.target.id,
                    grant.target.incarnation,
                    grant.target.service,
                    grant.target.address,
                    grant.slots,
                    grant.max_connections,
                    grant.target.is_leaving,
                )
                for grant in grants
            ],
        )

    # Exchange with the coordinator group.

    def build_sync(self) -> messages.SchedulerSync:
        """Return what this group has adopted and what its teams want."""
        leading = self._leader_state()
        if not self.state.teams_over_quota():
            leading.kept_epoch = self.state.quota_offer.epoch
        return messages.SchedulerSync(
            self.centre,
            self.state.configuration_version,
            leading.kept_epoch,
            self.state.quota_offer.epoch,
            status.team_demand(
                self.state, leading.mirror.planner, time.monotonic()
            ),
        )

    def adopt(
        self, update: messages.SchedulerUpdate
    ) -> Proposal | messages.DrainAccepted:
        """Propose to adopt what is newer."""
        if (
            update.configuration is not None
            and update.version > self.state.configuration_version
        ):
            return propose(
                commands.AdoptConfiguration(
                    update.version, update.configuration
                ),
                lambda _: None,
            )
        if update.offer is not None:
            return propose(
                commands.AdoptQuotaOffer(update.offer), lambda _: None
            )
        raise CassiaholdError(ErrorKind.BAD_REQUEST, 'nothing to adopt')

    def status(self) -> messages.SchedulerStatus:
        """Return the group's figures."""
        leading = self._leader_state()
        return status.scheduler_status(
            self.centre,
            leading.term,
            self.state,
            leading.mirror.planner,
            len(leading.ledger.targets),
        )


def _put_worker(report: messages.WorkerReport) -> commands.RegisterWorker:
    return commands.RegisterWorker(
        report.worker,
        report.incarnation,
        report.capacity,
        report.worker_class,
        report.rack,
        report.speed,
        time.time(),
    )
