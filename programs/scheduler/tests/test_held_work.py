"""Tests of work that would be held by a belief that nothing corrects."""

from leader_driver import (
    LEASE_BOUND_S,
    RED,
    LeaderDriver,
    ended_attempt,
    running_attempt,
    running_leader,
)

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import AttemptId, WorkerId
from cassiahold.core.states import (
    AttemptOutcome,
    CommandKind,
    JobKind,
    JobOutcome,
)
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.wire import messages


def started(reply: messages.WorkerReportReply) -> list[AttemptId]:
    return [
        command.attempt
        for command in reply.commands
        if command.command is CommandKind.START
    ]


def stopped(reply: messages.WorkerReportReply) -> list[AttemptId]:
    return [
        command.attempt
        for command in reply.commands
        if command.command is CommandKind.STOP
    ]


def fail_starts(driver: LeaderDriver, rounds: int) -> None:
    """Let every attempt that is started fail at once."""
    for _ in range(rounds):
        for number in range(4):
            attempts = started(driver.report(f'w{number}'))
            driver.report(
                f'w{number}',
                ended=[
                    ended_attempt(attempt, AttemptOutcome.FAILED)
                    for attempt in attempts
                ],
            )
        driver.advance(0.5)


def test_a_worker_that_left_and_returns_gets_work() -> None:
    with running_leader(workers=1) as driver:
        driver.report(leaving=True)
        driver.crash()
        job = driver.submit()
        driver.advance()
        assert started(driver.report())
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING


def test_a_drain_by_an_operator_outlives_a_restart() -> None:
    with running_leader(workers=1) as driver:
        driver.send(messages.Drain(WorkerId('w0'), is_draining=True))
        driver.report(leaving=True)
        driver.crash()
        driver.submit()
        driver.advance()
        assert not started(driver.report())


def test_a_report_beside_its_loss_does_not_renew_the_lease() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        [attempt] = started(driver.report())
        running = [running_attempt(attempt, 1)]
        driver.now += LEASE_BOUND_S + 0.5
        undecided = driver.service.due_commands(driver.now)
        result = driver.handle_report(running=running)
        for payload in undecided:
            driver.service.apply(payload)
        # The loss is decided before this report, so the attempt must stop.
        assert stopped(driver.finish(result)) == [attempt]


def test_a_result_beside_a_loss_does_not_renew_the_lease() -> None:
    with running_leader(workers=1) as driver:
        driver.submit(tasks=2)
        driver.advance()
        attempts = started(driver.report())
        result = driver.handle_report(
            running=[running_attempt(attempts[1], 1)],
            ended=[ended_attempt(attempts[0])],
        )
        driver.now += LEASE_BOUND_S + 0.5
        undecided = driver.service.due_commands(driver.now)
        expect_error(ErrorKind.STALE_TERM, lambda: driver.finish(result))
        for payload in undecided:
            driver.service.apply(payload)
        reply = driver.report(running=[running_attempt(attempts[1], 1)])
        assert stopped(reply) == [attempts[1]]


def test_a_gang_waits_for_no_member_that_has_ended() -> None:
    with running_leader(workers=2) as driver:
        job = driver.submit(tasks=2, kind=JobKind.GANG, cores=3.0)
        driver.advance()
        [first] = started(driver.report('w0'))
        [second] = started(driver.report('w1'))
        assert first != second
        driver.report('w1', running=[running_attempt(second, 1)])
        driver.crash('w0')
        # Its end crosses the order to stop.
        driver.report('w1', ended=[ended_attempt(second)])
        driver.advance()
        assert started(driver.report('w0')) + started(driver.report('w1'))
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING


def test_a_start_that_a_worker_never_confirms_is_taken_back() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        [first] = started(driver.report())
        # The worker stopped it when its lease lapsed and never starts it again.
        for _ in range(100):
            driver.advance(1.0)
            reply = driver.report()
            if started(reply) not in ([], [first]):
                break
        assert started(reply) not in ([], [first])


def test_an_attempt_that_a_worker_no_longer_reports_is_ended() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        [first] = started(driver.report())
        driver.report(running=[running_attempt(first, 1)])
        driver.advance()
        assert first not in started(driver.report())
        driver.advance()
        assert started(driver.report()) not in ([], [first])


def test_an_attempt_of_a_cancelled_job_is_not_started() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        driver.send(messages.Cancel([job], RED))
        assert not driver.report().commands
        assert driver.outcome(job) is JobOutcome.CANCELLED


def test_a_lost_start_order_of_a_cancelled_job_is_not_repeated() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        assert started(driver.report())
        driver.send(messages.Cancel([job], RED))
        assert not driver.report().commands
        assert driver.outcome(job) is JobOutcome.CANCELLED


def test_a_task_lost_after_its_deadline_expires() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(deadline_s=5.0)
        driver.advance()
        [attempt] = started(driver.report())
        for _ in range(6):
            driver.advance()
            driver.report(running=[running_attempt(attempt, 1)])
        driver.report(leaving=True, running=[running_attempt(attempt, 1)])
        driver.advance(LEASE_BOUND_S + 1.0)
        assert driver.outcome(job) is JobOutcome.MAY_HAVE_RUN


def test_bad_jobs_do_not_quarantine_every_worker() -> None:
    with running_leader(workers=4) as driver:
        for number in range(2):
            driver.submit(f'bad{number}', tasks=20, name=f'bad{number}')
        fail_starts(driver, rounds=40)
        driver.submit('good', tasks=1, name='good')
        fail_starts(driver, rounds=10)
        status = driver.send(messages.GetStatus())
        states = [worker.state for worker in status.workers]
        assert states.count('quarantined') <= 2, states


def test_a_report_from_before_the_leader_ends_no_attempt() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        [attempt] = started(driver.report())
        running = [running_attempt(attempt, 1)]
        driver.report(running=running, term=1)
        driver.send(messages.Cancel([job], RED))
        driver.change_leader(2)
        # Sent before the start arrived, and late: the attempt runs.
        driver.report(sequence=1, term=1)
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        assert stopped(driver.report(running=running, term=2)) == [attempt]


def test_an_attempt_of_an_earlier_leader_that_must_stop_is_ended() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        assert started(driver.report())
        driver.send(messages.Cancel([job], RED))
        driver.change_leader(2)
        driver.report(term=1)
        driver.report(term=2)
        assert driver.outcome(job) is JobOutcome.CANCELLED


load_tests = function_tests(globals())
