"""A process of the cell with its service and threads, on simulated time.

The service is the real one; the sender follows ``ThreadedRequestSender`` and
``StopSender`` with events in place of threads.
"""

import functools
import typing

import msgspec
from model_network import Outcome, WorkerLink
from model_simulation import Action, Simulation

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import (
    PollRequest,
    StartRequest,
    StopRequest,
)
from cassiahold.cell.reply_times import ReplyTimes
from cassiahold.cell.request_sender import (
    FAILED_POLL_PAUSE_S,
    MAX_START_TRIES,
    _PendingStarts,
)
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import POLL_TIMEOUT_SLACK_S, CellSettings
from cassiahold.cell.stop_sender import MAX_STOP_TRIES, _StopsBySession
from cassiahold.cell.tries import Tries, try_again
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import DataCentre, HostName, WorkerId
from cassiahold.core.metrics import NullMetrics
from cassiahold.workflows.model import AttemptKey, WorkerInfo
from cassiahold.workflows.plans import AdvisorQuery

TICK_S = 0.05
FLUSH_DELAY_S = 0.002
COMMIT_S = 0.004

ReplyCallback = typing.Callable[[typing.Any], None]


class _Entry(msgspec.Struct):
    payload: bytes
    make_reply: typing.Callable[[typing.Any], typing.Any] | None = None
    callback: ReplyCallback | None = None


