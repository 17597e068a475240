"""Replies that are made some time after their command was applied."""

import typing

import msgspec

from cassiahold.agreement.pending_replies import ReplyFuture
from cassiahold.core.exceptions import CassiaholdError


class DeferredReply(msgspec.Struct, frozen=True):
    """A reply that is made at ``due_at``, to include what happens until then.

    ``due_at`` is a time of ``boottime_s``.  The reply is made earlier when
    the replica stops leading.
    """

    due_at: float
    make_reply: typing.Callable[[], typing.Any]


class DeferredReplies:
    """The deferred replies of one replica that are not made yet."""

    def __init__(self) -> None:
        self._waiting: list[tuple[DeferredReply, ReplyFuture]] = []

    def add(self, deferred: DeferredReply, future: ReplyFuture) -> None:
        """Keep a reply until it is due."""
        self._waiting.append((deferred, future))

    def send_due(self, now: float, *, is_leading: bool) -> None:
        """Make the replies that are due, all of them unless leading."""
        waiting = self._waiting
        self._waiting = []
        for deferred, future in waiting:
            if is_leading and now < deferred.due_at:
                self._waiting.append((deferred, future))
                continue
            try:
                future.set_result(deferred.make_reply())
            except CassiaholdError as exc:
                future.set_exception(exc)
