"""Property of the rule on capacity over random orders of events, without I/O.

Reports may arrive late, commands wait in the log before they are committed,
and another replica may lead at any time.
"""

import typing

from hypothesis import given, settings
from hypothesis import strategies as st
from test_capacity_reports import LoggedCell

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import DataCentre, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.commands import StartAttempts, decode_command
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    StepSpec,
    WorkerInfo,
    WorkflowSpec,
)
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

WORKERS = (WorkerId('v'), WorkerId('w'))
CAPACITIES = (
    Resources(),
    Resources(1000, 400),
    Resources(4000, 15),
    Resources(2000, 100),
    Resources(4000, 400),
)
STEPS = (
    StepSpec(6, Resources(1000, 10)),
    StepSpec(3, Resources(1000, 50), is_gang=True),
    StepSpec(4, Resources(0, 100)),
)
PASS_INTERVAL_S = 0.06


class SimulatedWorker:
    """What one worker runs and what it says of itself."""

    def __init__(self, worker: WorkerId) -> None:
        self.id = worker
        self.incarnation = 0
        self.end_count = 0
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.sequence = 0
        self.running: dict[AttemptKey, None] = {}
        self.ended: list[EndedAttempt] = []

    def report(self, capacity: Resources) -> requests.WorkerBeat:
        self.sequence += 1
        info = WorkerInfo(
            self.id,
            self.incarnation,
            f'{self.id}:1',
            's',
            DataCentre('z'),
            capacity,
        )
        return requests.WorkerBeat(info, self.sequence)

    def end_one(self) -> None:
        if self.running:
            attempt = next(iter(self.running))
            self.running.pop(attempt)
            self.end_count += 1
            self.ended.append(
                EndedAttempt(
                    self.end_count, attempt, AttemptOutcome.STOPPED, ''
                )
            )

    def poll_reply(self) -> PollReply:
        running = tuple(RunningAttempt(each, '', 0) for each in self.running)
        return PollReply(self.incarnation, 1000, running, tuple(self.ended))


class CheckedCell(LoggedCell):
    """A cell whose starts are compared with the newest stored reports."""

    def __init__(self) -> None:
        self.newest_by_worker: dict[WorkerId, tuple[int, int, Resources]] = {}
        self.worker_by_id = {each: SimulatedWorker(each) for each in WORKERS}
        self.delayed_reports: list[requests.WorkerBeat] = []
        self.started_count = 0
        self.now = boottime_s()
        super().__init__()
        for number, step in enumerate(STEPS):
            spec = WorkflowSpec('payload', (step,))
            self.send(requests.SubmitWork('h', f'/q/{number}', 'key', spec))
        for worker in WORKERS:
            self.report_capacity(worker, CAPACITIES[-1], is_delayed=False)
        self.commit_some(len(self.pending))

    # Events.

    def report_capacity(
        self, worker: WorkerId, capacity: Resources, *, is_delayed: bool
    ) -> None:
        beat = self.worker_by_id[worker].report(capacity)
        if is_delayed:
            self.delayed_reports.append(beat)
        else:
            self._deliver(beat, is_late=False)

    def deliver_late(self, index: int) -> None:
        if self.delayed_reports:
            index %= len(self.delayed_reports)
            self._deliver(self.delayed_reports.pop(index), is_late=True)

    def commit_some(self, count: int) -> None:
        for _ in range(min(count, len(self.pending))):
            self._commit_one(self.pending.pop(0))

    def plan(self) -> None:
        self.now += PASS_INTERVAL_S
        for payload in self.service.due_commands(self.now):
            self.pending.append(Proposal(payload, lambda _: None))

    def poll_worker(self, worker: WorkerId) -> None:
        fence = self.sender.fence_by_worker.get(worker)
        if fence is not None:
            reply = self.worker_by_id[worker].poll_reply()
            poll = local.PollDone(worker, fence, reply, self.now)
            outcome = self.service.handle_request(poll, self.now)
            if isinstance(outcome, Proposal):
                self.pending.append(outcome)

    def end_attempt(self, worker: WorkerId) -> None:
        self.worker_by_id[worker].end_one()

    def cancel_job(self, index: int) -> None:
        path = f'/q/{index % len(STEPS)}'
        self.send(requests.CancelWork('h', path, 'key'))

    def restart_worker(self, worker: WorkerId) -> None:
        self.worker_by_id[worker].restart()

    def _deliver(self, beat: requests.WorkerBeat, *, is_late: bool) -> None:
        reply = self.service.handle_request(beat, self.now)
        if isinstance(reply, Proposal):
            self.pending.append(
                Proposal(reply.payload, lambda _: self._acknowledge(beat))
            )
        elif not is_late:
            # A late one may be ignored for a newer one that is not stored yet.
            self._acknowledge(beat)

    # Checks.

    def _acknowledge(self, beat: requests.WorkerBeat) -> None:
        info = beat.info
        known = self.service.state.worker_by_id[info.id].info
        if info.incarnation < known.incarnation:
            # It says nothing of the incarnation that runs.
            return
        report = (info.incarnation, beat.sequence, info.capacity)
        newest = self.newest_by_worker.get(info.id, report)
        if report[:2] >= newest[:2]:
            self.newest_by_worker[info.id] = report

    def _commit_one(self, proposal: Proposal) -> None:
        workers = self.service.state.worker_by_id
        earlier_attempts = {
            each.info.id: set(each.resources_by_attempt)
            for each in workers.values()
        }
        proposal.make_reply(self.service.apply(proposal.payload))
        if isinstance(decode_command(proposal.payload), StartAttempts):
            for worker in workers.values():
                started = worker.resources_by_attempt.keys()
                if started - earlier_attempts[worker.info.id]:
                    self.started_count += 1
                    *_, capacity = self.newest_by_worker[worker.info.id]
                    assert worker.allocated.fits_in(capacity)
        self._run_starts()

    def _run_starts(self) -> None:
        for start in self.sender.starts:
            worker = self.worker_by_id[start.worker.id]
            if worker.incarnation == start.worker.incarnation:
                worker.running[start.attempt] = None
        self.sender.starts.clear()


