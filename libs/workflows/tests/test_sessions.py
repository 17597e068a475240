"""Tests of leases, fences and unconfirmed starts of one worker."""

import msgspec
from state_fixtures import attempt_key, worker_info

from cassiahold.core.testing import function_tests
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.leases import LEASE_MARGIN_S, MAX_CLOCK_DRIFT
from cassiahold.workflows.model import AttemptOutcome
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
    WorkerSession,
)

MAX_LEASE_S = 6.0


def make_session(now: float = 0.0) -> WorkerSession:
    return WorkerSession(worker_info('w'), 7, MAX_LEASE_S, now)


def make_reply(
    *running: object, ended: tuple[EndedAttempt, ...] = ()
) -> PollReply:
    attempts = tuple(
        RunningAttempt(key, '', 0)  # type: ignore
        for key in running
    )
    return PollReply(1, 1000, attempts, ended)


def test_worker_is_unusable_until_it_replies_under_the_fence() -> None:
    session = make_session()
    assert not session.is_usable(0.0)
    session.reconcile(make_reply(), (), 0.0, 0.1)
    assert session.is_usable(0.2)
    assert not session.is_usable(3.0)


def test_first_poll_ends_lost_attempts_of_an_earlier_leader() -> None:
    session = make_session()
    running, lost = attempt_key('j', 0, 0), attempt_key('j', 0, 1)
    findings = session.reconcile(make_reply(running), (running, lost), 0.0, 0.1)
    assert [(end.attempt, end.outcome) for end in findings.results] == [
        (lost, AttemptOutcome.LOST)
    ]


def test_ends_are_acknowledged_only_right_after_a_reply() -> None:
    session = make_session()
    attempt = attempt_key('j', 0, 0)
    ended = EndedAttempt(7, attempt, AttemptOutcome.DONE, '')
    findings = session.reconcile(make_reply(ended=(ended,)), (), 0.0, 0.1)
    session.last_stored_end = findings.newest_end_number
    assert session.end_to_acknowledge(0.2) == 7
    # The leader was suspended: the worker may have restarted meanwhile.
    assert session.end_to_acknowledge(3.0) == 0
    session.reconcile(make_reply(ended=(ended,)), (), 3.0, 3.1)
    assert session.end_to_acknowledge(3.2) == 7
    session.record_poll_failed()
    assert session.end_to_acknowledge(3.2) == 0


def test_ends_that_were_discarded_are_not_acknowledged_again() -> None:
    # A poll carried out late may reach the next incarnation, which numbers
    # its ends anew.
    session = make_session()
    ended = EndedAttempt(7, attempt_key('j', 0, 0), AttemptOutcome.DONE, '')
    session.reconcile(make_reply(ended=(ended,)), (), 0.0, 0.1)
    session.last_stored_end = 7
    session.reconcile(make_reply(), (), 0.2, 0.3)
    assert session.end_to_acknowledge(0.4) == 0
    later = EndedAttempt(8, attempt_key('k', 0, 0), AttemptOutcome.DONE, '')
    session.reconcile(make_reply(ended=(later,)), (), 0.5, 0.6)
    assert session.end_to_acknowledge(0.7) == 0
    session.last_stored_end = 8
    assert session.end_to_acknowledge(0.7) == 8


def test_start_without_reply_may_run_until_stop_is_confirmed() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    assert not session.reconcile(make_reply(), (attempt,), 0.5, 0.6).results
    session.record_stop_confirmed(attempt, 1.0)
    assert not session.reconcile(make_reply(), (attempt,), 0.9, 1.1).results
    findings = session.reconcile(make_reply(), (attempt,), 1.2, 1.3)
    assert findings.results[0].outcome is AttemptOutcome.LOST


def test_repeated_stops_do_not_delay_the_end_of_an_attempt() -> None:
    # A start got no reply.  Each poll that does not list the attempt has
    # another stop sent, which is confirmed just after the next poll was sent.
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    session.record_start_without_reply(attempt)
    session.record_stop_confirmed(attempt, 1.01)
    assert not session.reconcile(make_reply(), (attempt,), 1.0, 2.0).results
    session.record_stop_confirmed(attempt, 2.01)
    findings = session.reconcile(make_reply(), (attempt,), 2.0, 3.0)
    assert [end.outcome for end in findings.results] == [AttemptOutcome.LOST]


def test_running_attempt_does_not_end_by_a_confirmed_stop() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    session.record_stop_confirmed(attempt, 1.0)
    assert not session.reconcile(
        make_reply(attempt), (attempt,), 1.2, 1.3
    ).results


def test_listed_attempt_ends_although_its_start_got_no_reply() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    findings = session.reconcile(make_reply(attempt), (attempt,), 0.3, 0.4)
    assert findings.listed_attempts == [attempt]
    assert session.has_listed(attempt)
    findings = session.reconcile(make_reply(), (attempt,), 0.5, 0.6)
    assert not findings.listed_attempts
    assert [end.outcome for end in findings.results] == [AttemptOutcome.LOST]


