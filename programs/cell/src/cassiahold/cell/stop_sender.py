"""Sending of stops, so that silent workers do not delay those of others.

A stop is what frees a task, and one to a silent worker takes its whole timeout
at each try.  The first try of each stop has threads of its own; after a try
without a reply the stop is repeated by other threads, one try in turn and with
longer pauses.  Until these are done, further stops of the session are given up
at once: the next poll to which the worker replies has them sent again.

A worker may answer polls and no stop, since it resets new connections.  So all
stops that got no reply are sent over the connection of the polls, too.
"""

import concurrent.futures
import functools
import threading
import typing

from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import StopRequest, WorkerClient
from cassiahold.cell.reply_times import ReplyTimes
from cassiahold.cell.tries import Tries, try_again
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.workflows.model import AttemptKey

STOP_THREADS: typing.Final = 16
STOP_RETRY_THREADS: typing.Final = 16
MAX_STOP_TRIES: typing.Final = 8


class StopSender:
    """Sends stops from threads and reports the outcome of each."""

    def __init__(
        self,
        workers: WorkerClient,
        reply_times: ReplyTimes,
        report: typing.Callable[[local.StopDone], typing.Any],
    ) -> None:
        self._workers = workers
        self._reply_times = reply_times
        self._report = report
        # Stops must not queue behind starts that get no reply either.
        self._first_tries = concurrent.futures.ThreadPoolExecutor(
            STOP_THREADS, thread_name_prefix='stop'
        )
        self._repeated_tries = concurrent.futures.ThreadPoolExecutor(
            STOP_RETRY_THREADS, thread_name_prefix='stop again'
        )
        self._pending_stops = _StopsBySession()
        self._repeated_stops = _StopsBySession()
        self._failed_stops = _StopsBySession()

    def close(self) -> None:
        """Accept no more stops and drop the queued ones."""
        for pool in (self._first_tries, self._repeated_tries):
            pool.shutdown(wait=False, cancel_futures=True)

    def send(self, request: StopRequest) -> None:
        """Queue a stop."""
        self._pending_stops.add(request)
        self._first_tries.submit(self._try_first, request)

    def withdraw(self, fence: int) -> None:
        """Send none of the queued stops of a session that has ended."""
        self._pending_stops.take_session(fence)
        self._failed_stops.take_session(fence)

    def send_failed(self, fence: int) -> None:
        """Send the stops of a session that got no reply, between two polls.

        Ends with the first one that gets no reply again.
        """
        for request in self._failed_stops.take_session(fence):
            tries = try_again(
                Tries(delivery=local.Delivery.POSSIBLE),
                functools.partial(
                    self._reply_times.measure,
                    request.worker.id,
                    0,
                    functools.partial(
                        self._workers.stop_between_polls, request
                    ),
                ),
            )
            logs.info(
                'stop_sent_between_polls',
                worker=request.worker.id,
                is_answered=tries.was_answered,
            )
            if not tries.was_answered:
                return
            self._report_done(request, tries)

    def _try_first(self, request: StopRequest) -> None:
        if self._repeated_stops.has_session(request.fence):
            logs.info('stop_given_up', worker=request.worker.id)
            self._finish(request, Tries())
        else:
            self._try_again(request, Tries())

    def _try_again(self, request: StopRequest, tries: Tries) -> None:
        threading.Event().wait(tries.pause_s(boottime_s()))
        if self._pending_stops.contains(request):
            tries = try_again(
                tries,
                functools.partial(
                    self._reply_times.measure,
                    request.worker.id,
                    tries.count,
                    functools.partial(self._workers.stop, request),
                ),
            )
            if not tries.was_answered and tries.count < MAX_STOP_TRIES:
                self._repeated_stops.add(request)
                self._repeated_tries.submit(self._try_again, request, tries)
                return
        self._finish(request, tries)

    def _finish(self, request: StopRequest, tries: Tries) -> None:
        if self._pending_stops.contains(request) and not tries.was_answered:
            self._failed_stops.add(request)
        self._pending_stops.remove(request)
        self._repeated_stops.remove(request)
        self._report_done(request, tries)

    def _report_done(self, request: StopRequest, tries: Tries) -> None:
        self._report(
            local.StopDone(
                request.worker.id,
                request.fence,
                request.attempt,
                tries.reply,
            )
        )


class _StopsBySession:
    """Thread-safe set of stops; each session has a fence of its own."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stops_by_fence: dict[int, dict[AttemptKey, StopRequest]] = {}

    def add(self, request: StopRequest) -> None:
        """Add a stop."""
        with self._lock:
            stops = self._stops_by_fence.setdefault(request.fence, {})
            stops[request.attempt] = request

    def remove(self, request: StopRequest) -> None:
        """Remove a stop; unknown ones are ignored."""
        with self._lock:
            stops = self._stops_by_fence.get(request.fence, {})
            stops.pop(request.attempt, None)
            if not stops:
                self._stops_by_fence.pop(request.fence, None)

    def take_session(self, fence: int) -> list[StopRequest]:
        """Remove and return all stops of a session."""
        with self._lock:
            return list(self._stops_by_fence.pop(fence, {}).values())

    def has_session(self, fence: int) -> bool:
        """Tell whether any stop of a session is in the set."""
        with self._lock:
            return fence in self._stops_by_fence

    def contains(self, request: StopRequest) -> bool:
        """Tell whether a stop is in the set."""
        with self._lock:
            return request.attempt in self._stops_by_fence.get(
                request.fence, ()
            )
