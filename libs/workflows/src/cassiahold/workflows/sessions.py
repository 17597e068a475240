"""What a leader knows of one worker that it calls.

Times are seconds of the leader's steady clock; ``clock_ms`` is the worker's
own clock.  A session belongs to one leader, one term and one incarnation.
"""

import typing

import msgspec

from cassiahold.workflows.commands import AttemptResult
from cassiahold.workflows.model import AttemptKey, AttemptOutcome, WorkerInfo

CLOCK_DRIFT: typing.Final = 0.02  # a worker's clock may be this much slow
LEASE_MARGIN_S: typing.Final = 0.3
LEASE_SHARE: typing.Final = 0.85  # of the longest lease that workers grant
SILENT_S: typing.Final = 1.5  # without an answer for this long: no new work
SICK_S: typing.Final = 1.0  # rest after a worker refused work as unhealthy
_MS: typing.Final = 1000


class RunningAttempt(msgspec.Struct, frozen=True):
    """A run in progress, its newest checkpoint and how far it has come."""

    attempt: AttemptKey
    saved: str
    percent: int


class EndedAttempt(msgspec.Struct, frozen=True):
    """An ended run; ``number`` counts the ends of an incarnation."""

    number: int
    attempt: AttemptKey
    outcome: AttemptOutcome
    saved: str


class PollReply(msgspec.Struct, frozen=True):
    """A worker's answer to a look: its clock, its runs and its ends."""

    born: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]


class Findings(msgspec.Struct):
    """What a look tells: ends to record and runs that must be stopped.

    ``missing`` are runs whose start got no answer and that are not there:
    a late order may still start them until a stop is confirmed.
    """

    ends: list[AttemptResult] = msgspec.field(default_factory=list)
    strays: list[AttemptKey] = msgspec.field(default_factory=list)
    missing: list[AttemptKey] = msgspec.field(default_factory=list)
    newest_end: int = 0


class _Order(msgspec.Struct):
    answered_at: float | None = None
    is_unanswered: bool = False
    withdrawn_at: float | None = None


class WorkerSession:
    """Lease, fence and open orders of one incarnation of a worker."""

    def __init__(
        self,
        info: WorkerInfo,
        fence: int,
        max_lease_s: float,
        now: float,
    ) -> None:
        self.info = info
        self.fence = fence
        self.last_seen = 0
        self.heard_at: float | None = None
        # An earlier leader may have granted a lease just before now.
        self.dead_after = now + max_lease_s / (1 - CLOCK_DRIFT) + LEASE_MARGIN_S
        self._lease_s = max_lease_s * LEASE_SHARE
        self._clock_ms = 0
        self._clock_at = now
        self._is_clock_known = False
        self._sick_until = now
        self._order_by_run: dict[AttemptKey, _Order] = {}

    @property
    def is_fenced(self) -> bool:
        """Tell whether the worker has answered under this fence."""
        return self.heard_at is not None

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may be sent."""
        return (
            not self._is_silent(now)
            and now >= self._sick_until
            and not self.info.is_draining
        )

    def _is_silent(self, now: float) -> bool:
        return self.heard_at is None or now >= self.heard_at + SILENT_S

    def is_dead(self, now: float) -> bool:
        """Tell whether every lease has surely lapsed."""
        return now >= self.dead_after

    def rest(self, now: float) -> None:
        """Send no work for a moment after a refusal as unhealthy."""
        self._sick_until = now + SICK_S

    def lease_until_ms(self, now: float) -> int | None:
        """Return the end of a lease granted now, on the worker's clock.

        None while the clock is not known, and for a worker that has been
        silent: a call that gets no answer may still have been carried out,
        so each one would put off the time at which its leases have lapsed.
        """
        if not self._is_clock_known or self._is_silent(now):
            return None
        passed_ms = max(now - self._clock_at, 0) * _MS
        until_ms = int(self._clock_ms + passed_ms + self._lease_s * _MS)
        length_s = (until_ms - self._clock_ms) / _MS / (1 - CLOCK_DRIFT)
        lapsed_at = self._clock_at + length_s + LEASE_MARGIN_S
        self.dead_after = max(self.dead_after, lapsed_at)
        return until_ms

    def note_clock(self, clock_ms: int, received_at: float) -> None:
        """Take the worker's clock from an answer."""
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_at = received_at
            self._is_clock_known = True

    # Orders.

    def order(self, run: AttemptKey) -> None:
        """Record that a start is on its way."""
        self._order_by_run[run] = _Order()

    def answered(self, run: AttemptKey, now: float) -> None:
        """Record that the worker confirmed a start."""
        order = self._order_by_run.get(run)
        if order is not None:
            order.answered_at = now

    def unanswered(self, run: AttemptKey) -> None:
        """Record that no try of a start was answered."""
        order = self._order_by_run.get(run)
        if order is not None:
            order.is_unanswered = True

    def withdrawn(self, run: AttemptKey, now: float) -> None:
        """Record that the worker confirmed a stop; no late start follows."""
        order = self._order_by_run.setdefault(run, _Order())
        order.withdrawn_at = now

    # Looks.

    def on_view(
        self,
        view: PollReply,
        expected: typing.Iterable[AttemptKey],
        sent_at: float,
        now: float,
    ) -> Findings:
        """Compare a look that was sent at a time with the expected runs."""
        first = not self.is_fenced
        self.heard_at = now
        self.note_clock(view.clock_ms, now)
        findings = Findings()
        running = {row.attempt for row in view.running}
        ended = {row.attempt: row for row in view.ended}
        findings.newest_end = max(
            (row.number for row in view.ended), default=self.last_seen
        )
        wanted = set(expected)
        for run in wanted:
            row = ended.get(run)
            if row is not None:
                findings.ends.append(self._end(run, row.outcome, row.saved))
            elif run not in running:
                self._settle_absent(run, first, sent_at, findings)
        findings.strays.extend(running - wanted)
        for ending in findings.ends:
            self._order_by_run.pop(ending.attempt, None)
        return findings

    def _settle_absent(
        self, run: AttemptKey, first: bool, sent_at: float, findings: Findings
    ) -> None:
        if self._is_settled(run, first, sent_at):
            findings.ends.append(self._end(run, AttemptOutcome.LOST, ''))
            return
        order = self._order_by_run.get(run)
        if order and order.is_unanswered and order.withdrawn_at is None:
            findings.missing.append(run)

    def _is_settled(self, run: AttemptKey, first: bool, sent_at: float) -> bool:
        order = self._order_by_run.get(run)
        if order is None:
            # Ordered under an earlier fence, which no longer starts anything.
            return True
        if first:
            return False
        return any(
            at is not None and at <= sent_at
            for at in (order.answered_at, order.withdrawn_at)
        )

    def _end(
        self, run: AttemptKey, how: AttemptOutcome, saved: str
    ) -> AttemptResult:
        return AttemptResult(run, self.info.id, how, saved)
