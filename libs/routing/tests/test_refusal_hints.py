"""Tests of what a process tells about later tries at a leader."""

import math

from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.core.testing import function_tests
from cassiahold.routing.refusal_hints import RefusalHints


def completed(
    error: CassiaholdError, outage_s: float = 0.0, replies: int = 0
) -> RetryHint | None:
    hints = RefusalHints(election_s=1.0, min_rate_per_s=5.0)
    for number in range(replies):
        hints.record_reply(number / 10)
    hints.complete(error, outage_s, 2.0)
    return error.hint


def test_callers_do_not_return_in_the_middle_of_an_election() -> None:
    hint = completed(CassiaholdError(ErrorKind.NO_QUORUM, ''), 0.5)
    assert hint is not None
    assert hint.earliest_s == 1.5


def test_returns_are_not_booked_on_the_share_of_other_processes() -> None:
    refused = CassiaholdError(ErrorKind.OVERLOADED, '', RetryHint(0.4, 500.0))
    hint = completed(refused, replies=20)
    assert hint is not None
    assert hint.earliest_s == 0.4
    assert math.isclose(hint.drain_rate_per_s, 10, rel_tol=0.2)


def test_quiet_process_does_not_hold_back_its_callers() -> None:
    """Few replies say little about how many there could have been."""
    hints = RefusalHints(election_s=1.0, min_rate_per_s=5.0)
    for now in range(4):
        hints.record_reply(float(now))
    error = CassiaholdError(ErrorKind.NO_QUORUM, '')
    hints.complete(error, 0.0, 4.0)
    assert error.hint is not None
    assert error.hint.drain_rate_per_s == 5.0


def test_errors_of_the_request_get_no_hint() -> None:
    assert completed(CassiaholdError(ErrorKind.NOT_FOUND, '')) is None


load_tests = function_tests(globals())
