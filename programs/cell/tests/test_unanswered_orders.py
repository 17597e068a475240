"""Tests of workers that answer polls but no starts or stops, without I/O."""

import typing

from leader_fixtures import LeaderFixture, make_leader, submit

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import PollRequest, StartRequest
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import AttemptOutcome, JobState
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

POLL_COUNT = 8
POLL_INTERVAL_S = 1.0
PASS_INTERVAL_S = 0.2


class AnsweredPolls:
    """The polls of a worker, each answered; ``poll`` is the next one."""

    def __init__(self, leader: LeaderFixture, name: str) -> None:
        self._leader = leader
        self._worker = WorkerId(name)
        self.poll = self.answer()

    def answer(
        self,
        delay_s: float = 0.0,
        running: tuple[RunningAttempt, ...] = (),
        ended: tuple[EndedAttempt, ...] = (),
        fence: int | None = None,
    ) -> typing.Any:
        """Report a reply of the worker some time after the present."""
        if fence is None:
            fence = self._leader.sender.fence_by_worker[self._worker]
            if hasattr(self, 'poll'):
                fence = self.poll.fence
        now = boottime_s() + delay_s
        reply = PollReply(1, 1000 + int(delay_s * 1000), running, ended)
        service = self._leader.service
        poll = service.handle_request(
            local.PollDone(self._worker, fence, reply, now), now
        )
        if isinstance(poll, Proposal):
            poll = poll.make_reply(service.apply(poll.payload))
        if isinstance(poll, PollRequest):
            self.poll = poll
        return poll


def lose_start(leader: LeaderFixture) -> StartRequest:
    """Let the newest start and its stop get no reply."""
    start = leader.sender.starts[-1]
    worker = start.worker.id
    leader.handle(local.StartDone(worker, start.fence, start.attempt, None))
    lose_stops(leader)
    return start


def lose_stops(leader: LeaderFixture) -> None:
    for stop in leader.sender.stops:
        leader.handle(
            local.StopDone(stop.worker.id, stop.fence, stop.attempt, None)
        )
    leader.sender.stops.clear()


def answer_polls(
    leader: LeaderFixture,
    polls: AnsweredPolls,
    running: tuple[RunningAttempt, ...] = (),
) -> None:
    """Answer polls for some seconds; no stop gets a reply."""
    for number in range(1, POLL_COUNT + 1):
        polls.answer(number * POLL_INTERVAL_S, running)
        lose_stops(leader)


def test_start_without_reply_ends_though_no_stop_is_answered() -> None:
    # Polls renewed the lease for 19 s, each stop was lost.
    leader = make_leader('w')
    polls = AnsweredPolls(leader, 'w')
    submit(leader, '/q/1')
    start = lose_start(leader)
    answer_polls(leader, polls)
    assert polls.poll.fence > start.fence
    assert not leader.service.state.worker_by_id[
        WorkerId('w')
    ].resources_by_attempt


def test_reply_under_the_lower_fence_settles_nothing() -> None:
    leader = make_leader('w')
    polls = AnsweredPolls(leader, 'w')
    submit(leader, '/q/1')
    start = lose_start(leader)
    polls.answer(3 * POLL_INTERVAL_S)
    assert polls.poll.fence > start.fence
    # The worker may still carry out the start until it has replied.
    answer = polls.answer(3 * POLL_INTERVAL_S, fence=start.fence)
    assert isinstance(answer, local.SessionClosed)
    record = leader.service.state.worker_by_id[WorkerId('w')]
    assert start.attempt in record.resources_by_attempt


def test_start_that_was_carried_out_runs_on_under_the_higher_fence() -> None:
    leader = make_leader('w')
    polls = AnsweredPolls(leader, 'w')
    submit(leader, '/q/1')
    start = lose_start(leader)
    polls.answer(3 * POLL_INTERVAL_S)
    answer_polls(leader, polls, (RunningAttempt(start.attempt, '', 5),))
    leader.apply_due_commands()
    assert leader.job_state('/q/1') is JobState.ACTIVE
    ended = EndedAttempt(1, start.attempt, AttemptOutcome.DONE, '')
    poll = polls.answer(9 * POLL_INTERVAL_S, ended=(ended,))
    assert poll.last_stored_end == 1
    assert leader.job_state('/q/1') is JobState.COMPLETE


def next_started_worker(leader: LeaderFixture, count: int = 1) -> WorkerId:
    """Submit a job; return where the next tasks start, all on one worker."""
    start_count = len(leader.sender.starts)
    submit(leader, '/q/2')
    leader.apply_due_commands(boottime_s() + PASS_INTERVAL_S)
    workers = [start.worker.id for start in leader.sender.starts[start_count:]]
    assert len(workers) == count
    assert len(set(workers)) == 1
    return workers[0]


def test_worker_that_does_not_answer_a_start_gets_no_work_for_a_while() -> None:
    # Three attempts of one task went to the same worker.
    leader = make_leader('v', 'w')
    submit(leader, '/q/1')
    first = lose_start(leader).worker.id
    assert next_started_worker(leader) != first


def test_worker_to_which_no_start_connects_gets_no_work_for_a_while() -> None:
    leader = make_leader('v', 'w')
    submit(leader, '/q/1')
    start = leader.sender.starts[-1]
    first = start.worker.id
    unreachable = local.Delivery.UNREACHABLE
    leader.handle(
        local.StartDone(first, start.fence, start.attempt, None, unreachable)
    )
    # Its polls use an older connection.
    leader.reply_to_poll(first)
    assert next_started_worker(leader, 2) != first


load_tests = function_tests(globals())
