"""Calls to whichever replica leads a group."""

import time
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.messages import Refusal, Reply, Request
from cassiahold.wire.transport import Channel

_ATTEMPT_TIMEOUT_S: typing.Final = 1.5
_MIN_RETRY_PAUSE_S: typing.Final = 0.05
_MAX_RETRY_PAUSE_S: typing.Final = 0.4


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
        pause_s = _MIN_RETRY_PAUSE_S
        unknown: CassiaholdError | None = None
        while True:
            tried = self._try_each_replica(request, deadline, traceparent)
            if not isinstance(tried, _FailedPass):
                return tried
            unknown = tried.unknown_outcome or unknown
            if time.monotonic() + pause_s >= deadline:
                raise unknown or tried.last_error or _no_reply_error(self.group)
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_PAUSE_S)

    def _try_each_replica(
        self, request: Request, deadline: float, traceparent: str
    ) -> 'Reply | _FailedPass':
        missed = _FailedPass()
        for _ in self._channel_by_replica:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                return self._attempt(
                    request, min(left, _ATTEMPT_TIMEOUT_S), traceparent
                )
            except _TryNextReplicaError as exc:
                missed.last_error = exc.error
                if exc.error.kind is ErrorKind.OUTCOME_UNKNOWN:
                    missed.unknown_outcome = exc.error
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
            self._leader = self._replica_after(replica)
            raise _TryNextReplicaError(exc) from exc
        if not isinstance(reply, Refusal):
            return reply
        refused = CassiaholdError(reply.kind, reply.detail)
        if reply.kind in {ErrorKind.NO_QUORUM, ErrorKind.OUTCOME_UNKNOWN}:
            known = reply.leader in self._channel_by_replica
            self._leader = (
                reply.leader
                if known and reply.leader
                else self._replica_after(replica)
            )
            raise _TryNextReplicaError(refused)
        raise refused

    def _replica_after(self, replica: ReplicaId) -> ReplicaId:
        replicas = list(self._channel_by_replica)
        return replicas[(replicas.index(replica) + 1) % len(replicas)]


class _FailedPass:
    """Why no replica answered in one pass over them."""

    def __init__(self) -> None:
        self.last_error: CassiaholdError | None = None
        self.unknown_outcome: CassiaholdError | None = None


class _TryNextReplicaError(Exception):
    def __init__(self, failure: CassiaholdError) -> None:
        super().__init__(str(failure))
        self.error = failure


def _no_reply_error(group: GroupName) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.CUT_OFF, f'group {group!r} did not answer in time'
    )
