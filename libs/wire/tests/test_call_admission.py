"""Tests of the admission of calls to a busy server."""

from cassiahold.core.testing import function_tests
from cassiahold.wire.call_admission import CallAdmission


def begin(admission: CallAdmission, flow: str, count: int) -> int:
    """Try to begin calls and return how many are admitted."""
    return sum(admission.try_begin(flow) for _ in range(count))


def test_burst_of_one_flow_leaves_places_for_the_others() -> None:
    admission = CallAdmission(112, has_flows=True)
    assert begin(admission, 'red', 500) == 98
    assert begin(admission, 'blue', 5) == 5
    assert begin(admission, 'heartbeat', 5) == 5
    assert begin(admission, 'red', 500) == 0


def test_reserved_places_are_shared_fairly() -> None:
    admission = CallAdmission(80, has_flows=True)
    for flow in ('red', 'blue', 'green'):
        begin(admission, flow, 20)
    assert begin(admission, 'red', 500) == 10
    assert begin(admission, 'blue', 500) == 6
    assert begin(admission, 'green', 500) == 4
    assert begin(admission, 'white', 1) == 0


def test_all_places_are_open_without_flows() -> None:
    admission = CallAdmission(3, has_flows=False)
    assert begin(admission, '', 8) == 3


def test_ended_calls_free_their_places() -> None:
    admission = CallAdmission(16, has_flows=True)
    for _ in range(5):
        assert begin(admission, 'red', 500) == 14
        for _ in range(14):
            admission.end('red')


load_tests = function_tests(globals())
