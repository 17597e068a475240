"""Tests of ends that workers list after their attempts were given up."""

from leader_fixtures import (
    LEASE_S,
    LeaderFixture,
    confirm,
    make_leader,
    submit,
)

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    WorkerReply,
)
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.late_ends import MAX_LOST_ATTEMPTS_PER_TASK
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    TaskKey,
)
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

W = WorkerId('w')


def give_up_first_attempt(leader: LeaderFixture) -> StartRequest:
    """Start a task on ``w`` and remove the worker, which runs on.

    It has deregistered, and another process has its address for a moment.
    """
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    leader.handle(requests.WorkerLeft(W, 1))
    leader.handle(
        local.PollDone(
            W, start.fence, None, boottime_s(), is_other_incarnation=True
        )
    )
    leader.apply_due_commands(boottime_s() + 0.6)
    assert W not in leader.service.state.worker_by_id
    return start


def return_with(
    leader: LeaderFixture, start: StartRequest, outcome: AttemptOutcome
) -> None:
    """Let ``w`` return and list the end of an attempt."""
    leader.send_heartbeat('w', sequence=2)
    leader.reply_to_poll(
        'w', ended=(EndedAttempt(1, start.attempt, outcome, ''),)
    )
    leader.apply_due_commands(boottime_s() + 1.1)


def refuse_start(leader: LeaderFixture, start: StartRequest) -> None:
    leader.handle(
        local.StartDone(
            start.worker.id,
            start.fence,
            start.attempt,
            WorkerReply(ReplyStatus.NO_CAPACITY, 1000),
        )
    )


def started_numbers(leader: LeaderFixture) -> list[int]:
    return [start.attempt.attempt_number for start in leader.sender.starts]


def test_task_done_before_its_attempt_was_given_up_does_not_run_again() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    return_with(leader, start, AttemptOutcome.DONE)
    assert started_numbers(leader) == [1]
    assert leader.job_state('/q/1') is JobState.COMPLETE


def test_failure_told_after_the_attempt_was_given_up_counts() -> None:
    # Two attempts are allowed.
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    return_with(leader, start, AttemptOutcome.FAILED)
    second = leader.sender.starts[-1]
    leader.reply_to_poll(
        'w', ended=(EndedAttempt(2, second.attempt, AttemptOutcome.FAILED, ''),)
    )
    leader.apply_due_commands(boottime_s() + 1.3)
    assert started_numbers(leader) == [1, 2]
    assert leader.job_state('/q/1') is JobState.FAILED


def test_late_failure_listed_twice_counts_once() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    return_with(leader, start, AttemptOutcome.FAILED)
    leader.start_next_term()
    leader.reply_to_poll(
        'w', ended=(EndedAttempt(1, start.attempt, AttemptOutcome.FAILED, ''),)
    )
    assert leader.job_state('/q/1') is JobState.ACTIVE


def test_attempt_that_replaced_one_that_is_done_is_stopped() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    leader.send_heartbeat('v')
    leader.reply_to_poll('v')
    leader.apply_due_commands(boottime_s() + 0.9)
    assert started_numbers(leader) == [1, 2]
    return_with(leader, start, AttemptOutcome.DONE)
    assert leader.job_state('/q/1') is JobState.COMPLETE
    (stop,) = leader.sender.stops
    assert stop.attempt.attempt_number == 2


def test_next_leader_stops_the_attempt_that_replaced_one_that_is_done() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    leader.send_heartbeat('v')
    leader.reply_to_poll('v')
    leader.apply_due_commands(boottime_s() + 0.9)
    return_with(leader, start, AttemptOutcome.DONE)
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    leader.sender.stops.clear()
    second = leader.sender.starts[-1].attempt
    leader.reply_to_poll('v', running=(RunningAttempt(second, '', 5),))
    (stop,) = leader.sender.stops
    assert stop.attempt == second


def test_ends_of_a_worker_removed_meanwhile_are_not_acknowledged() -> None:
    # Both commands are proposed before one of them is applied.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    reply = PollReply(
        1, 1000, (), (EndedAttempt(1, start.attempt, AttemptOutcome.DONE, ''),)
    )
    fence = leader.sender.fence_by_worker[W]
    now = boottime_s()
    proposal = leader.service.handle_request(
        local.PollDone(W, fence, reply, now), now
    )
    leader.handle(requests.WorkerLeft(W, 1))
    leader.apply_due_commands(now + LEASE_S)
    answer = proposal.make_reply(leader.service.apply(proposal.payload))
    assert isinstance(answer, local.SessionClosed)


def test_end_of_an_attempt_that_was_never_started_is_ignored() -> None:
    # An attempt number 0 completed a task that no worker had started.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    refuse_start(leader, start)
    for number in (0, 2):
        attempt = AttemptKey(start.attempt.task, number)
        leader.reply_to_poll(
            'w', ended=(EndedAttempt(1, attempt, AttemptOutcome.DONE, ''),)
        )
        assert leader.job_state('/q/1') is JobState.QUEUED


def test_end_of_a_task_that_its_job_does_not_have_is_ignored() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    step = start.attempt.task.step
    for task in (
        TaskKey(step, 7),
        TaskKey(step._replace(step_index=7), 0),
        TaskKey(step._replace(occurrence=7), 0),
    ):
        poll = leader.reply_to_poll(
            'w',
            running=(RunningAttempt(start.attempt, '', 5),),
            ended=(
                EndedAttempt(1, AttemptKey(task, 1), AttemptOutcome.DONE, ''),
            ),
        )
        assert isinstance(poll, PollRequest)
    leader.apply_due_commands()
    assert leader.job_state('/q/1') is JobState.ACTIVE


def test_done_is_counted_after_many_refused_starts() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    leader.send_heartbeat('v')
    leader.reply_to_poll('v')
    for number in range(MAX_LOST_ATTEMPTS_PER_TASK):
        now = boottime_s() + 0.9 + number / 5
        leader.reply_to_poll_at('v', now)
        leader.apply_due_commands(now)
        refuse_start(leader, leader.sender.starts[-1])
    assert len(leader.sender.starts) > MAX_LOST_ATTEMPTS_PER_TASK
    return_with(leader, start, AttemptOutcome.DONE)
    assert leader.job_state('/q/1') is JobState.COMPLETE


def test_done_is_counted_by_a_replica_with_a_snapshot_of_release_0_6() -> None:
    leader = make_leader('w')
    start = give_up_first_attempt(leader)
    step = start.attempt.task.step
    (task,) = leader.service.state.job_by_id[step.job].step(step).tasks
    # That release gave the attempt up without remembering it.
    task.lost_attempt_numbers.clear()
    return_with(leader, start, AttemptOutcome.DONE)
    assert leader.job_state('/q/1') is JobState.COMPLETE


def test_done_stored_behind_the_loss_of_its_worker_is_counted() -> None:
    # Both commands are proposed before one of them is applied.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    reply = PollReply(
        1, 1000, (), (EndedAttempt(1, start.attempt, AttemptOutcome.DONE, ''),)
    )
    now = boottime_s()
    proposal = leader.service.handle_request(
        local.PollDone(W, leader.sender.fence_by_worker[W], reply, now), now
    )
    leader.apply_due_commands(now + LEASE_S)
    proposal.make_reply(leader.service.apply(proposal.payload))
    assert leader.job_state('/q/1') is JobState.COMPLETE


load_tests = function_tests(globals())
