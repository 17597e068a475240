"""Server that runs a process's replicas and connects them to their peers.

It serves calls of other processes, exchanges messages with replicas on other
hosts and sends each local replica a tick at regular intervals.
"""

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
from cassiahold.core.loops import run_step
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
# For replicas of a scheduler group in another data centre than the group's.
_REMOTE_EXTRA_ELECTION_TIMEOUTS: typing.Final = 1.0

ServiceFactory = typing.Callable[[GroupEntry], GroupService]


class ReplicaServer:
    """All replicas of one process and the RPC server in front of them.

    ``role`` is 'scheduler' or 'coordinator': the name of the host setting
    that has the address to listen on.  ``make_service`` makes the service of
    a group.  Replicas start when an instance is created.
    """

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
        self._metrics = metrics
        self._stack = contextlib.ExitStack()
        self._security = TransportSecurity(settings.host.tls, settings.folder)
        self._sender_lock = threading.Lock()
        self._sender_by_replica: dict[ReplicaId, PeerSender] = {}
        self._actor_by_group: dict[GroupName, pykka.ActorRef[Replica]] = {}
        self._stopped = threading.Event()
        with contextlib.ExitStack() as startup_cleanup:
            startup_cleanup.callback(self._stack.close)
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
            startup_cleanup.pop_all()
        self._ticker = threading.Thread(
            target=self._run_ticker, name='ticker', daemon=True
        )
        self._ticker.start()

    @property
    def is_alive(self) -> bool:
        """Return whether every replica is running."""
        return all(ref.is_alive() for ref in self._actor_by_group.values())

    def handle(self, group: GroupName, request: Request) -> Reply:
        """Return the reply to a request of another process.

        Errors are returned as a ``Refusal``.
        """
        try:
            return self._dispatch(group, request)
        except NotLeaderError as exc:
            return Refusal(exc.kind, exc.detail, exc.leader)
        except CassiaholdError as exc:
            return Refusal(exc.kind, exc.detail, hint=exc.hint)
        except pykka.ActorDeadError:
            return Refusal(ErrorKind.NO_QUORUM, 'the replica has stopped')

    def close(self) -> None:
        """Stop the RPC server, then the replicas, which close their disks."""
        self._stopped.set()
        self._stack.close()

    def _dispatch(self, group: GroupName, request: Request) -> Reply:
        if isinstance(request, GetReplicas):
            return Replicas(
                [_replica_status(view) for view in self._inspect_replicas()]
            )
        if isinstance(request, ChangeMembers):
            future: concurrent.futures.Future[typing.Any]
            future = concurrent.futures.Future()
            self._local_replica(group).tell(
                ChangeMembership(request.membership, future)
            )
            return MembersChanged(_wait_for_reply(future))
        return typing.cast(Reply, self.call_local(group, request))

    def call_local(self, group: GroupName, request: typing.Any) -> typing.Any:
        """Return the reply of a group's local replica to a request.

        Raises ``NotLeaderError`` when it does not lead the group,
        ``NOT_FOUND`` when this process has no replica of the group and
        ``OUTCOME_UNKNOWN`` when it does not reply in time.
        """
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        self._local_replica(group).tell(Call(request, future))
        return _wait_for_reply(future)

    def _local_replica(self, group: GroupName) -> 'pykka.ActorRef[Replica]':
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

    def _inspect_replicas(self) -> list[ReplicaView]:
        views = []
        for ref in self._actor_by_group.values():
            future: concurrent.futures.Future[typing.Any]
            future = concurrent.futures.Future()
            ref.tell(InspectReplica(future))
            views.append(_wait_for_reply(future))
        return views

    def _start_replica(self, group: GroupEntry, service: GroupService) -> None:
        settings = self._settings
        timing = settings.cell.timing
        own_replica = ReplicaId(settings.own_host.name)
        folder = settings.data_folder / self._role / group.name
        setup = ReplicaSetup(
            group.name,
            own_replica,
            Membership(tuple(ReplicaId(name) for name in group.replicas)),
            RaftTiming(
                timing.heartbeat_s,
                timing.election_s,
                timing.clock_drift,
                _REMOTE_EXTRA_ELECTION_TIMEOUTS
                if self._is_remote_group(group)
                else 0.0,
            ),
            settings.host.snapshot_records,
            settings.host.snapshot_bytes,
            seed=hash((group.name, own_replica, time.time_ns())),
        )
        storage = ReplicaStorage(Journal(folder))
        ref = Replica.start(
            setup,
            storage,
            service,
            self,
            lambda is_full: self._metrics.gauge(
                f'disk_full.{group.name}', int(is_full)
            ),
        )
        self._actor_by_group[group.name] = ref
        self._stack.callback(_stop_actor, ref)

    def _is_remote_group(self, group: GroupEntry) -> bool:
        return self._role == 'scheduler' and (
            str(group.name) != str(self._settings.own_host.data_centre)
        )

    def send(self, envelopes: list[Envelope]) -> None:
        """Queue messages for the hosts of their receivers.

        A message is dropped when its receiver's host has no address.
        """
        for envelope in envelopes:
            sender = self._sender_to(envelope.receiver)
            if sender is not None:
                sender.send(envelope)

    def _sender_to(self, receiver: ReplicaId) -> PeerSender | None:
        with self._sender_lock:
            sender = self._sender_by_replica.get(receiver)
            if sender is None:
                sender = self._open_sender(receiver)
            return sender

    def _open_sender(self, receiver: ReplicaId) -> PeerSender | None:
        host = self._settings.cell.host_by_name.get(HostName(receiver))
        address = getattr(host, self._role) if host else ''
        if not address:
            return None
        sender = PeerSender(Channel(address, self._security))
        self._stack.callback(sender.close)
        self._sender_by_replica[receiver] = sender
        return sender

    def _receive(self, envelope: Envelope) -> None:
        ref = self._actor_by_group.get(envelope.group)
        if ref is not None:
            with contextlib.suppress(pykka.ActorDeadError):
                ref.tell(envelope)

    def _run_ticker(self) -> None:
        pause_s = self._settings.cell.timing.heartbeat_s / _TICKS_PER_HEARTBEAT
        while not self._stopped.wait(pause_s):
            run_step('ticker', self._tick_replicas)

    def _tick_replicas(self) -> None:
        tick = Tick()
        for ref in self._actor_by_group.values():
            with contextlib.suppress(pykka.ActorDeadError):
                ref.tell(tick)


def _stop_actor(ref: 'pykka.ActorRef[Replica]') -> None:
    with contextlib.suppress(pykka.ActorDeadError):
        ref.stop(timeout=_REPLY_TIMEOUT_S)


def _wait_for_reply(
    future: concurrent.futures.Future[typing.Any],
) -> typing.Any:
    try:
        return future.result(_REPLY_TIMEOUT_S)
    except concurrent.futures.TimeoutError as exc:
        raise CassiaholdError(
            ErrorKind.OUTCOME_UNKNOWN,
            f'not confirmed within {_REPLY_TIMEOUT_S} s',
        ) from exc


def _replica_status(view: ReplicaView) -> ReplicaStatus:
    return ReplicaStatus(
        view.group,
        view.replica,
        view.role,
        view.term,
        view.leader,
        view.commit_index,
        view.last_index,
        view.membership,
    )
