"""Tests of leases, fences and unanswered orders of one worker."""

from state_fixtures import run, worker

from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import RunEnd
from cassiahold.workflows.sessions import (
    EndedRow,
    RunningRow,
    WorkerSession,
    WorkerView,
)

MAX_LEASE_S = 6.0


def session(now: float = 0.0) -> WorkerSession:
    return WorkerSession(worker('w'), 7, MAX_LEASE_S, now)


def view(*running: object, ended: tuple[EndedRow, ...] = ()) -> WorkerView:
    rows = tuple(RunningRow(key, '', 0) for key in running)  # type: ignore
    return WorkerView(1, 1000, rows, ended)


def test_no_work_before_the_worker_answered_under_the_fence() -> None:
    known = session()
    assert not known.is_usable(0.0)
    known.reconcile(view(), (), 0.0, 0.1)
    assert known.is_usable(0.2)
    assert not known.is_usable(3.0)


def test_runs_of_an_earlier_leader_are_settled_by_the_first_look() -> None:
    known = session()
    kept, lost = run('j', 0, 0), run('j', 0, 1)
    findings = known.reconcile(view(kept), (kept, lost), 0.0, 0.1)
    assert [(end.run, end.outcome) for end in findings.results] == [
        (lost, RunEnd.LOST)
    ]


def test_an_unanswered_start_may_be_running_until_it_is_withdrawn() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    late = run('j', 0, 0)
    known.record_start_sent(late)
    assert not known.reconcile(view(), (late,), 0.5, 0.6).results
    known.record_stop_confirmed(late, 1.0)
    assert not known.reconcile(view(), (late,), 0.9, 1.1).results
    findings = known.reconcile(view(), (late,), 1.2, 1.3)
    assert findings.results[0].outcome is RunEnd.LOST


def test_a_withdrawn_run_that_began_after_all_still_holds_its_room() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    late = run('j', 0, 0)
    known.record_start_sent(late)
    known.record_stop_confirmed(late, 1.0)
    assert not known.reconcile(view(late), (late,), 1.2, 1.3).results


def test_an_unanswered_start_is_withdrawn_until_that_is_answered() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    late = run('j', 0, 0)
    known.record_start_sent(late)
    assert not known.reconcile(view(), (late,), 0.5, 0.6).missing_attempts
    known.record_start_without_reply(late)
    # Neither the start nor the first stop reached the worker.
    for sent_at in (1.0, 9.0):
        findings = known.reconcile(view(), (late,), sent_at, sent_at + 0.1)
        assert findings.missing_attempts == [late]
    known.record_stop_confirmed(late, 10.0)
    assert not known.reconcile(view(), (late,), 9.9, 10.1).missing_attempts
    assert known.reconcile(view(), (late,), 10.2, 10.3).results


def test_listed_ends_are_reported_and_strays_are_stopped() -> None:
    known = session()
    done, stray = run('j', 0, 0), run('x', 0, 0)
    findings = known.reconcile(
        view(stray, ended=(EndedRow(3, done, RunEnd.DONE, 's'),)),
        (done,),
        0.0,
        0.1,
    )
    assert [(end.run, end.outcome) for end in findings.results] == [
        (done, RunEnd.DONE)
    ]
    assert findings.unexpected_attempts == [stray]
    assert findings.newest_end_number == 3


def test_a_new_leader_waits_for_leases_it_does_not_know() -> None:
    known = session(now=10.0)
    assert not known.has_expired(10.0 + MAX_LEASE_S)
    assert known.has_expired(10.0 + MAX_LEASE_S * 1.1)


def test_every_granted_lease_is_waited_for() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    # An answer that was overtaken keeps the old sample of the clock.
    known.reconcile(WorkerView(1, 900, (), ()), (), 19.0, 19.5)
    until_ms = known.lease_until_ms(20.0)
    assert until_ms is not None
    assert until_ms <= 1000 + (20.0 - 0.1 + MAX_LEASE_S) * 1000
    # The worker's clock may run 2% slow while the lease lasts.
    slow_s = 0.1 + (until_ms - 1000) / 1000 / 0.98
    assert not known.has_expired(slow_s)


def test_a_worker_that_stays_silent_is_given_up_while_it_is_looked_at() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    now = 0.1
    while now < 12.0:
        known.lease_until_ms(now)
        now += 0.1
    # The last lease was granted at most 1.5 s after the last answer.
    assert known.has_expired(1.7 + MAX_LEASE_S)


def test_a_worker_that_answers_again_gets_leases_again() -> None:
    known = session()
    known.reconcile(view(), (), 0.0, 0.1)
    assert known.lease_until_ms(1.0) is not None
    assert known.lease_until_ms(3.0) is None
    known.reconcile(view(), (), 3.1, 3.2)
    assert known.lease_until_ms(3.3) is not None


load_tests = function_tests(globals())
