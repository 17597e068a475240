"""The replicated service of a scheduler group.

Every replica applies the committed commands to the state.  Only the leader
handles requests, plans task starts, and grants leases to workers and slots
to gateways.
"""

import time
import typing

import msgspec

from cassiahold.agreement.replica import DeferredReply, Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord, JobSpec, WorkerRecord
from cassiahold.cellstate.outcomes import SubmitOutcome
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.cellstate.worker_crashes import AttemptEvidence
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import (
    AttemptId,
    DataCentre,
    GatewayId,
    JobId,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import Metrics
from cassiahold.core.states import CommandKind
from cassiahold.policy.shapes import TaskShape
from cassiahold.routing.ledger import (
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)
from cassiahold.scheduler import status
from cassiahold.scheduler.control_loop import ControlLoop
from cassiahold.scheduler.crash_evidence import weigh_worker
from cassiahold.scheduler.explain import format_resources, waiting_reasons
from cassiahold.scheduler.handlers import dispatch_request, propose
from cassiahold.scheduler.planner_projection import PlannerProjection
from cassiahold.scheduler.sessions import SessionTable, WorkerSession
from cassiahold.scheduler.unlisted_attempts import unlisted_results
from cassiahold.scheduler.worker_reports import ReportProcessor
from cassiahold.wire import messages

# Upper bound of a live request.  A slot that may be in use by one is not
# granted to another gateway before this time is over.
MAX_LIVE_REQUEST_S: typing.Final = 30.0
# Report interval of a worker that was sent commands; shorter than usual.
COMMANDS_REPORT_INTERVAL_S: typing.Final = 0.25
# Delay of the reply to an attempt result, so that it can carry the starts
# which take the place of that attempt.  Two rounds of planning and one sync
# of the log fit in.
REFILL_WAIT_S: typing.Final = 0.05


class _LeaderState(msgspec.Struct):
    """State that only the leader keeps; each new leader rebuilds it."""

    term: int
    projection: PlannerProjection
    report_processor: ReportProcessor
    sessions: SessionTable
    ledger: SlotLedger
    control_loop: ControlLoop
    confirmed_epoch: int = 0


class SchedulerService:
    """Schedules the jobs of one data centre.

    All methods are called from the thread of the replica's actor.  Times
    passed as ``now`` are monotonic.  Methods that need the leader raise
    ``NO_QUORUM`` on other replicas.
    """

    def __init__(
        self, data_centre: DataCentre, settings: Settings, metrics: Metrics
    ) -> None:
        self.data_centre = data_centre
        self.state = SchedulerState(data_centre)
        self._settings = settings
        self._metrics = metrics
        self._leader: _LeaderState | None = None

    # Interface of a replicated service.

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""
        outcome = self.state.apply(payload)
        if self._leader is None:
            self.state.pop_effects()
        else:
            self._leader.projection.apply_effects(time.monotonic())
            self._leader.control_loop.record_applied()
        return outcome

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""
        return self.state.snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state."""
        self.state.restore(state)

    def start_leading(self, term: int, now: float) -> None:
        """Build the leader's state; every known worker starts with a lease."""
        timing = self._settings.cell.timing
        projection = PlannerProjection(self.state, now, self._metrics)
        sessions = SessionTable(timing.worker_lease_s, timing.clock_drift)
        for worker in self.state.worker_by_id.values():
            session = sessions.open_session(worker.id, now)
            session.inherited_attempts = frozenset(worker.allocation_by_attempt)
        drift_factor = 1 + 2 * timing.clock_drift
        gateways = [
            GatewayId(host.name)
            for host in self._settings.cell.hosts
            if host.gateway and host.data_centre == self.data_centre
        ]
        ledger = SlotLedger(
            gateways,
            LeaseDurations(
                timing.slot_lease_s * drift_factor,
                timing.worker_lease_s * drift_factor,
                MAX_LIVE_REQUEST_S * drift_factor,
            ),
            now,
        )
        for gateway_id, gateway in self.state.gateway_by_id.items():
            age_s = max(time.time() - gateway.registered_at, 0)
            ledger.restore_gateway(gateway_id, gateway.incarnation, age_s)
        self._leader = _LeaderState(
            term,
            projection,
            ReportProcessor(self.state, projection),
            sessions,
            ledger,
            ControlLoop(
                self.data_centre,
                self.state,
                projection,
                sessions,
                self._metrics,
            ),
        )

    def stop_leading(self) -> None:
        """Drop the leader's state."""
        self._leader = None

    def due_commands(self, now: float) -> list[bytes]:
        """Return the commands of the control loop that are due."""
        return [
            commands.encode_command(command)
            for command in self._leader_state().control_loop.due_commands(now)
        ]

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Return the reply to a request, or a proposal that will produce it."""
        return dispatch_request(request, self, now)

    # Leadership.

    def _leader_state(self) -> _LeaderState:
        if self._leader is None:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, 'this replica is not the leader'
            )
        return self._leader

    # Requests of callers.

    def submit(self, request: messages.Submit) -> Proposal:
        """Propose to accept a job; raises ``NEVER_FITS``."""
        self._reject_never_fitting(request.team, request.spec)
        command = commands.SubmitJob(
            request.team,
            request.request,
            request.fingerprint,
            request.spec,
            time.time(),
            request.traceparent,
        )
        return propose(command, self._submit_reply)

    def _submit_reply(self, outcome: SubmitOutcome) -> messages.Submitted:
        if outcome.error is not None:
            raise CassiaholdError(outcome.error, outcome.detail)
        if outcome.is_first:
            record = self.state.job_by_id[outcome.job]
            if self._leader is not None:
                self._leader.projection.add_deadline(record)
            self._metrics.incr(f'accepted.{record.team}')
        return messages.Submitted(outcome.job, outcome.is_first)

    def _reject_never_fitting(self, team: TeamName, spec: JobSpec) -> None:
        worker_pool = self._leader_state().projection.planner.worker_pool
        resources = spec.resources
        shape = TaskShape(
            resources.cores_m,
            resources.memory_mb,
            resources.accelerators,
            spec.worker_class,
            spec.avoid_class,
        )
        if worker_pool.worker_by_id and not worker_pool.has_worker_large_enough(
            shape
        ):
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'no worker of data centre {self.data_centre!r} is large '
                f'enough for a task of {format_resources(resources)}',
            )
        self._reject_above_limit(team, spec)

    def _reject_above_limit(self, team: TeamName, spec: JobSpec) -> None:
        configured_team = self.state.configuration.team_by_name.get(team)
        if configured_team is None:
            return
        tasks_at_once = spec.tasks if spec.kind.value == 'gang' else 1
        needed = spec.resources * tasks_at_once
        limit = configured_team.limit
        if not needed.fits_in(limit.resources) or tasks_at_once > limit.tasks:
            raise CassiaholdError(
                ErrorKind.NEVER_FITS,
                f'the job starts {tasks_at_once} tasks together, which need '
                f'{format_resources(needed)}; the limit of team {team!r} is '
                f'{format_resources(limit.resources)} in {limit.tasks} tasks',
            )

    def find_job(self, job: JobId, team: TeamName | None) -> JobRecord:
        """Return a job of a team, or of any team when it is None.

        Raises ``NOT_FOUND``.
        """
        record = self.state.job_by_id.get(job)
        if record is None or team not in {None, record.team}:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return record

    def waiting_reasons(self, request: messages.Why) -> messages.WaitReasons:
        """Return the reasons why a job is waiting."""
        record = self.find_job(request.job, request.team)
        return messages.WaitReasons(
            record.id,
            waiting_reasons(
                record, self.state, self._leader_state().projection
            ),
        )

    # Requests of workers and targets.

    def handle_worker_report(
        self, report: messages.WorkerReport, now: float
    ) -> messages.WorkerReportReply | Proposal:
        """Renew a worker's lease and return its commands.

        Raises ``STALE_TERM`` for a report that an earlier leader, an ended
        incarnation or a delay in the network makes outdated.  A report that
        changes the replicated state is replied to once that is committed.
        """
        leader = self._leader_state()
        if report.term > leader.term:
            raise CassiaholdError(
                ErrorKind.STALE_TERM,
                f'worker {report.worker!r} has seen a leader of term '
                f'{report.term}; this leader is of term {leader.term}',
            )
        registered = self.state.worker_by_id.get(report.worker)
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
        results += unlisted_results(report, session, self.state, now)
        session.record_listed(
            [running.attempt for running in report.running],
            self.state.worker_by_id[report.worker].allocation_by_attempt,
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
        record = self.state.worker_by_id[report.worker]
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
        registered = self.state.worker_by_id.get(report.worker)
        if registered is None:
            return {}
        return weigh_worker(registered, session, self.state)

    def _must_register(self, report: messages.WorkerReport) -> bool:
        registered = self.state.worker_by_id.get(report.worker)
        if registered is None or registered.is_lost:
            return True
        return (
            self._leader_state().control_loop.is_loss_pending(report.worker)
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
        leader = self._leader_state()
        timing = self._settings.cell.timing
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
        record = self.state.worker_by_id.get(worker)
        control_loop = self._leader_state().control_loop
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
        if not (
            self._leader_state().projection.planner.waiting_jobs.jobs_by_team
        ):
            return self._worker_reply(report, session, confirms_results=True)
        return DeferredReply(
            time.monotonic() + REFILL_WAIT_S,
            lambda: self._worker_reply(report, session, confirms_results=True),
        )

    def handle_target_report(
        self, report: messages.TargetReport, now: float
    ) -> messages.TargetReportReply:
        """Renew a target's lease; tell whether no gateway holds its slots."""
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

    def handle_gateway_sync(
        self, sync: messages.GatewaySync, now: float
    ) -> messages.SlotGrants | Proposal:
        """Renew a gateway's slots.

        The incarnation of a restarted gateway is committed first, so that a
        new leader knows that requests of an earlier incarnation may run.
        """
        recorded = self.state.gateway_by_id.get(sync.gateway)
        if recorded is not None and sync.incarnation <= recorded.incarnation:
            return self._slot_grants(sync, now)
        return propose(
            commands.RegisterGateway(
                sync.gateway, sync.incarnation, time.time()
            ),
            lambda _: self._slot_grants(sync, time.monotonic()),
        )

    def _slot_grants(
        self, sync: messages.GatewaySync, now: float
    ) -> messages.SlotGrants:
        leader = self._leader_state()
        grants = leader.ledger.renew_grants(
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
                ErrorKind.STALE_TERM,
                f'sync {sync.sequence} of gateway {sync.gateway!r} arrived '
                'after a newer one',
            )
        return messages.SlotGrants(
            leader.term,
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

    # Synchronisation with the coordinator group.

    def build_coordinator_sync(self) -> messages.SchedulerSync:
        """Return the adopted versions and the demand of the teams.

        The confirmed epoch is that of the newest quota offer within which the
        usage of every team has been seen.
        """
        leader = self._leader_state()
        if not self.state.teams_over_quota():
            leader.confirmed_epoch = self.state.quota_offer.epoch
        return messages.SchedulerSync(
            self.data_centre,
            self.state.configuration_version,
            leader.confirmed_epoch,
            self.state.quota_offer.epoch,
            status.team_demand(
                self.state, leader.projection.planner, time.monotonic()
            ),
        )

    def adopt_update(
        self, update: messages.SchedulerUpdate
    ) -> Proposal | messages.DrainAccepted:
        """Propose to adopt a newer configuration, else a newer offer."""
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
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            'the update has neither a newer configuration nor an offer',
        )

    def get_status(self) -> messages.SchedulerStatus:
        """Return the status of the group for operators."""
        leader = self._leader_state()
        return status.scheduler_status(
            self.data_centre,
            leader.term,
            self.state,
            leader.projection.planner,
            len(leader.ledger.targets),
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
