"""Tests of ends that workers report after their attempts were lost."""

from leader_driver import (
    LEASE_BOUND_S,
    LeaderDriver,
    ended_attempt,
    running_attempt,
    running_leader,
)

from cassiahold.core.ids import AttemptId, JobId, WorkerId
from cassiahold.core.states import AttemptOutcome, CommandKind, JobOutcome
from cassiahold.core.testing import function_tests
from cassiahold.wire import messages

# The attempts that a job is allowed by default.
MAX_ATTEMPTS = 5


def started(reply: messages.WorkerReportReply) -> list[AttemptId]:
    return [
        command.attempt
        for command in reply.commands
        if command.command is CommandKind.START
    ]


def start_and_lose(driver: LeaderDriver) -> AttemptId:
    """Start a task on ``w0``, which then is cut off until it is lost."""
    driver.advance()
    [attempt] = started(driver.report('w0'))
    driver.report('w0', running=[running_attempt(attempt, 1)])
    driver.advance(LEASE_BOUND_S + 1)
    return attempt


def start_elsewhere(driver: LeaderDriver) -> AttemptId:
    driver.report('w1')
    driver.advance()
    [attempt] = started(driver.report('w1'))
    return attempt


def return_with(
    driver: LeaderDriver,
    attempt: AttemptId,
    outcome: AttemptOutcome = AttemptOutcome.DONE,
) -> messages.WorkerReportReply:
    """Let ``w0`` return in the same incarnation and report an end."""
    ended = [ended_attempt(attempt, outcome)]
    registered = driver.report('w0', ended=ended)
    assert not registered.confirmed
    return driver.report('w0', ended=ended)


def failed_job(driver: LeaderDriver, failures: int) -> JobId:
    """Return a job whose task has failed so often."""
    job = driver.submit()
    [task] = driver.state.job_by_id[job].tasks
    task.failure_count = failures
    return job


def test_task_done_before_its_worker_was_lost_does_not_run_again() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        attempt = start_and_lose(driver)
        reply = return_with(driver, attempt)
        assert reply.confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.DONE
        driver.advance()
        assert not started(driver.report('w0'))


def test_task_done_late_does_not_run_again_after_its_replacement() -> None:
    for next_leader in (False, True):
        with running_leader(workers=1) as driver:
            job = driver.submit()
            attempt = start_and_lose(driver)
            replacement = start_elsewhere(driver)
            driver.report('w1', running=[running_attempt(replacement, 1)])
            assert return_with(driver, attempt).confirmed == [attempt]
            if next_leader:
                driver.service.restore(driver.service.snapshot())
                driver.change_leader()
            driver.crash('w1')
            assert driver.outcome(job) is JobOutcome.DONE
            driver.advance()
            assert not started(driver.report('w1'))


def test_replacement_of_a_task_done_late_is_stopped() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        attempt = start_and_lose(driver)
        replacement = start_elsewhere(driver)
        return_with(driver, attempt)
        # It occupies its worker until the stop is carried out.
        reply = driver.report('w1', running=[running_attempt(replacement, 1)])
        assert [command.command for command in reply.commands] == [
            CommandKind.STOP
        ]
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        assert driver.state.worker_by_id[WorkerId('w1')].allocation_by_attempt
        driver.report(
            'w1', ended=[ended_attempt(replacement, AttemptOutcome.STOPPED)]
        )
        assert driver.outcome(job) is JobOutcome.DONE


def test_replacement_of_a_task_done_late_is_not_started() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        attempt = start_and_lose(driver)
        driver.report('w1')
        driver.advance()
        return_with(driver, attempt)
        assert not started(driver.report('w1'))
        assert driver.outcome(job) is JobOutcome.DONE


def test_end_of_a_task_that_was_done_elsewhere_is_confirmed() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        attempt = start_and_lose(driver)
        replacement = start_elsewhere(driver)
        driver.report('w1', ended=[ended_attempt(replacement)])
        assert return_with(driver, attempt).confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.DONE


def test_failure_before_the_worker_was_lost_counts() -> None:
    with running_leader(workers=1) as driver:
        job = failed_job(driver, MAX_ATTEMPTS - 1)
        attempt = start_and_lose(driver)
        reply = return_with(driver, attempt, AttemptOutcome.FAILED)
        assert reply.confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.FAILED


def test_late_failure_reported_twice_counts_once() -> None:
    with running_leader(workers=1) as driver:
        job = failed_job(driver, MAX_ATTEMPTS - 2)
        attempt = start_and_lose(driver)
        return_with(driver, attempt, AttemptOutcome.FAILED)
        driver.service.restore(driver.service.snapshot())
        driver.change_leader()
        driver.report(
            'w0', ended=[ended_attempt(attempt, AttemptOutcome.FAILED)]
        )
        [task] = driver.state.job_by_id[job].tasks
        assert task.failure_count == MAX_ATTEMPTS - 1
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING


def test_late_end_of_a_task_given_up_for_good_is_confirmed() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(idempotent=False)
        attempt = start_and_lose(driver)
        assert return_with(driver, attempt).confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.MAY_HAVE_RUN


load_tests = function_tests(globals())
