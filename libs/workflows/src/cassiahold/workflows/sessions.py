"""The leader's session with one worker: leases, polls and sent starts.

The leader polls each worker.  A poll renews the worker's lease and returns its
running and ended attempts.  A session belongs to one leader, one term and one
incarnation of the worker, and its fence (fencing token) rejects requests of
earlier sessions.

Times are seconds of the leader's steady clock; ``clock_ms`` is the worker's
own clock in milliseconds.
"""

import math
import typing

import msgspec

from cassiahold.workflows.commands import AttemptResult
from cassiahold.workflows.crashes import (
    RECENT_START_S,
    CrashEvidence,
    weigh_crash,
)
from cassiahold.workflows.leases import WorkerLeases
from cassiahold.workflows.model import AttemptKey, AttemptOutcome, WorkerInfo

SILENCE_TIMEOUT_S: typing.Final = 1.5  # no new work without a reply this long
# Less than a worker takes to restart, run an attempt and list its end.
ACKNOWLEDGEMENT_WINDOW_S: typing.Final = 0.5
# Longer than a start is tried and its first stop takes to be confirmed.
UNSETTLED_START_S: typing.Final = 2.0
UNHEALTHY_PAUSE_S: typing.Final = 1.0  # after a refusal as unhealthy


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt in progress, its newest checkpoint and its progress."""

    attempt: AttemptKey
    checkpoint: str
    percent: int


class EndedAttempt(msgspec.Struct, frozen=True):
    """An ended attempt; ``end_number`` counts the ends of an incarnation."""

    end_number: int
    attempt: AttemptKey
    outcome: AttemptOutcome
    checkpoint: str


class PollReply(msgspec.Struct, frozen=True):
    """A worker's reply to a poll: its clock, running and ended attempts.

    ``incarnation`` is 0 when the worker did not report it.  ``has_more_ends``
    is set when further ends may follow once these are acknowledged.
    """

    incarnation: int
    clock_ms: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    has_more_ends: bool = False


class PollFindings(msgspec.Struct):
    """Conclusions from a poll: results to record and attempts to stop.

    ``missing_attempts`` got no reply to their start and are not listed by the
    worker: a delayed start request may still start them until a stop is
    confirmed.  ``listed_attempts`` are those that the worker lists for the
    first time, as running or ended.  ``unmatched_ends`` are newly listed ends
    of attempts that are not expected.
    """

    results: list[AttemptResult] = msgspec.field(default_factory=list)
    unexpected_attempts: list[AttemptKey] = msgspec.field(default_factory=list)
    missing_attempts: list[AttemptKey] = msgspec.field(default_factory=list)
    listed_attempts: list[AttemptKey] = msgspec.field(default_factory=list)
    unmatched_ends: list[EndedAttempt] = msgspec.field(default_factory=list)
    newest_end_number: int = 0


class _StartState(msgspec.Struct):
    """What is known of a start; ``is_superseded`` under a higher fence."""

    sent_at: float = -math.inf
    confirmed_at: float | None = None
    has_no_reply: bool = False
    is_refused: bool = False
    is_superseded: bool = False
    is_listed: bool = False
    stop_confirmed_at: float | None = None


class WorkerSession:
    """Lease, fence and sent starts of one incarnation of a worker."""

    def __init__(
        self,
        info: WorkerInfo,
        fence: int,
        max_lease_s: float,
        now: float,
    ) -> None:
        self.info = info
        self.fence = fence
        self.last_stored_end = 0
        self.last_reply_at: float | None = None
        self._acknowledge_until = now
        self._first_listed_end: float = math.inf
        self._leases = WorkerLeases(max_lease_s, now)
        self._paused_until = now
        self.is_failing = False
        # Forgotten when the worker runs on.
        self.deregistered_at: float | None = None
        self._has_unexpected_attempts = False
        self._alive_at = -math.inf
        self._start_by_attempt: dict[AttemptKey, _StartState] = {}

    @property
    def has_deregistered(self) -> bool:
        """Tell whether the worker said that it leaves, and may have left."""
        return self.deregistered_at is not None

    @property
    def has_replied(self) -> bool:
        """Tell whether the worker has replied to a poll with this fence."""
        return self.last_reply_at is not None

    def has_just_replied(self, now: float) -> bool:
        """Tell whether the worker was certainly alive a moment ago."""
        return now < self._alive_at + RECENT_START_S

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may be sent to the worker."""
        return (
            not self.is_failing
            and not self._has_unexpected_attempts
            and not self._is_silent(now)
            and now >= self._paused_until
            and not self.info.is_draining
        )

    def _is_silent(self, now: float) -> bool:
        return (
            self.last_reply_at is None
            or now >= self.last_reply_at + SILENCE_TIMEOUT_S
        )

    def raise_fence(self, fence: int) -> None:
        """Go on under a higher fence, after a reply and before the next poll.

        The worker rejects from its next reply on what was sent before, so that
        reply settles all earlier starts.  No work is sent until then.
        """
        self.fence = fence
        self.last_reply_at = None
        for start in self._start_by_attempt.values():
            start.is_superseded = True

    def has_unsettled_start(
        self, missing_attempts: typing.Iterable[AttemptKey], now: float
    ) -> bool:
        """Tell whether stops have failed to settle a missing attempt."""
        return any(
            now >= self._start_by_attempt[attempt].sent_at + UNSETTLED_START_S
            for attempt in missing_attempts
        )

    def has_expired(
        self, now: float, attempts: typing.Iterable[AttemptKey]
    ) -> bool:
        """Tell whether every lease has expired under which attempts may run.

        For a worker that has deregistered, those of the known incarnation
        count, unless the start of an attempt may still reach another one.
        """
        if self.has_deregistered and not self._is_any_in_doubt(attempts):
            return self._leases.have_expired_at_known_incarnation(now)
        return self._leases.have_expired(now)

    def _is_any_in_doubt(self, attempts: typing.Iterable[AttemptKey]) -> bool:
        """Tell whether it is not known if the start of an attempt arrived."""
        starts = map(self._start_by_attempt.get, attempts)
        return any(
            start is not None
            and start.confirmed_at is None
            and not start.is_refused
            for start in starts
        )

    def pause(self, now: float) -> None:
        """Send no new work for a while after a refusal as unhealthy."""
        self._paused_until = now + UNHEALTHY_PAUSE_S

    def lease_until_ms(self, now: float) -> int | None:
        """Return the end of a lease granted now, on the worker's clock.

        Returns None while the clock is not known, and for a silent worker:
        a request without a reply may still have been carried out, so each one
        would postpone the time at which all its leases have expired.  A
        worker that leaves counts as silent as soon as a poll fails.
        """
        is_leaving = self.has_deregistered or self.info.is_draining
        if not self._leases.is_clock_known or self._is_silent(now):
            return None
        if is_leaving and self.is_failing:
            return None
        return self._leases.grant(now, is_leaving=is_leaving)

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Record the worker's clock from a reply; ignore older readings."""
        self._leases.record_clock(clock_ms, received_at)

    # Starts and stops.

    def record_start_sent(self, attempt: AttemptKey, now: float) -> None:
        """Record that a start is about to be sent."""
        self._start_by_attempt[attempt] = _StartState(now)

    def record_start_confirmed(self, attempt: AttemptKey, now: float) -> None:
        """Record that the worker confirmed a start."""
        start = self._start_by_attempt.get(attempt)
        if start is not None:
            start.confirmed_at = now
            # The reply may have been reported late.
            self._alive_at = max(self._alive_at, start.sent_at)

    def record_start_without_reply(self, attempt: AttemptKey) -> None:
        """Record that none of the tries to send a start got a reply."""
        start = self._start_by_attempt.get(attempt)
        if start is not None:
            start.has_no_reply = True

    def has_listed(self, attempt: AttemptKey) -> bool:
        """Tell whether the worker has listed an attempt that was sent."""
        start = self._start_by_attempt.get(attempt)
        return start is None or start.is_listed

    def record_start_refused(self, attempt: AttemptKey) -> None:
        """Record that a start was certainly not carried out."""
        start = self._start_by_attempt.get(attempt)
        if start is not None:
            start.is_refused = True

    def record_start_not_sent(self, attempt: AttemptKey) -> None:
        """Record that a start that is stored will not be sent."""
        self._start_by_attempt[attempt] = _StartState(is_refused=True)

    def record_stop_confirmed(self, attempt: AttemptKey, now: float) -> None:
        """Record that the worker confirmed a stop.

        A delayed start request has no effect from the first confirmation on.
        Later ones must not move that time: stops are repeated while the
        attempt is not known to have ended, and each would be confirmed after
        the poll that could show its end was sent.
        """
        start = self._start_by_attempt.setdefault(attempt, _StartState())
        if start.stop_confirmed_at is None:
            start.stop_confirmed_at = now

    # Polls.

    def end_to_acknowledge(self, now: float) -> int:
        """Return the number up to which the worker may discard its ends.

        Each incarnation numbers its ends anew, and a poll cannot say which
        one it means.  So ends are acknowledged only right after a reply: a
        later poll may reach an incarnation that has restarted unnoticed and
        would discard ends that nobody has read.  Returns 0, which discards
        nothing, until the next reply, and after a reply that listed no stored
        end: its worker has discarded them all.
        """
        if now >= self._acknowledge_until:
            return 0
        is_listed = self._first_listed_end <= self.last_stored_end
        return self.last_stored_end if is_listed else 0

    def record_poll_failed(self) -> None:
        """Record that a poll got no reply: the worker may have restarted.

        The worker gets no new work until it replies to a poll.
        """
        self.record_unreachable()
        self._acknowledge_until = 0.0

    def record_unreachable(self) -> None:
        """Record that no connection to the worker could be established.

        The worker gets no new work until it replies to a poll.
        """
        self.is_failing = True

    def weigh_crash(
        self,
        attempts: typing.Iterable[AttemptKey],
        suspect_attempts: typing.Container[AttemptKey] = (),
    ) -> dict[AttemptKey, CrashEvidence]:
        """Return the evidence of this incarnation's crash by attempt."""
        sent_at_by_attempt = {
            attempt: start.sent_at
            for attempt, start in self._start_by_attempt.items()
        }
        evidence_by_attempt = dict.fromkeys(attempts, CrashEvidence.NONE)
        started = [
            attempt
            for attempt in evidence_by_attempt
            if not self._is_refused(attempt)
        ]
        evidence_by_attempt.update(
            weigh_crash(
                started, sent_at_by_attempt, self._alive_at, suspect_attempts
            )
        )
        return evidence_by_attempt

    def _is_refused(self, attempt: AttemptKey) -> bool:
        start = self._start_by_attempt.get(attempt)
        return start is not None and start.is_refused

    def reconcile(
        self,
        reply: PollReply,
        expected_attempts: typing.Iterable[AttemptKey],
        sent_at: float,
        now: float,
    ) -> PollFindings:
        """Compare the reply to a poll with the attempts expected to run.

        ``sent_at`` is when the poll was sent: only starts and stops that were
        confirmed before then are sure to be reflected in the reply.
        """
        is_first_reply = not self.has_replied
        self.last_reply_at = now
        self._alive_at = now
        self.is_failing = False
        self._acknowledge_until = now + ACKNOWLEDGEMENT_WINDOW_S
        self._first_listed_end = min(
            (row.end_number for row in reply.ended), default=math.inf
        )
        self.record_clock(reply.clock_ms, now)
        findings = PollFindings()
        running_attempts = {row.attempt for row in reply.running}
        ended_by_attempt = {row.attempt: row for row in reply.ended}
        findings.newest_end_number = max(
            (row.end_number for row in reply.ended),
            default=self.last_stored_end,
        )
        expected = set(expected_attempts)
        for attempt in expected:
            ended_attempt = ended_by_attempt.get(attempt)
            if ended_attempt is not None:
                findings.results.append(
                    self._result(
                        attempt, ended_attempt.outcome, ended_attempt.checkpoint
                    )
                )
            elif attempt not in running_attempts and not reply.has_more_ends:
                self._classify_absent(
                    attempt, is_first_reply, sent_at, findings
                )
        findings.unexpected_attempts.extend(running_attempts - expected)
        listed = running_attempts.union(ended_by_attempt)
        findings.listed_attempts.extend(
            attempt
            for attempt in expected & listed
            if self._record_listed(attempt, now)
        )
        findings.unmatched_ends.extend(
            ended
            for ended in reply.ended
            if ended.attempt not in expected
            and ended.end_number > self.last_stored_end
        )
        # They fill capacity that is not allocated.
        self._has_unexpected_attempts = bool(findings.unexpected_attempts)
        for result in findings.results:
            self._start_by_attempt.pop(result.attempt, None)
        return findings

    def _record_listed(self, attempt: AttemptKey, now: float) -> bool:
        """Record that an attempt was listed; tell whether that is new."""
        start = self._start_by_attempt.get(attempt)
        if start is None or start.is_listed:
            return False
        start.is_listed = True
        if start.confirmed_at is None:
            start.confirmed_at = now
        return True

    def _classify_absent(
        self,
        attempt: AttemptKey,
        is_first_reply: bool,
        sent_at: float,
        findings: PollFindings,
    ) -> None:
        if self._has_ended(attempt, is_first_reply, sent_at):
            findings.results.append(
                self._result(attempt, AttemptOutcome.LOST, '')
            )
            return
        start = self._start_by_attempt.get(attempt)
        if start and start.has_no_reply and start.stop_confirmed_at is None:
            findings.missing_attempts.append(attempt)

    def _has_ended(
        self, attempt: AttemptKey, is_first_reply: bool, sent_at: float
    ) -> bool:
        start = self._start_by_attempt.get(attempt)
        if start is None or start.is_superseded:
            # Sent under an earlier fence, which the worker rejects by now.
            return True
        if is_first_reply:
            return False
        return start.is_refused or any(
            confirmed_at is not None and confirmed_at <= sent_at
            for confirmed_at in (start.confirmed_at, start.stop_confirmed_at)
        )

    def _result(
        self, attempt: AttemptKey, outcome: AttemptOutcome, checkpoint: str
    ) -> AttemptResult:
        return AttemptResult(attempt, self.info.id, outcome, checkpoint)
