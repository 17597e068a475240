"""One process of the cell: a replica of the group, or only its client."""

import concurrent.futures
import contextlib
import threading
import time
import typing

import pykka

from cassiahold.agreement.membership_planner import make_replica_id
from cassiahold.agreement.messages import Envelope, Membership
from cassiahold.agreement.replica import (
    Call,
    InspectReplica,
    JoinGroup,
    NotLeaderError,
    Replica,
    ReplicaSetup,
    ReplicaView,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.cell import identity, requests
from cassiahold.cell.clients import AdvisorClient, WorkerClient
from cassiahold.cell.contacts import CONTACT_INTERVAL_S, ContactSchedule
from cassiahold.cell.discovery import ReplicaDirectory
from cassiahold.cell.leader_client import LeaderClient
from cassiahold.cell.peer_senders import PeerSenders
from cassiahold.cell.request_sender import ThreadedRequestSender
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import (
    GROUP,
    MAX_LEADER_SILENCE_S,
    MAX_READY_SILENCE_S,
    SNAPSHOT_BYTES,
    SNAPSHOT_RECORDS,
    CellSettings,
)
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.conf.settings import check_retry_settings
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    detail_of,
    kind_name,
)
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.core.loops import run_step
from cassiahold.core.metrics import Metrics
from cassiahold.journal import Journal
from cassiahold.routing.refusal_hints import RefusalHints
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import RpcServer

REPLY_TIMEOUT_S: typing.Final = 5.0
TICKS_PER_HEARTBEAT: typing.Final = 5
JOIN_INTERVAL_S: typing.Final = 0.5
CONTACT_RETRY_S: typing.Final = 0.1


