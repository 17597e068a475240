"""gRPC transport of calls and replica messages, encoded as MessagePack.

A call carries a request to a group and returns its reply.  Messages between
the replicas of a group are delivered in batches without a reply.
"""

import collections
import concurrent.futures
import contextlib
import threading
import typing

import grpc
import msgspec

from cassiahold.agreement.messages import Envelope, EnvelopeBatch
from cassiahold.core import logs, tracing
from cassiahold.core.clock import boottime_s
from cassiahold.core.decoding import MALFORMED_ERRORS
from cassiahold.core.drain_rate import DrainRate
from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.core.ids import GroupName
from cassiahold.core.loops import log_failure
from cassiahold.core.metrics import Metrics, NullMetrics
from cassiahold.wire.call_admission import CallAdmission
from cassiahold.wire.messages import Refusal, Reply, Request
from cassiahold.wire.security import TransportSecurity

MAX_MESSAGE_BYTES: typing.Final = 268_435_456  # 256 MiB
MAX_QUEUED_ENVELOPES: typing.Final = 4096
MAX_ENVELOPES_PER_BATCH: typing.Final = 256
# One server thread in this many serves no calls, only replica messages.
THREADS_PER_RESERVED_THREAD: typing.Final = 8
# Shorter than an election timeout, so that a connection that went silent is
# replaced before an election starts.
_DELIVERY_TIMEOUT_S: typing.Final = 0.8
_CONNECT_FAILED_DETAIL: typing.Final = 'failed to connect to all addresses'
_SERVICE_NAME: typing.Final = 'cassiahold.Node'
_CALL_METHOD: typing.Final = f'/{_SERVICE_NAME}/Call'
_DELIVER_METHOD: typing.Final = f'/{_SERVICE_NAME}/Deliver'
_GRPC_OPTIONS: typing.Final = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    # A second server on the same address must fail to start.
    ('grpc.so_reuseport', 0),
    # A host that restarts must be reconnected within an election timeout.
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 500),
    # Pings detect a connection that went silent without a reset.
    ('grpc.keepalive_time_ms', 2000),
    ('grpc.keepalive_timeout_ms', 1000),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', 500),
    ('grpc.http2.max_ping_strikes', 0),
    # Without this, a new channel would share the replaced connection.
    ('grpc.use_local_subchannel_pool', 1),
)


_RequestT = typing.TypeVar('_RequestT')


class CallEnvelope(msgspec.Struct, typing.Generic[_RequestT], frozen=True):
    """A request, the group that serves it and its ``traceparent``."""

    group: GroupName
    request: _RequestT
    traceparent: str = ''


class Codec(msgspec.Struct, frozen=True):
    """Decoders of the calls and replies that a set of programs exchange."""

    decode_call: typing.Callable[[bytes], typing.Any]
    decode_reply: typing.Callable[[bytes], typing.Any]


def make_codec(requests: typing.Any, replies: typing.Any) -> Codec:
    """Return the codec for a union of requests and one of replies."""
    envelope: typing.Any = CallEnvelope
    return Codec(
        msgspec.msgpack.Decoder(envelope[requests]).decode,
        msgspec.msgpack.Decoder(replies).decode,
    )


FlowOfRequest = typing.Callable[[typing.Any], str]
CallHandler = typing.Callable[[GroupName, typing.Any], typing.Any]
EnvelopeReceiver = typing.Callable[[Envelope], None]

_encode = msgspec.msgpack.Encoder().encode
_DEFAULT_CODEC: typing.Final = make_codec(Request, Reply)
_decode_batch = msgspec.msgpack.Decoder(EnvelopeBatch).decode


