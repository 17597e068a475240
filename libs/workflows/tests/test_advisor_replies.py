"""Tests of the number of workers in a query to an advisor."""

from cassiahold.core.ids import QueueName, ServiceName
from cassiahold.core.testing import function_tests
from cassiahold.workflows.advisor_replies import (
    MAX_WORKERS_PER_QUERY,
    AdvisorReplyCache,
)
from cassiahold.workflows.configuration import AdvisorPolicy, QueuePolicy


def make_queue(decision_s: float, per_worker_s: float) -> QueuePolicy:
    return QueuePolicy(
        QueueName('q'),
        'h',
        '/q/',
        ServiceName('s'),
        advisor=AdvisorPolicy(decision_s, per_worker_s, 1.0),
    )


def test_advisor_with_extreme_durations_does_not_end_the_planning() -> None:
    """An infinite number of workers ended each leader in turn."""
    cache = AdvisorReplyCache()
    for decision_s, per_worker_s in ((3e7, 5e-324), (1e300, 1e-300)):
        queue = make_queue(decision_s, per_worker_s)
        assert cache.workers_per_query(queue, 1) == MAX_WORKERS_PER_QUERY
    assert cache.workers_per_query(make_queue(1e300, 1e307), 1) == 4
    assert cache.workers_per_query(make_queue(1.0, 0.01), 1) == 20


load_tests = function_tests(globals())
