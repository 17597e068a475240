"""Client that sends requests to the group's leader from any process."""

import contextlib
import math
import threading
import typing

import msgspec

from cassiahold.cell.discovery import ReplicaDirectory
from cassiahold.cell.requests import CODEC, GroupView, Locate
from cassiahold.cell.settings import GROUP
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.core.loops import run_step
from cassiahold.wire.messages import Refusal
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel

CALL_TIMEOUT_S: typing.Final = 0.7
MIN_CALL_TIMEOUT_S: typing.Final = 0.005
# A try that the end of this process cuts shorter would leave its outcome open.
MIN_FINISH_S: typing.Final = 0.1
RETRY_PAUSE_S: typing.Final = 0.03
LOCATE_TIMEOUT_S: typing.Final = 0.4
LOCATE_INTERVAL_S: typing.Final = 1.0
LEADER_FRESH_S: typing.Final = 1.5  # no search if a leader replied since then
MEMBERSHIP_INTERVAL_S: typing.Final = 5.0  # between updates of the members
# Errors of a replica that cannot serve a request while another one may.
_TRY_ELSEWHERE_KINDS: typing.Final = frozenset(
    (ErrorKind.NO_QUORUM, ErrorKind.UNREACHABLE, ErrorKind.LEAVING)
)

LocalHandler = typing.Callable[[typing.Any], typing.Any]


class _RetryState(msgspec.Struct):
    deadline_at: float
    # Later deadline once a try may have been carried out.
    resolve_at: float
    # When this process ends; it may become known during the request.
    finish_at: typing.Callable[[], float]
    unknown_outcome: CassiaholdError | None = None
    # Refusal of a busy process that is not known to be the leader.
    overload: CassiaholdError | None = None
    last_reason: str = 'no replica is known'

    def time_left_s(self) -> float:
        """Return how long the request may still be tried."""
        has_unknown_outcome = self.unknown_outcome is not None
        until = self.resolve_at if has_unknown_outcome else self.deadline_at
        return min(until, self.finish_at()) - boottime_s()


