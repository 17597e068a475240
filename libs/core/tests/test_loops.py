"""Tests of the steps of loops that no error may end."""

from unittest import mock

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.loops import run_step
from cassiahold.core.testing import function_tests


def logged_kind(exc: Exception) -> object:
    with mock.patch('cassiahold.core.logs.error') as log:
        assert run_step('renewal', mock.Mock(side_effect=exc)) is None
    return log.call_args.kwargs['kind']


def test_failed_step_is_logged_with_the_kind_of_its_error() -> None:
    assert logged_kind(TimeoutError('late')) == 'TimeoutError'
    no_quorum = CassiaholdError(ErrorKind.NO_QUORUM, 'none')
    assert logged_kind(no_quorum) == 'no_quorum'


load_tests = function_tests(globals())
