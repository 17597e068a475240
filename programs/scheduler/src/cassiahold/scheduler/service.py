"""The replicated service of a scheduler group.

Every replica applies the committed commands to the state.  Only the leader
handles requests, plans task starts, and grants leases to workers and slots
to gateways.
"""

import time
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobRecord
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import (
    DataCentre,
    GatewayId,
    JobId,
    TeamName,
)
from cassiahold.core.metrics import Metrics
from cassiahold.routing.ledger import (
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)
from cassiahold.scheduler import status
from cassiahold.scheduler.caller_requests import CallerRequests
from cassiahold.scheduler.control_loop import ControlLoop
from cassiahold.scheduler.handlers import dispatch_request, propose
from cassiahold.scheduler.leader_state import LeaderState
from cassiahold.scheduler.planner_projection import PlannerProjection
from cassiahold.scheduler.sessions import SessionTable
from cassiahold.scheduler.worker_reports import ReportProcessor
from cassiahold.scheduler.worker_requests import WorkerRequests
from cassiahold.wire import messages

# Upper bound of a live request.  A slot that may be in use by one is not
# granted to another gateway before this time is over.
MAX_LIVE_REQUEST_S: typing.Final = 30.0


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
        self._leader: LeaderState | None = None
        self._caller_requests = CallerRequests(
            data_centre,
            self.state,
            self._leader_state,
            self._add_deadline,
            metrics,
        )
        self._worker_requests = WorkerRequests(
            self.state, settings.cell.timing, self._leader_state
        )

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
        self._leader = LeaderState(
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

    def _leader_state(self) -> LeaderState:
        if self._leader is None:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, 'this replica is not the leader'
            )
        return self._leader

    def _add_deadline(self, record: JobRecord) -> None:
        if self._leader is not None:
            self._leader.projection.add_deadline(record)

    # Requests of callers.

    def submit(self, request: messages.Submit) -> Proposal:
        """Propose to accept a job; raises ``NEVER_FITS``."""
        return self._caller_requests.submit(request)

    def find_job(self, job: JobId, team: TeamName | None) -> JobRecord:
        """Return a job of a team, or of any team when it is None.

        Raises ``NOT_FOUND``.
        """
        return self._caller_requests.find_job(job, team)

    def waiting_reasons(self, request: messages.Why) -> messages.WaitReasons:
        """Return the reasons why a job is waiting."""
        return self._caller_requests.waiting_reasons(request)

    # Requests of workers and targets.

    def handle_worker_report(
        self, report: messages.WorkerReport, now: float
    ) -> messages.WorkerReportReply | Proposal:
        """Renew a worker's lease and return its commands.

        Raises ``STALE_TERM`` for a report that an earlier leader, an ended
        incarnation or a delay in the network makes outdated.  A report that
        changes the replicated state is replied to once that is committed.
        """
        return self._worker_requests.handle_report(report, now)

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
