"""Threads that carry a leader's orders to workers and advisors."""

import concurrent.futures
import threading
import typing

import pykka

from cassiahold.agreement.replica import NotLeaderError
from cassiahold.cell import local_requests as local
from cassiahold.cell.calling import LeaderCaller
from cassiahold.cell.clients import (
    AdvisorClient,
    PollRequest,
    StartRequest,
    StopRequest,
    WorkerClient,
    WorkerReply,
)
from cassiahold.cell.lanes import AdviceLanes, Ask
from cassiahold.cell.settings import LOOK_SLACK_S, ORDER_TIMEOUT_S
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.workflows.model import AttemptKey, WorkerInfo
from cassiahold.workflows.planning import AdvisorQuery

FIRST_LOOKS: typing.Final = 8  # at a time: a new leader calls every worker
START_TRIES: typing.Final = 4
STOP_THREADS: typing.Final = 16
STOP_TRIES: typing.Final = 8
LOOK_PAUSE_S: typing.Final = 0.1  # after a look that failed


class Threads:
    """Implements ``Outlet`` with threads that report to the own replica."""

    def __init__(
        self,
        workers: WorkerClient,
        advisor: AdvisorClient | None,
        order_threads: int,
    ) -> None:
        self._workers = workers
        self._advisor = advisor
        self._orders = concurrent.futures.ThreadPoolExecutor(
            order_threads, thread_name_prefix='order'
        )
        # Stops must not wait behind starts that get no answer.
        self._stops = concurrent.futures.ThreadPoolExecutor(
            STOP_THREADS, thread_name_prefix='stop'
        )
        self._open_starts = _OpenStarts()
        self._first_looks = threading.Semaphore(FIRST_LOOKS)
        self._ask: Ask = _not_attached
        self.lanes = AdviceLanes(advisor, self._report)

    def attach(self, ask: Ask, caller: LeaderCaller) -> None:
        """Set where results are reported and who calls other hosts."""
        self._ask = ask
        self.lanes.start(caller)

    def close(self) -> None:
        """Take no more orders."""
        self._orders.shutdown(wait=False, cancel_futures=True)
        self._stops.shutdown(wait=False, cancel_futures=True)
        self.lanes.close()

    # What the service calls.

    def open_session(self, worker: WorkerInfo, fence: int) -> None:
        """Begin to look at a worker."""
        threading.Thread(
            target=self._keep_looking,
            args=(worker, fence),
            name=f'look {worker.id}',
            daemon=True,
        ).start()

    def start_run(self, order: StartRequest) -> None:
        """Send a start unless it is withdrawn first."""
        self._open_starts.add(order.attempt)
        self._orders.submit(self._start, order)

    def stop_run(self, order: StopRequest) -> None:
        """Send a stop until it is answered."""
        self._open_starts.remove(order.attempt)
        self._stops.submit(self._stop, order)

    def ask_advisor(self, question: AdvisorQuery) -> None:
        """Queue a call to the advisor."""
        self.lanes.put(question)

    # Threads.

    def _keep_looking(self, worker: WorkerInfo, fence: int) -> None:
        with self._first_looks:
            order = self._report(local.NextLook(worker.id, fence))
            if isinstance(order, PollRequest):
                order = self._report(self._look(order))
        while isinstance(order, PollRequest):
            order = self._report(self._look(order))

    def _look(self, order: PollRequest) -> local.LookDone:
        sent_at = boottime_s()
        worker = order.worker.id
        try:
            view = self._workers.poll(order, order.max_wait_s + LOOK_SLACK_S)
        except CassiaholdError as exc:
            logs.info(
                'look_failed',
                worker=worker,
                fence=order.fence,
                took_s=boottime_s() - sent_at,
                reason=exc.detail,
            )
            threading.Event().wait(LOOK_PAUSE_S)
            return local.LookDone(worker, order.fence, None, sent_at)
        return local.LookDone(
            worker, order.fence, view, sent_at, is_other_incarnation=not view
        )

    def _start(self, order: StartRequest) -> None:
        reply = _tried(
            START_TRIES,
            lambda: self._workers.start(order, ORDER_TIMEOUT_S),
            lambda: self._open_starts.is_wanted(order.attempt),
        )
        self._open_starts.remove(order.attempt)
        self._report(
            local.StartDone(order.worker.id, order.fence, order.attempt, reply)
        )

    def _stop(self, order: StopRequest) -> None:
        reply = _tried(
            STOP_TRIES, lambda: self._workers.stop(order, ORDER_TIMEOUT_S)
        )
        self._report(
            local.StopDone(order.worker.id, order.fence, order.attempt, reply)
        )

    def _report(self, request: typing.Any) -> typing.Any:
        try:
            return self._ask(request)
        except (NotLeaderError, pykka.ActorDeadError):
            # Another leader looks after this worker.
            return local.SessionClosed()
        except CassiaholdError as exc:
            logs.warning(
                'report_failed',
                request=type(request).__name__,
                kind=exc.kind.value,
                reason=exc.detail,
            )
            return local.SessionClosed()


class _OpenStarts:
    """Starts that are queued or being sent and that are still wanted."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._wanted: set[AttemptKey] = set()

    def add(self, run: AttemptKey) -> None:
        """Note a start that will be sent."""
        with self._lock:
            self._wanted.add(run)

    def remove(self, run: AttemptKey) -> None:
        """Forget a start that is settled, or keep it from being sent."""
        with self._lock:
            self._wanted.discard(run)

    def is_wanted(self, run: AttemptKey) -> bool:
        """Tell whether a start should still be sent."""
        with self._lock:
            return run in self._wanted


def _always() -> bool:
    return True


def _tried(
    tries: int,
    call: typing.Callable[[], WorkerReply],
    is_wanted: typing.Callable[[], bool] = _always,
) -> WorkerReply | None:
    for _ in range(tries):
        if not is_wanted():
            break
        try:
            return call()
        except CassiaholdError as exc:
            logs.info('order_unanswered', reason=exc.detail)
    return None


def _not_attached(request: typing.Any) -> typing.Any:
    raise CassiaholdError(ErrorKind.NO_QUORUM, 'the replica has not started')