_WORKER = st.sampled_from(WORKERS)
_CAPACITY = st.sampled_from(CAPACITIES)
_NUMBER = st.integers(0, 7)
_EVENT = st.one_of(
    st.tuples(st.just('report'), _WORKER, _CAPACITY),
    st.tuples(st.just('delay_report'), _WORKER, _CAPACITY),
    st.tuples(st.just('deliver_late'), _NUMBER),
    st.tuples(st.just('commit'), _NUMBER),
    st.tuples(st.just('plan')),
    st.tuples(st.just('poll'), _WORKER),
    st.tuples(st.just('end'), _WORKER),
    st.tuples(st.just('cancel'), _NUMBER),
    st.tuples(st.just('restart'), _WORKER),
    st.tuples(st.just('change_leader')),
)


def play(cell: CheckedCell, event: tuple[typing.Any, ...]) -> None:
    name, *arguments = event
    handler_by_name: dict[str, typing.Callable[..., None]] = {
        'report': lambda worker, capacity: cell.report_capacity(
            worker, capacity, is_delayed=False
        ),
        'delay_report': lambda worker, capacity: cell.report_capacity(
            worker, capacity, is_delayed=True
        ),
        'deliver_late': cell.deliver_late,
        'commit': cell.commit_some,
        'plan': cell.plan,
        'poll': cell.poll_worker,
        'end': cell.end_attempt,
        'cancel': cell.cancel_job,
        'restart': cell.restart_worker,
        'change_leader': cell.change_leader,
    }
    handler_by_name[name](*arguments)


def place_waiting_tasks(cell: CheckedCell) -> None:
    for _ in range(2):
        for worker in WORKERS:
            cell.poll_worker(worker)
        cell.commit_some(len(cell.pending))
    cell.plan()
    cell.commit_some(len(cell.pending))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_EVENT, max_size=40))
def test_no_order_of_events_exceeds_the_newest_capacity(
    events: list[tuple[typing.Any, ...]],
) -> None:
    cell = CheckedCell()
    for event in events:
        play(cell, event)
    place_waiting_tasks(cell)


load_tests = function_tests(globals())
