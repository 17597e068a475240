"""Runs replicas of groups in one process, with peers, callers and time."""

import concurrent.futures
import contextlib
import threading
import time
import typing

import pykka

from cassiahold.agreement.messages import Envelope, Membership
from cassiahold.agreement.node import RaftTiming
from cassiahold.agreement.replica import (
    Call,
    ChangeMembership,
    GroupService,
    InspectReplica,
    NotLeaderError,
    Replica,
    ReplicaSetup,
    ReplicaView,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core.conf.settings import GroupEntry, Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, HostName, ReplicaId
from cassiahold.core.metrics import Metrics
from cassiahold.journal import Journal
from cassiahold.wire.messages import (
    ChangeMembers,
    GetReplicas,
    MembersChanged,
    Refusal,
    Replicas,
    ReplicaStatus,
    Reply,
    Request,
)
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel, PeerSender, RpcServer

_REPLY_TIMEOUT_S: typing.Final = 10.0
_TICKS_PER_HEARTBEAT: typing.Final = 4
_RELUCTANCE_AWAY: typing.Final = 1.0

ServiceFactory = typing.Callable[[GroupEntry], GroupService]


class ReplicaServer:
    """Every replica of one process."""

    def __init__(
        self,
        program: str,
        role: str,
        settings: Settings,
        groups: list[GroupEntry],
        make_service: ServiceFactory,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._role = role
        self._stack = contextlib.ExitStack()
        self._security = TransportSecurity(settings.host.tls, settings.folder)
        self._courier_lock = threading.Lock()
        self._courier_by_host: dict[ReplicaId, PeerSender] = {}
        self._actor_by_group: dict[GroupName, pykka.ActorRef[Replica]] = {}
        self._stopped = threading.Event()
        with contextlib.ExitStack() as building:
            building.callback(self._stack.close)
            for group in groups:
                self._start_replica(group, make_service(group))
            server = RpcServer(
                program,
                getattr(settings.own_host, role),
                self._security,
                settings.host.call_threads,
                self.handle,
                self._receive,
                metrics,
            )
            self._stack.callback(server.close)
            building.pop_all()
        self._ticker = threading.Thread(
            target=self._tick, name='ticker', daemon=True
        )
        self._ticker.start()

    @property
    def is_alive(self) -> bool:
        """Tell whether every replica is running."""
        return all(ref.is_alive() for ref in self._actor_by_group.values())

    def handle(self, group: GroupName, request: Request) -> Reply:
        """Answer a call from another process."""
        try:
            return self._answer(group, request)
        except NotLeaderError as exc:
            return Refusal(exc.kind, exc.detail, exc.leader)
        except CassiaholdError as exc:
            return Refusal(exc.kind, exc.detail)
        except pykka.ActorDeadError:
            return Refusal(ErrorKind.NO_QUORUM, 'the replica has stopped')

    def close(self) -> None:
        """Stop listening, then the replicas, then the disks."""
        self._stopped.set()
        self._stack.close()

    def _answer(self, group: GroupName, request: Request) -> Reply:
        if isinstance(request, GetReplicas):
            return Replicas([_status(view) for view in self._inspect()])
        if isinstance(request, ChangeMembers):
            reply: concurrent.futures.Future[typing.Any]
            reply = concurrent.futures.Future()
            self._ref(group).tell(ChangeMembership(request.membership, reply))
            return MembersChanged(_wait(reply))
        return typing.cast(Reply, self.call_local(group, request))

    def call_local(self, group: GroupName, request: typing.Any) -> typing.Any:
        """Put a request to the local replica of a group.

        Raises ``NotLeaderError`` when another replica leads.
        """
        reply: concurrent.futures.Future[typing.Any]
        reply = concurrent.futures.Future()
        self._ref(group).tell(Call(request, reply))
        return _wait(reply)

    def _ref(self, group: GroupName) -> 'pykka.ActorRef[Replica]':
        ref = self._actor_by_group.get(group)
        if ref is None:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND,
                f'group {group!r} has no replica on host '
                f'{self._settings.own_host.name!r}',
            )
        if not ref.is_alive():
            raise NotLeaderError(None)
        return ref

    def _inspect(self) -> list[ReplicaView]:
        views = []
        for ref in self._actor_by_group.values():
            reply: concurrent.futures.Future[typing.Any]
            reply = concurrent.futures.Future()
            ref.tell(InspectReplica(reply))
            views.append(_wait(reply))
        return views

    def _start_replica(self, group: GroupEntry, service: GroupService) -> None:
        settings = self._settings
        timing = settings.cell.timing
        own = ReplicaId(settings.own_host.name)
        folder = settings.data_folder / self._role / group.name
        setup = ReplicaSetup(
            group.name,
            own,
            Membership(tuple(ReplicaId(name) for name in group.replicas)),
            RaftTiming(
                timing.heartbeat_s,
                timing.election_s,
                timing.clock_drift,
                _RELUCTANCE_AWAY if self._is_away(group) else 0.0,
            ),
            settings.host.snapshot_records,
            settings.host.snapshot_bytes,
            seed=hash((group.name, own, time.time_ns())),
        )
        storage = ReplicaStorage(Journal(folder))
        ref = Replica.start(setup, storage, service, self)
        self._actor_by_group[group.name] = ref
        self._stack.callback(_stop_actor, ref)

    def _is_away(self, group: GroupEntry) -> bool:
        return self._role == 'scheduler' and (
            str(group.name) != str(self._settings.own_host.data_centre)
        )

    def send(self, envelopes: list[Envelope]) -> None:
        """Hand agreement messages to the couriers of their receivers."""
        for envelope in envelopes:
            courier = self._courier_to(envelope.receiver)
            if courier is not None:
                courier.send(envelope)

    def _courier_to(self, receiver: ReplicaId) -> PeerSender | None:
        with self._courier_lock:
            courier = self._courier_by_host.get(receiver)
            if courier is None:
                courier = self._new_courier(receiver)
            return courier

    def _new_courier(self, receiver: ReplicaId) -> PeerSender | None:
        host = self._settings.cell.host_by_name.get(HostName(receiver))
        address = getattr(host, self._role) if host else ''
        if not address:
            return None
        courier = PeerSender(Channel(address, self._security))
        self._stack.callback(courier.close)
        self._courier_by_host[receiver] = courier
        return courier

    def _receive(self, envelope: Envelope) -> None:
        ref = self._actor_by_group.get(envelope.group)
        if ref is not None:
            with contextlib.suppress(pykka.ActorDeadError):
                ref.tell(envelope)

    def _tick(self) -> None:
        pause_s = self._settings.cell.timing.heartbeat_s / _TICKS_PER_HEARTBEAT
        tick = Tick()
        while not self._stopped.wait(pause_s):
            for ref in self._actor_by_group.values():
                with contextlib.suppress(pykka.ActorDeadError):
                    ref.tell(tick)


def _stop_actor(ref: 'pykka.ActorRef[Replica]') -> None:
    with contextlib.suppress(pykka.ActorDeadError):
        ref.stop(timeout=_REPLY_TIMEOUT_S)


def _wait(reply: concurrent.futures.Future[typing.Any]) -> typing.Any:
    try:
        return reply.result(_REPLY_TIMEOUT_S)
    except concurrent.futures.TimeoutError as exc:
        raise CassiaholdError(
            ErrorKind.OUTCOME_UNKNOWN,
            f'not confirmed within {_REPLY_TIMEOUT_S} s',
        ) from exc


def _status(view: ReplicaView) -> ReplicaStatus:
    return ReplicaStatus(
        view.group,
        view.replica,
        view.role,
        view.term,
        view.leader,
        view.commit,
        view.last_index,
        view.membership,
    )
