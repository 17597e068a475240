"""Which workers may run a step, as advisors say, and whom to ask about.

An advisor works on one call at a time for each calling host, and a call
takes longer with each worker named.  So a call names few workers: enough
that the expected number of allowed ones covers the step.  Whether a worker
is allowed never changes for a step; the ticket that a start must carry
lapses and is renewed by asking about allowed workers only.
"""

import math
import typing

import msgspec

from cassiahold.core.ids import QueueName, WorkerId
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import StepKey, WorkerInfo

MAX_NAMED: typing.Final = 100
SPARE_NAMED: typing.Final = 2
CHOICE_SHARE: typing.Final = 0.2  # of a call's fixed time, for a choice
TICKET_MARGIN_S: typing.Final = 0.25  # a start takes this long at most
_FIRST_SHARE: typing.Final = 0.5
_SHARE_GAIN: typing.Final = 0.1
_LEAST_SHARE: typing.Final = 0.1


class Ticket(msgspec.Struct, frozen=True):
    """Permission to start tasks of a step on one incarnation."""

    token: str
    born: int
    expires_at: float


class AdvisorReply(msgspec.Struct, frozen=True):
    """An advisor's answer: tokens by allowed worker."""

    token_by_worker: dict[WorkerId, str]
    validity_s: float


class _StepAdvice(msgspec.Struct):
    is_asking: bool = False
    named: frozenset[WorkerId] = frozenset()
    ticket_by_worker: dict[WorkerId, Ticket] = msgspec.field(
        default_factory=dict
    )
    allowed: set[WorkerId] = msgspec.field(default_factory=set)
    denied: set[WorkerId] = msgspec.field(default_factory=set)


class AdvisorReplyCache:
    """Answers by step, and the learned share of allowed workers."""

    def __init__(self) -> None:
        self._advice_by_step: dict[StepKey, _StepAdvice] = {}
        self._share_by_queue: dict[QueueName, float] = {}

    def share_of(self, queue: QueueName) -> float:
        """Return the expected share of workers that a step may use."""
        return self._share_by_queue.get(queue, _FIRST_SHARE)

    def is_asking(self, step: StepKey) -> bool:
        """Tell whether a call about a step is on its way."""
        advice = self._advice_by_step.get(step)
        return advice is not None and advice.is_asking

    def is_denied(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether a worker may never run a step."""
        advice = self._advice_by_step.get(step)
        return advice is not None and worker in advice.denied

    def is_known(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether an advisor has said anything of a worker."""
        return self.is_allowed(step, worker) or self.is_denied(step, worker)

    def is_allowed(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether a worker is known to be allowed."""
        advice = self._advice_by_step.get(step)
        return advice is not None and worker in advice.allowed

    def is_answered(self, step: StepKey) -> bool:
        """Tell whether a worker is known to be allowed."""
        advice = self._advice_by_step.get(step)
        return advice is not None and bool(advice.allowed)

    def allowed(self, step: StepKey) -> list[WorkerId]:
        """Return the workers that are known to be allowed."""
        advice = self._advice_by_step.get(step)
        return [] if advice is None else sorted(advice.allowed)

    def ticket(
        self, step: StepKey, worker: WorkerInfo, now: float
    ) -> Ticket | None:
        """Return a ticket that still holds when a start arrives."""
        advice = self._advice_by_step.get(step)
        if advice is None:
            return None
        ticket = advice.ticket_by_worker.get(worker.id)
        if ticket is None or ticket.born != worker.incarnation:
            return None
        return ticket if now < ticket.expires_at else None

    def record_query(
        self, step: StepKey, workers: typing.Iterable[WorkerInfo] = ()
    ) -> None:
        """Record that a call about a step and some workers was sent."""
        advice = self._advice_by_step.setdefault(step, _StepAdvice())
        advice.is_asking = True
        advice.named = frozenset(worker.id for worker in workers)

    def is_named(self, step: StepKey, worker: WorkerId) -> bool:
        """Tell whether the call that is on its way is about a worker."""
        advice = self._advice_by_step.get(step)
        return advice is not None and worker in advice.named

    def failed(self, step: StepKey) -> None:
        """Record that a call brought no answer."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.is_asking = False
            advice.named = frozenset()

    def record_reply(
        self,
        step: StepKey,
        queue: QueueName,
        named: typing.Sequence[WorkerInfo],
        advice: AdvisorReply,
        now: float,
    ) -> None:
        """Take an answer about the workers named."""
        known = self._advice_by_step.get(step)
        if known is None:
            return
        known.is_asking = False
        known.named = frozenset()
        fresh = 0
        for worker in named:
            fresh += int(worker.id not in known.allowed)
            token = advice.token_by_worker.get(worker.id)
            if token is None:
                known.denied.add(worker.id)
                continue
            known.allowed.add(worker.id)
            known.ticket_by_worker[worker.id] = Ticket(
                token,
                worker.incarnation,
                now + advice.validity_s - TICKET_MARGIN_S,
            )
        if fresh == len(named):
            self._learn(queue, len(advice.token_by_worker) / max(fresh, 1))

    def drop_ticket(self, step: StepKey, worker: WorkerId) -> None:
        """Forget a ticket that a worker refused."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.ticket_by_worker.pop(worker, None)

    def forget_step(self, step: StepKey) -> None:
        """Forget a step that starts no more tasks."""
        self._advice_by_step.pop(step, None)

    def how_many(self, queue: QueuePolicy, workers_needed: int) -> int:
        """Return how many unknown workers a call should name.

        Naming more than needed gives a choice; it is worth a part of the
        time that a call takes anyway.
        """
        share = max(self.share_of(queue.name), _LEAST_SHARE)
        wanted = math.ceil(workers_needed / share) + SPARE_NAMED
        advisor = queue.advisor
        if advisor is not None and advisor.per_worker_s > 0:
            spent_s = advisor.decision_s * CHOICE_SHARE
            wanted = max(wanted, int(spent_s / advisor.per_worker_s))
        return min(wanted, MAX_NAMED)

    def _learn(self, queue: QueueName, share: float) -> None:
        old = self.share_of(queue)
        self._share_by_queue[queue] = old + _SHARE_GAIN * (share - old)
