"""Puts requests to the group's leader from any process of the cell."""

import contextlib
import threading
import typing

import msgspec

from cassiahold.cell.discovery import Directory
from cassiahold.cell.requests import CODEC, GroupView, Locate
from cassiahold.cell.settings import GROUP
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.wire.messages import Refusal
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import Channel

TRY_TIMEOUT_S: typing.Final = 0.7
PAUSE_S: typing.Final = 0.03
LOCATE_TIMEOUT_S: typing.Final = 0.4
LOCATE_INTERVAL_S: typing.Final = 1.0
FRESH_S: typing.Final = 1.5  # a leader that answered since then is not sought
MEMBERS_INTERVAL_S: typing.Final = 5.0  # between looks at the membership
# Kinds that say that this replica cannot serve, but another may.
_ELSEWHERE: typing.Final = frozenset(
    (ErrorKind.NO_QUORUM, ErrorKind.UNREACHABLE, ErrorKind.LEAVING)
)

LocalCall = typing.Callable[[typing.Any], typing.Any]


class _Attempt(msgspec.Struct):
    deadline: float
    unknown: CassiaholdError | None = None
    reason: str = 'no replica is known'


class LeaderCaller:
    """Finds the leader, asks it, and says truthfully what is not known."""

    def __init__(
        self,
        directory: Directory,
        security: TransportSecurity,
        own_address: str = '',
        local: LocalCall | None = None,
    ) -> None:
        self._directory = directory
        self._security = security
        self._own = own_address
        self._local = local
        self._lock = threading.Lock()
        self._channel_by_address: dict[str, Channel] = {}
        self._served_at = -1.0
        self._is_reachable = True
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Keep looking for replicas in the background."""
        threading.Thread(
            target=self._keep_locating, name='locate', daemon=True
        ).start()

    def close(self) -> None:
        """Close every connection."""
        self._stopped.set()
        self._stack.close()

    def silent_s(self) -> float:
        """Return the seconds since a leader last answered."""
        return boottime_s() - self._served_at

    def ask(self, request: typing.Any, timeout_s: float) -> typing.Any:
        """Return the leader's reply to an idempotent request.

        Raises the kind of the leader's refusal; ``NO_QUORUM`` when surely
        no leader took the request, ``OUTCOME_UNKNOWN`` when one may have.
        """
        attempt = _Attempt(boottime_s() + timeout_s)
        while True:
            reply = self._ask_each(request, attempt)
            if reply is not None:
                return reply
            if boottime_s() + PAUSE_S >= attempt.deadline:
                break
            self._stopped.wait(PAUSE_S)
        self._note_unreachable(attempt.reason)
        if attempt.unknown is not None:
            raise attempt.unknown
        raise CassiaholdError(ErrorKind.NO_QUORUM, attempt.reason)

    def _ask_each(self, request: typing.Any, attempt: '_Attempt') -> typing.Any:
        for address in self._directory.candidates():
            left_s = attempt.deadline - boottime_s()
            if left_s <= 0:
                break
            try:
                reply = self.call(address, request, min(left_s, TRY_TIMEOUT_S))
            except CassiaholdError as exc:
                self._note_failure(address, exc, attempt)
            else:
                self._note_served()
                return reply
            if self._directory.leader not in {None, address}:
                break
        return None

    def _note_failure(
        self, address: str, exc: CassiaholdError, attempt: '_Attempt'
    ) -> None:
        if exc.kind is ErrorKind.OUTCOME_UNKNOWN:
            attempt.unknown = exc
        elif exc.kind not in _ELSEWHERE:
            # The leader's own word ends the search.
            self._note_served()
            raise exc
        attempt.reason = exc.detail
        self._directory.doubt(address)

    def call(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Return one process's reply; raises the kind of its refusal."""
        if address == self._own and self._local is not None:
            reply = self._local(request)
        else:
            reply = self._remote(address, request, timeout_s)
        if isinstance(reply, Refusal):
            if reply.kind is ErrorKind.NO_QUORUM:
                self._directory.hint(reply.leader)
            raise CassiaholdError(reply.kind, reply.detail)
        return reply

    def _remote(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        try:
            reply = self._channel(address).call(GROUP, request, timeout_s)
        except CassiaholdError:
            self._directory.note_unreachable(address)
            raise
        self._directory.note_reached(address)
        return reply

    def locate(self) -> None:
        """Ask the known replicas for their view of the group."""
        for address in self._directory.candidates():
            try:
                view = self.call(address, Locate(), LOCATE_TIMEOUT_S)
            except CassiaholdError:
                continue
            if isinstance(view, GroupView):
                self._directory.learn(view)
                if view.leader is not None:
                    return

    def _channel(self, address: str) -> Channel:
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = Channel(address, self._security, CODEC)
                self._channel_by_address[address] = channel
                self._stack.callback(channel.close)
            return channel

    def _note_served(self) -> None:
        self._served_at = boottime_s()
        if not self._is_reachable:
            self._is_reachable = True
            logs.info('leader_regained', address=self._directory.leader)

    def _note_unreachable(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            logs.warning('leader_lost', silent_s=self.silent_s(), reason=reason)

    def _keep_locating(self) -> None:
        located_at = -MEMBERS_INTERVAL_S
        while not self._stopped.is_set():
            is_old = boottime_s() >= located_at + MEMBERS_INTERVAL_S
            if is_old or self.silent_s() >= FRESH_S:
                self.locate()
                located_at = boottime_s()
            self._stopped.wait(LOCATE_INTERVAL_S)
