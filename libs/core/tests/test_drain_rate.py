"""Tests of the estimate of the requests served per second."""

from cassiahold.core.drain_rate import DECAY_S, DrainRate
from cassiahold.core.testing import function_tests


def test_quiet_time_does_not_lower_the_drain_rate_at_once() -> None:
    rate = DrainRate()
    assert rate.rate_per_s(0.0) == 0
    for number in range(200):
        rate.record_completion(number / 100)
    for number in range(10):
        rate.record_completion(2.0 + number)
    assert 80 <= rate.rate_per_s(12.0) <= 100
    assert rate.rate_per_s(12.0 + 3 * DECAY_S) < 10


load_tests = function_tests(globals())
