"""Tests of the scheduler service as leader, with a simulated clock."""

from leader_driver import (
    LEASE_BOUND_S,
    RED,
    LeaderDriver,
    command_kinds,
    ended_attempt,
    running_attempt,
    running_leader,
)

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import AttemptId, TeamName, WorkerId
from cassiahold.core.states import (
    AttemptOutcome,
    CommandKind,
    JobKind,
    JobOutcome,
)
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.wire import messages


def test_job_is_placed_started_and_finished() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        reply = driver.report()
        assert command_kinds(reply) == [CommandKind.START]
        attempt = reply.commands[0].attempt
        # The start is repeated until the worker reports the attempt.
        assert command_kinds(driver.report()) == [CommandKind.START]
        assert (
            command_kinds(
                driver.report(running=[running_attempt(attempt, 900)])
            )
            == []
        )
        reply = driver.report(ended=[ended_attempt(attempt)])
        assert reply.confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.DONE


def test_reply_to_a_result_carries_the_next_start() -> None:
    with running_leader(workers=1) as driver:
        driver.submit(tasks=5)
        driver.advance()
        starts = driver.report().commands
        assert len(starts) == 4
        reply = driver.report(
            running=[running_attempt(start.attempt, 1) for start in starts[1:]],
            ended=[ended_attempt(starts[0].attempt)],
        )
        assert command_kinds(reply) == [CommandKind.START]


def test_silent_worker_is_lost_only_after_its_lease() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(idempotent=False)
        driver.advance()
        driver.report()
        driver.advance(LEASE_BOUND_S - 0.5)
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        driver.advance(1.0)
        assert driver.outcome(job) is JobOutcome.MAY_HAVE_RUN


def test_stale_reports_are_refused() -> None:
    with running_leader(workers=1) as driver:
        for fields in (
            {'sequence': 1},
            {'term': 2},
            {'incarnation': 0},
        ):
            expect_error(
                ErrorKind.STALE_TERM,
                lambda fields=fields: driver.report(**fields),
            )


def test_unknown_attempt_is_stopped() -> None:
    with running_leader(workers=1) as driver:
        reply = driver.report(running=[running_attempt('here.9/0/1', 100)])
        assert command_kinds(reply) == [CommandKind.STOP]


def test_attempt_of_a_cancelled_job_is_stopped() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        driver.send(messages.Cancel([job], RED))
        reply = driver.report(running=[running_attempt(attempt, 900)])
        assert command_kinds(reply) == [CommandKind.STOP]
        driver.report(ended=[ended_attempt(attempt, AttemptOutcome.STOPPED)])
        assert driver.outcome(job) is JobOutcome.CANCELLED


def test_overuse_is_throttled_then_checkpointed_then_stopped() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        escalation = [
            command_kinds(
                driver.report(running=[running_attempt(attempt, 9000)])
            )[0]
            for _ in range(8)
        ]
        assert escalation[0] is CommandKind.THROTTLE
        assert CommandKind.CHECKPOINT in escalation
        assert escalation[-1] is CommandKind.STOP


def test_overuse_leaves_less_for_new_tasks() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        driver.report(running=[running_attempt(attempt, 3500)])
        driver.submit('b')
        driver.advance()
        reply = driver.report(running=[running_attempt(attempt, 3500)])
        assert CommandKind.START not in command_kinds(reply)


def test_job_that_can_never_run_is_refused_at_once() -> None:
    with running_leader() as driver:
        error = expect_error(
            ErrorKind.NEVER_FITS, lambda: driver.submit(cores=5)
        )
        assert '5 cores' in error.detail
        expect_error(
            ErrorKind.NEVER_FITS,
            lambda: driver.submit(kind=JobKind.GANG, tasks=101),
        )


def test_waiting_job_expires_at_its_deadline() -> None:
    with running_leader(workers=1) as driver:
        driver.report('w0', leaving=True)
        job = driver.submit(deadline_s=2.0)
        driver.advance(3.0)
        assert driver.outcome(job) is JobOutcome.REFUSED


