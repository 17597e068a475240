"""Tests of the RPC transport and of the client that finds a leader."""

import contextlib
import pathlib
import socket
import tempfile
import threading
import time
import typing
from unittest import mock

import grpc
import msgspec

from cassiahold.agreement.messages import Envelope, VoteRequest
from cassiahold.core.conf.settings import (
    CellSettings,
    GroupEntry,
    HostEntry,
    HostSettings,
    Settings,
    TlsSettings,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GroupName, HostName, ReplicaId
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.messages import (
    ConfigurationChanged,
    GetReplicas,
    GetStatus,
    Refusal,
    Reply,
    Request,
)
from cassiahold.wire.replica_server import ReplicaServer
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel, PeerSender, RpcServer

NESTING = 100_000  # levels
PLAIN = TransportSecurity(TlsSettings(mode='plain'), pathlib.Path())
GROUP = GroupName('g')
A, B = ReplicaId('a'), ReplicaId('b')


def free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return f'127.0.0.1:{probe.getsockname()[1]}'


@contextlib.contextmanager
def server(
    address: str, handler: typing.Callable[[GroupName, Request], Reply]
) -> typing.Iterator[None]:
    rpc_server = RpcServer('test', address, PLAIN, 4, handler, lambda _: None)
    try:
        yield
    finally:
        rpc_server.close(0)


class FakeChannel:
    """Returns prepared replies or raises prepared errors, in order.

    The last one is repeated.
    """

    def __init__(self, *replies: typing.Any) -> None:
        self.replies = list(replies)
        self.calls = 0

    def call(self, *_: typing.Any) -> Reply:
        self.calls += 1
        reply = self.replies[min(self.calls, len(self.replies)) - 1]
        if isinstance(reply, CassiaholdError):
            raise reply
        return typing.cast(Reply, reply)


def group_client(**channels: FakeChannel) -> GroupClient:
    return GroupClient(GROUP, typing.cast(typing.Any, channels))


UNREACHABLE = CassiaholdError(ErrorKind.UNREACHABLE, 'connection refused')
REPLY_LOST = CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'reply lost')
FOLLOWER_REFUSAL = Refusal(ErrorKind.NO_QUORUM, 'not the leader')


def test_refusal_after_a_lost_reply_does_not_say_that_nothing_ran() -> None:
    client = group_client(
        a=FakeChannel(REPLY_LOST, Refusal(ErrorKind.OVERLOADED, 'busy'))
    )
    expect_error(
        ErrorKind.OUTCOME_UNKNOWN, lambda: client.call(GetStatus(), 5.0)
    )


def test_a_call_returns_the_reply() -> None:
    address = free_address()
    with server(address, lambda group, request: ConfigurationChanged(7)):
        channel = Channel(address, PLAIN)
        assert channel.call(GROUP, GetStatus(), 5.0) == ConfigurationChanged(7)
        channel.close()


def test_a_refused_connection_means_not_run() -> None:
    channel = Channel(free_address(), PLAIN)
    expect_error(
        ErrorKind.UNREACHABLE, lambda: channel.call(GROUP, GetStatus(), 5.0)
    )
    channel.close()


