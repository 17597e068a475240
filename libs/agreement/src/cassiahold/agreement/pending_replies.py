"""Replies that wait until the entry of their request is applied."""

import concurrent.futures
import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

ReplyFuture = concurrent.futures.Future[typing.Any]


class PendingReply(msgspec.Struct, frozen=True):
    """The caller of a proposal and the term in which it was proposed.

    ``make_reply`` makes the reply from the outcome of the command.
    """

    term: int
    future: ReplyFuture
    make_reply: typing.Callable[[typing.Any], typing.Any]


class PendingReplies:
    """The replies of one replica that wait, by the index of their entry."""

    def __init__(self) -> None:
        self._reply_by_index: dict[int, PendingReply] = {}

    def add(self, index: int, reply: PendingReply) -> None:
        """Keep a reply until the entry at an index is applied."""
        self._reply_by_index[index] = reply

    def take(self, index: int) -> PendingReply | None:
        """Remove and return the reply for an index if its caller waits."""
        reply = self._reply_by_index.pop(index, None)
        return None if reply is None or reply.future.done() else reply

    def fail_all(self) -> None:
        """Tell every caller that the outcome is unknown here."""
        self.fail_after(0)

    def fail_after(self, index: int) -> None:
        """Tell callers whose entries are after an index that it is unknown.

        For entries that are no longer in the log of this replica; others may
        still have and commit them.
        """
        self._set_errors_after(
            index,
            CassiaholdError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the replica has dropped the command before it was applied',
            ),
        )

    def refuse_after(self, index: int, error: CassiaholdError) -> None:
        """Refuse the callers whose entries are after an index.

        For entries that were never written or sent, so that none can run.
        """
        self._set_errors_after(index, error)

    def _set_errors_after(self, index: int, error: CassiaholdError) -> None:
        dropped = [other for other in self._reply_by_index if other > index]
        for other in dropped:
            reply = self._reply_by_index.pop(other)
            if not reply.future.done():
                reply.future.set_exception(error)
