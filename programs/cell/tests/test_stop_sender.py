"""Tests of the threads that send stops, against a scripted client."""

import contextlib
import itertools
import queue
import time
import typing

import msgspec
from sender_fixtures import (
    TIMEOUT_S,
    WORKER,
    UnusedLeaderClient,
    attempt_of,
)

from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.cell.request_sender import (
    ThreadedRequestSender,
)
from cassiahold.cell.stop_sender import MAX_STOP_TRIES
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import (
    WorkerId,
)
from cassiahold.core.testing import function_tests
from cassiahold.workflows.sessions import PollReply

POLL_TIME_S = 0.05


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
        sender.attach(reports.put, UnusedLeaderClient())
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
    # Eight tries within 50 ms, once a second.
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    client = ResettingClient()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(client, None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())
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
        sender.attach(reports.put, UnusedLeaderClient())
        sender.send_start(StartRequest(worker, attempt_of('first'), '', 1, 1))
        assert reports.get(timeout=TIMEOUT_S).reply is None
    assert len(client.tried_at) >= 3
    assert client.tried_at[-1] - client.tried_at[0] >= 0.3


def test_pauses_between_tries_do_not_delay_the_stops_of_other_workers() -> None:
    reports: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
    with contextlib.ExitStack() as stack:
        sender = ThreadedRequestSender(ResettingClient(), None, 1)
        stack.callback(sender.close)
        sender.attach(reports.put, UnusedLeaderClient())
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
        sender.attach(handle, UnusedLeaderClient())
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
        sender.attach(handle, UnusedLeaderClient())
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
        sender.attach(reports.put, UnusedLeaderClient())
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
        sender.attach(handle, UnusedLeaderClient())
        sender.send_stop(stop_of('silent', 'first'))
        assert client.stop_tries.get(timeout=TIMEOUT_S) == 'first'
        sender.start_polling(WORKER, 1)
        assert isinstance(reports.get(timeout=TIMEOUT_S), local.GetFirstPoll)
        report = reports.get(timeout=TIMEOUT_S)
        assert isinstance(report, local.StopDone)
        assert report.reply is None
    assert client.stop_tries.qsize() <= 1


load_tests = function_tests(globals())