class RpcServer:
    """gRPC server for calls and replica messages.

    A call may wait until the group commits an entry, so some threads are
    reserved for the replica messages by which it is committed.  Calls beyond
    the other threads are refused.  With ``flow_of``, the last places are kept
    for flows below their fair share.  Raises ``CANNOT_BIND`` when it cannot
    listen on ``address``.
    """

    def __init__(
        self,
        program: str,
        address: str,
        security: TransportSecurity,
        threads: int,
        handler: CallHandler,
        receiver: EnvelopeReceiver,
        metrics: Metrics | None = None,
        codec: Codec = _DEFAULT_CODEC,
        flow_of: FlowOfRequest | None = None,
    ) -> None:
        self._program = program
        self._codec = codec
        self._metrics = metrics or NullMetrics()
        self._handler = handler
        self._receiver = receiver
        reserved_threads = max(1, threads // THREADS_PER_RESERVED_THREAD)
        self._flow_of = flow_of
        self._admission = CallAdmission(
            max(1, threads - reserved_threads), has_flows=flow_of is not None
        )
        self._drain_rate_lock = threading.Lock()
        self._drain_rate = DrainRate()
        self._server = grpc.server(
            concurrent.futures.ThreadPoolExecutor(
                threads, thread_name_prefix='call'
            ),
            options=_GRPC_OPTIONS,
        )
        self._server.add_generic_rpc_handlers((self._rpc_handler(),))
        try:
            port = security.bind(self._server, address)
        except RuntimeError as exc:
            raise _bind_error(address) from exc
        if not port:
            raise _bind_error(address)
        self._server.start()

    def close(self, grace_s: float = 1.0) -> None:
        """Stop listening; calls in progress have ``grace_s`` to finish."""
        self._server.stop(grace_s).wait()

    def _rpc_handler(self) -> typing.Any:
        return grpc.method_handlers_generic_handler(
            _SERVICE_NAME,
            {
                'Call': grpc.unary_unary_rpc_method_handler(self._call),
                'Deliver': grpc.unary_unary_rpc_method_handler(self._deliver),
            },
        )

    def _call(self, payload: bytes, _: typing.Any) -> bytes:
        try:
            call = self._codec.decode_call(payload)
        except MALFORMED_ERRORS as exc:
            return _encode(Refusal(ErrorKind.BAD_REQUEST, str(exc)))
        flow = self._flow_of(call.request) if self._flow_of else ''
        if not self._admission.try_begin(flow):
            self._metrics.incr('calls_refused')
            return _encode(
                Refusal(
                    ErrorKind.OVERLOADED,
                    f'too many calls; at most {self._admission.max_calls}',
                    hint=self._backlog_hint(),
                )
            )
        try:
            reply = self._handle_call(call)
        finally:
            self._admission.end(flow)
            with self._drain_rate_lock:
                self._drain_rate.record_completion(boottime_s())
        self._metrics.incr('call_bytes', len(payload) + len(reply))
        return reply

    def _backlog_hint(self) -> RetryHint | None:
        """Return when the calls in progress will have been handled."""
        with self._drain_rate_lock:
            rate_per_s = self._drain_rate.rate_per_s(boottime_s())
        if not rate_per_s:
            return None
        backlog_s = self._admission.max_calls / rate_per_s
        return RetryHint(backlog_s, rate_per_s)

    def _handle_call(self, call: typing.Any) -> bytes:
        name = type(call.request).__name__
        with tracing.span(f'{self._program} {name}', call.traceparent):
            return _encode(self._handler(call.group, call.request))

    def _deliver(self, payload: bytes, _: typing.Any) -> bytes:
        self._metrics.incr('agreement_bytes', len(payload))
        for envelope in _decode_batch(payload).envelopes:
            self._receiver(envelope)
        return b''


class _Connection:
    """A gRPC channel that closes once it is retired and no call uses it.

    Closing a gRPC channel cancels the calls in progress on it.  Each ``call``
    has to be announced by ``begin_call``, which keeps the channel open.
    """

    def __init__(self, grpc_channel: typing.Any) -> None:
        self._grpc_channel = grpc_channel
        self._lock = threading.Lock()
        self._calls_in_progress = 0
        self._is_retired = False

    def begin_call(self) -> None:
        """Keep the channel open for one call."""
        with self._lock:
            self._calls_in_progress += 1

    def call(self, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Return the reply to one unary call.

        Raises ``grpc.RpcError``, and ``ValueError`` after ``close``.
        """
        try:
            return typing.cast(
                bytes,
                self._grpc_channel.unary_unary(method)(
                    payload, timeout=timeout_s
                ),
            )
        finally:
            self._finish_call()

    def retire(self) -> None:
        """Close the channel when the last call on it has ended."""
        with self._lock:
            self._is_retired = True
            is_idle = not self._calls_in_progress
        if is_idle:
            self._grpc_channel.close()

    def close(self) -> None:
        """Close the channel at once."""
        self._grpc_channel.close()

    def _finish_call(self) -> None:
        with self._lock:
            self._calls_in_progress -= 1
            is_unused = self._is_retired and not self._calls_in_progress
        if is_unused:
            self._grpc_channel.close()


class Channel:
    """A client connection to one process.

    It is replaced when the certificates change or a call times out.
    """

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
        self._certificate_mtime = -1.0
        self._current_connection: _Connection | None = None

    def call(
        self,
        group: GroupName,
        request: typing.Any,
        timeout_s: float,
        traceparent: str = '',
    ) -> typing.Any:
        """Send one request and return its reply.

        Raises ``UNREACHABLE`` when the request cannot have arrived and
        ``OUTCOME_UNKNOWN`` when it may have, or its reply is malformed.
        """
        payload = _encode(CallEnvelope(group, request, traceparent))
        connection = self._open_connection()
        try:
            raw_reply = connection.call(_CALL_METHOD, payload, timeout_s)
        except grpc.RpcError as exc:
            raise self._error_for(exc, connection) from exc
        try:
            return self._codec.decode_reply(raw_reply)
        except MALFORMED_ERRORS as exc:
            raise CassiaholdError(
                ErrorKind.OUTCOME_UNKNOWN,
                f'{self.address}: cannot decode the reply: {exc}',
            ) from exc

    def deliver(self, envelopes: list[Envelope]) -> None:
        """Send replica messages in one RPC.

        Raises ``UNREACHABLE`` when they cannot have arrived and
        ``OUTCOME_UNKNOWN`` when they may have.
        """
        payload = _encode(EnvelopeBatch(envelopes))
        connection = self._open_connection()
        try:
            connection.call(_DELIVER_METHOD, payload, _DELIVERY_TIMEOUT_S)
        except grpc.RpcError as exc:
            raise self._error_for(exc, connection) from exc

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            connection = self._current_connection
            self._current_connection = None
        if connection is not None:
            connection.close()

    def _retire(self, connection: _Connection) -> None:
        with self._lock:
            # Another call may have replaced the connection already.
            if self._current_connection is not connection:
                return
            self._current_connection = None
        connection.retire()

    def _open_connection(self) -> _Connection:
        """Return the current connection, kept open for one call."""
        with self._lock:
            mtime = self._security.newest_mtime()
            connection = self._current_connection
            replaced = None
            if connection is None or mtime != self._certificate_mtime:
                replaced = connection
                connection = _Connection(
                    self._security.open_channel(self.address, _GRPC_OPTIONS)
                )
                self._current_connection = connection
                self._certificate_mtime = mtime
            connection.begin_call()
        if replaced is not None:
            replaced.retire()
        return connection

    def _error_for(
        self, exc: typing.Any, connection: _Connection
    ) -> CassiaholdError:
        code = exc.code()
        if code is grpc.StatusCode.DEADLINE_EXCEEDED:
            # The connection may be dead; the next call opens a new one.
            self._retire(connection)
        detail = f'{self.address}: {code.name}: {exc.details()}'
        # When connecting failed, the request was not sent; on a connection
        # that was lost later it may have been.
        never_connected = _CONNECT_FAILED_DETAIL in (exc.details() or '')
        if code is grpc.StatusCode.UNAVAILABLE and never_connected:
            return CassiaholdError(ErrorKind.UNREACHABLE, detail)
        return CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, detail)


class PeerSender:
    """Sends replica messages to one host from its own thread."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._queue: collections.deque[Envelope] = collections.deque(
            maxlen=MAX_QUEUED_ENVELOPES
        )
        self._wakeup = threading.Event()
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run, name=f'sender {channel.address}', daemon=True
        )
        self._thread.start()

    def send(self, envelope: Envelope) -> None:
        """Queue a message; the oldest one is dropped when the queue is full."""
        self._queue.append(envelope)
        self._wakeup.set()

    def close(self) -> None:
        """Stop the thread and close the connection."""
        self._is_stopped = True
        self._wakeup.set()
        self._channel.close()

    def _run(self) -> None:
        was_reachable = True
        while not self._is_stopped:
            self._wakeup.wait()
            self._wakeup.clear()
            while self._queue and not self._is_stopped:
                is_reachable = self._send_batch()
                if is_reachable != was_reachable:
                    was_reachable = is_reachable
                    logs.info(
                        'peer_reachable'
                        if is_reachable
                        else 'peer_unreachable',
                        address=self._channel.address,
                    )

    def _send_batch(self) -> bool:
        envelopes: list[Envelope] = []
        while self._queue and len(envelopes) < MAX_ENVELOPES_PER_BATCH:
            envelopes.append(self._queue.popleft())
        try:
            self._channel.deliver(envelopes)
        except CassiaholdError:
            # Queued messages are outdated when the peer is reachable again.
            self._queue.clear()
            return False
        except Exception as exc:  # noqa: BLE001
            # gRPC raises ValueError for a call on a closed channel.
            if not self._is_stopped:
                log_failure(f'sender {self._channel.address}', exc)
            return False
        return True


def _bind_error(address: str) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.CANNOT_BIND,
        f'cannot listen on {address}: address in use or not on this host',
    )


def open_channel(
    stack: contextlib.ExitStack, address: str, security: TransportSecurity
) -> Channel:
    """Return a channel that ``stack`` closes."""
    channel = Channel(address, security)
    stack.callback(channel.close)
    return channel
