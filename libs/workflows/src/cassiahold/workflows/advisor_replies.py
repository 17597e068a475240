"""Cache of the advisors' replies: which workers may run which step.

An advisor is an external service that decides which workers may run a step.
It handles one query at a time for each calling host, and a query takes longer
with each worker in it.  A query therefore contains only as many workers as are
needed for the expected number of allowed ones to cover the step.

Whether a worker is allowed never changes for a step.  The ticket that a start
has to carry expires; it is renewed by a query about allowed workers only.
"""

import math
import typing

import msgspec

from cassiahold.core.ids import QueueName, WorkerId
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import StepKey, WorkerInfo

MAX_WORKERS_PER_QUERY: typing.Final = 100  # advisors accept no more
EXTRA_QUERIED_WORKERS: typing.Final = 2
# Extra workers may lengthen a query by this share of its fixed duration.
EXTRA_QUERY_TIME_SHARE: typing.Final = 0.2
TICKET_MARGIN_S: typing.Final = 0.25  # upper bound on delivering a start
_INITIAL_ALLOWED_SHARE: typing.Final = 0.5
_ALLOWED_SHARE_GAIN: typing.Final = 0.1
_MIN_ALLOWED_SHARE: typing.Final = 0.1


class Ticket(msgspec.Struct, frozen=True):
    """Permission to start tasks of a step on one worker incarnation.

    ``expires_at`` is on the leader's steady clock and already leaves
    ``TICKET_MARGIN_S`` for the delivery of a start.
    """

    token: str
    incarnation: int
    expires_at: float


class AdvisorReply(msgspec.Struct, frozen=True):
    """An advisor's reply: the allowed workers and their ticket tokens.

    ``validity_s`` is how long the tickets are valid.
    """

    token_by_worker: dict[WorkerId, str]
    validity_s: float


class _StepReplies(msgspec.Struct):
    has_pending_query: bool = False
    queried_workers: frozenset[WorkerId] = frozenset()
    ticket_by_worker: dict[WorkerId, Ticket] = msgspec.field(
        default_factory=dict
    )
    allowed_workers: set[WorkerId] = msgspec.field(default_factory=set)
    denied_workers: set[WorkerId] = msgspec.field(default_factory=set)


