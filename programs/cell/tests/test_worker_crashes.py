"""Tests of tasks that crash the workers on which they start, without I/O."""

from unittest import mock

from leader_fixtures import (
    LeaderFixture,
    confirm,
    crash_evidence,
    make_leader,
    submit,
)

from cassiahold.cell import attempt_ends, requests
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import ReplyStatus, WorkerReply
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.crashes import PROVEN_RUN_S, CrashEvidence
from cassiahold.workflows.model import JobState, StepSpec, WorkflowSpec
from cassiahold.workflows.sessions import RunningAttempt

MAX_STARTS = 5


def fail_poll(leader: LeaderFixture, worker: WorkerId) -> None:
    fence = leader.sender.fence_by_worker[worker]
    leader.handle(local.PollDone(worker, fence, None, boottime_s()))


def crash_and_restart(leader: LeaderFixture, incarnation: int) -> None:
    """Crash worker ``w``; it returns under its id and runs nothing."""
    fail_poll(leader, WorkerId('w'))
    leader.send_heartbeat('w', incarnation=incarnation)
    leader.reply_to_poll('w', incarnation=incarnation)
    # Late enough for the next pass, while the worker is not yet silent.
    leader.apply_due_commands(boottime_s() + 0.1 * incarnation)


def crash_until_given_up(leader: LeaderFixture) -> int:
    """Crash ``w`` after each start; return how many starts were sent."""
    incarnation = 1
    count = 0
    while len(leader.sender.starts) > count:
        count = len(leader.sender.starts)
        confirm(leader, leader.sender.starts[-1])
        incarnation += 1
        crash_and_restart(leader, incarnation)
        assert count <= MAX_STARTS
    return count


def test_task_that_crashes_its_workers_is_given_up() -> None:
    # Such a task was started for as long as its job was open and took down
    # one worker after the other.
    leader = make_leader('w')
    submit(leader, '/q/1')
    assert crash_until_given_up(leader) == 3
    assert leader.job_state('/q/1') is JobState.FAILED


def test_crashes_are_counted_across_leaders() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    confirm(leader, leader.sender.starts[-1])
    crash_and_restart(leader, 2)
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    # The next leader has seen neither the start nor the crash.
    leader.send_heartbeat('w', incarnation=3)
    leader.reply_to_poll('w', incarnation=3)
    leader.apply_due_commands(boottime_s() + 0.3)
    confirm(leader, leader.sender.starts[-1])
    crash_and_restart(leader, 4)
    assert leader.job_state('/q/1') is JobState.FAILED
    assert len(leader.sender.starts) == 3


def test_crash_is_seen_when_another_process_has_the_address() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    fail_poll(leader, WorkerId('w'))
    leader.handle(
        local.PollDone(
            start.worker.id,
            start.fence,
            None,
            boottime_s(),
            is_other_incarnation=True,
        )
    )
    leader.apply_due_commands(boottime_s() + 1)
    (task,) = (
        leader.service.state.job_by_id[start.attempt.task.step.job]
        .steps_by_occurrence[0][0]
        .tasks
    )
    assert task.crash_score == CrashEvidence.ONLY_RECENT


def test_start_that_was_refused_is_not_blamed_for_a_crash() -> None:
    # Soak seed 3: another process had the worker's address already when the
    # start of a sound task arrived, and the task was given up in the end.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    replaced = local.StartDone(
        start.worker.id,
        start.fence,
        start.attempt,
        WorkerReply(ReplyStatus.REPLACED),
        local.Delivery.NOT_SENT,
    )
    # The end of the start is proposed, but the removal is applied first.
    leader.service.handle_request(replaced, boottime_s())
    leader.apply_due_commands(boottime_s() + 1)
    (task,) = (
        leader.service.state.job_by_id[start.attempt.task.step.job]
        .steps_by_occurrence[0][0]
        .tasks
    )
    assert task.active_attempt is None
    assert task.crash_score == 0


def test_silence_and_departure_are_no_crashes() -> None:
    # A worker that was cut off, or that left, says nothing about its tasks.
    leader = make_leader('v', 'w')
    submit(leader, '/q/1')
    submit(leader, '/q/2')
    for start in leader.sender.starts:
        confirm(leader, start)
    leader.handle(requests.WorkerLeft(WorkerId('v'), 1))
    leader.apply_due_commands(boottime_s() + 8)
    assert not leader.service.state.worker_by_id
    scores = [
        task.crash_score
        for record in leader.service.state.job_by_id.values()
        for task in record.steps_by_occurrence[0][0].tasks
    ]
    assert scores == [0, 0]


