"""Tests of the leader's sessions with workers, without I/O."""

from leader_fixtures import (
    CONFIGURATION,
    SPEC,
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
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import JobId, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.workflows.configuration import CellConfiguration
from cassiahold.workflows.health import INITIAL_QUARANTINE_S
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    StepKey,
    StepSpec,
    TaskKey,
    WorkflowSpec,
)
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)


def test_job_runs_to_completion() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    assert leader.job_state('/q/1') is JobState.QUEUED
    confirm(leader, start)
    leader.apply_due_commands()
    assert leader.job_state('/q/1') is JobState.ACTIVE
    poll = leader.reply_to_poll(
        'w', ended=(EndedAttempt(4, start.attempt, AttemptOutcome.DONE, ''),)
    )
    assert isinstance(poll, PollRequest)
    # The worker may discard an end only once it is stored.
    assert poll.last_stored_end == 4
    assert leader.job_state('/q/1') is JobState.COMPLETE


def test_unnoticed_restart_does_not_lose_ends() -> None:
    # Soak seed 61: a worker restarts under its id while its heartbeats are
    # cut.  A poll that acknowledged an end of the earlier incarnation made the
    # new one discard its own ends, and their attempts ran a second time.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    ended = EndedAttempt(4, start.attempt, AttemptOutcome.DONE, '')
    poll = leader.reply_to_poll('w', ended=(ended,))
    assert poll.last_stored_end == 4
    poll = leader.handle(
        local.PollDone(WorkerId('w'), poll.fence, None, boottime_s())
    )
    assert poll.last_stored_end == 0
    poll = leader.reply_to_poll('w', ended=(ended,))
    assert poll.last_stored_end == 4


def test_start_is_withdrawn_once_its_attempt_is_listed() -> None:
    for is_running in (True, False):
        leader = make_leader('w')
        submit(leader, '/q/1')
        (start,) = leader.sender.starts
        running = (RunningAttempt(start.attempt, '', 5),)
        ended = (EndedAttempt(1, start.attempt, AttemptOutcome.DONE, ''),)
        if is_running:
            leader.reply_to_poll('w', running=running)
        else:
            leader.reply_to_poll('w', ended=ended)
        assert leader.sender.withdrawn_attempts == [start.attempt]
        # Its earlier try had been carried out, so nothing is to be stopped.
        leader.handle(
            local.StartDone(
                WorkerId('w'),
                start.fence,
                start.attempt,
                None,
                local.Delivery.POSSIBLE,
            )
        )
        assert not leader.sender.stops


def test_starts_are_withdrawn_with_their_session() -> None:
    leader = make_leader('w')
    fence = leader.sender.fence_by_worker[WorkerId('w')]
    leader.send_heartbeat('w', incarnation=2)
    next_fence = leader.sender.fence_by_worker[WorkerId('w')]
    assert leader.sender.withdrawn_fences == [fence]
    leader.service.stop_leading()
    assert leader.sender.withdrawn_fences == [fence, next_fence]


def test_new_leader_starts_nothing_before_a_poll_under_its_fence() -> None:
    leader = make_leader('w')
    first_fence = leader.sender.fence_by_worker[WorkerId('w')]
    leader.start_next_term()
    assert leader.sender.fence_by_worker[WorkerId('w')] > first_fence
    submit(leader, '/q/1')
    assert not leader.sender.starts
    leader.reply_to_poll('w')
    leader.apply_due_commands()
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1


def test_replica_that_stops_leading_tells_its_sender() -> None:
    leader = make_leader('w')
    assert leader.sender.stopped_leading_count == 0
    leader.service.stop_leading()
    assert leader.sender.stopped_leading_count == 1


def test_new_leader_retries_a_start_that_never_arrived() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    leader.start_next_term()
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 1)
    assert [start.attempt.attempt_number for start in leader.sender.starts] == [
        1,
        2,
    ]


def test_attempt_taken_over_by_a_new_incarnation_continues() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.send_heartbeat('w', incarnation=2)
    leader.reply_to_poll(
        'w', running=(RunningAttempt(start.attempt, '', 5),), incarnation=2
    )
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1
    assert not leader.sender.stops


def test_heartbeat_of_an_older_incarnation_is_ignored() -> None:
    leader = make_leader('w')
    leader.send_heartbeat('w', incarnation=5)
    fence = leader.sender.fence_by_worker[WorkerId('w')]
    leader.send_heartbeat('w', incarnation=1, sequence=99)
    assert leader.sender.fence_by_worker[WorkerId('w')] == fence


