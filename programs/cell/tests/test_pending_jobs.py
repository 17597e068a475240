"""Tests of the count of the jobs that no worker has begun."""

from leader_fixtures import LeaderFixture, confirm, make_leader, submit

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.clients import ReplyStatus, StartRequest, WorkerReply
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    TaskKey,
)
from cassiahold.workflows.sessions import EndedAttempt, RunningAttempt

REPORT_DELAY_S = 1.0


def pending(leader: LeaderFixture) -> int:
    """Return what a caller is told once beginnings have been stored."""
    leader.apply_due_commands(boottime_s() + REPORT_DELAY_S)
    return leader.handle(requests.GetWork('h', '/q/', 'key')).unstarted_jobs


def start_job(leader: LeaderFixture) -> StartRequest:
    submit(leader, '/q/1')
    return leader.sender.starts[-1]


def answer_start(
    leader: LeaderFixture, start: StartRequest, reply: WorkerReply | None
) -> None:
    leader.handle(
        local.StartDone(start.worker.id, start.fence, start.attempt, reply)
    )


def test_job_whose_start_was_refused_is_still_pending() -> None:
    # It was counted as started as soon as its start was planned.
    for status in (
        ReplyStatus.UNHEALTHY,
        ReplyStatus.NO_CAPACITY,
        ReplyStatus.NO_TICKET,
        ReplyStatus.DEADLINE_PASSED,
    ):
        leader = make_leader('w')
        start = start_job(leader)
        assert pending(leader) == 1
        answer_start(leader, start, WorkerReply(status, 1000))
        assert pending(leader) == 1
        assert leader.job_state('/q/1') is JobState.QUEUED


def test_job_whose_start_got_no_reply_is_pending_until_it_is_listed() -> None:
    leader = make_leader('w')
    start = start_job(leader)
    answer_start(leader, start, None)
    assert pending(leader) == 1
    leader.reply_to_poll('w', running=(RunningAttempt(start.attempt, '', 5),))
    assert pending(leader) == 0
    assert leader.job_state('/q/1') is JobState.ACTIVE


def test_job_is_pending_until_its_start_is_confirmed() -> None:
    leader = make_leader('w')
    start = start_job(leader)
    assert pending(leader) == 1
    confirm(leader, start)
    assert pending(leader) == 0


def test_next_leader_knows_which_jobs_have_begun() -> None:
    leader = make_leader('w')
    confirm(leader, start_job(leader))
    assert pending(leader) == 0
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    assert pending(leader) == 0


def test_next_leader_learns_of_a_beginning_that_was_not_stored() -> None:
    leader = make_leader('w')
    start = start_job(leader)
    confirm(leader, start)
    leader.start_next_term()
    assert pending(leader) == 1
    leader.reply_to_poll('w', running=(RunningAttempt(start.attempt, '', 5),))
    assert pending(leader) == 0


def test_begun_job_is_not_pending_after_its_worker_is_lost() -> None:
    leader = make_leader('w')
    start = start_job(leader)
    confirm(leader, start)
    leader.apply_due_commands()
    leader.handle(
        local.PollDone(
            WorkerId('w'),
            start.fence,
            None,
            boottime_s(),
            is_other_incarnation=True,
        )
    )
    assert pending(leader) == 0


def test_job_that_ends_before_its_beginning_is_stored_is_not_pending() -> None:
    for outcome in (AttemptOutcome.STOPPED, AttemptOutcome.FAILED):
        leader = make_leader('w')
        start = start_job(leader)
        ended = (EndedAttempt(1, start.attempt, outcome, ''),)
        leader.reply_to_poll('w', ended=ended)
        assert pending(leader) == 0


def test_attempt_that_was_never_started_is_no_beginning() -> None:
    leader = make_leader('w')
    start = start_job(leader)
    task = start.attempt.task
    for attempt in (
        AttemptKey(task, 0),
        AttemptKey(task, 2),
        AttemptKey(TaskKey(task.step, 1), 1),
    ):
        leader.reply_to_poll('w', running=(RunningAttempt(attempt, '', 5),))
        assert pending(leader) == 1


load_tests = function_tests(globals())
