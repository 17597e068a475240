"""Tests of the timeouts that are derived from workers' reply times."""

from cassiahold.cell.reply_times import MIN_TIMEOUT_S, ReplyTimes
from cassiahold.cell.settings import REQUEST_TIMEOUT_S
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests

W = WorkerId('w')


def make_reply_times(*reply_times_s: float) -> ReplyTimes:
    reply_times = ReplyTimes()
    for reply_s in reply_times_s:
        reply_times.record(W, reply_s)
    return reply_times


def test_worker_that_never_replied_has_the_longest_timeout() -> None:
    assert ReplyTimes().timeout_s(W) == REQUEST_TIMEOUT_S


def test_fast_worker_has_a_short_timeout() -> None:
    assert make_reply_times(*[0.005] * 20).timeout_s(W) == MIN_TIMEOUT_S


def test_timeout_follows_a_worker_that_gets_slower() -> None:
    reply_times = make_reply_times(*[0.005] * 20, *[0.15] * 20)
    assert 0.15 < reply_times.timeout_s(W) <= REQUEST_TIMEOUT_S


def test_later_tries_wait_longer_up_to_the_longest_timeout() -> None:
    # The worker may be slower than all replies so far.
    reply_times = make_reply_times(*[0.005] * 20)
    timeouts_s = [reply_times.timeout_s(W, tries) for tries in range(8)]
    assert timeouts_s == sorted(timeouts_s)
    assert timeouts_s[0] == MIN_TIMEOUT_S
    assert timeouts_s[-1] == REQUEST_TIMEOUT_S


load_tests = function_tests(globals())
