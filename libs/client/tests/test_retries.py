"""Tests of the pauses between tries and of what a caller is told at last."""

import random
import typing

import msgspec

from cassiahold.client.connection import GatewayConnection
from cassiahold.client.retries import (
    MAX_BACKOFF_S,
    MAX_PAUSE_S,
    Retries,
    parse_retry_after,
)
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    RetryAdvice,
    RetryAfter,
)
from cassiahold.core.testing import expect_error, function_tests

NOW = 10.0
LOST = CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no response')


def new_retries(timeout_s: float = 100.0) -> Retries:
    return Retries(NOW + timeout_s, random.Random(1))


def refused(
    delay_s: float | None = None, kind: ErrorKind = ErrorKind.OVERLOADED
) -> CassiaholdError:
    error = CassiaholdError(kind, 'refused')
    if delay_s is not None:
        error.retry_after = RetryAfter(delay_s)
    return error


def test_no_try_begins_before_the_given_pause() -> None:
    pauses = [new_retries().pause_s(refused(2.0), NOW)]
    retries = new_retries()
    pauses += [retries.pause_s(refused(2.0), NOW) for _ in range(100)]
    assert min(pauses) >= 2.0
    assert max(pauses) < 2.5
    assert len(set(pauses)) > 50


def test_long_pause_of_a_gateway_is_capped() -> None:
    assert new_retries().pause_s(refused(900.0), NOW) < 1.3 * MAX_PAUSE_S


def test_no_try_begins_after_the_deadline() -> None:
    expect_error(
        ErrorKind.OVERLOADED,
        lambda: new_retries(2.0).pause_s(refused(2.0), NOW),
    )
    assert new_retries(2.0).pause_s(refused(1.95), NOW) < 2.0


def test_pauses_without_a_time_grow_up_to_a_limit() -> None:
    retries = new_retries()
    pauses = [retries.pause_s(refused(), NOW) for _ in range(50)]
    assert max(pauses[:2]) < 0.8
    assert max(pauses) > 3.0
    assert max(pauses) < 1.3 * MAX_BACKOFF_S


def test_hopeless_request_is_not_repeated() -> None:
    error = refused(kind=ErrorKind.NO_QUORUM)
    error.retry_advice = RetryAdvice.DO_NOT_RETRY
    expect_error(ErrorKind.NO_QUORUM, lambda: new_retries().pause_s(error, NOW))


def test_refusal_after_a_lost_response_is_not_reported_as_not_run() -> None:
    retries = new_retries(2.0)
    retries.pause_s(LOST, NOW)
    expect_error(
        ErrorKind.OUTCOME_UNKNOWN, lambda: retries.pause_s(refused(5.0), NOW)
    )


class Response(msgspec.Struct):
    """The parts of a response that a connection reads."""

    status: int
    headers: dict[str, str]
    data: bytes = b'{"error": "no_quorum", "retry": "do not retry"}'


class ScriptedConnection(GatewayConnection):
    """A connection to two gateways with prepared outcomes, in order."""

    def __init__(self, *outcomes: typing.Any) -> None:
        super().__init__(['a:1', 'b:1'])
        self._outcomes = list(outcomes)

    def _send_once(self, *_: typing.Any) -> typing.Any:
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, CassiaholdError):
            raise outcome
        return outcome


REFUSAL = Response(503, {'Cassiahold-Ran': 'not run', 'Retry-After': '3'})


def test_second_gateway_does_not_deny_what_the_first_may_have_done() -> None:
    connection = ScriptedConnection(LOST, REFUSAL)
    error = expect_error(
        ErrorKind.OUTCOME_UNKNOWN,
        lambda: connection.request_json('POST', '/v1/jobs', {}),
    )
    assert error.retry_after == RetryAfter(3.0, 3)


def test_read_is_refused_as_such_after_a_lost_response() -> None:
    connection = ScriptedConnection(LOST, REFUSAL)
    expect_error(
        ErrorKind.NO_QUORUM,
        lambda: connection.request_json('GET', '/v1/jobs/1'),
    )


def test_pause_and_advice_are_read_from_the_response() -> None:
    connection = ScriptedConnection(REFUSAL)
    error = expect_error(
        ErrorKind.NO_QUORUM,
        lambda: connection.request_json('POST', '/v1/jobs', {}),
    )
    assert error.retry_after == RetryAfter(3.0, 3)
    assert error.retry_advice is RetryAdvice.DO_NOT_RETRY


def test_every_form_of_the_header_is_understood() -> None:
    assert parse_retry_after('250', '1', 0.0) == RetryAfter(0.25)
    assert parse_retry_after('', '2', 0.0) == RetryAfter(2.0, 2)
    date = 'Thu, 01 Jan 1970 00:00:10 GMT'
    assert parse_retry_after('', date, 4.0) == RetryAfter(6.0)
    assert parse_retry_after('', date, 40.0) == RetryAfter(0.0)
    assert parse_retry_after('', 'soon', 0.0) is None
    assert parse_retry_after('', '', 0.0) is None


load_tests = function_tests(globals())
