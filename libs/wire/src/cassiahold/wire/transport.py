"""Calls and agreement messages over gRPC, encoded with MessagePack."""

import collections
import concurrent.futures
import contextlib
import threading
import typing

import grpc
import msgspec

from cassiahold.agreement.messages import Envelope, EnvelopeBatch
from cassiahold.core import logs, tracing
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName
from cassiahold.core.metrics import Metrics, NullMetrics
from cassiahold.wire.messages import Refusal, Reply, Request
from cassiahold.wire.security import TransportSecurity

MAX_MESSAGE_BYTES: typing.Final = 268_435_456  # 256 MiB
MAX_QUEUED_ENVELOPES: typing.Final = 4096
MAX_ENVELOPES_PER_CALL: typing.Final = 256
RESERVED_SHARE: typing.Final = 8  # one thread in so many takes no calls
MAX_RETIRED: typing.Final = 2  # replaced connections kept open
# Shorter than an election, so that a silent connection is replaced in time.
_DELIVER_TIMEOUT_S: typing.Final = 0.8
_NEVER_CONNECTED: typing.Final = 'failed to connect to all addresses'
_SERVICE: typing.Final = 'cassiahold.Node'
_CALL: typing.Final = f'/{_SERVICE}/Call'
_DELIVER: typing.Final = f'/{_SERVICE}/Deliver'
_OPTIONS: typing.Final = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
    # A host that comes back must be found again within an election.
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    # A connection may go silent without a reset; pings show it.
    ('grpc.keepalive_time_ms', 2000),
    ('grpc.keepalive_timeout_ms', 1000),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', 500),
    ('grpc.http2.max_ping_strikes', 0),
    # A replaced connection must not be shared again.
    ('grpc.use_local_subchannel_pool', 1),
)


_RequestT = typing.TypeVar('_RequestT')


class CallEnvelope(msgspec.Struct, typing.Generic[_RequestT], frozen=True):
    """A request, the group it is for and its trace."""

    group: GroupName
    request: _RequestT
    traceparent: str = ''


class Codec(msgspec.Struct, frozen=True):
    """Reads the calls and the replies that a set of programs exchange."""

    decode_call: typing.Callable[[bytes], typing.Any]
    decode_reply: typing.Callable[[bytes], typing.Any]


def make_codec(requests: typing.Any, replies: typing.Any) -> Codec:
    """Return the codec for a union of requests and one of replies."""
    envelope: typing.Any = CallEnvelope
    return Codec(
        msgspec.msgpack.Decoder(envelope[requests]).decode,
        msgspec.msgpack.Decoder(replies).decode,
    )


Handler = typing.Callable[[GroupName, typing.Any], typing.Any]
Receiver = typing.Callable[[Envelope], None]

_encode = msgspec.msgpack.Encoder().encode
_DEFAULT_CODEC: typing.Final = make_codec(Request, Reply)
_decode_batch = msgspec.msgpack.Decoder(EnvelopeBatch).decode


