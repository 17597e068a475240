"""Tests of the ids of jobs, which are parts of the names of their tasks."""

from leader_fixtures import SPEC, make_leader, submit

from cassiahold.cell import requests
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.testing import expect_error, function_tests


def test_job_with_a_malformed_id_is_refused() -> None:
    """The tasks of a job with a dot in its id were started again and again.

    Workers list them under names that cannot be told apart.
    """
    leader = make_leader('w')
    for job in ('', 'a.b', 'a/b', 'a b', 'a\n', '\xe9', 'x' * 65):
        request = requests.SubmitWork('h', f'/q/{job}', 'key', SPEC)
        expect_error(
            ErrorKind.BAD_REQUEST,
            lambda request=request: leader.handle(request),
        )
    assert not leader.service.state.job_by_id
    for job in ('5c0e7a21d94b36f8', 'nightly-build_7'):
        submit(leader, f'/q/{job}')
    assert len(leader.service.state.job_by_id) == 2


load_tests = function_tests(globals())
