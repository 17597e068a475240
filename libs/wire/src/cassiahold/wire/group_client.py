"""Calls to whichever replica leads a group."""

import time
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.messages import Refusal, Reply, Request
from cassiahold.wire.transport import Channel

_ATTEMPT_S: typing.Final = 1.5
_PAUSE_S: typing.Final = 0.05
_MAX_PAUSE_S: typing.Final = 0.4


class GroupClient:
    """Finds the leader, remembers it and retries until the deadline.

    Every request of the system may be repeated safely, so an attempt whose
    answer was lost is made again at the next replica.
    """

    def __init__(
        self, group: GroupName, channel_by_replica: dict[ReplicaId, Channel]
    ) -> None:
        self.group = group
        self._channel_by_replica = channel_by_replica
        self._leader = next(iter(channel_by_replica))

    def call(
        self, request: Request, timeout_s: float, traceparent: str = ''
    ) -> Reply:
        """Return the leader's reply.

        Raises the kind that the leader refused with; ``CUT_OFF`` or
        ``NO_QUORUM`` when no leader ever got the request; and
        ``OUTCOME_UNKNOWN`` when one may have.
        """
        deadline = time.monotonic() + timeout_s
        pause_s = _PAUSE_S
        unknown: CassiaholdError | None = None
        while True:
            tried = self._try_each(request, deadline, traceparent)
            if not isinstance(tried, _Missed):
                return tried
            unknown = tried.unknown or unknown
            if time.monotonic() + pause_s >= deadline:
                raise unknown or tried.failure or _no_answer(self.group)
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_PAUSE_S)

    def _try_each(
        self, request: Request, deadline: float, traceparent: str
    ) -> 'Reply | _Missed':
        missed = _Missed()
        for _ in self._channel_by_replica:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                return self._attempt(
                    request, min(left, _ATTEMPT_S), traceparent
                )
            except _TryAnotherError as exc:
                missed.failure = exc.failure
                if exc.failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                    missed.unknown = exc.failure
        return missed

    def _attempt(
        self, request: Request, timeout_s: float, traceparent: str
    ) -> Reply:
        replica = self._leader
        channel = self._channel_by_replica[replica]
        try:
            reply: Reply = channel.call(
                self.group, request, timeout_s, traceparent
            )
        except CassiaholdError as exc:
            self._leader = self._next_after(replica)
            raise _TryAnotherError(exc) from exc
        if not isinstance(reply, Refusal):
            return reply
        refused = CassiaholdError(reply.kind, reply.detail)
        if reply.kind in {ErrorKind.NO_QUORUM, ErrorKind.OUTCOME_UNKNOWN}:
            known = reply.leader in self._channel_by_replica
            self._leader = (
                reply.leader
                if known and reply.leader
                else self._next_after(replica)
            )
            raise _TryAnotherError(refused)
        raise refused

    def _next_after(self, replica: ReplicaId) -> ReplicaId:
        replicas = list(self._channel_by_replica)
        return replicas[(replicas.index(replica) + 1) % len(replicas)]


class _Missed:
    """Why no replica answered in one pass over them."""

    def __init__(self) -> None:
        self.failure: CassiaholdError | None = None
        self.unknown: CassiaholdError | None = None


class _TryAnotherError(Exception):
    def __init__(self, failure: CassiaholdError) -> None:
        super().__init__(str(failure))
        self.failure = failure


def _no_answer(group: GroupName) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.UNREACHABLE, f'group {group!r} did not answer in time'
    )
