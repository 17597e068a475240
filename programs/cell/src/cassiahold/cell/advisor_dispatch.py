"""Dispatch of queries to advisors: one at a time from each helping host.

An advisor handles one query at a time for each calling host.  The leader's own
host and the hosts of processes that offer help each have a thread that takes
queries from a common queue.
"""

import itertools
import queue
import threading
import typing

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.clients import AdvisorClient
from cassiahold.cell.leader_client import LeaderClient
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    detail_of,
    kind_name,
)
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.plans import AdvisorQuery

# The leader's own host sends only shorter queries while other hosts help.
SHORT_QUERY_S: typing.Final = 0.1
HELPER_TIMEOUT_S: typing.Final = 5.0  # since the last offer of a host
QUERY_TIMEOUT_SLACK_S: typing.Final = 2.0
MAX_HELPERS: typing.Final = 64
REQUEUE_PAUSE_S: typing.Final = 0.02

RequestHandler = typing.Callable[[typing.Any], typing.Any]


class AdvisorQueryDispatcher:
    """Queue of advisor queries and the threads that send them.

    Queries are ordered by the priority of their queue, then by their expected
    duration, then by submission.  The threads report each reply through
    ``report``.
    """

    def __init__(
        self, advisor: AdvisorClient | None, report: RequestHandler
    ) -> None:
        self._advisor = advisor
        self._report = report
        self._leader_client: LeaderClient | None = None
        self._pending_queries: queue.PriorityQueue[
            tuple[int, float, int, AdvisorQuery]
        ] = queue.PriorityQueue()
        self._sequence_numbers = itertools.count()
        self._lock = threading.Lock()
        self._offered_at_by_address: dict[str, float] = {}
        self._is_stopped = False

    def start(self, leader_client: LeaderClient) -> None:
        """Start to send queries from this host if it has an advisor."""
        self._leader_client = leader_client
        if self._advisor is not None:
            self._start_caller('')

    def close(self) -> None:
        """Stop the threads after their current query."""
        self._is_stopped = True

    def add_helper(self, address: str) -> None:
        """Send queries from another host while it keeps offering help."""
        with self._lock:
            is_new = address not in self._offered_at_by_address
            if is_new and len(self._offered_at_by_address) >= MAX_HELPERS:
                return
            self._offered_at_by_address[address] = boottime_s()
        if is_new:
            self._start_caller(address)

    def submit(self, query: AdvisorQuery) -> None:
        """Queue a query."""
        advisor = query.queue.advisor
        expected_s = 0.0
        if advisor is not None:
            worker_count = len(query.workers)
            expected_s = (
                advisor.decision_s + advisor.per_worker_s * worker_count
            )
        self._pending_queries.put(
            (
                query.queue.priority,
                expected_s,
                next(self._sequence_numbers),
                query,
            )
        )

    def _start_caller(self, address: str) -> None:
        threading.Thread(
            target=self._run_caller,
            args=(address,),
            name=f'advice {address or "own"}',
            daemon=True,
        ).start()

    def _run_caller(self, address: str) -> None:
        while not self._is_stopped and self._is_active(address):
            try:
                entry = self._pending_queries.get(timeout=1.0)
            except queue.Empty:
                continue
            if not address and entry[1] > SHORT_QUERY_S and self._has_helpers():
                # A long query on the leader's host would delay short ones.
                self._pending_queries.put(entry)
                threading.Event().wait(REQUEUE_PAUSE_S)
                continue
            query = entry[-1]
            reply = self._call_advisor(address, query, entry[1])
            self._report(local.AdvisorQueryDone(query, reply, boottime_s()))
        with self._lock:
            self._offered_at_by_address.pop(address, None)

    def _call_advisor(
        self, address: str, query: AdvisorQuery, expected_s: float
    ) -> AdvisorReply | None:
        workers = tuple(worker.id for worker in query.workers)
        timeout_s = expected_s + QUERY_TIMEOUT_SLACK_S
        started_at = boottime_s()
        try:
            if not address and self._advisor is not None:
                reply = self._advisor.advise(query.step, workers, timeout_s)
            else:
                reply = self._call_through_helper(
                    address, query, workers, timeout_s
                )
        except Exception as exc:  # noqa: BLE001
            # The next query must find this thread running.
            logs.warning(
                'advice_failed',
                job=query.step.job,
                step=query.step.step_index,
                host=address,
                kind=kind_name(exc),
                reason=detail_of(exc),
            )
            return None
        logs.info(
            'advice_given',
            job=query.step.job,
            step=query.step.step_index,
            host=address,
            named=len(workers),
            allowed=len(reply.token_by_worker),
            took_s=boottime_s() - started_at,
        )
        return reply

    def _call_through_helper(
        self,
        address: str,
        query: AdvisorQuery,
        workers: tuple[typing.Any, ...],
        timeout_s: float,
    ) -> AdvisorReply:
        if self._leader_client is None:
            raise CassiaholdError(
                ErrorKind.UNREACHABLE, 'the dispatcher has not been started'
            )
        reply = self._leader_client.call(
            address,
            requests.AskAdvisor(query.step, workers, timeout_s),
            timeout_s,
        )
        return AdvisorReply(reply.token_by_worker, reply.validity_s)

    def _is_active(self, address: str) -> bool:
        if not address:
            return True
        with self._lock:
            offered_at = self._offered_at_by_address.get(address, 0.0)
        return boottime_s() < offered_at + HELPER_TIMEOUT_S

    def _has_helpers(self) -> bool:
        with self._lock:
            return bool(self._offered_at_by_address)