class AdvisorReplyCache:
    """The advisors' replies by step, kept by the leader.

    Also estimates for each queue which share of the workers is allowed.
    """

    def __init__(self) -> None:
        self._replies_by_step: dict[StepKey, _StepReplies] = {}
        self._allowed_share_by_queue: dict[QueueName, float] = {}

    def expected_allowed_share(self, queue: QueueName) -> float:
        """Return the estimated share of workers that a step may use."""
        return self._allowed_share_by_queue.get(queue, _INITIAL_ALLOWED_SHARE)

    def has_pending_query(self, step: StepKey) -> bool:
        """Tell whether a query about a step is pending."""
        replies = self._replies_by_step.get(step)
        return replies is not None and replies.has_pending_query

    def is_denied(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the advisor denied a worker for a step."""
        replies = self._replies_by_step.get(step)
        return replies is not None and worker in replies.denied_workers

    def has_reply_about(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether a worker is known to be allowed or denied."""
        return self.is_allowed(step, worker) or self.is_denied(step, worker)

    def is_allowed(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the advisor allowed a worker for a step."""
        replies = self._replies_by_step.get(step)
        return replies is not None and worker in replies.allowed_workers

    def has_allowed_workers(self, step: StepKey) -> bool:
        """Tell whether any worker is known to be allowed for a step."""
        replies = self._replies_by_step.get(step)
        return replies is not None and bool(replies.allowed_workers)

    def allowed_workers(self, step: StepKey) -> list[WorkerId]:
        """Return the allowed workers of a step in the order of their ids."""
        replies = self._replies_by_step.get(step)
        return [] if replies is None else sorted(replies.allowed_workers)

    def valid_ticket(
        self, step: StepKey, worker: WorkerInfo, now: float
    ) -> Ticket | None:
        """Return a ticket that is still valid when a start arrives."""
        replies = self._replies_by_step.get(step)
        if replies is None:
            return None
        ticket = replies.ticket_by_worker.get(worker.id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            return None
        return ticket if now < ticket.expires_at else None

    def record_query(
        self, step: StepKey, workers: typing.Iterable[WorkerInfo] = ()
    ) -> None:
        """Record that a query about a step and some workers was sent."""
        replies = self._replies_by_step.setdefault(step, _StepReplies())
        replies.has_pending_query = True
        replies.queried_workers = frozenset(worker.id for worker in workers)

    def is_queried(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the pending query of a step contains a worker."""
        replies = self._replies_by_step.get(step)
        return replies is not None and worker in replies.queried_workers

    def record_failure(self, step: StepKey) -> None:
        """Record that the pending query of a step got no reply."""
        replies = self._replies_by_step.get(step)
        if replies is not None:
            replies.has_pending_query = False
            replies.queried_workers = frozenset()

    def record_reply(
        self,
        step: StepKey,
        queue: QueueName,
        queried_workers: typing.Sequence[WorkerInfo],
        reply: AdvisorReply,
        now: float,
    ) -> None:
        """Record the reply to a query about some workers.

        A queried worker without a token is denied.  The estimated share of
        allowed workers is updated only when none of the queried workers was
        known to be allowed before; renewals would bias it.
        """
        replies = self._replies_by_step.get(step)
        if replies is None:
            return
        replies.has_pending_query = False
        replies.queried_workers = frozenset()
        new_worker_count = 0
        for worker in queried_workers:
            new_worker_count += int(worker.id not in replies.allowed_workers)
            token = reply.token_by_worker.get(worker.id)
            if token is None:
                replies.denied_workers.add(worker.id)
                replies.allowed_workers.discard(worker.id)
                continue
            replies.allowed_workers.add(worker.id)
            replies.denied_workers.discard(worker.id)
            replies.ticket_by_worker[worker.id] = Ticket(
                token,
                worker.incarnation,
                now + reply.validity_s - TICKET_MARGIN_S,
            )
        if new_worker_count == len(queried_workers):
            self._update_allowed_share(
                queue, len(reply.token_by_worker) / max(new_worker_count, 1)
            )

    def drop_ticket(self, step: StepKey, worker: WorkerId) -> None:
        """Remove a ticket that a worker refused."""
        replies = self._replies_by_step.get(step)
        if replies is not None:
            replies.ticket_by_worker.pop(worker, None)

    def forget_step(self, step: StepKey) -> None:
        """Remove the replies about a step that starts no more tasks."""
        self._replies_by_step.pop(step, None)

    def workers_per_query(self, queue: QueuePolicy, needed_workers: int) -> int:
        """Return how many workers a query about unknown ones should contain.

        More workers than needed give the planner a choice, as long as they
        lengthen the query by no more than ``EXTRA_QUERY_TIME_SHARE`` of its
        fixed duration.
        """
        share = max(self.expected_allowed_share(queue.name), _MIN_ALLOWED_SHARE)
        worker_count = math.ceil(needed_workers / share) + EXTRA_QUERIED_WORKERS
        advisor = queue.advisor
        if advisor is not None and advisor.per_worker_s > 0:
            extra_time_s = advisor.decision_s * EXTRA_QUERY_TIME_SHARE
            extra_count = min(
                extra_time_s / advisor.per_worker_s, MAX_WORKERS_PER_QUERY
            )
            worker_count = max(worker_count, int(extra_count))
        return min(worker_count, MAX_WORKERS_PER_QUERY)

    def _update_allowed_share(self, queue: QueueName, share: float) -> None:
        previous_share = self.expected_allowed_share(queue)
        self._allowed_share_by_queue[queue] = (
            previous_share + _ALLOWED_SHARE_GAIN * (share - previous_share)
        )