class LeaderProcess:
    """One process: it leads until ``depose`` is called.

    While it is frozen none of its threads runs.  ``commit_s`` is how long its
    commands take to be committed; they are applied in order.
    """

    def __init__(
        self,
        simulation: Simulation,
        link_by_worker: typing.Mapping[WorkerId, WorkerLink],
    ) -> None:
        settings = CellSettings(HostName('a'), DataCentre('z'), 'a:1', ())
        self.simulation = simulation
        self.frozen_until = 0.0
        self.commit_s = COMMIT_S
        self.is_deposed = False
        self._sender = ModelSender(self, link_by_worker)
        self.service = CellService(settings, self._sender, NullMetrics())
        self._queued: list[_Entry] = []
        self._uncommitted: list[_Entry] = []
        self._is_flush_due = False
        self._last_commit_at = simulation.now

    def lead(self, term: int) -> None:
        self.service.start_leading(term, self.simulation.now)
        self._tick()

    def depose(self) -> list[bytes]:
        """Stop to lead; return the commands that may still be committed."""
        self.is_deposed = True
        self.service.stop_leading()
        for entry in (*self._uncommitted, *self._queued):
            if entry.callback is not None:
                entry.callback(local.SessionClosed())
        return [entry.payload for entry in self._uncommitted]

    def schedule(self, delay_s: float, action: Action) -> None:
        """Schedule a step of a thread of this process."""
        self.simulation.schedule(delay_s, lambda: self.run(action))

    def run(self, action: Action) -> None:
        """Run a step of a thread now or once the process is not frozen."""
        frozen_s = self.frozen_until - self.simulation.now
        if frozen_s > 0:
            delay_s = frozen_s + self.simulation.random.uniform(0, 0.05)
            self.simulation.schedule(delay_s, lambda: self.run(action))
            return
        action()

    def handle(
        self, request: typing.Any, callback: ReplyCallback | None = None
    ) -> None:
        """Handle a request as the replica does."""
        callback = callback or _ignore
        if self.is_deposed:
            callback(local.SessionClosed())
            return
        reply = self.service.handle_request(request, self.simulation.now)
        if not isinstance(reply, Proposal):
            callback(reply)
        else:
            self._queued.append(
                _Entry(reply.payload, reply.make_reply, callback)
            )
        self._plan_flush()

    def _plan_flush(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            self.schedule(FLUSH_DELAY_S, self._flush)

    def _flush(self) -> None:
        """Propose the leader's own commands before the queued ones."""
        self._is_flush_due = False
        if self.is_deposed:
            return
        entries = [
            _Entry(payload)
            for payload in self.service.due_commands(self.simulation.now)
        ]
        entries.extend(self._queued)
        self._queued = []
        commit_at = max(
            self.simulation.now + self.commit_s, self._last_commit_at
        )
        self._last_commit_at = commit_at
        for entry in entries:
            self._uncommitted.append(entry)
            self.schedule(commit_at - self.simulation.now, self._commit_next)

    def _commit_next(self) -> None:
        if self.is_deposed:
            return
        entry = self._uncommitted.pop(0)
        outcome = self.service.apply(entry.payload)
        if entry.make_reply is not None and entry.callback is not None:
            entry.callback(entry.make_reply(outcome))
        self._plan_flush()

    def _tick(self) -> None:
        if not self.is_deposed:
            self._plan_flush()
            self.schedule(TICK_S, self._tick)


class ModelSender:
    """Implements ``RequestSender`` with events."""

    def __init__(
        self,
        process: LeaderProcess,
        link_by_worker: typing.Mapping[WorkerId, WorkerLink],
    ) -> None:
        self._process = process
        self._simulation = process.simulation
        self._link_by_worker = link_by_worker
        self._reply_times = ReplyTimes()
        self._pending_starts = _PendingStarts(self._simulation.read_clock)
        self._pending_stops = _StopsBySession()
        self._repeated_stops = _StopsBySession()
        self._failed_stops = _StopsBySession()

    # Called by the service.

    def start_polling(self, worker: WorkerInfo, fence: int) -> None:
        self._report(
            local.GetFirstPoll(worker.id, fence),
            functools.partial(self._poll_again, fence, 0),
        )

    def send_start(self, request: StartRequest) -> None:
        self._pending_starts.add(request)
        self._process.schedule(0, lambda: self._start(request, Tries()))

    def withdraw_start(self, attempt: AttemptKey) -> None:
        self._pending_starts.remove(attempt)

    def withdraw_starts(self, fence: int) -> None:
        self._pending_starts.remove_session(fence)

    def send_stop(self, request: StopRequest) -> None:
        self._pending_starts.remove(request.attempt)
        self._pending_stops.add(request)
        self._process.schedule(0, lambda: self._stop_first(request))

    def stop_leading(self) -> None:
        """Keep the connections, which the model does not have."""

    def query_advisor(self, query: AdvisorQuery) -> None:
        raise AssertionError('no queue has an advisor')

    # Polls.

    def _poll_again(
        self, fence: int, failed_polls: int, request: typing.Any
    ) -> None:
        """Send the next poll, after the stops that got no reply."""
        if not isinstance(request, PollRequest) or request.fence != fence:
            self._pending_stops.take_session(fence)
            self._failed_stops.take_session(fence)
        if not isinstance(request, PollRequest):
            return
        failed_stops = (
            [] if failed_polls else self._failed_stops.take_session(fence)
        )
        self._send_failed_stops(
            failed_stops, lambda: self._poll(request, failed_polls)
        )

    def _poll(self, request: PollRequest, failed_polls: int) -> None:
        sent_at = self._simulation.now
        worker = request.worker.id
        slack_s = 2 * self._reply_times.timeout_s(worker, failed_polls)
        self._send(
            request,
            request.max_wait_s + min(slack_s, POLL_TIMEOUT_SLACK_S),
            lambda outcome: self._finish_poll(
                request, sent_at, failed_polls, outcome
            ),
        )

    def _finish_poll(
        self,
        request: PollRequest,
        sent_at: float,
        failed_polls: int,
        outcome: Outcome,
    ) -> None:
        worker = request.worker.id
        pause_s = 0.0
        try:
            reply = outcome()
        except CassiaholdError:
            reply = None
            pause_s = FAILED_POLL_PAUSE_S
        if reply is not None and not request.max_wait_s:
            self._reply_times.record(worker, self._simulation.now - sent_at)
        done = local.PollDone(worker, request.fence, reply, sent_at)
        next_poll = functools.partial(
            self._poll_again,
            request.fence,
            failed_polls + 1 if reply is None else 0,
        )
        self._process.schedule(pause_s, lambda: self._report(done, next_poll))

    def _send_failed_stops(
        self, stops: list[StopRequest], continue_polling: Action
    ) -> None:
        """Send stops in turn until one gets no reply."""
        if not stops:
            continue_polling()
            return
        request, *others = stops

        def finish(tries: Tries) -> None:
            if not tries.was_answered:
                continue_polling()
                return
            self._report_stop(request, tries)
            self._send_failed_stops(others, continue_polling)

        self._try(request, Tries(delivery=local.Delivery.POSSIBLE), finish)

    # Starts and stops.

    def _start(self, request: StartRequest, tries: Tries) -> None:
        if self._should_try(request, tries):
            self._process.schedule(
                tries.pause_s(self._simulation.now),
                lambda: self._start_after_pause(request, tries),
            )
        else:
            self._finish_start(request, tries)

    def _start_after_pause(self, request: StartRequest, tries: Tries) -> None:
        if self._should_try(request, tries):
            self._try(request, tries, functools.partial(self._start, request))
        else:
            self._finish_start(request, tries)

    def _finish_start(self, request: StartRequest, tries: Tries) -> None:
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

    def _stop_first(self, request: StopRequest) -> None:
        if self._repeated_stops.has_session(request.fence):
            self._finish_stop(request, Tries())
        else:
            self._stop(request, Tries())

    def _stop(self, request: StopRequest, tries: Tries) -> None:
        is_over = tries.was_answered or tries.count >= MAX_STOP_TRIES
        if is_over or not self._pending_stops.contains(request):
            self._finish_stop(request, tries)
            return
        if tries.count:
            self._repeated_stops.add(request)
        self._process.schedule(
            tries.pause_s(self._simulation.now),
            lambda: self._try(
                request, tries, functools.partial(self._stop, request)
            ),
        )

    def _finish_stop(self, request: StopRequest, tries: Tries) -> None:
        if self._pending_stops.contains(request) and not tries.was_answered:
            self._failed_stops.add(request)
        self._pending_stops.remove(request)
        self._repeated_stops.remove(request)
        self._report_stop(request, tries)

    def _report_stop(self, request: StopRequest, tries: Tries) -> None:
        self._report(
            local.StopDone(
                request.worker.id, request.fence, request.attempt, tries.reply
            )
        )

    def _try(
        self,
        request: StartRequest | StopRequest,
        tries: Tries,
        finish: typing.Callable[[Tries], None],
    ) -> None:
        worker = request.worker.id
        sent_at = self._simulation.now

        def handle_outcome(outcome: Outcome) -> None:
            answered = try_again(tries, outcome)
            if answered.was_answered:
                self._reply_times.record(worker, self._simulation.now - sent_at)
            finish(msgspec.structs.replace(answered, tried_at=sent_at))

        timeout_s = self._reply_times.timeout_s(worker, tries.count)
        self._send(request, timeout_s, handle_outcome)

    # Requests and reports.

    def _send(
        self,
        request: typing.Any,
        timeout_s: float,
        handle_outcome: typing.Callable[[Outcome], None],
    ) -> None:
        link = self._link_by_worker[request.worker.id]
        link.send(
            request,
            timeout_s,
            lambda outcome: self._process.run(lambda: handle_outcome(outcome)),
        )

    def _report(
        self, request: typing.Any, callback: ReplyCallback | None = None
    ) -> None:
        """Report to the service, at times late, and run the next step."""
        delay_s = self._process.simulation.random.uniform(0, 0.002)
        callback = callback or _ignore
        self._process.schedule(
            delay_s,
            lambda: self._process.handle(
                request,
                lambda reply: self._process.schedule(
                    0, lambda: callback(reply)
                ),
            ),
        )


def _ignore(_: object) -> None:
    """Ignore a reply."""
