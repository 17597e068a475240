"""One process of the cell: a replica of the group, or only a client of it."""

import concurrent.futures
import contextlib
import threading
import time
import typing

import pykka

from cassiahold.agreement.membership_planner import (
    make_replica_id,
    replica_address,
)
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
from cassiahold.cell.calling import LeaderCaller
from cassiahold.cell.clients import AdvisorClient, WorkerClient
from cassiahold.cell.discovery import Directory
from cassiahold.cell.outlet import Threads
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import (
    GROUP,
    LEADER_SILENT_S,
    READY_SILENT_S,
    SNAPSHOT_BYTES,
    SNAPSHOT_RECORDS,
    CellSettings,
)
from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.core.metrics import Metrics
from cassiahold.journal import Journal
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel, PeerSender, RpcServer

REPLY_TIMEOUT_S: typing.Final = 5.0
TICKS_PER_HEARTBEAT: typing.Final = 5
JOIN_INTERVAL_S: typing.Final = 0.5
TOUCH_INTERVAL_S: typing.Final = 1.0
TOUCH_RETRY_S: typing.Final = 0.1


class CellNode:
    """Connects a process to the cell; with a data folder it holds a replica."""

    def __init__(
        self,
        settings: CellSettings,
        security: TransportSecurity,
        metrics: Metrics,
        workers: WorkerClient | None = None,
        advisor: AdvisorClient | None = None,
    ) -> None:
        self._settings = settings
        self._security = security
        self._advisor = advisor
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()
        self._courier_lock = threading.Lock()
        self._courier_by_address: dict[str, PeerSender] = {}
        self._replica: pykka.ActorRef[Replica] | None = None
        self._own = ReplicaId('')
        self._threads: Threads | None = None
        self.directory = Directory(settings.seeds)
        self.caller = LeaderCaller(
            self.directory, security, settings.address, self.handle
        )
        with contextlib.ExitStack() as building:
            building.callback(self.close)
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
            )
            self._stack.callback(server.close)
            building.pop_all()
        self._start_threads()

    @property
    def is_alive(self) -> bool:
        """Tell whether the replica, if there is one, is running."""
        return self._replica is None or self._replica.is_alive()

    @property
    def is_ready(self) -> bool:
        """Tell whether a leader has answered this process lately.

        Sooner than requests are refused: where the leader cannot be
        reached, a balancer should send callers to another data centre.
        """
        return self.caller.silent_s() < READY_SILENT_S

    def close(self) -> None:
        """Stop listening, then the replica, then the disk."""
        self._stopped.set()
        self._stack.close()

    def call_leader(self, request: typing.Any, timeout_s: float) -> typing.Any:
        """Put an idempotent request to the leader, wherever it is.

        Refused at once with ``NO_QUORUM`` while no leader answers; a thread
        of this process keeps looking for one.
        """
        silent_s = self.caller.silent_s()
        if silent_s > LEADER_SILENT_S:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, f'no leader for {silent_s:.1f} s'
            )
        return self.caller.ask(request, timeout_s)

    def handle(self, request: typing.Any) -> typing.Any:
        """Answer a request in this process; errors become refusals."""
        try:
            return self._answer(request)
        except NotLeaderError as exc:
            return requests.refusal(exc.kind, exc.detail, exc.leader)
        except CassiaholdError as exc:
            return requests.refusal(exc.kind, exc.detail)
        except pykka.ActorDeadError:
            return requests.refusal(
                ErrorKind.NO_QUORUM, 'the replica has stopped'
            )

    def send(self, envelopes: list[Envelope]) -> None:
        """Hand agreement messages to the couriers of their receivers."""
        for envelope in envelopes:
            self._courier(replica_address(envelope.receiver)).send(envelope)

    # Requests.

    def _handle_group(self, _: GroupName, request: typing.Any) -> typing.Any:
        return self.handle(request)

    def _answer(self, request: typing.Any) -> typing.Any:
        if isinstance(request, requests.AskAdvisor):
            return self._advise(request)
        if self._replica is None:
            raise NotLeaderError(None)
        if isinstance(request, requests.Locate):
            return self._view()
        if isinstance(request, requests.AskJoin):
            return self._join(request.replica)
        if isinstance(request, requests.OfferHelp):
            return self._offer(request.address)
        return self._ask_replica(request)

    def _ask_replica(self, request: typing.Any) -> typing.Any:
        reply = _future()
        self._actor().tell(Call(request, reply))
        return _wait(reply)

    def _advise(self, request: requests.AskAdvisor) -> requests.AdviceGiven:
        if self._advisor is None:
            raise CassiaholdError(ErrorKind.UNREACHABLE, 'no advisor is set')
        advice = self._advisor.advise(
            request.step, request.workers, request.timeout_s
        )
        return requests.AdviceGiven(advice.token_by_worker, advice.validity_s)

    def _join(self, replica: ReplicaId) -> requests.Acknowledged:
        reply = _future()
        self._actor().tell(JoinGroup(replica, reply))
        _wait(reply)
        return requests.Acknowledged()

    def _offer(self, address: str) -> requests.Acknowledged:
        leader = self._inspect().leader
        if leader != self._own:
            raise NotLeaderError(leader)
        if self._threads is not None and address not in {
            '',
            self._settings.address,
        }:
            self._threads.lanes.offer(address)
        return requests.Acknowledged()

    def _view(self) -> requests.GroupView:
        view = self._inspect()
        return requests.GroupView(view.leader, view.term, view.membership)

    def _inspect(self) -> ReplicaView:
        reply = _future()
        self._actor().tell(InspectReplica(reply))
        return typing.cast(ReplicaView, _wait(reply))

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
        disk = identity.load_identity(
            folder,
            settings.address,
            settings.seeds if settings.is_first_start else (),
        )
        self._own = make_replica_id(settings.address, disk.name)
        first = Membership(
            tuple(
                make_replica_id(voter, identity.FIRST)
                for voter in disk.first_voters
            )
        )
        threads = Threads(workers, advisor, settings.order_threads)
        service = CellService(settings, threads, metrics)
        journal_folder = folder / 'log'
        self._threads = threads
        self._stack.callback(threads.close)
        self._replica = Replica.start(
            ReplicaSetup(
                GROUP,
                self._own,
                first,
                settings.pace,
                SNAPSHOT_RECORDS,
                SNAPSHOT_BYTES,
                hash((self._own, time.time_ns())),
                settings.target_voters,
            ),
            ReplicaStorage(Journal(journal_folder)),
            service,
            self,
        )
        self._stack.callback(_stop_actor, self._replica)
        threads.attach(self._ask_replica, self.caller)

    def _start_threads(self) -> None:
        self._stack.callback(self.caller.close)
        self._stack.callback(self._close_couriers)
        self.caller.start()
        targets = [self._keep_in_touch]
        if self._replica is not None:
            targets.extend((self._tick, self._keep_joining))
        for target in targets:
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def _tick(self) -> None:
        pause_s = self._settings.heartbeat_s / TICKS_PER_HEARTBEAT
        while not self._stopped.wait(pause_s):
            if self._replica is not None and self._replica.is_alive():
                self._replica.tell(Tick())

    def _keep_joining(self) -> None:
        while not self._stopped.wait(JOIN_INTERVAL_S):
            try:
                self._join_if_outside()
            except (CassiaholdError, pykka.ActorDeadError) as exc:
                logs.info('join_failed', replica=self._own, reason=exc)

    def _join_if_outside(self) -> None:
        view = self._inspect()
        if self._own in view.membership.members and view.leader is not None:
            return
        if self._own in view.membership.voters:
            return
        self.caller.ask(requests.AskJoin(self._own), JOIN_INTERVAL_S)

    def _keep_in_touch(self) -> None:
        address = '' if self._advisor is None else self._settings.address
        request = requests.OfferHelp(address)
        pause_s = TOUCH_INTERVAL_S
        while not self._stopped.wait(pause_s):
            pause_s = TOUCH_INTERVAL_S
            try:
                self.caller.ask(request, TOUCH_INTERVAL_S)
            except CassiaholdError:
                # Logged by the caller; the leader is looked for more often.
                pause_s = TOUCH_RETRY_S

    # Agreement messages.

    def _receive(self, envelope: Envelope) -> None:
        # The address may have had another disk when this was sent.
        replica = self._replica
        if replica is None or envelope.receiver != self._own:
            return
        if replica.is_alive():
            replica.tell(envelope)

    def _courier(self, address: str) -> PeerSender:
        with self._courier_lock:
            courier = self._courier_by_address.get(address)
            if courier is None:
                courier = PeerSender(
                    Channel(address, self._security, requests.CODEC)
                )
                self._courier_by_address[address] = courier
            return courier

    def _close_couriers(self) -> None:
        with self._courier_lock:
            for courier in self._courier_by_address.values():
                courier.close()


def _future() -> concurrent.futures.Future[typing.Any]:
    return concurrent.futures.Future()


def _wait(reply: concurrent.futures.Future[typing.Any]) -> typing.Any:
    try:
        return reply.result(REPLY_TIMEOUT_S)
    except concurrent.futures.TimeoutError as exc:
        raise CassiaholdError(
            ErrorKind.OUTCOME_UNKNOWN, 'the replica did not answer in time'
        ) from exc


def _stop_actor(ref: 'pykka.ActorRef[Replica]') -> None:
    ref.stop(timeout=REPLY_TIMEOUT_S)
