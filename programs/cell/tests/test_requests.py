"""Tests of the requests between the cell's processes."""

from cassiahold.cell import requests
from cassiahold.core.testing import function_tests


def test_one_key_is_one_flow_and_heartbeats_are_another() -> None:
    """A team's burst must not push out other teams or the cell's own calls."""
    flows = {
        requests.request_flow(requests.GetWork('host', '/queue/1', 'red')),
        requests.request_flow(requests.CancelWork('host', '/queue/2', 'red')),
        requests.request_flow(requests.GetWork('host', '/queue/1', 'blue')),
        requests.request_flow(requests.OfferHelp('')),
    }
    assert len(flows) == 3


load_tests = function_tests(globals())
