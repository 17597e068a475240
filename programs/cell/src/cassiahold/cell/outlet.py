"""Threads that carry a leader's orders to workers and advisors."""

import concurrent.futures
import itertools
import queue
import threading
import typing

import pykka

from cassiahold.agreement.replica import NotLeaderError
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.calling import LeaderCaller
from cassiahold.cell.ports import (
    AdvisorCalls,
    LookOrder,
    OrderReply,
    StartOrder,
    StopOrder,
    WorkerCalls,
)
from cassiahold.cell.settings import LOOK_SLACK_S, ORDER_TIMEOUT_S
from cassiahold.core import logs
from cassiahold.core.clock import steady
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.workflows.advising import Advice
from cassiahold.workflows.model import WorkerInfo
from cassiahold.workflows.planning import Question

START_TRIES: typing.Final = 4
STOP_TRIES: typing.Final = 8
LOOK_PAUSE_S: typing.Final = 0.1  # after a look that failed
QUICK_S: typing.Final = 0.1  # the leader's own lane takes shorter calls only
HELP_FRESH_S: typing.Final = 5.0
ADVICE_SLACK_S: typing.Final = 2.0
MAX_LANES: typing.Final = 16
YIELD_S: typing.Final = 0.02

Ask = typing.Callable[[typing.Any], typing.Any]