class CellNode:
    """Connects a process to the cell and runs a replica if it has one.

    A process with a client of the workers runs a replica, which needs a data
    folder; any other process only calls the leader.  A process with a client
    of the advisor offers to send queries for the leader.
    """

    def __init__(
        self,
        settings: CellSettings,
        security: TransportSecurity,
        metrics: Metrics,
        workers: WorkerClient | None = None,
        advisor: AdvisorClient | None = None,
    ) -> None:
        check_retry_settings(settings.retry)
        self._settings = settings
        self._advisor = advisor
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()
        self._peer_senders = PeerSenders(security)
        self._replica: pykka.ActorRef[Replica] | None = None
        self._own_id = ReplicaId('')
        self._refusal_hints = RefusalHints(
            settings.election_s, settings.retry.default_rate_per_s
        )
        self._contact_failure_kind = ''  # while offers to the leader fail
        self._is_disk_full = False
        self._request_sender: ThreadedRequestSender | None = None
        self.directory = ReplicaDirectory(settings.seeds)
        self.leader_client = LeaderClient(
            self.directory, security, settings.address, self.handle
        )
        with contextlib.ExitStack() as startup:
            startup.callback(self.close)
            if workers is not None:
                self._start_replica(workers, advisor, metrics)
            server = RpcServer(
                'cassiahold-cell',
                settings.bind_address,
                security,
                settings.call_threads,
                self._handle_group,
                self._receive,
                metrics,
                requests.CODEC,
                requests.request_flow,
            )
            self._stack.callback(server.close)
            startup.pop_all()
        self._start_threads()

    @property
    def is_alive(self) -> bool:
        """Tell whether the replica is running; True without a replica."""
        return self._replica is None or self._replica.is_alive()

    @property
    def is_ready(self) -> bool:
        """Tell whether a leader has replied to this process recently.

        Turns False before requests are refused: where the leader cannot be
        reached, a load balancer should send callers to another data centre.
        False as well while the disk of the replica is full.
        """
        silence_s = self.leader_client.leader_silence_s()
        return silence_s < MAX_READY_SILENCE_S and not self._is_disk_full

    def close(self) -> None:
        """Close connections and the server, then the replica's threads."""
        self._stopped.set()
        self._stack.close()

    def finish_by(self, finish_at: float) -> None:
        """End every request to the leader by a boot time in seconds."""
        self.leader_client.finish_by(finish_at)

    def call_leader(
        self,
        request: typing.Any,
        timeout_s: float,
        resolve_timeout_s: float = 0.0,
    ) -> typing.Any:
        """Return the leader's reply to an idempotent request.

        ``LeaderClient.call_leader`` describes the time-outs.

        Raises ``NO_QUORUM`` at once while no leader replies; a background
        thread keeps locating one.
        """
        try:
            reply = self._call_leader(request, timeout_s, resolve_timeout_s)
        except CassiaholdError as exc:
            self._refusal_hints.complete(
                exc, self.leader_client.outage_s(), boottime_s()
            )
            raise
        self._refusal_hints.record_reply(boottime_s())
        return reply

    def handle(self, request: typing.Any) -> typing.Any:
        """Handle a request in this process; errors become refusals."""
        try:
            return self._handle_request(request)
        except NotLeaderError as exc:
            return requests.make_refusal(exc.kind, exc.detail, exc.leader)
        except CassiaholdError as exc:
            return requests.make_refusal(exc.kind, exc.detail, hint=exc.hint)
        except pykka.ActorDeadError:
            return requests.make_refusal(
                ErrorKind.NO_QUORUM, 'the replica has stopped'
            )

    # Requests.

    def _call_leader(
        self, request: typing.Any, timeout_s: float, resolve_timeout_s: float
    ) -> typing.Any:
        if self.leader_client.leader_silence_s() > MAX_LEADER_SILENCE_S:
            outage_s = self.leader_client.outage_s()
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, f'no leader for {outage_s:.1f} s'
            )
        return self.leader_client.call_leader(
            request, timeout_s, resolve_timeout_s
        )

    def _handle_group(self, _: GroupName, request: typing.Any) -> typing.Any:
        return self.handle(request)

    def _handle_request(self, request: typing.Any) -> typing.Any:
        if isinstance(request, requests.AskAdvisor):
            return self._call_advisor(request)
        if self._replica is None:
            raise NotLeaderError(None)
        if isinstance(request, requests.Locate):
            return self._group_view()
        if isinstance(request, requests.AskJoin):
            return self._join(request.replica)
        if isinstance(request, requests.OfferHelp):
            return self._accept_helper(request.address)
        return self._call_replica(request)

    def _call_replica(self, request: typing.Any) -> typing.Any:
        reply = _new_future()
        self._actor().tell(Call(request, reply))
        return _wait_for_reply(reply)

    def _call_advisor(
        self, request: requests.AskAdvisor
    ) -> requests.AdvisorQueryReply:
        if self._advisor is None:
            raise CassiaholdError(
                ErrorKind.UNREACHABLE, 'this process has no advisor'
            )
        reply = self._advisor.advise(
            request.step, request.workers, request.timeout_s
        )
        return requests.AdvisorQueryReply(
            reply.token_by_worker, reply.validity_s
        )

    def _join(self, replica: ReplicaId) -> requests.Acknowledged:
        reply = _new_future()
        self._actor().tell(JoinGroup(replica, reply))
        _wait_for_reply(reply)
        return requests.Acknowledged()

    def _accept_helper(self, address: str) -> requests.Acknowledged:
        leader = self._inspect().leader
        if leader != self._own_id:
            raise NotLeaderError(leader)
        if self._request_sender is not None and address not in {
            '',
            self._settings.address,
        }:
            self._request_sender.advisor_queries.add_helper(address)
        return requests.Acknowledged()

    def _group_view(self) -> requests.GroupView:
        view = self._inspect()
        return requests.GroupView(view.leader, view.term, view.membership)

    def _inspect(self) -> ReplicaView:
        reply = _new_future()
        self._actor().tell(InspectReplica(reply))
        return typing.cast(ReplicaView, _wait_for_reply(reply))

    def _actor(self) -> 'pykka.ActorRef[Replica]':
        if self._replica is None or not self._replica.is_alive():
            raise NotLeaderError(None)
        return self._replica

    # Start.

    def _start_replica(
        self,
        workers: WorkerClient,
        advisor: AdvisorClient | None,
        metrics: Metrics,
    ) -> None:
        settings = self._settings
        if settings.data_folder is None:
            raise CassiaholdError(
                ErrorKind.BAD_SETTINGS, 'a replica needs a data folder'
            )
        folder = settings.data_folder / GROUP
        disk_identity = identity.load_identity(
            folder,
            settings.address,
            settings.seeds if settings.is_bootstrap else (),
        )
        self._own_id = make_replica_id(settings.address, disk_identity.name)
        first_membership = Membership(
            tuple(
                make_replica_id(voter, identity.FIRST_VOTER_NAME)
                for voter in disk_identity.first_voters
            )
        )
        request_sender = ThreadedRequestSender(
            workers, advisor, settings.start_threads
        )
        service = CellService(settings, request_sender, metrics)

        def record_disk_full(is_full: bool) -> None:
            self._is_disk_full = is_full
            metrics.gauge('disk_full', int(is_full))

        journal_folder = folder / 'log'
        self._request_sender = request_sender
        self._stack.callback(request_sender.close)
        self._replica = Replica.start(
            ReplicaSetup(
                GROUP,
                self._own_id,
                first_membership,
                settings.raft_timing,
                SNAPSHOT_RECORDS,
                SNAPSHOT_BYTES,
                hash((self._own_id, time.time_ns())),
                settings.target_voters,
            ),
            ReplicaStorage(Journal(journal_folder)),
            service,
            self._peer_senders,
            record_disk_full,
        )
        self._stack.callback(_stop_actor, self._replica)
        request_sender.attach(self._call_replica, self.leader_client)

    def _start_threads(self) -> None:
        self._stack.callback(self.leader_client.close)
        self._stack.callback(self._peer_senders.close)
        self.leader_client.start()
        targets = [self._contact_leader_periodically]
        if self._replica is not None:
            targets.extend((self._tick_periodically, self._join_periodically))
        for target in targets:
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def _tick_periodically(self) -> None:
        pause_s = self._settings.heartbeat_s / TICKS_PER_HEARTBEAT
        while not self._stopped.wait(pause_s):
            run_step('tick', self._tick_replica)

    def _tick_replica(self) -> None:
        if self._replica is not None and self._replica.is_alive():
            self._replica.tell(Tick())

    def _join_periodically(self) -> None:
        while not self._stopped.wait(JOIN_INTERVAL_S):
            try:
                self._join_if_not_member()
            except Exception as exc:  # noqa: BLE001
                logs.info(
                    'join_failed',
                    replica=self._own_id,
                    kind=kind_name(exc),
                    reason=detail_of(exc),
                )

    def _join_if_not_member(self) -> None:
        view = self._inspect()
        if self._own_id in view.membership.members and view.leader is not None:
            return
        if self._own_id in view.membership.voters:
            return
        self.leader_client.call_leader(
            requests.AskJoin(self._own_id), JOIN_INTERVAL_S
        )

    def _contact_leader_periodically(self) -> None:
        address = '' if self._advisor is None else self._settings.address
        schedule = ContactSchedule()
        pause_s = CONTACT_INTERVAL_S
        while not self._stopped.wait(pause_s):
            pause_s = schedule.pause_s(
                boottime_s(),
                self.directory.leader,
                self.leader_client.leader_silence_s(),
            )
            if pause_s > 0:
                continue
            pause_s = CONTACT_RETRY_S
            if run_step('contact', lambda: self._offer_help(address)):
                schedule.record_offer(boottime_s(), self.directory.leader)
                pause_s = CONTACT_INTERVAL_S

    def _offer_help(self, address: str) -> bool:
        try:
            self.leader_client.call_leader(
                requests.OfferHelp(address), CONTACT_INTERVAL_S
            )
        except CassiaholdError as exc:
            self._log_contact(exc.kind.value, exc.detail)
            return False
        self._log_contact('', '')
        return True

    def _log_contact(self, failure_kind: str, reason: str) -> None:
        if failure_kind != self._contact_failure_kind:
            self._contact_failure_kind = failure_kind
            logs.info('contact_changed', kind=failure_kind, reason=reason)

    # Consensus messages.

    def _receive(self, envelope: Envelope) -> None:
        # The sender may have meant a replica with an earlier disk.
        replica = self._replica
        if replica is None or envelope.receiver != self._own_id:
            return
        if replica.is_alive():
            replica.tell(envelope)


def _new_future() -> concurrent.futures.Future[typing.Any]:
    return concurrent.futures.Future()


def _wait_for_reply(reply: concurrent.futures.Future[typing.Any]) -> typing.Any:
    try:
        return reply.result(REPLY_TIMEOUT_S)
    except concurrent.futures.TimeoutError as exc:
        raise CassiaholdError(
            ErrorKind.OUTCOME_UNKNOWN, 'the replica did not reply in time'
        ) from exc


def _stop_actor(ref: 'pykka.ActorRef[Replica]') -> None:
    ref.stop(timeout=REPLY_TIMEOUT_S)
