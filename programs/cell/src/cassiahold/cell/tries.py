"""Tries of one request to a worker, and what they say about each other."""

import math
import typing

import msgspec

from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import ReplyStatus, WorkerReply
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    detail_of,
    kind_name,
)

# The worker carries out no earlier try after such a reply.
CONCLUSIVE_STATUSES: typing.Final = frozenset(
    (ReplyStatus.DONE, ReplyStatus.REPLACED, ReplyStatus.SUPERSEDED)
)

# From the start of one try to that of the next; doubles with each try.
FIRST_TRY_INTERVAL_S: typing.Final = 0.05
MAX_TRY_INTERVAL_S: typing.Final = 0.2


class Tries(msgspec.Struct, frozen=True):
    """The tries of one request so far.

    ``reply`` is set once a reply also holds for the earlier tries; after any
    reply, ``was_answered`` is True and another try is of no use.
    """

    count: int = 0
    reply: WorkerReply | None = None
    delivery: local.Delivery = local.Delivery.NOT_SENT
    was_answered: bool = False
    tried_at: float = -math.inf

    def pause_s(self, now: float) -> float:
        """Return the seconds until the next try; times are boot times."""
        if not self.count:
            return 0.0
        interval_s = min(
            FIRST_TRY_INTERVAL_S * float(2 ** (self.count - 1)),
            MAX_TRY_INTERVAL_S,
        )
        return max(self.tried_at + interval_s - now, 0.0)


def try_again(earlier: Tries, call: typing.Callable[[], WorkerReply]) -> Tries:
    """Send a request once more; ``call`` raises without a reply."""
    tried_at = boottime_s()
    count = earlier.count + 1
    try:
        reply = call()
    except Exception as exc:  # noqa: BLE001
        # Without a report the attempt would be held.
        logs.info(
            'order_unanswered', kind=kind_name(exc), reason=detail_of(exc)
        )
        return Tries(
            count,
            delivery=_delivery_after(exc, earlier.delivery),
            tried_at=tried_at,
        )
    if _is_conclusive(reply, earlier.delivery):
        return Tries(count, reply, earlier.delivery, was_answered=True)
    logs.info('order_inconclusive', answer=reply.status.value)
    return Tries(count, None, earlier.delivery, was_answered=True)


def _delivery_after(
    exc: Exception, earlier_delivery: local.Delivery
) -> local.Delivery:
    if not _is_unreachable(exc):
        return local.Delivery.POSSIBLE
    if earlier_delivery is local.Delivery.NOT_SENT:
        return local.Delivery.UNREACHABLE
    return earlier_delivery


def _is_unreachable(exc: Exception) -> bool:
    return (
        isinstance(exc, CassiaholdError) and exc.kind is ErrorKind.UNREACHABLE
    )


def _is_conclusive(
    reply: WorkerReply, earlier_delivery: local.Delivery
) -> bool:
    """Tell whether a reply also holds for the earlier tries of a request.

    After a try that may have arrived, a refusal says nothing about that one:
    it may have been carried out before or may still be on its way.
    """
    if earlier_delivery is not local.Delivery.POSSIBLE:
        return True
    return reply.status in CONCLUSIVE_STATUSES