def test_reported_failures_quarantine_a_worker() -> None:
    with running_leader(workers=2) as driver:
        driver.submit('good', name='work')
        driver.advance()
        started = [
            (worker, command.attempt)
            for worker in ('w0', 'w1')
            for command in driver.report(worker).commands
        ]
        healthy_worker, attempt = started[0]
        driver.report(healthy_worker, ended=[ended_attempt(attempt)])
        failing_worker = 'w1' if healthy_worker == 'w0' else 'w0'
        driver.submit('more', tasks=8, name='work')
        driver.advance()
        failure_count = 0
        for _ in range(20):
            reply = driver.report(failing_worker)
            for command in reply.commands:
                failure_count += 1
                driver.report(
                    failing_worker,
                    ended=[
                        ended_attempt(command.attempt, AttemptOutcome.FAILED)
                    ],
                )
            driver.advance()
        status = driver.send(messages.GetStatus())
        state_by_worker = {
            worker.worker: worker.state for worker in status.workers
        }
        assert state_by_worker[WorkerId(failing_worker)] == 'quarantined'
        assert failure_count <= 5


def test_new_leader_keeps_running_attempts() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(tasks=2)
        driver.advance()
        attempts = [start.attempt for start in driver.report().commands]
        driver.service.stop_leading()
        driver.service.start_leading(2, driver.now)
        driver.sequence = 0
        reply = driver.report(
            running=[running_attempt(attempt, 1) for attempt in attempts]
        )
        assert not reply.commands
        assert reply.term == 2
        driver.report(ended=[ended_attempt(attempt) for attempt in attempts])
        assert driver.outcome(job) is JobOutcome.DONE


def test_waiting_reasons_give_task_counts_and_free_resources() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(tasks=6)
        driver.advance()
        reasons = driver.send(messages.Why(job, RED)).reasons
        assert reasons[0] == '2 of 6 tasks wait'
        assert any(
            'no worker has 1 cores, 1 GB free' in reason for reason in reasons
        )


def test_job_of_another_team_is_not_found() -> None:
    with running_leader() as driver:
        job = driver.submit()
        expect_error(
            ErrorKind.NOT_FOUND,
            lambda: driver.send(messages.GetJob(job, TeamName('blue'))),
        )


def commands_of_returned_worker(
    leader: LeaderDriver, incarnation: int
) -> list[CommandKind]:
    leader.report(incarnation=incarnation)
    leader.submit()
    leader.advance(1.0)
    return command_kinds(leader.report(incarnation=incarnation))


def test_drain_by_an_operator_stays_when_the_worker_returns() -> None:
    for silence_s in (1.0, 2 * LEASE_BOUND_S):
        with running_leader(workers=1) as leader:
            leader.send(messages.Drain(WorkerId('w0'), is_draining=True))
            leader.report(leaving=True)
            leader.advance(silence_s)
            assert not commands_of_returned_worker(leader, incarnation=2)
            leader.send(messages.Drain(WorkerId('w0'), is_draining=False))
            leader.advance(1.0)
            reply = leader.report(incarnation=2)
            assert command_kinds(reply) == [CommandKind.START]


def fail_all_starts(leader: LeaderDriver) -> None:
    leader.advance(1.0)
    failed = [
        ended_attempt(start.attempt, AttemptOutcome.FAILED)
        for start in leader.report().commands
    ]
    assert failed
    leader.report(ended=failed)


def test_sound_unnamed_job_is_retried_soon_after_failures_of_another() -> None:
    # It waited for 8 s here, for up to 300 s after more failures.
    with running_leader(workers=1) as leader:
        bad = leader.submit('bad', tasks=3)
        fail_all_starts(leader)
        leader.send(messages.Cancel([bad], RED))
        leader.submit('sound')
        fail_all_starts(leader)
        # The worker is suspended for 5 s.
        leader.advance(6.5)
        assert command_kinds(leader.report()) == [CommandKind.START]


def test_worker_that_left_is_forgotten_after_its_lease() -> None:
    with running_leader(workers=1) as leader:
        leader.report(leaving=True)
        leader.advance(2 * LEASE_BOUND_S)
        assert not leader.state.worker_by_id


def test_malformed_attempt_in_a_report_hides_no_other() -> None:
    """One such attempt failed every report, and the worker was lost."""
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        job = attempt.partition('/')[0]
        malformed = [
            AttemptId(f'{job}/{index}/1')
            for index in ('\xb2', '\u0661', '-1', '1_0', '9' * 5000, '', '/')
        ]
        reply = driver.report(
            running=[running_attempt(other, 900) for other in malformed],
            ended=[
                *(ended_attempt(other) for other in malformed),
                ended_attempt(attempt),
            ],
        )
        assert attempt in reply.confirmed


load_tests = function_tests(globals())
