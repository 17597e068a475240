"""Tests of the hosts that send queries to an advisor for the leader."""

import contextlib
import queue
import time
import typing

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.advisor_dispatch import AdvisorQueryDispatcher
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId, QueueName, ServiceName
from cassiahold.core.testing import function_tests
from cassiahold.workflows.configuration import AdvisorPolicy, QueuePolicy
from cassiahold.workflows.model import StepKey
from cassiahold.workflows.plans import AdvisorQuery

LIVE_HELPER = 'live:1'
DEAD_HELPER = 'dead:1'
REPLY_S = 0.05
REPORT_TIMEOUT_S = 5.0
QUERIES = 10
QUEUE = QueuePolicy(
    QueueName('q'),
    'h',
    '/q/',
    ServiceName('s'),
    advisor=AdvisorPolicy(REPLY_S, 0.0, 1.0),
)


class HelperCalls:
    """Stands in for the client of other hosts; one of them is gone."""

    def __init__(self) -> None:
        self.failed_count = 0

    def call(
        self, address: str, request: requests.AskAdvisor, timeout_s: float
    ) -> requests.AdvisorQueryReply:
        if address == DEAD_HELPER:
            self.failed_count += 1
            raise CassiaholdError(ErrorKind.UNREACHABLE, 'refused')
        time.sleep(REPLY_S)
        return requests.AdvisorQueryReply({}, 1.0)


def test_helper_that_is_gone_gets_no_query_after_a_failure() -> None:
    # It failed queries at once while the others were busy, and so got nearly
    # all of them until its last offer was 5 s old.
    reports: queue.SimpleQueue[local.AdvisorQueryDone] = queue.SimpleQueue()
    helpers = HelperCalls()
    with contextlib.ExitStack() as stack:
        dispatcher = AdvisorQueryDispatcher(None, reports.put)
        stack.callback(dispatcher.close)
        dispatcher.start(typing.cast('typing.Any', helpers))
        dispatcher.add_helper(LIVE_HELPER)
        dispatcher.add_helper(DEAD_HELPER)
        for number in range(QUERIES):
            step = StepKey(JobId(f'j{number}'), 0, 0)
            dispatcher.submit(AdvisorQuery(step, QUEUE, ()))
        answered_count = 0
        while answered_count < QUERIES:
            report = reports.get(timeout=REPORT_TIMEOUT_S)
            if report.reply is None:
                # The planner queries again in its next pass.
                dispatcher.submit(report.query)
            answered_count += int(report.reply is not None)
    assert helpers.failed_count <= 1, helpers.failed_count


load_tests = function_tests(globals())
