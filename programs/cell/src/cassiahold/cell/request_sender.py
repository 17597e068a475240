"""Threads that send the leader's requests to workers and advisors."""

import concurrent.futures
import functools
import threading
import typing

import msgspec
import pykka

from cassiahold.agreement.replica import LeaseLapsedError, NotLeaderError
from cassiahold.cell import local_requests as local
from cassiahold.cell.advisor_dispatch import (
    AdvisorQueryDispatcher,
    RequestHandler,
)
from cassiahold.cell.clients import (
    AdvisorClient,
    PollRequest,
    StartRequest,
    StopRequest,
    WorkerClient,
)
from cassiahold.cell.leader_client import LeaderClient
from cassiahold.cell.reply_times import ReplyTimes
from cassiahold.cell.settings import POLL_TIMEOUT_SLACK_S
from cassiahold.cell.stop_sender import StopSender
from cassiahold.cell.tries import Tries, try_again
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    detail_of,
    kind_name,
)
from cassiahold.workflows.model import AttemptKey, WorkerInfo
from cassiahold.workflows.plans import AdvisorQuery

# A new leader polls every worker, so the number at a time is limited.
MAX_CONCURRENT_FIRST_POLLS: typing.Final = 8
MAX_START_TRIES: typing.Final = 8
# After a longer suspension of this process another one may lead.
MAX_START_AGE_S: typing.Final = 2.0
FAILED_POLL_PAUSE_S: typing.Final = 0.1
REPORT_PAUSE_S: typing.Final = 0.1  # before a report is repeated
MAX_REPORT_ERRORS: typing.Final = 3


class ThreadedRequestSender:
    """Implements ``RequestSender`` with threads.

    The threads report the outcome of each request to the local replica.
    """

    def __init__(
        self,
        workers: WorkerClient,
        advisor: AdvisorClient | None,
        start_threads: int,
        clock: typing.Callable[[], float] = boottime_s,
    ) -> None:
        self._workers = workers
        self._advisor = advisor
        self._start_pool = concurrent.futures.ThreadPoolExecutor(
            start_threads, thread_name_prefix='order'
        )
        self._reply_times = ReplyTimes()
        self._stop_sender = StopSender(workers, self._reply_times, self._report)
        self._pending_starts = _PendingStarts(clock)
        self._first_polls = threading.Semaphore(MAX_CONCURRENT_FIRST_POLLS)
        self._handle_report: RequestHandler = _not_attached
        self.advisor_queries = AdvisorQueryDispatcher(advisor, self._report)

    def attach(
        self, handle_report: RequestHandler, leader_client: LeaderClient
    ) -> None:
        """Set the handler of reports and the client for other hosts."""
        self._handle_report = handle_report
        self.advisor_queries.start(leader_client)

    def close(self) -> None:
        """Accept no more requests and drop the queued ones."""
        self._start_pool.shutdown(wait=False, cancel_futures=True)
        self._stop_sender.close()
        self.advisor_queries.close()

    # Called by the service.

    def start_polling(self, worker: WorkerInfo, fence: int) -> None:
        """Start a thread that polls a worker until its session ends."""
        threading.Thread(
            target=self._poll_repeatedly,
            args=(worker, fence),
            name=f'poll {worker.id}',
            daemon=True,
        ).start()

    def send_start(self, request: StartRequest) -> None:
        """Queue a start; it is not sent if a stop is queued before."""
        self._pending_starts.add(request)
        self._start_pool.submit(self._start_attempt, request)

    def withdraw_start(self, attempt: AttemptKey) -> None:
        """Repeat a start no more: the worker has listed its attempt."""
        self._pending_starts.remove(attempt)

    def withdraw_starts(self, fence: int) -> None:
        """Send and repeat no start of a session that has ended."""
        self._pending_starts.remove_session(fence)

    def send_stop(self, request: StopRequest) -> None:
        """Queue a stop and cancel the queued start of the attempt."""
        self._pending_starts.remove(request.attempt)
        self._stop_sender.send(request)

    def stop_leading(self) -> None:
        """Close the idle connections to workers: another replica may lead."""
        self._workers.close_idle()

    def query_advisor(self, query: AdvisorQuery) -> None:
        """Queue a query to the advisor."""
        self.advisor_queries.submit(query)

    # Threads.

    def _poll_repeatedly(self, worker: WorkerInfo, fence: int) -> None:
        with self._first_polls:
            request = self._report(local.GetFirstPoll(worker.id, fence))
            if isinstance(request, PollRequest):
                request = self._report(self._poll(request))
        failed_polls = 0
        while isinstance(request, PollRequest):
            fence = request.fence
            poll_done = self._poll(request, failed_polls)
            failed_polls = failed_polls + 1 if poll_done.reply is None else 0
            request = self._report(poll_done)
            if isinstance(request, PollRequest):
                self._send_stops_between_polls(poll_done, request)
        # The session has ended: another one sends its own stops.
        self._stop_sender.withdraw(fence)

    def _send_stops_between_polls(
        self, poll_done: local.PollDone, next_poll: PollRequest
    ) -> None:
        if poll_done.fence != next_poll.fence:
            # The worker will reject what was sent under the lower fence.
            self._stop_sender.withdraw(poll_done.fence)
        elif poll_done.reply is not None:
            self._stop_sender.send_failed(poll_done.fence)

    def _poll(
        self, request: PollRequest, failed_polls: int = 0
    ) -> local.PollDone:
        sent_at = boottime_s()
        worker = request.worker.id
        slack_s = 2 * self._reply_times.timeout_s(worker, failed_polls)
        try:
            reply = self._workers.poll(
                request, request.max_wait_s + min(slack_s, POLL_TIMEOUT_SLACK_S)
            )
        except Exception as exc:  # noqa: BLE001
            # The polls renew the lease of the worker and must not end.
            logs.info(
                'look_failed',
                worker=worker,
                fence=request.fence,
                took_s=boottime_s() - sent_at,
                kind=kind_name(exc),
                reason=detail_of(exc),
            )
            threading.Event().wait(FAILED_POLL_PAUSE_S)
            return local.PollDone(worker, request.fence, None, sent_at)
        if not request.max_wait_s:
            self._reply_times.record(worker, boottime_s() - sent_at)
        return local.PollDone(
            worker,
            request.fence,
            reply,
            sent_at,
            is_other_incarnation=not reply,
        )

    def _start_attempt(self, request: StartRequest) -> None:
        tries = Tries()
        while self._should_try(request, tries):
            threading.Event().wait(tries.pause_s(boottime_s()))
            if not self._should_try(request, tries):
                break
            tries = try_again(
                tries,
                functools.partial(
                    self._reply_times.measure,
                    request.worker.id,
                    tries.count,
                    functools.partial(self._workers.start, request),
                ),
            )
        self._pending_starts.remove(request.attempt)
        self._report(
            local.StartDone(
                request.worker.id,
                request.fence,
                request.attempt,
                tries.reply,
                tries.delivery,
            )
        )

    def _should_try(self, request: StartRequest, tries: Tries) -> bool:
        return (
            not tries.was_answered
            and tries.count < MAX_START_TRIES
            and self._pending_starts.is_pending(request.attempt)
        )

    def _report(self, request: typing.Any) -> typing.Any:
        """Report to the local replica; repeat it while that may succeed.

        A report that is lost would leave its attempt, query or session waiting
        for as long as this replica leads.  Returns ``SessionClosed`` once
        another replica leads.
        """
        error_count = 0
        while error_count < MAX_REPORT_ERRORS:
            try:
                return self._handle_report(request)
            except LeaseLapsedError:
                logs.info('report_deferred', request=type(request).__name__)
            except (NotLeaderError, pykka.ActorDeadError):
                # Another leader is responsible for this worker.
                return local.SessionClosed()
            except Exception as exc:  # noqa: BLE001
                error_count += 1
                logs.warning(
                    'report_failed',
                    request=type(request).__name__,
                    kind=kind_name(exc),
                    reason=detail_of(exc),
                )
            threading.Event().wait(REPORT_PAUSE_S)
            request = _outdated_report(request)
        return local.SessionClosed()


