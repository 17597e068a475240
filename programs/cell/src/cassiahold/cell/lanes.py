"""Calls to advisors: one at a time from each host that helps the leader."""

import itertools
import queue
import threading
import typing

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.calling import LeaderCaller
from cassiahold.cell.clients import AdvisorClient
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.planning import AdvisorQuery

QUICK_S: typing.Final = 0.1  # the leader's own lane takes shorter calls only
HELP_FRESH_S: typing.Final = 5.0
ADVICE_SLACK_S: typing.Final = 2.0
MAX_LANES: typing.Final = 64
YIELD_S: typing.Final = 0.02

Ask = typing.Callable[[typing.Any], typing.Any]


class AdviceLanes:
    """Calls to the advisor: one at a time from each host that helps."""

    def __init__(self, advisor: AdvisorClient | None, report: Ask) -> None:
        self._advisor = advisor
        self._report = report
        self._caller: LeaderCaller | None = None
        self._waiting: queue.PriorityQueue[
            tuple[int, float, int, AdvisorQuery]
        ] = queue.PriorityQueue()
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
            self._helped_at_by_address[address] = boottime_s()
        if is_new:
            self._open_lane(address)

    def put(self, question: AdvisorQuery) -> None:
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
        self, address: str, question: AdvisorQuery, length_s: float
    ) -> AdvisorReply | None:
        workers = tuple(worker.id for worker in question.workers)
        timeout_s = length_s + ADVICE_SLACK_S
        began = boottime_s()
        try:
            if not address and self._advisor is not None:
                advice = self._advisor.advise(question.step, workers, timeout_s)
            else:
                advice = self._remote(address, question, workers, timeout_s)
        except CassiaholdError as exc:
            logs.warning(
                'advice_failed',
                job=question.step.job,
                step=question.step.step_index,
                host=address,
                reason=exc.detail,
            )
            return None
        logs.info(
            'advice_given',
            job=question.step.job,
            step=question.step.step_index,
            host=address,
            named=len(workers),
            allowed=len(advice.token_by_worker),
            took_s=boottime_s() - began,
        )
        return advice

    def _remote(
        self,
        address: str,
        question: AdvisorQuery,
        workers: tuple[typing.Any, ...],
        timeout_s: float,
    ) -> AdvisorReply:
        if self._caller is None:
            raise CassiaholdError(ErrorKind.UNREACHABLE, 'not attached')
        reply = self._caller.call(
            address,
            requests.AskAdvisor(question.step, workers, timeout_s),
            timeout_s,
        )
        return AdvisorReply(reply.token_by_worker, reply.validity_s)

    def _is_helping(self, address: str) -> bool:
        if not address:
            return True
        with self._lock:
            at = self._helped_at_by_address.get(address, 0.0)
        return boottime_s() < at + HELP_FRESH_S

    def _has_helpers(self) -> bool:
        with self._lock:
            return bool(self._helped_at_by_address)
