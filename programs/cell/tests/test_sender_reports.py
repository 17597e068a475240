"""Tests of how the threads that send requests report to the leader."""

import contextlib
import queue
import threading
import typing
from unittest import mock

from sender_fixtures import (
    REPEATED_REPORT_S,
    WORKER,
    ReplyingClient,
    UnusedLeaderClient,
    attempt_of,
)

from cassiahold.agreement.replica import LeaseLapsedError
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import (
    PollRequest,
    StartRequest,
    StopRequest,
)
from cassiahold.cell.request_sender import (
    ThreadedRequestSender,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import (
    JobId,
    QueueName,
    ServiceName,
)
from cassiahold.core.testing import function_tests
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import StepKey
from cassiahold.workflows.plans import AdvisorQuery


class LapsedLeader:
    """Refuses the first report of each type, then accepts all others.

    So does a leader whose lease lapses and is renewed in the same term: it
    keeps its sessions and does not open them again.
    """

    def __init__(self) -> None:
        self._refused_types: set[type] = set()
        self.accepted: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def handle(self, request: typing.Any) -> typing.Any:
        if isinstance(request, local.GetFirstPoll):
            return PollRequest(WORKER, request.fence, 0, None, 0.0)
        if type(request) not in self._refused_types:
            self._refused_types.add(type(request))
            raise LeaseLapsedError(None)
        self.accepted.put(request)
        return local.SessionClosed()


def report_to_lapsed_leader(
    send: typing.Callable[[ThreadedRequestSender], None],
) -> typing.Any:
    """Return the report that the leader gets once its lease is renewed."""
    leader = LapsedLeader()
    client = ReplyingClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, client, 1)
        stack.callback(sender.close)
        sender.attach(leader.handle, UnusedLeaderClient())
        send(sender)
        try:
            return leader.accepted.get(timeout=REPEATED_REPORT_S)
        except queue.Empty:
            return None


class RefusedClient(ReplyingClient):
    """A client of workers that refuse connections."""

    def poll(self, request: PollRequest, timeout_s: float) -> typing.NoReturn:
        raise CassiaholdError(ErrorKind.UNREACHABLE, 'refused')


def test_poll_whose_connection_was_refused_is_reported() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def handle(request: typing.Any) -> typing.Any:
        if isinstance(request, local.GetFirstPoll):
            return PollRequest(WORKER, request.fence, 0, None, 0.0)
        reports.put(request)
        return local.SessionClosed()

    client = RefusedClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, client, 1)
        stack.callback(sender.close)
        sender.attach(handle, UnusedLeaderClient())
        sender.start_polling(WORKER, 1)
        report = reports.get(timeout=REPEATED_REPORT_S)
    # No failure proves that the worker has ended: see ``EndProof``.
    assert report == local.PollDone(WORKER.id, 1, None, report.sent_at)


def test_polls_go_on_after_the_lease_has_lapsed_for_a_moment() -> None:
    report = report_to_lapsed_leader(
        lambda sender: sender.start_polling(WORKER, 1)
    )
    assert isinstance(report, local.PollDone)


def test_refused_report_of_a_start_reaches_the_leader_later() -> None:
    start = StartRequest(WORKER, attempt_of('first'), '', 1, 1)
    report = report_to_lapsed_leader(lambda sender: sender.send_start(start))
    assert isinstance(report, local.StartDone)


def test_refused_report_of_a_stop_reaches_the_leader_later() -> None:
    stop = StopRequest(WORKER, attempt_of('first'), 1)
    report = report_to_lapsed_leader(lambda sender: sender.send_stop(stop))
    assert isinstance(report, local.StopDone)


def test_refused_report_of_an_advisor_query_reaches_the_leader_later() -> None:
    query = AdvisorQuery(
        StepKey(JobId('first'), 0, 0),
        QueuePolicy(QueueName('q'), 'h', '/q/', ServiceName('s')),
        (WORKER,),
    )
    report = report_to_lapsed_leader(lambda sender: sender.query_advisor(query))
    assert isinstance(report, local.AdvisorQueryDone)


class FaultyClient:
    """A client of workers and of the advisor with a programming error."""

    def _raise(self, *_: typing.Any) -> typing.Any:
        raise ValueError('unexpected')

    start = stop = poll = advise = _raise


def report_after_a_fault(
    send: typing.Callable[[ThreadedRequestSender], None],
) -> typing.Any:
    """Return the first report to a leader that fails once unexpectedly."""
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    has_failed = threading.Event()

    def handle(request: typing.Any) -> typing.Any:
        if isinstance(request, local.GetFirstPoll):
            return PollRequest(WORKER, request.fence, 0, None, 0.0)
        if not has_failed.is_set():
            has_failed.set()
            raise ValueError('unexpected')
        reports.put(request)
        return local.SessionClosed()

    client = FaultyClient()
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch('threading.excepthook'))
        sender = ThreadedRequestSender(client, client, 1)
        stack.callback(sender.close)
        sender.attach(handle, UnusedLeaderClient())
        send(sender)
        try:
            return reports.get(timeout=REPEATED_REPORT_S)
        except queue.Empty:
            return None


def test_start_that_fails_unexpectedly_is_reported() -> None:
    # Without a report the task was held for as long as the leader led.
    start = StartRequest(WORKER, attempt_of('first'), '', 1, 1)
    report = report_after_a_fault(lambda sender: sender.send_start(start))
    assert isinstance(report, local.StartDone)
    assert report.delivery is local.Delivery.POSSIBLE


def test_stop_that_fails_unexpectedly_is_reported() -> None:
    stop = StopRequest(WORKER, attempt_of('first'), 1)
    report = report_after_a_fault(lambda sender: sender.send_stop(stop))
    assert isinstance(report, local.StopDone)


def test_poll_that_fails_unexpectedly_is_reported() -> None:
    report = report_after_a_fault(
        lambda sender: sender.start_polling(WORKER, 1)
    )
    assert isinstance(report, local.PollDone)


def test_advisor_query_that_fails_unexpectedly_is_reported() -> None:
    query = AdvisorQuery(
        StepKey(JobId('first'), 0, 0),
        QueuePolicy(QueueName('q'), 'h', '/q/', ServiceName('s')),
        (WORKER,),
    )
    report = report_after_a_fault(lambda sender: sender.query_advisor(query))
    assert isinstance(report, local.AdvisorQueryDone)


load_tests = function_tests(globals())