def test_start_without_reply_is_missing_until_stop_is_confirmed() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    assert not session.reconcile(
        make_reply(), (attempt,), 0.5, 0.6
    ).missing_attempts
    session.record_start_without_reply(attempt)
    # Neither the start nor the first stop reached the worker.
    for sent_at in (1.0, 9.0):
        findings = session.reconcile(
            make_reply(), (attempt,), sent_at, sent_at + 0.1
        )
        assert findings.missing_attempts == [attempt]
    session.record_stop_confirmed(attempt, 10.0)
    assert not session.reconcile(
        make_reply(), (attempt,), 9.9, 10.1
    ).missing_attempts
    assert session.reconcile(make_reply(), (attempt,), 10.2, 10.3).results


def test_higher_fence_settles_starts_that_got_no_reply() -> None:
    # The stop of such a start was lost for as long as the worker lived.
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    lost, running = attempt_key('j', 0, 0), attempt_key('j', 0, 1)
    for attempt in (lost, running):
        session.record_start_sent(attempt, 0.2)
        session.record_start_without_reply(attempt)
    session.raise_fence(8)
    # Starts under the new fence must not be taken for earlier ones.
    assert not session.is_usable(0.3)
    findings = session.reconcile(make_reply(running), (lost, running), 0.3, 0.4)
    assert [(end.attempt, end.outcome) for end in findings.results] == [
        (lost, AttemptOutcome.LOST)
    ]
    assert not findings.missing_attempts
    assert session.is_usable(0.5)
    later = attempt_key('j', 0, 2)
    session.record_start_sent(later, 0.5)
    findings = session.reconcile(
        make_reply(running), (running, later), 0.45, 0.6
    )
    assert not findings.results


def test_higher_fence_keeps_the_evidence_of_a_crash() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    attempt = attempt_key('j', 0, 0)
    session.record_start_sent(attempt, 0.2)
    session.raise_fence(8)
    session.reconcile(make_reply(attempt), (attempt,), 0.3, 0.4)
    evidence = session.weigh_crash((attempt,))
    assert evidence == {attempt: CrashEvidence.ONLY_RECENT}


def test_listed_ends_and_unexpected_attempts_are_found() -> None:
    session = make_session()
    done, unexpected = attempt_key('j', 0, 0), attempt_key('x', 0, 0)
    findings = session.reconcile(
        make_reply(
            unexpected, ended=(EndedAttempt(3, done, AttemptOutcome.DONE, 's'),)
        ),
        (done,),
        0.0,
        0.1,
    )
    assert [(end.attempt, end.outcome) for end in findings.results] == [
        (done, AttemptOutcome.DONE)
    ]
    assert findings.unexpected_attempts == [unexpected]
    assert findings.newest_end_number == 3


def test_attempt_whose_end_is_behind_a_cut_list_is_not_lost() -> None:
    session = make_session()
    attempt = attempt_key('j', 0, 0)
    other = EndedAttempt(500, attempt_key('k', 0, 0), AttemptOutcome.DONE, '')
    reply = make_reply(ended=(other,))
    cut_reply = msgspec.structs.replace(reply, has_more_ends=True)
    findings = session.reconcile(cut_reply, (attempt,), 0.0, 0.1)
    assert not findings.results
    findings = session.reconcile(reply, (attempt,), 0.2, 0.3)
    assert [end.attempt for end in findings.results] == [attempt]


def test_new_leader_waits_for_leases_of_earlier_leaders() -> None:
    session = make_session(now=10.0)
    assert not session.has_expired(10.0 + MAX_LEASE_S, ())
    assert session.has_expired(10.0 + MAX_LEASE_S * 1.1, ())


def test_session_expires_only_after_every_granted_lease() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    # A delayed reply does not replace a newer reading of the clock.
    session.reconcile(PollReply(1, 900, (), ()), (), 19.0, 19.5)
    until_ms = session.lease_until_ms(20.0)
    assert until_ms is not None
    assert until_ms <= 1000 + (20.0 - 0.1 + MAX_LEASE_S) * 1000
    # The worker's clock may run 2% slow while the lease lasts.
    latest_end_s = 0.1 + (until_ms - 1000) / 1000 / 0.98
    assert not session.has_expired(latest_end_s, ())


def test_polls_without_reply_do_not_extend_the_leases() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    now = 0.1
    while now < 12.0:
        session.lease_until_ms(now)
        now += 0.1
    # The last lease was granted at most 1.5 s after the last reply, and lasts
    # longest on a slow clock.
    longest_lease_s = MAX_LEASE_S / (1 - MAX_CLOCK_DRIFT) + LEASE_MARGIN_S
    assert session.has_expired(1.7 + longest_lease_s, ())


def test_worker_that_replies_again_gets_leases_again() -> None:
    session = make_session()
    session.reconcile(make_reply(), (), 0.0, 0.1)
    assert session.lease_until_ms(1.0) is not None
    assert session.lease_until_ms(3.0) is None
    session.reconcile(make_reply(), (), 3.1, 3.2)
    assert session.lease_until_ms(3.3) is not None


load_tests = function_tests(globals())