def test_a_lost_connection_means_may_have_run() -> None:
    """Regression: a reset connection was taken for a failed connect.

    The request was then reported as not run although it had been sent.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        target = free_address()
        stack.enter_context(server(target, lambda *_: ConfigurationChanged(1)))

        def relay_then_reset() -> None:
            inner, _ = listener.accept()
            host, _, port = target.rpartition(':')
            outer = socket.create_connection((host, int(port)))
            threading.Thread(
                target=_copy, args=(outer, inner), daemon=True
            ).start()
            while True:
                payload = inner.recv(65536)
                if b'Call' in payload or not payload:
                    break
                outer.sendall(payload)
            # The caller has sent its request and never gets a reply.
            inner.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
            inner.close()

        threading.Thread(target=relay_then_reset, daemon=True).start()
        channel = Channel(address, PLAIN)
        expect_error(
            ErrorKind.OUTCOME_UNKNOWN,
            lambda: channel.call(GROUP, GetStatus(), 5.0),
        )
        channel.close()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:
            payload = source.recv(65536)
            if not payload:
                return
            sink.sendall(payload)


def test_a_late_reply_means_may_have_run() -> None:
    address = free_address()

    def slow(group: GroupName, request: Request) -> Reply:
        time.sleep(0.5)
        return ConfigurationChanged(1)

    with server(address, slow):
        channel = Channel(address, PLAIN)
        expect_error(
            ErrorKind.OUTCOME_UNKNOWN,
            lambda: channel.call(GROUP, GetStatus(), 0.1),
        )
        channel.close()


def test_timeouts_do_not_abort_other_calls_on_the_connection() -> None:
    address = free_address()
    outcomes: list[typing.Any] = []

    def slow(group: GroupName, request: Request) -> Reply:
        time.sleep(1.0)
        return ConfigurationChanged(1)

    def call(channel: Channel, timeout_s: float) -> None:
        try:
            outcomes.append(channel.call(GROUP, GetStatus(), timeout_s))
        except CassiaholdError as exc:
            outcomes.append(exc.kind)

    rpc_server = RpcServer('test', address, PLAIN, 16, slow, lambda _: None)
    with (
        contextlib.closing(rpc_server),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        calls = [
            threading.Thread(target=call, args=(channel, timeout_s))
            for timeout_s in (5.0, *(0.2 for _ in range(8)))
        ]
        for each in calls:
            each.start()
            time.sleep(0.05)
        for each in calls:
            each.join()
    assert outcomes.count(ErrorKind.OUTCOME_UNKNOWN) == 8
    assert outcomes.count(ConfigurationChanged(1)) == 1


class _OvertakenChannel(Channel):
    """Another call times out just before the first one is sent."""

    is_overtaken = False

    def _open_connection(self) -> typing.Any:
        connection = super()._open_connection()
        if not self.is_overtaken:
            self.is_overtaken = True
            expect_error(
                ErrorKind.OUTCOME_UNKNOWN,
                lambda: self.call(GROUP, GetStatus(), 0.1),
            )
        return connection


def test_connection_replaced_before_a_call_is_sent_serves_the_call() -> None:
    address = free_address()
    calls: list[Request] = []

    def reply_to_the_second(group: GroupName, request: Request) -> Reply:
        calls.append(request)
        if len(calls) == 1:
            time.sleep(0.5)
        return ConfigurationChanged(1)

    with (
        server(address, reply_to_the_second),
        contextlib.closing(_OvertakenChannel(address, PLAIN)) as channel,
    ):
        reply = channel.call(GROUP, GetStatus(), 5.0)
    assert reply == ConfigurationChanged(1)


def test_connections_replaced_repeatedly_keep_their_calls() -> None:
    address = free_address()
    has_arrived, may_reply = threading.Event(), threading.Event()

    def wait(group: GroupName, request: Request) -> Reply:
        has_arrived.set()
        may_reply.wait(10.0)
        return ConfigurationChanged(1)

    outcomes: list[typing.Any] = []
    rpc_server = RpcServer('test', address, PLAIN, 16, wait, lambda _: None)
    with (
        contextlib.closing(rpc_server),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        patient = threading.Thread(
            target=lambda: outcomes.append(
                channel.call(GROUP, GetStatus(), 10.0)
            )
        )
        patient.start()
        assert has_arrived.wait(5.0)
        # Each call that times out has the next one open a new connection.
        for _ in range(4):
            expect_error(
                ErrorKind.OUTCOME_UNKNOWN,
                lambda: channel.call(GROUP, GetStatus(), 0.2),
            )
        may_reply.set()
        patient.join()
    assert outcomes == [ConfigurationChanged(1)]


def test_replica_messages_are_delivered_while_all_callers_wait() -> None:
    address = free_address()
    may_reply = threading.Event()
    delivered = threading.Event()
    outcomes: list[typing.Any] = []

    def wait(group: GroupName, request: Request) -> Reply:
        may_reply.wait(5.0)
        return ConfigurationChanged(1)

    rpc_server = RpcServer(
        'test', address, PLAIN, 4, wait, lambda _: delivered.set()
    )
    with (
        contextlib.closing(rpc_server),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        callers = [
            threading.Thread(
                target=lambda: outcomes.append(
                    channel.call(GROUP, GetStatus(), 5.0)
                )
            )
            for _ in range(8)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        channel.deliver([Envelope(GROUP, A, B, VoteRequest(1, A, 0, 0))])
        was_delivered = delivered.is_set()
        may_reply.set()
        for caller in callers:
            caller.join()
    assert was_delivered
    refused = [reply for reply in outcomes if isinstance(reply, Refusal)]
    # Calls for which no thread is free are refused at once.
    assert {reply.kind for reply in refused} == {ErrorKind.OVERLOADED}
    assert len(refused) == 5


def test_calls_of_one_flow_do_not_push_out_the_others() -> None:
    address = free_address()
    may_reply = threading.Event()
    outcomes: list[typing.Any] = []

    def wait(group: GroupName, request: Request) -> Reply:
        if isinstance(request, GetStatus):
            may_reply.wait(5.0)
        return ConfigurationChanged(1)

    rpc_server = RpcServer(
        'test',
        address,
        PLAIN,
        16,
        wait,
        lambda _: None,
        flow_of=lambda request: type(request).__name__,
    )
    with (
        contextlib.closing(rpc_server),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        callers = [
            threading.Thread(target=channel.call, args=(GROUP, GetStatus(), 5))
            for _ in range(20)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        outcomes.append(channel.call(GROUP, GetReplicas(), 5.0))
        may_reply.set()
        for caller in callers:
            caller.join()
    assert outcomes == [ConfigurationChanged(1)]


def test_refused_call_tells_when_the_backlog_is_gone() -> None:
    address = free_address()
    may_reply = threading.Event()
    may_reply.set()

    def wait(group: GroupName, request: Request) -> Reply:
        may_reply.wait(5.0)
        return ConfigurationChanged(1)

    with (
        server(address, wait),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        started_at = time.monotonic()
        while time.monotonic() < started_at + 0.7:
            channel.call(GROUP, GetStatus(), 5.0)
        may_reply.clear()
        callers = [
            threading.Thread(target=channel.call, args=(GROUP, GetStatus(), 5))
            for _ in range(3)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        refusal = channel.call(GROUP, GetStatus(), 5.0)
        may_reply.set()
        for caller in callers:
            caller.join()
    assert isinstance(refusal, Refusal)
    assert refusal.hint is not None
    assert refusal.hint.drain_rate_per_s > 0
    assert 0 < refusal.hint.earliest_s < 0.5


def test_an_error_names_an_address_in_use() -> None:
    address = free_address()
    with server(address, lambda *_: ConfigurationChanged(1)):
        error = expect_error(
            ErrorKind.CANNOT_BIND,
            lambda: RpcServer(
                'x',
                address,
                PLAIN,
                1,
                lambda *_: ConfigurationChanged(1),
                lambda _: None,
            ),
        )
        assert address in error.detail


def test_the_leader_is_found_and_remembered() -> None:
    follower = FakeChannel(Refusal(ErrorKind.NO_QUORUM, 'ask b', B))
    leader = FakeChannel(ConfigurationChanged(1))
    group = group_client(a=follower, b=leader)
    for _ in range(3):
        assert group.call(GetStatus(), 5.0) == ConfigurationChanged(1)
    assert (follower.calls, leader.calls) == (1, 3)


def test_a_request_that_no_leader_got_is_not_run() -> None:
    group = group_client(
        a=FakeChannel(UNREACHABLE), b=FakeChannel(FOLLOWER_REFUSAL)
    )
    error = None
    try:
        group.call(GetStatus(), 0.2)
    except CassiaholdError as exc:
        error = exc
    assert error is not None
    assert error.response.execution.value == 'not run'


def test_a_lost_reply_from_one_replica_means_may_have_run() -> None:
    group = group_client(
        a=FakeChannel(REPLY_LOST, UNREACHABLE), b=FakeChannel(UNREACHABLE)
    )
    expect_error(
        ErrorKind.OUTCOME_UNKNOWN, lambda: group.call(GetStatus(), 0.3)
    )


def test_a_refusal_by_the_leader_is_not_retried() -> None:
    refusal = Refusal(ErrorKind.NEVER_FITS, 'too large')
    channel = FakeChannel(refusal)
    expect_error(
        ErrorKind.NEVER_FITS,
        lambda: group_client(a=channel).call(GetStatus(), 5.0),
    )
    assert channel.calls == 1


class _FaultyChannel:
    """Raises an unexpected error for the first batch only."""

    address = 'a:1'

    def __init__(self) -> None:
        self.has_failed = threading.Event()
        self.is_delivered = threading.Event()

    def deliver(self, envelopes: list[Envelope]) -> None:
        if not self.has_failed.is_set():
            self.has_failed.set()
            raise OSError('unexpected')
        self.is_delivered.set()

    def close(self) -> None:
        """Do nothing."""


def test_sender_to_a_peer_goes_on_after_an_unexpected_error() -> None:
    # The peer got no message of this replica until the process restarted.
    envelope = Envelope(GROUP, A, B, VoteRequest(1, A, 0, 0))
    channel = _FaultyChannel()
    with (
        mock.patch('threading.excepthook'),
        mock.patch('cassiahold.core.logs.error') as log,
        contextlib.closing(PeerSender(channel)) as sender,
    ):
        sender.send(envelope)
        assert channel.has_failed.wait(2.0)
        sender.send(envelope)
        assert channel.is_delivered.wait(2.0)
    assert log.call_args.kwargs['kind'] == 'OSError'


def test_missing_certificate_is_an_error_with_a_kind() -> None:
    # While it was replaced, FileNotFoundError ended the threads that called.
    with tempfile.TemporaryDirectory() as folder:
        files = [pathlib.Path(folder) / name for name in ('a', 'c', 'k')]
        for path in files:
            path.touch()
        security = TransportSecurity(
            TlsSettings('mutual', 'a', 'c', 'k'), pathlib.Path(folder)
        )
        files[1].unlink()
        expect_error(ErrorKind.BAD_SETTINGS, security.newest_mtime)


def test_malformed_reply_means_may_have_run() -> None:
    # DecodeError ended the threads that called.
    address = free_address()
    with (
        server(address, lambda group, request: 'no reply of the interface'),
        contextlib.closing(Channel(address, PLAIN)) as channel,
    ):
        expect_error(
            ErrorKind.OUTCOME_UNKNOWN,
            lambda: channel.call(GROUP, GetStatus(), 2.0),
        )


def test_deeply_nested_call_is_refused_as_malformed() -> None:
    """The error of the decoder was told to the caller as an unknown one."""
    array_of_one = b'\x91'
    payload = b'\x81' + msgspec.msgpack.encode('unknown')
    payload += array_of_one * NESTING + msgspec.msgpack.encode(None)
    address = free_address()
    with server(address, lambda group, request: ConfigurationChanged(7)):
        channel = grpc.insecure_channel(address)
        with contextlib.closing(channel):
            reply = channel.unary_unary('/cassiahold.Node/Call')(
                payload, timeout=5.0
            )
    refusal = msgspec.msgpack.decode(reply, type=Refusal)
    assert refusal.kind is ErrorKind.BAD_REQUEST


def test_ticks_go_on_after_an_unexpected_error() -> None:
    # Without ticks a replica neither leads nor votes.
    ticked_again = threading.Event()
    ticks: list[typing.Any] = []

    def tell(tick: typing.Any) -> None:
        ticks.append(tick)
        if len(ticks) == 1:
            raise ValueError('unexpected')
        ticked_again.set()

    host = HostEntry(HostName('h'), DataCentre('here'), '', free_address())
    group = GroupEntry(GROUP, [host.name])
    settings = Settings(
        HostSettings(host.name, '', '', tls=TlsSettings(mode='plain')),
        CellSettings('test', [host], [group], group),
        host,
        pathlib.Path(),
    )
    with (
        mock.patch('threading.excepthook'),
        contextlib.closing(
            ReplicaServer(
                'test', 'scheduler', settings, [], mock.Mock(), NullMetrics()
            )
        ) as replica_server,
    ):
        replica_server._actor_by_group[GROUP] = mock.Mock(tell=tell)
        assert ticked_again.wait(2.0)


load_tests = function_tests(globals())