def test_new_leader_ignores_a_late_heartbeat_of_a_draining_worker() -> None:
    leader = make_leader('w')
    leader.send_heartbeat('w', sequence=7, is_draining=True)
    leader.start_next_term()
    leader.reply_to_poll('w')
    # Sent before the worker began to drain and delayed by a cut.
    leader.send_heartbeat('w', sequence=6)
    submit(leader, '/q/1')
    assert not leader.sender.starts
    leader.send_heartbeat('w', incarnation=2)
    leader.reply_to_poll('w', incarnation=2)
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1


def test_start_without_reply_is_stopped_until_confirmed() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.handle(
        local.StartDone(WorkerId('w'), start.fence, start.attempt, None)
    )
    leader.handle(
        local.StopDone(WorkerId('w'), start.fence, start.attempt, None)
    )
    leader.reply_to_poll('w')
    assert len(leader.sender.stops) == 2
    reply = WorkerReply(ReplyStatus.DONE)
    leader.handle(
        local.StopDone(WorkerId('w'), start.fence, start.attempt, reply)
    )
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 1)
    assert [each.attempt.attempt_number for each in leader.sender.starts] == [
        1,
        2,
    ]


def test_refused_stop_does_not_end_a_start_that_may_be_on_its_way() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.handle(
        local.StartDone(WorkerId('w'), start.fence, start.attempt, None)
    )
    # An unhealthy worker has done nothing: it would still start the attempt.
    unhealthy = WorkerReply(ReplyStatus.UNHEALTHY)
    leader.handle(
        local.StopDone(WorkerId('w'), start.fence, start.attempt, unhealthy)
    )
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1
    assert len(leader.sender.stops) == 2


def test_failed_poll_keeps_starts_off_a_worker_until_it_replies() -> None:
    # A crashed worker refuses connections for seconds and looks idle.
    leader = make_leader('w')
    fence = leader.sender.fence_by_worker[WorkerId('w')]
    leader.handle(local.PollDone(WorkerId('w'), fence, None, boottime_s()))
    submit(leader, '/q/1')
    assert not leader.sender.starts
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1


def test_start_that_cannot_have_arrived_frees_its_task_at_once() -> None:
    leader = make_leader('v', 'w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.handle(
        local.StartDone(
            start.worker.id,
            start.fence,
            start.attempt,
            None,
            local.Delivery.UNREACHABLE,
        )
    )
    leader.apply_due_commands(boottime_s() + 1)
    first, second = leader.sender.starts
    assert second.worker.id != first.worker.id
    assert not leader.sender.stops


def test_withdrawn_start_does_not_blame_its_worker() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.handle(
        local.StartDone(
            start.worker.id,
            start.fence,
            start.attempt,
            None,
            local.Delivery.NOT_SENT,
        )
    )
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 2


def test_start_that_is_not_sent_frees_its_task_at_once() -> None:
    # The worker fails while its start is being stored in the log.
    leader = make_leader('v', 'w')
    leader.handle(requests.SubmitWork('h', '/q/1', 'key', SPEC))
    payloads = leader.service.due_commands(boottime_s())
    for worker, fence in list(leader.sender.fence_by_worker.items()):
        leader.handle(local.PollDone(worker, fence, None, boottime_s()))
    for payload in payloads:
        leader.service.apply(payload)
    assert not leader.sender.starts
    leader.reply_to_poll('v')
    leader.apply_due_commands(boottime_s() + 0.1)
    leader.apply_due_commands(boottime_s() + 0.2)
    assert [start.worker.id for start in leader.sender.starts] == ['v']


def test_attempts_of_no_known_start_leave_no_room_until_they_end() -> None:
    # A start that was given up was carried out late and is being stopped.
    leader = make_leader('w')
    attempt = AttemptKey(TaskKey(StepKey(JobId('gone'), 0, 0), 0), 1)
    leader.reply_to_poll('w', running=(RunningAttempt(attempt, '', 5),))
    assert [stop.attempt for stop in leader.sender.stops] == [attempt]
    submit(leader, '/q/1')
    assert not leader.sender.starts
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1


def start_gang(leader: LeaderFixture) -> list[StartRequest]:
    spec = WorkflowSpec(
        'payload', (StepSpec(2, Resources(2000, 10), is_gang=True),)
    )
    leader.handle(requests.SubmitWork('h', '/q/gang', 'key', spec))
    leader.apply_due_commands()
    assert len(leader.sender.starts) == 2
    return leader.sender.starts