class RpcServer:
    """Listens for calls and agreement messages.

    A call may wait for the group's agreement, so some threads are kept for
    the messages that bring it about; calls beyond the others are refused.
    """

    def __init__(
        self,
        program: str,
        address: str,
        security: TransportSecurity,
        threads: int,
        handler: Handler,
        receiver: Receiver,
        metrics: Metrics | None = None,
        codec: Codec = _DEFAULT_CODEC,
    ) -> None:
        self._program = program
        self._codec = codec
        self._metrics = metrics or NullMetrics()
        self._handler = handler
        self._receiver = receiver
        reserved = max(1, threads // RESERVED_SHARE)
        self._free_calls = threading.Semaphore(max(1, threads - reserved))
        self._server = grpc.server(
            concurrent.futures.ThreadPoolExecutor(
                threads, thread_name_prefix='call'
            ),
            options=_OPTIONS,
        )
        self._server.add_generic_rpc_handlers((self._routes(),))
        try:
            port = security.bind(self._server, address)
        except RuntimeError as exc:
            raise _cannot_bind(address) from exc
        if not port:
            raise _cannot_bind(address)
        self._server.start()

    def close(self, grace_s: float = 1.0) -> None:
        """Finish the calls in progress and stop listening."""
        self._server.stop(grace_s).wait()

    def _routes(self) -> typing.Any:
        return grpc.method_handlers_generic_handler(
            _SERVICE,
            {
                'Call': grpc.unary_unary_rpc_method_handler(self._call),
                'Deliver': grpc.unary_unary_rpc_method_handler(self._deliver),
            },
        )

    def _call(self, payload: bytes, _: typing.Any) -> bytes:
        if not self._free_calls.acquire(blocking=False):
            self._metrics.incr('calls_refused')
            return _encode(Refusal(ErrorKind.OVERLOADED, 'too many calls'))
        try:
            return self._answer(payload)
        finally:
            self._free_calls.release()

    def _answer(self, payload: bytes) -> bytes:
        try:
            call = self._codec.decode_call(payload)
        except msgspec.DecodeError as exc:
            return _encode(Refusal(ErrorKind.BAD_REQUEST, str(exc)))
        name = type(call.request).__name__
        with tracing.span(f'{self._program} {name}', call.traceparent):
            reply = _encode(self._handler(call.group, call.request))
        self._metrics.incr('call_bytes', len(payload) + len(reply))
        return reply

    def _deliver(self, payload: bytes, _: typing.Any) -> bytes:
        self._metrics.incr('agreement_bytes', len(payload))
        for envelope in _decode_batch(payload).envelopes:
            self._receiver(envelope)
        return b''


class Channel:
    """A connection to one process, reopened when certificates change."""

    def __init__(
        self,
        address: str,
        security: TransportSecurity,
        codec: Codec = _DEFAULT_CODEC,
    ) -> None:
        self.address = address
        self._codec = codec
        self._security = security
        self._lock = threading.Lock()
        self._stamp = -1.0
        self._channel: typing.Any = None
        # Calls in progress on a replaced connection may still be answered.
        self._retired: collections.deque[typing.Any] = collections.deque()

    def call(
        self,
        group: GroupName,
        request: typing.Any,
        timeout_s: float,
        traceparent: str = '',
    ) -> typing.Any:
        """Send one request and return its reply.

        Raises ``CUT_OFF`` when the request surely did not arrive and
        ``OUTCOME_UNKNOWN`` when it may have.
        """
        connection = self._connection()
        payload = _encode(CallEnvelope(group, request, traceparent))
        try:
            raw = connection.unary_unary(_CALL)(payload, timeout=timeout_s)
        except grpc.RpcError as exc:
            raise self._failure(exc, connection) from exc
        return self._codec.decode_reply(raw)

    def deliver(self, envelopes: list[Envelope]) -> None:
        """Send agreement messages; raises ``CUT_OFF`` when lost."""
        connection = self._connection()
        stub = connection.unary_unary(_DELIVER)
        payload = _encode(EnvelopeBatch(envelopes))
        try:
            stub(payload, timeout=_DELIVER_TIMEOUT_S)
        except grpc.RpcError as exc:
            raise self._failure(exc, connection) from exc

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            if self._channel is not None:
                self._retired.append(self._channel)
                self._channel = None
            while self._retired:
                self._retired.popleft().close()

    def _retire(self, connection: typing.Any) -> None:
        with self._lock:
            # Other calls may have replaced it already.
            if self._channel is connection:
                self._retired.append(connection)
                self._channel = None
            while len(self._retired) > MAX_RETIRED:
                self._retired.popleft().close()

    def _connection(self) -> typing.Any:
        with self._lock:
            stamp = self._security.stamp()
            if self._channel is None or stamp != self._stamp:
                self._channel = self._security.open_channel(
                    self.address, _OPTIONS
                )
                self._stamp = stamp
            return self._channel

    def _failure(
        self, exc: typing.Any, connection: typing.Any
    ) -> CassiaholdError:
        code = exc.code()
        if code is grpc.StatusCode.DEADLINE_EXCEEDED:
            # The connection may be silent for good; the next call opens one.
            self._retire(connection)
        detail = f'{self.address}: {code.name}: {exc.details()}'
        # A failed connection never carried the request; a lost one may have.
        refused = _NEVER_CONNECTED in (exc.details() or '')
        if code is grpc.StatusCode.UNAVAILABLE and refused:
            return CassiaholdError(ErrorKind.UNREACHABLE, detail)
        return CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, detail)


class PeerSender:
    """Sends agreement messages to one peer from a thread of its own."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._queue: collections.deque[Envelope] = collections.deque(
            maxlen=MAX_QUEUED_ENVELOPES
        )
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name=f'courier {channel.address}', daemon=True
        )
        self._thread.start()

    def send(self, envelope: Envelope) -> None:
        """Queue a message; the oldest is lost when the queue is full."""
        self._queue.append(envelope)
        self._wake.set()

    def close(self) -> None:
        """Stop the thread and close the connection."""
        self._stopped = True
        self._wake.set()
        self._channel.close()

    def _run(self) -> None:
        was_reachable = True
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            while self._queue and not self._stopped:
                reachable = self._send_some()
                if reachable != was_reachable:
                    was_reachable = reachable
                    logs.info(
                        'peer_reachable' if reachable else 'peer_unreachable',
                        address=self._channel.address,
                    )

    def _send_some(self) -> bool:
        envelopes: list[Envelope] = []
        while self._queue and len(envelopes) < MAX_ENVELOPES_PER_CALL:
            envelopes.append(self._queue.popleft())
        try:
            self._channel.deliver(envelopes)
        except CassiaholdError:
            # Old messages are worth nothing once the peer comes back.
            self._queue.clear()
            return False
        except ValueError:
            return False
        return True


def _cannot_bind(address: str) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.CANNOT_BIND,
        f'cannot listen on {address}: address in use or not of this host',
    )


def open_channel(
    stack: contextlib.ExitStack, address: str, security: TransportSecurity
) -> Channel:
    """Return a channel that the stack closes."""
    channel = Channel(address, security)
    stack.callback(channel.close)
    return channel