class Threads:
    """Implements ``Outlet`` with threads that report to the own replica."""

    def __init__(
        self,
        workers: WorkerCalls,
        advisor: AdvisorCalls | None,
        order_threads: int,
    ) -> None:
        self._workers = workers
        self._advisor = advisor
        self._orders = concurrent.futures.ThreadPoolExecutor(
            order_threads, thread_name_prefix='order'
        )
        self._ask: Ask = _not_attached
        self.lanes = AdviceLanes(advisor, self._report)

    def attach(self, ask: Ask, caller: LeaderCaller) -> None:
        """Set where results are reported and who calls other hosts."""
        self._ask = ask
        self.lanes.start(caller)

    def close(self) -> None:
        """Take no more orders."""
        self._orders.shutdown(wait=False, cancel_futures=True)
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

    def start_run(self, order: StartOrder) -> None:
        """Send a start."""
        self._orders.submit(self._start, order)

    def stop_run(self, order: StopOrder) -> None:
        """Send a stop until it is answered."""
        self._orders.submit(self._stop, order)

    def ask_advisor(self, question: Question) -> None:
        """Queue a call to the advisor."""
        self.lanes.put(question)

    # Threads.

    def _keep_looking(self, worker: WorkerInfo, fence: int) -> None:
        order = self._report(local.NextLook(worker.id, fence))
        while isinstance(order, LookOrder):
            order = self._report(self._look(order))

    def _look(self, order: LookOrder) -> local.LookDone:
        sent_at = steady()
        worker = order.worker.id
        try:
            view = self._workers.look(order, order.wait_s + LOOK_SLACK_S)
        except CassiaholdError as exc:
            logs.info(
                'look_failed',
                worker=worker,
                fence=order.fence,
                took_s=steady() - sent_at,
                reason=exc.detail,
            )
            threading.Event().wait(LOOK_PAUSE_S)
            return local.LookDone(worker, order.fence, None, sent_at)
        return local.LookDone(
            worker, order.fence, view, sent_at, is_other_incarnation=not view
        )

    def _start(self, order: StartOrder) -> None:
        reply = _tried(
            START_TRIES, lambda: self._workers.start(order, ORDER_TIMEOUT_S)
        )
        self._report(
            local.StartDone(order.worker.id, order.fence, order.run, reply)
        )

    def _stop(self, order: StopOrder) -> None:
        reply = _tried(
            STOP_TRIES, lambda: self._workers.stop(order, ORDER_TIMEOUT_S)
        )
        self._report(
            local.StopDone(order.worker.id, order.fence, order.run, reply)
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


class AdviceLanes:
    """Calls to the advisor: one at a time from each host that helps."""

    def __init__(self, advisor: AdvisorCalls | None, report: Ask) -> None:
        self._advisor = advisor
        self._report = report
        self._caller: LeaderCaller | None = None
        self._waiting: queue.PriorityQueue[tuple[int, float, int, Question]] = (
            queue.PriorityQueue()
        )
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._helped_at_by_address: dict[str, float] = {}
        self._is_stopped = False

    def start(self, caller: LeaderCaller) -> None:
        """Begin with the lane of this host."""
        self._caller = caller
        if self._advisor is not None:
            self._open_lane('')

    def close(self) -> None:
        """Stop every lane."""
        self._is_stopped = True

    def offer(self, address: str) -> None:
        """Use another host's help while it keeps offering it."""
        with self._lock:
            is_new = address not in self._helped_at_by_address
            if is_new and len(self._helped_at_by_address) >= MAX_LANES:
                return
            self._helped_at_by_address[address] = steady()
        if is_new:
            self._open_lane(address)

    def put(self, question: Question) -> None:
        """Queue a call."""
        advisor = question.queue.advisor
        length_s = 0.0
        if advisor is not None:
            named = len(question.workers)
            length_s = advisor.decision_s + advisor.per_worker_s * named
        self._waiting.put(
            (question.queue.priority, length_s, next(self._numbers), question)
        )

    def _open_lane(self, address: str) -> None:
        threading.Thread(
            target=self._run_lane,
            args=(address,),
            name=f'advice {address or "own"}',
            daemon=True,
        ).start()

    def _run_lane(self, address: str) -> None:
        while not self._is_stopped and self._is_helping(address):
            try:
                taken = self._waiting.get(timeout=1.0)
            except queue.Empty:
                continue
            if not address and taken[1] > QUICK_S and self._has_helpers():
                # A long call here would hold up the quick ones.
                self._waiting.put(taken)
                threading.Event().wait(YIELD_S)
                continue
            question = taken[-1]
            advice = self._advice(address, question, taken[1])
            self._report(local.AdviceDone(question, advice))
        with self._lock:
            self._helped_at_by_address.pop(address, None)

    def _advice(
        self, address: str, question: Question, length_s: float
    ) -> Advice | None:
        workers = tuple(worker.id for worker in question.workers)
        timeout_s = length_s + ADVICE_SLACK_S
        began = steady()
        try:
            if not address and self._advisor is not None:
                advice = self._advisor.advise(question.step, workers, timeout_s)
            else:
                advice = self._remote(address, question, workers, timeout_s)
        except CassiaholdError as exc:
            logs.warning(
                'advice_failed',
                job=question.step.job,
                step=question.step.step,
                host=address,
                reason=exc.detail,
            )
            return None
        logs.info(
            'advice_given',
            job=question.step.job,
            step=question.step.step,
            host=address,
            named=len(workers),
            allowed=len(advice.token_by_worker),
            took_s=steady() - began,
        )
        return advice

    def _remote(
        self,
        address: str,
        question: Question,
        workers: tuple[typing.Any, ...],
        timeout_s: float,
    ) -> Advice:
        if self._caller is None:
            raise CassiaholdError(ErrorKind.CUT_OFF, 'not attached')
        reply = self._caller.call(
            address,
            requests.AskAdvisor(question.step, workers, timeout_s),
            timeout_s,
        )
        return Advice(reply.token_by_worker, reply.validity_s)

    def _is_helping(self, address: str) -> bool:
        if not address:
            return True
        with self._lock:
            at = self._helped_at_by_address.get(address, 0.0)
        return steady() < at + HELP_FRESH_S

    def _has_helpers(self) -> bool:
        with self._lock:
            return bool(self._helped_at_by_address)


def _tried(
    tries: int, call: typing.Callable[[], OrderReply]
) -> OrderReply | None:
    for _ in range(tries):
        try:
            return call()
        except CassiaholdError as exc:
            logs.info('order_unanswered', reason=exc.detail)
    return None


def _not_attached(request: typing.Any) -> typing.Any:
    raise CassiaholdError(ErrorKind.NO_QUORUM, 'the replica has not started')