class LeaderClient:
    """Finds the leader, sends requests to it and retries until a deadline.

    Tells requests that were certainly not carried out from those whose outcome
    is unknown.  ``own_address`` and ``local_handler`` serve requests to this
    process without a connection.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        security: TransportSecurity,
        own_address: str = '',
        local_handler: LocalHandler | None = None,
    ) -> None:
        self._directory = directory
        self._security = security
        self._own_address = own_address
        self._local_handler = local_handler
        self._lock = threading.Lock()
        self._channel_by_address: dict[str, Channel] = {}
        self._created_at = boottime_s()
        self._leader_replied_at = -1.0
        self._is_leader_reachable = True
        # No request is tried after this time.
        self._finish_at = math.inf
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start a thread that keeps locating the leader."""
        threading.Thread(
            target=self._locate_periodically, name='locate', daemon=True
        ).start()

    def close(self) -> None:
        """Stop locating the leader and close every connection."""
        self._stopped.set()
        self._stack.close()

    def finish_by(self, finish_at: float) -> None:
        """Try no request after a time, as this process is going to end.

        Also holds for requests that are in progress: each gets its reply or
        its error by then.  ``finish_at`` is a boot time in seconds.
        """
        self._finish_at = finish_at

    def leader_silence_s(self) -> float:
        """Return the seconds since a leader last replied."""
        return boottime_s() - self._leader_replied_at

    def outage_s(self) -> float:
        """Return how long no leader has replied, since the start at most."""
        return boottime_s() - max(self._leader_replied_at, self._created_at)

    def call_leader(
        self,
        request: typing.Any,
        timeout_s: float,
        resolve_timeout_s: float = 0.0,
    ) -> typing.Any:
        """Return the leader's reply to an idempotent request.

        Once a try may have been carried out, the request is repeated for
        ``resolve_timeout_s``, if that is longer: an answer that says neither
        yes nor no is of little use to a caller.

        Raises ``DEADLINE_TOO_SHORT`` when the time is too short for any try,
        ``LEAVING`` when this process ends too soon for one,
        ``OUTCOME_UNKNOWN`` when a leader may have carried it out in
        one of the tries; otherwise an error of the kind with which the leader
        refused, or ``NO_QUORUM`` when no leader has received the request.
        """
        now = boottime_s()
        self._check_time(timeout_s, now)
        retry_state = _RetryState(
            now + timeout_s,
            now + max(timeout_s, resolve_timeout_s),
            lambda: self._finish_at,
        )
        while True:
            reply = self._try_candidates(request, retry_state)
            if reply is not None:
                return reply
            if retry_state.overload and self._directory.leader is None:
                raise retry_state.unknown_outcome or retry_state.overload
            if retry_state.time_left_s() <= RETRY_PAUSE_S:
                break
            self._stopped.wait(RETRY_PAUSE_S)
        self._record_leader_lost(retry_state.last_reason)
        if retry_state.unknown_outcome is not None:
            raise retry_state.unknown_outcome
        raise CassiaholdError(ErrorKind.NO_QUORUM, retry_state.last_reason)

    def _check_time(self, timeout_s: float, now: float) -> None:
        """Raise an error at once if no try can be in time."""
        if timeout_s < MIN_CALL_TIMEOUT_S:
            raise CassiaholdError(
                ErrorKind.DEADLINE_TOO_SHORT,
                f'{timeout_s:.3f} s are too short to reach the leader',
            )
        if now + MIN_FINISH_S > self._finish_at:
            # Another host can serve the request at once.
            raise CassiaholdError(
                ErrorKind.LEAVING,
                'this process is shutting down',
                RetryHint(earliest_s=0.0),
            )

    def _try_candidates(
        self, request: typing.Any, retry_state: '_RetryState'
    ) -> typing.Any:
        retry_state.overload = None
        for address in self._directory.candidates():
            time_left_s = retry_state.time_left_s()
            if time_left_s <= 0:
                break
            try:
                self._probe_if_suspect(address, time_left_s)
                reply = self.call(
                    address, request, min(time_left_s, CALL_TIMEOUT_S)
                )
            except CassiaholdError as exc:
                self._handle_failure(address, exc, retry_state)
            else:
                self._record_leader_reply()
                return reply
            if self._directory.leader not in {None, address}:
                break
        return None

    def _probe_if_suspect(self, address: str, time_left_s: float) -> None:
        """Send no request to a process that did not reply to the last one.

        Asking it for its view has no effect, so a request that is refused
        because of a failed probe has certainly not been carried out.
        """
        if not self._directory.is_suspect(address):
            return
        try:
            self.call(address, Locate(), min(time_left_s, LOCATE_TIMEOUT_S))
        except CassiaholdError as exc:
            raise CassiaholdError(ErrorKind.UNREACHABLE, exc.detail) from exc

    def _handle_failure(
        self, address: str, exc: CassiaholdError, retry_state: '_RetryState'
    ) -> None:
        if exc.kind is ErrorKind.OUTCOME_UNKNOWN:
            retry_state.unknown_outcome = exc
        elif exc.kind is ErrorKind.OVERLOADED and (
            address != self._directory.leader
        ):
            retry_state.overload = exc
        elif exc.kind not in _TRY_ELSEWHERE_KINDS:
            # The leader itself refused: another replica cannot help.
            self._record_leader_reply()
            # An earlier try may have been carried out all the same.
            raise retry_state.unknown_outcome or exc
        retry_state.last_reason = exc.detail
        self._directory.reject_leader(address)

    def call(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Return the reply of one process.

        Raises an error of the kind with which the process refused.
        """
        if address == self._own_address and self._local_handler is not None:
            reply = self._local_handler(request)
        else:
            reply = self._call_remote(address, request, timeout_s)
        if isinstance(reply, Refusal):
            if reply.kind is ErrorKind.NO_QUORUM:
                self._directory.suggest_leader(reply.leader)
            raise CassiaholdError(reply.kind, reply.detail, reply.hint)
        return reply

    def _call_remote(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        try:
            reply = self._channel_to(address).call(GROUP, request, timeout_s)
        except CassiaholdError:
            self._directory.mark_unreachable(address)
            raise
        self._directory.mark_reachable(address)
        return reply

    def locate_leader(self) -> None:
        """Ask the known replicas in turn until one names the leader."""
        for address in self._directory.candidates():
            try:
                view = self.call(address, Locate(), LOCATE_TIMEOUT_S)
            except CassiaholdError:
                continue
            if isinstance(view, GroupView):
                self._directory.update_from_view(view)
                if view.leader is not None:
                    return

    def _channel_to(self, address: str) -> Channel:
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = Channel(address, self._security, CODEC)
                self._channel_by_address[address] = channel
                self._stack.callback(channel.close)
            return channel

    def _record_leader_reply(self) -> None:
        self._leader_replied_at = boottime_s()
        if not self._is_leader_reachable:
            self._is_leader_reachable = True
            logs.info('leader_regained', address=self._directory.leader)

    def _record_leader_lost(self, reason: str) -> None:
        if self._is_leader_reachable:
            self._is_leader_reachable = False
            logs.warning(
                'leader_lost', silent_s=self.leader_silence_s(), reason=reason
            )

    def _locate_periodically(self) -> None:
        located_at = -MEMBERSHIP_INTERVAL_S
        while not self._stopped.is_set():
            is_view_old = boottime_s() >= located_at + MEMBERSHIP_INTERVAL_S
            if is_view_old or self.leader_silence_s() >= LEADER_FRESH_S:
                run_step('locate', self.locate_leader)
                located_at = boottime_s()
            self._stopped.wait(LOCATE_INTERVAL_S)
