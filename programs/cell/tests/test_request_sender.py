"""Tests of the threads that send requests, against a scripted client."""

import contextlib
import itertools
import queue
import threading
import time
import typing
from unittest import mock

import msgspec
from leader_fixtures import make_leader, submit

from cassiahold.agreement.replica import LeaseLapsedError, NotLeaderError
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.cell.request_sender import (
    REPORT_PAUSE_S,
    ThreadedRequestSender,
)
from cassiahold.cell.stop_sender import MAX_STOP_TRIES
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import (
    DataCentre,
    JobId,
    QueueName,
    ServiceName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey, WorkerInfo
from cassiahold.workflows.plans import AdvisorQuery
from cassiahold.workflows.sessions import PollReply

WORKER = WorkerInfo(
    WorkerId('w'), 1, 'w:80', 's', DataCentre('east'), Resources(1000)
)
TIMEOUT_S = 5.0
# Within the time after which a worker without polls counts as silent.
REPEATED_REPORT_S = 1.5
POLL_TIME_S = 0.05


def attempt_of(job: str) -> AttemptKey:
    return AttemptKey(TaskKey(StepKey(JobId(job), 0, 0), 0), 1)


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


class _UnusedLeaderClient:
    """Stands in for the client of other hosts, which the test never calls."""


def test_queued_start_is_not_sent_after_a_stop() -> None:
    workers = BlockingWorkerClient()
    reports = ReportCollector()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(workers, None, start_threads=1)
        stack.callback(sender.close)
        sender.attach(reports.handle, _UnusedLeaderClient())
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
        sender.attach(reports.put, _UnusedLeaderClient())
        sender.send_start(StartRequest(WORKER, attempt_of('first'), '', 1, 1))
        return reports.get(timeout=TIMEOUT_S).delivery


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
        sender.attach(reports.handle, _UnusedLeaderClient())
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
        sender.attach(reports.put, _UnusedLeaderClient())
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


class ReplyingClient:
    """A client of workers and of the advisor; every request gets a reply."""

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        return WorkerReply(ReplyStatus.NO_CAPACITY)

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        return WorkerReply(ReplyStatus.DONE)

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        return PollReply(1, 1000, (), ())

    def advise(
        self, step: StepKey, workers: typing.Any, timeout_s: float
    ) -> AdvisorReply:
        return AdvisorReply({}, 1.0)


def report_to_lapsed_leader(
    send: typing.Callable[[ThreadedRequestSender], None],
) -> typing.Any:
    """Return the report that the leader gets once its lease is renewed."""
    leader = LapsedLeader()
    client = ReplyingClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, client, 1)
        stack.callback(sender.close)
        sender.attach(leader.handle, _UnusedLeaderClient())
        send(sender)
        try:
            return leader.accepted.get(timeout=REPEATED_REPORT_S)
        except queue.Empty:
            return None


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
        sender.attach(handle, _UnusedLeaderClient())
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


class PartlySilentClient:
    """A client of workers, of which those in ``silent`` never reply."""

    def __init__(self) -> None:
        self.silent = {WorkerId('silent')}
        self.stop_tries: queue.SimpleQueue[str] = queue.SimpleQueue()

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        self.stop_tries.put(request.attempt.task.step.job)
        if request.worker.id in self.silent:
            time.sleep(timeout_s)
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')
        return WorkerReply(ReplyStatus.DONE)

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')


def stop_of(worker: str, job: str, fence: int = 1) -> StopRequest:
    info = msgspec.structs.replace(WORKER, id=WorkerId(worker))
    return StopRequest(info, attempt_of(job), fence)


def test_stops_to_a_silent_worker_do_not_delay_other_stops() -> None:
    # Each occupied a thread for 3.2 s; this one was sent after 12.8 s.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    client = PartlySilentClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, _UnusedLeaderClient())
        for number in range(64):
            sender.send_stop(stop_of('silent', f's{number}'))
        sender.send_stop(stop_of('sound', 'sound', fence=2))
        started_at = time.monotonic()
        while reports.get(timeout=TIMEOUT_S).worker != 'sound':
            """The stops to the silent worker are given up meanwhile."""
        assert time.monotonic() - started_at < 2.0, (
            time.monotonic() - started_at
        )


class ResettingClient:
    """A client of workers, of which ``resetting`` resets every connection."""

    def __init__(self) -> None:
        self.tried_at: list[float] = []

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        return self._reply(request.worker.id)

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        return self._reply(request.worker.id)

    def _reply(self, worker: WorkerId) -> WorkerReply:
        if worker != 'resetting':
            return WorkerReply(ReplyStatus.DONE)
        self.tried_at.append(time.monotonic())
        raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'reset')


def test_tries_of_a_stop_that_is_reset_are_spread_over_time() -> None:
    # wipe-taken seed 8: eight tries within 50 ms, once a second.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    client = ResettingClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, _UnusedLeaderClient())
        sender.send_stop(stop_of('resetting', 'first'))
        assert reports.get(timeout=TIMEOUT_S).reply is None
    assert len(client.tried_at) >= 4
    assert client.tried_at[-1] - client.tried_at[0] >= 0.7