@functools.singledispatch
def _outdated_report(report: typing.Any) -> typing.Any:
    """Return the report to repeat after a pause."""
    return report


@_outdated_report.register
def _(report: local.PollDone) -> local.PollDone:
    # The worker may have restarted since it replied.
    return msgspec.structs.replace(report, reply=None)


class _PendingStart(typing.NamedTuple):
    fence: int
    added_at: float


class _PendingStarts:
    """Attempts whose start is queued or being sent and still needed.

    ``clock`` returns seconds and includes the time of a suspension.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._start_by_attempt: dict[AttemptKey, _PendingStart] = {}

    def add(self, request: StartRequest) -> None:
        """Add an attempt whose start will be sent."""
        with self._lock:
            self._start_by_attempt[request.attempt] = _PendingStart(
                request.fence, self._clock()
            )

    def remove(self, attempt: AttemptKey) -> None:
        """Remove an attempt whose start got a reply or is cancelled."""
        with self._lock:
            self._start_by_attempt.pop(attempt, None)

    def remove_session(self, fence: int) -> None:
        """Remove the attempts of a session."""
        with self._lock:
            self._start_by_attempt = {
                attempt: start
                for attempt, start in self._start_by_attempt.items()
                if start.fence != fence
            }

    def is_pending(self, attempt: AttemptKey) -> bool:
        """Tell whether the start of an attempt should still be sent.

        Not after ``MAX_START_AGE_S``: the decision is then too old.
        """
        with self._lock:
            start = self._start_by_attempt.get(attempt)
        if start is None:
            return False
        return self._clock() < start.added_at + MAX_START_AGE_S


def _not_attached(request: typing.Any) -> typing.Any:
    raise CassiaholdError(ErrorKind.NO_QUORUM, 'the replica has not started')