def test_gang_is_stopped_as_a_whole_when_a_start_gets_no_reply() -> None:
    # A worker is cut off while a gang starts: the other members would hold
    # their resources until the gang times out.
    leader = make_leader('v', 'w')
    first, second = start_gang(leader)
    leader.handle(
        local.StartDone(first.worker.id, first.fence, first.attempt, None)
    )
    assert [stop.attempt for stop in leader.sender.stops] == [
        first.attempt,
        second.attempt,
    ]


def test_member_that_waits_for_its_gang_does_not_blame_its_worker() -> None:
    leader = make_leader('v', 'w')
    first, _ = start_gang(leader)
    worker = first.worker.id
    started = WorkerReply(ReplyStatus.DONE)
    leader.handle(local.StartDone(worker, first.fence, first.attempt, started))
    waiting = (RunningAttempt(first.attempt, '', 0),)
    leader.reply_to_poll(worker, running=waiting)
    sessions = leader.service.worker_sessions
    later = boottime_s() + 3
    reply = PollReply(1, 1000, waiting, ())
    sessions.polls.poll_done(
        local.PollDone(worker, first.fence, reply, later), later
    )
    assert not leader.sender.stops
    assert worker in sessions.usable_workers(later)


def test_attempts_of_a_cancelled_job_are_stopped() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    leader.handle(requests.CancelWork('h', '/q/1', 'key'))
    assert [stop.attempt.task.step.job for stop in leader.sender.stops] == ['1']
    assert leader.job_state('/q/1') is JobState.CANCELLED


def test_silent_worker_is_removed_only_after_its_lease() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    now = boottime_s()
    leader.apply_due_commands(now + 4)
    assert WorkerId('w') in leader.service.state.worker_by_id
    leader.apply_due_commands(now + 8)
    assert WorkerId('w') not in leader.service.state.worker_by_id


def test_worker_replaced_at_its_address_is_removed() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    replaced = WorkerReply(ReplyStatus.REPLACED)
    leader.handle(
        local.StartDone(WorkerId('w'), start.fence, start.attempt, replaced)
    )
    leader.apply_due_commands(boottime_s() + 1)
    assert len(leader.sender.starts) == 1
    assert WorkerId('w') not in leader.service.state.worker_by_id


def test_keys_and_paths_are_checked_by_the_adopted_version() -> None:
    leader = make_leader('w')
    expect_error(ErrorKind.UNKNOWN_KEY, lambda: submit(leader, '/q/1', 'none'))
    expect_error(ErrorKind.NOT_FOUND, lambda: submit(leader, '/none/1'))
    expect_error(ErrorKind.JOB_UNKNOWN, lambda: leader.job_state('/q/9'))
    without_teams = CellConfiguration(
        2, CONFIGURATION.queues, CONFIGURATION.services
    )
    leader.handle(requests.PutCellConfiguration(without_teams, b'second'))
    expect_error(ErrorKind.UNKNOWN_KEY, lambda: submit(leader, '/q/1'))
    # A lower version is acknowledged and changes nothing.
    leader.handle(requests.PutCellConfiguration(CONFIGURATION, b'source'))
    source = leader.handle(requests.GetCellConfiguration()).source
    assert source == b'second'


def test_failed_task_starts_again_in_time_on_the_only_worker() -> None:
    # A task may not stand for 3 s while there is capacity for it.
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    failed = EndedAttempt(1, start.attempt, AttemptOutcome.FAILED, '')
    leader.reply_to_poll('w', ended=(failed,))
    later = boottime_s() + 2.5
    leader.reply_to_poll_at('w', later)
    leader.apply_due_commands(later)
    assert len(leader.sender.starts) == 2


def test_quarantine_of_every_worker_does_not_hold_all_work() -> None:
    # Jobs that fail by their own fault have failed on each of the workers.
    leader = make_leader('v', 'w')
    health = leader.service.worker_sessions.health
    now = boottime_s()
    earlier = now - INITIAL_QUARANTINE_S - 0.1
    for worker in ('v', 'w'):
        for job in ('a', 'b', 'c', 'd'):
            attempt = AttemptKey(TaskKey(StepKey(JobId(job), 0, 0), 0), 1)
            failed_at = now if job == 'd' else earlier
            health.record_outcome(
                WorkerId(worker), attempt, AttemptOutcome.FAILED, failed_at
            )
    submit(leader, '/q/1')
    later = now + 2.5
    for worker in ('v', 'w'):
        leader.reply_to_poll_at(worker, later)
    leader.apply_due_commands(later)
    assert len(leader.sender.starts) == 1


load_tests = function_tests(globals())