def test_crash_is_seen_when_the_start_is_sent_again_after_it() -> None:
    # The first try started the task and got no reply; the next one met the
    # process that had taken the address of the crashed worker.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    replaced = WorkerReply(ReplyStatus.REPLACED)
    leader.handle(
        local.StartDone(start.worker.id, start.fence, start.attempt, replaced)
    )
    leader.apply_due_commands(boottime_s() + 1)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_refused_start_is_no_crash_of_its_task() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    replaced = WorkerReply(ReplyStatus.REPLACED)
    leader.handle(
        local.StartDone(
            start.worker.id,
            start.fence,
            start.attempt,
            replaced,
            local.Delivery.NOT_SENT,
        )
    )
    leader.apply_due_commands(boottime_s() + 1)
    assert not crash_evidence(leader, start)


def score_after_return(leader: LeaderFixture) -> int:
    """Let ``w`` return under its id; return the crash score of its task."""
    (start,) = leader.sender.starts
    leader.send_heartbeat('w', incarnation=2)
    leader.reply_to_poll('w', incarnation=2)
    return crash_evidence(leader, start)


def test_departure_is_no_crash_when_the_worker_returns_under_its_id() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    leader.handle(requests.WorkerLeft(WorkerId('w'), 1))
    assert not score_after_return(leader)


def test_draining_worker_that_returns_under_its_id_has_not_crashed() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    assert not score_after_return(leader)


def test_sound_task_survives_two_crashes_of_others() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    for incarnation in (2, 3):
        crash_and_restart(leader, incarnation)
        confirm(leader, leader.sender.starts[-1])
    assert leader.job_state('/q/1') is JobState.ACTIVE
    assert len(leader.sender.starts) == 3
    running = RunningAttempt(leader.sender.starts[-1].attempt, '', 10)
    leader.reply_to_poll('w', running=(running,), incarnation=3)
    assert not leader.sender.stops


def test_second_restart_does_not_weaken_the_evidence_of_the_first() -> None:
    # The worker crashed again before it had replied to a poll, for example
    # under a start that was carried out late.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    confirm(leader, start)
    leader.send_heartbeat('w', incarnation=2)
    leader.send_heartbeat('w', incarnation=3)
    leader.reply_to_poll('w', incarnation=3)
    score = crash_evidence(leader, start)
    assert score >= CrashEvidence.ONLY_RECENT, score


def test_late_report_of_a_start_does_not_weaken_its_evidence() -> None:
    # The worker confirmed the start and crashed at once.  The report waited
    # 2 s, as the leader's lease had lapsed, and counted as a sign of life.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    reply = WorkerReply(ReplyStatus.DONE, 1000)
    leader.service.handle_request(
        local.StartDone(start.worker.id, start.fence, start.attempt, reply),
        boottime_s() + 2,
    )
    crash_and_restart(leader, 2)
    score = crash_evidence(leader, start)
    assert score == CrashEvidence.ONLY_RECENT, score


def run_and_crash(leader: LeaderFixture, incarnation: int) -> None:
    """Let the task of ``w`` run under the next leader and crash ``w``."""
    start = leader.sender.starts[-1]
    confirm(leader, start)
    leader.start_next_term()
    running = RunningAttempt(start.attempt, '', 10)
    leader.reply_to_poll('w', (running,), incarnation=incarnation - 1)
    later = boottime_s() + 2 * PROVEN_RUN_S
    with mock.patch.object(attempt_ends, 'boottime_s', return_value=later):
        fail_poll(leader, WorkerId('w'))
        leader.send_heartbeat('w', incarnation=incarnation)
        leader.reply_to_poll('w', incarnation=incarnation)
    leader.apply_due_commands(boottime_s() + 0.1)


def test_sound_long_running_task_survives_crashes_after_new_leaders() -> None:
    # Each crash came after a minute of sound work.  The leader had not seen
    # the start, so the crash was held against the task.
    leader = make_leader('w')
    step = StepSpec(1, Resources(1000, 10), is_long_running=True)
    spec = WorkflowSpec('payload', (step,))
    leader.handle(requests.SubmitWork('h', '/q/1', 'key', spec))
    leader.apply_due_commands()
    for incarnation in range(2, 7):
        run_and_crash(leader, incarnation)
    assert leader.job_state('/q/1') is JobState.ACTIVE, leader.job_state('/q/1')


load_tests = function_tests(globals())
