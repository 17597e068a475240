"""A client that sends requests to the leader of a group."""

import time
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.messages import Refusal, Reply, Request
from cassiahold.wire.transport import Channel

_REPLICA_CALL_TIMEOUT_S: typing.Final = 1.5
_MIN_RETRY_PAUSE_S: typing.Final = 0.05
_MAX_RETRY_PAUSE_S: typing.Final = 0.4


class GroupClient:
    """Finds the leader of a group, remembers it and retries until a deadline.

    All requests between the system's processes are idempotent, so a request
    whose reply was lost is sent again to the next replica.
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

        Raises ``OUTCOME_UNKNOWN`` when a leader may have received the request
        in one of the tries; otherwise an error of the kind with which the
        leader refused it, ``UNREACHABLE`` or ``NO_QUORUM``.
        """
        deadline = time.monotonic() + timeout_s
        pause_s = _MIN_RETRY_PAUSE_S
        failed_tries = _FailedTries()
        while True:
            reply = self._try_each_replica(
                request, deadline, traceparent, failed_tries
            )
            if reply is not None:
                return reply
            if time.monotonic() + pause_s >= deadline:
                raise (
                    failed_tries.unknown_outcome
                    or failed_tries.last_error
                    or _no_reply_error(self.group)
                )
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_PAUSE_S)

    def _try_each_replica(
        self,
        request: Request,
        deadline: float,
        traceparent: str,
        failed_tries: '_FailedTries',
    ) -> Reply | None:
        for _ in self._channel_by_replica:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                return self._call_leader(
                    request,
                    min(remaining_s, _REPLICA_CALL_TIMEOUT_S),
                    traceparent,
                )
            except _TryNextReplicaError as exc:
                failed_tries.last_error = exc.error
                if exc.error.kind is ErrorKind.OUTCOME_UNKNOWN:
                    failed_tries.unknown_outcome = exc.error
            except CassiaholdError as refusal:
                # An earlier try may have been carried out all the same.
                raise (failed_tries.unknown_outcome or refusal) from refusal
        return None

    def _call_leader(
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
        refusal_error = CassiaholdError(reply.kind, reply.detail, reply.hint)
        if reply.kind in {ErrorKind.NO_QUORUM, ErrorKind.OUTCOME_UNKNOWN}:
            is_known = reply.leader in self._channel_by_replica
            self._leader = (
                reply.leader
                if is_known and reply.leader
                else self._replica_after(replica)
            )
            raise _TryNextReplicaError(refusal_error)
        raise refusal_error

    def _replica_after(self, replica: ReplicaId) -> ReplicaId:
        replicas = list(self._channel_by_replica)
        return replicas[(replicas.index(replica) + 1) % len(replicas)]


class _FailedTries:
    """The errors of the tries of one request so far."""

    def __init__(self) -> None:
        self.last_error: CassiaholdError | None = None
        self.unknown_outcome: CassiaholdError | None = None


class _TryNextReplicaError(Exception):
    def __init__(self, error: CassiaholdError) -> None:
        super().__init__(str(error))
        self.error = error


def _no_reply_error(group: GroupName) -> CassiaholdError:
    return CassiaholdError(
        ErrorKind.UNREACHABLE, f'group {group!r} did not reply in time'
    )
