"""Tests of the threads that send starts, against a scripted client."""

import contextlib
import itertools
import queue
import threading
import time
import typing
from unittest import mock

from leader_fixtures import make_leader, submit
from sender_fixtures import (
    TIMEOUT_S,
    WORKER,
    ReplyingClient,
    UnusedLeaderClient,
    attempt_of,
)

from cassiahold.agreement.replica import NotLeaderError
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import (
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.cell.request_sender import (
    REPORT_PAUSE_S,
    ThreadedRequestSender,
)
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.testing import function_tests


class BlockingWorkerClient:
    """A client whose starts get no reply until the test allows it."""

    def __init__(self) -> None:
        self.may_reply = threading.Event()
        self.sent_requests: list[str] = []

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        self.sent_requests.append(f'start {request.attempt.task.step.job}')
        self.may_reply.wait(TIMEOUT_S)
        return WorkerReply(ReplyStatus.DONE)

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        self.sent_requests.append(f'stop {request.attempt.task.step.job}')
        return WorkerReply(ReplyStatus.DONE)


class ReportCollector:
    """Collects the reports of the threads."""

    def __init__(self) -> None:
        self.start_by_job: dict[str, local.StartDone] = {}
        self.stops: list[local.StopDone] = []
        self.is_complete = threading.Event()

    def handle(self, request: typing.Any) -> None:
        if isinstance(request, local.StartDone):
            self.start_by_job[request.attempt.task.step.job] = request
        elif isinstance(request, local.StopDone):
            self.stops.append(request)
        if len(self.start_by_job) == 2 and self.stops:
            self.is_complete.set()


def test_queued_start_is_not_sent_after_a_stop() -> None:
    workers = BlockingWorkerClient()
    reports = ReportCollector()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(workers, None, start_threads=1)
        stack.callback(sender.close)
        sender.attach(reports.handle, UnusedLeaderClient())
        sender.send_start(StartRequest(WORKER, attempt_of('first'), '', 1, 1))
        sender.send_start(
            StartRequest(WORKER, attempt_of('cancelled'), '', 1, 1)
        )
        sender.send_stop(StopRequest(WORKER, attempt_of('cancelled'), 1))
        workers.may_reply.set()
        assert reports.is_complete.wait(TIMEOUT_S)
    assert sorted(workers.sent_requests) == ['start first', 'stop cancelled']
    cancelled = reports.start_by_job['cancelled']
    assert cancelled.reply is None
    assert cancelled.delivery is local.Delivery.NOT_SENT


class FailingWorkerClient:
    """A client whose tries fail with one error kind after the other."""

    def __init__(self, *kinds: ErrorKind) -> None:
        self._kinds = itertools.cycle(kinds)

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        raise CassiaholdError(next(self._kinds), 'no reply')


def deliver_start(*kinds: ErrorKind) -> local.Delivery:
    reports: queue.SimpleQueue[local.StartDone] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(FailingWorkerClient(*kinds), None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())
        sender.send_start(StartRequest(WORKER, attempt_of('first'), '', 1, 1))
        return reports.get(timeout=TIMEOUT_S).delivery


def test_start_is_not_repeated_once_its_attempt_is_listed() -> None:
    # The next try could reach the worker after a restart and run a task again
    # whose end was acknowledged.
    attempt = attempt_of('first')
    reports: queue.SimpleQueue[local.StartDone] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        client = mock.Mock()
        sender = ThreadedRequestSender(client, None, start_threads=1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())

        def lose_reply(*_: typing.Any) -> WorkerReply:
            sender.withdraw_start(attempt)
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')

        client.start.side_effect = lose_reply
        sender.send_start(StartRequest(WORKER, attempt, '', 1, 1))
        assert reports.get(timeout=TIMEOUT_S).reply is None
    assert client.start.call_count == 1


def test_start_withdrawn_between_two_tries_is_not_sent() -> None:
    attempt = attempt_of('first')
    reports: queue.SimpleQueue[local.StartDone] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        client = mock.Mock()
        sender = ThreadedRequestSender(client, None, start_threads=1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())

        def lose_reply(*_: typing.Any) -> WorkerReply:
            threading.Timer(0.01, sender.withdraw_start, (attempt,)).start()
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')

        client.start.side_effect = lose_reply
        sender.send_start(StartRequest(WORKER, attempt, '', 1, 1))
        reports.get(timeout=TIMEOUT_S)
    assert client.start.call_count == 1


def test_starts_of_a_session_that_has_ended_are_not_repeated() -> None:
    reports: queue.SimpleQueue[local.StartDone] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        client = mock.Mock()
        sender = ThreadedRequestSender(client, None, start_threads=1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())

        def lose_reply(*_: typing.Any) -> WorkerReply:
            sender.withdraw_starts(1)
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')

        client.start.side_effect = lose_reply
        for fence in (1, 2):
            request = StartRequest(WORKER, attempt_of(f'{fence}'), '', fence, 1)
            sender.send_start(request)
            reports.get(timeout=TIMEOUT_S)
    tried_fences = [call.args[0].fence for call in client.start.mock_calls]
    assert tried_fences.count(1) == 1
    assert tried_fences.count(2) > 1


def test_start_is_undelivered_only_if_no_try_could_connect() -> None:
    unreachable, unknown = ErrorKind.UNREACHABLE, ErrorKind.OUTCOME_UNKNOWN
    assert deliver_start(unreachable) is local.Delivery.UNREACHABLE
    # One try may still be on its way.
    assert deliver_start(unreachable, unknown) is local.Delivery.POSSIBLE
    assert deliver_start(unknown, unreachable) is local.Delivery.POSSIBLE


class PausedClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def test_start_decided_before_a_suspension_is_not_sent_after_it() -> None:
    workers = BlockingWorkerClient()
    reports = ReportCollector()
    clock = PausedClock()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(workers, None, 1, clock)
        stack.callback(sender.close)
        sender.attach(reports.handle, UnusedLeaderClient())
        sender.send_start(StartRequest(WORKER, attempt_of('first'), '', 1, 1))
        sender.send_start(StartRequest(WORKER, attempt_of('late'), '', 1, 1))
        # The process stands still while another leader is elected.
        clock.now_s += 5.0
        workers.may_reply.set()
        sender.send_stop(StopRequest(WORKER, attempt_of('other'), 1))
        assert reports.is_complete.wait(TIMEOUT_S)
    assert 'start late' not in workers.sent_requests
    assert reports.start_by_job['late'].reply is None


class RefusingWorkerClient:
    """A client whose first start gets no reply and whose second is refused."""

    def __init__(self, refusal: ReplyStatus) -> None:
        self._refusal = refusal
        self._start_count = 0

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        self._start_count += 1
        if self._start_count == 1:
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')
        return WorkerReply(self._refusal, 1000)


def start_again_after_refusal(refusal: ReplyStatus) -> list[int]:
    """Return the numbers of the attempts that the leader starts."""
    leader = make_leader('v', 'w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    reports: queue.SimpleQueue[local.StartDone] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(RefusingWorkerClient(refusal), None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())
        sender.send_start(start)
        leader.handle(reports.get(timeout=TIMEOUT_S))
    leader.apply_due_commands(boottime_s() + 1)
    return [each.attempt.attempt_number for each in leader.sender.starts]


def test_refused_retry_does_not_free_a_start_that_may_be_on_its_way() -> None:
    # The first try may be carried out seconds later, after the refusal.
    assert start_again_after_refusal(ReplyStatus.NO_CAPACITY) == [1]
    assert start_again_after_refusal(ReplyStatus.UNHEALTHY) == [1]
    assert start_again_after_refusal(ReplyStatus.NO_TICKET) == [1]


def test_obsolete_retry_does_not_hide_that_the_first_try_has_run() -> None:
    # The first try was carried out and has ended; a poll will list its end.
    assert start_again_after_refusal(ReplyStatus.OBSOLETE) == [1]


def test_polls_end_when_another_replica_leads() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def refuse(request: typing.Any) -> typing.Any:
        reports.put(request)
        raise NotLeaderError(None)

    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(ReplyingClient(), None, 1)
        stack.callback(sender.close)
        sender.attach(refuse, UnusedLeaderClient())
        sender.start_polling(WORKER, 1)
        assert isinstance(reports.get(timeout=TIMEOUT_S), local.GetFirstPoll)
        time.sleep(REPORT_PAUSE_S * 3)
        assert reports.empty()


load_tests = function_tests(globals())