def test_tries_of_a_start_that_is_reset_are_spread_over_time() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    client = ResettingClient()
    worker = msgspec.structs.replace(WORKER, id=WorkerId('resetting'))
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, _UnusedLeaderClient())
        sender.send_start(StartRequest(worker, attempt_of('first'), '', 1, 1))
        assert reports.get(timeout=TIMEOUT_S).reply is None
    assert len(client.tried_at) >= 3
    assert client.tried_at[-1] - client.tried_at[0] >= 0.3


def test_pauses_between_tries_do_not_delay_the_stops_of_other_workers() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(ResettingClient(), None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, _UnusedLeaderClient())
        for number in range(64):
            sender.send_stop(stop_of('resetting', f's{number}'))
        sender.send_stop(stop_of('sound', 'sound', fence=2))
        started_at = time.monotonic()
        while reports.get(timeout=TIMEOUT_S).worker != 'sound':
            """The stops to the resetting worker are given up meanwhile."""
        assert time.monotonic() - started_at < 0.3


class PollAnsweringClient(ResettingClient):
    """A client of workers that answer only on the connections of polls."""

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        time.sleep(POLL_TIME_S)
        return PollReply(1, 1000, (), ())

    def stop_between_polls(
        self, request: StopRequest, timeout_s: float
    ) -> WorkerReply:
        return WorkerReply(ReplyStatus.DONE)


def test_stops_that_are_reset_go_over_the_connection_of_polls() -> None:
    # An attempt of a cancelled job would run on until it ends by itself.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def handle(request: typing.Any) -> typing.Any:
        if isinstance(request, local.StopDone) and request.reply is not None:
            reports.put(request.attempt)
        return PollRequest(WORKER, 1, 0, None, 0.0)

    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(PollAnsweringClient(), None, 1)
        stack.callback(sender.close)
        sender.attach(handle, _UnusedLeaderClient())
        sender.start_polling(WORKER, 1)
        jobs = {f's{number}' for number in range(8)}
        for job in jobs:
            sender.send_stop(stop_of('resetting', job))
        stopped = {reports.get(timeout=TIMEOUT_S) for _ in jobs}
    assert stopped == {attempt_of(job) for job in jobs}


def test_stops_under_a_lower_fence_are_withdrawn() -> None:
    # The worker rejects them; further stops would wait for their last try.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    poll_count = itertools.count()

    def handle(request: typing.Any) -> typing.Any:
        if isinstance(request, local.StopDone):
            reports.put(request)
            return None
        fence = 1 if next(poll_count) < 3 else 2
        return PollRequest(WORKER, fence, 0, None, 0.0)

    client = PollAnsweringClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(handle, _UnusedLeaderClient())
        sender.send_stop(stop_of('resetting', 'first'))
        sender.start_polling(WORKER, 1)
        assert reports.get(timeout=TIMEOUT_S).reply is None
        tried = len(client.tried_at)
        time.sleep(POLL_TIME_S)
        assert len(client.tried_at) == tried < MAX_STOP_TRIES


def test_stop_is_repeated_after_a_lost_reply() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    client = PartlySilentClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, _UnusedLeaderClient())
        for job in ('first', 'second'):
            client.silent = {WorkerId('silent')}
            sender.send_stop(stop_of('silent', job))
            while client.stop_tries.get(timeout=TIMEOUT_S) != job:
                """The earlier stop has been tried twice."""
            client.silent = set()
            report = reports.get(timeout=TIMEOUT_S)
            assert report.reply == WorkerReply(ReplyStatus.DONE)


def test_stops_are_withdrawn_when_the_session_of_the_worker_ends() -> None:
    # They were tried eight times each, after the worker was removed, too.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def handle(request: typing.Any) -> local.SessionClosed:
        reports.put(request)
        return local.SessionClosed()

    client = PartlySilentClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(handle, _UnusedLeaderClient())
        sender.send_stop(stop_of('silent', 'first'))
        assert client.stop_tries.get(timeout=TIMEOUT_S) == 'first'
        sender.start_polling(WORKER, 1)
        assert isinstance(reports.get(timeout=TIMEOUT_S), local.GetFirstPoll)
        report = reports.get(timeout=TIMEOUT_S)
        assert isinstance(report, local.StopDone)
        assert report.reply is None
    assert client.stop_tries.qsize() <= 1


def test_polls_end_when_another_replica_leads() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def refuse(request: typing.Any) -> typing.Any:
        reports.put(request)
        raise NotLeaderError(None)

    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(ReplyingClient(), None, 1)
        stack.callback(sender.close)
        sender.attach(refuse, _UnusedLeaderClient())
        sender.start_polling(WORKER, 1)
        assert isinstance(reports.get(timeout=TIMEOUT_S), local.GetFirstPoll)
        time.sleep(REPORT_PAUSE_S * 3)
        assert reports.empty()


load_tests = function_tests(globals())
