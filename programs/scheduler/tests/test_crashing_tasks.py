"""Tests of tasks that crash their workers, through the leading service."""

import typing

from leader_driver import (
    LEASE_BOUND_S,
    RED,
    LeaderDriver,
    ended_attempt,
    running_attempt,
    running_leader,
)

from cassiahold.core.ids import AttemptId, JobId
from cassiahold.core.resources import Resources
from cassiahold.core.states import CommandKind, JobOutcome
from cassiahold.core.testing import function_tests
from cassiahold.wire import messages

MAX_STARTS = 5


def started_attempts(reply: messages.WorkerReportReply) -> list[AttemptId]:
    return [
        command.attempt
        for command in reply.commands
        if command.command is CommandKind.START
    ]


def job_of(attempt: str) -> JobId:
    return JobId(attempt.partition('/')[0])


def crash_under(
    driver: LeaderDriver, job: JobId, rounds: int, workers: int = 2
) -> int:
    """Crash each worker that is told to start the job; return the starts."""
    starts = 0
    for _ in range(rounds):
        for number in range(workers):
            reply = driver.report(f'w{number}')
            if any(map(job.__eq__, map(job_of, started_attempts(reply)))):
                starts += 1
                driver.crash(f'w{number}')
        driver.advance(0.5)
    return starts


def why(driver: LeaderDriver, job: JobId) -> str:
    return '; '.join(driver.send(messages.Why(job, RED)).reasons)


def job_status(driver: LeaderDriver, job: JobId) -> messages.JobStatus:
    return typing.cast(
        messages.JobStatus, driver.send(messages.GetJob(job, RED))
    )


def test_a_task_that_crashes_every_worker_is_given_up() -> None:
    with running_leader() as driver:
        job = driver.submit()
        driver.advance()
        assert crash_under(driver, job, rounds=20) <= MAX_STARTS
        assert driver.outcome(job) is JobOutcome.FAILED
        status = job_status(driver, job)
        assert status.reason is not None
        assert status.reason.value == 'crashes'


def test_crashes_under_several_leaders_are_counted_together() -> None:
    with running_leader() as driver:
        job = driver.submit()
        starts = 0
        for term in range(2, 12):
            driver.advance()
            starts += crash_under(driver, job, rounds=1)
            driver.change_leader(term)
        assert 0 < starts <= MAX_STARTS
        assert driver.outcome(job) is JobOutcome.FAILED


def test_a_crash_that_a_new_leader_learns_of_is_counted() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        starts = 0
        for term in range(2, 12):
            driver.advance(0.5)
            starts += bool(started_attempts(driver.report()))
            driver.change_leader(term)
            driver.crash()
        assert 0 < starts <= MAX_STARTS
        assert driver.outcome(job) is JobOutcome.FAILED


def test_a_crash_told_after_the_lease_has_lapsed_is_counted() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        starts = 0
        for _ in range(10):
            driver.advance(0.5)
            starts += bool(started_attempts(driver.report()))
            driver.advance(LEASE_BOUND_S + 0.5)
            driver.crash()
        assert 0 < starts <= MAX_STARTS
        assert driver.outcome(job) is JobOutcome.FAILED


def test_silence_and_cuts_are_not_crashes() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        for _ in range(10):
            driver.advance(0.5)
            attempts = started_attempts(driver.report())
            driver.report(
                running=[running_attempt(attempt, 1) for attempt in attempts]
            )
            driver.advance(LEASE_BOUND_S + 0.5)
            driver.report()
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        assert 'crash' not in why(driver, job)


def test_workers_that_leave_orderly_have_not_crashed() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        for _ in range(10):
            driver.advance(0.5)
            attempts = started_attempts(driver.report())
            driver.report(
                running=[running_attempt(attempt, 1) for attempt in attempts],
                leaving=True,
            )
            driver.crash()
            driver.advance(LEASE_BOUND_S + 0.5)
            driver.report()
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        assert 'crash' not in why(driver, job)


def test_a_task_that_ran_beside_a_crashing_one_is_done() -> None:
    with running_leader(workers=3) as driver:
        sound = driver.submit('sound', tasks=3)
        driver.advance()
        running: dict[str, set[AttemptId]] = {f'w{n}': set() for n in range(3)}
        for worker, attempts in running.items():
            attempts.update(started_attempts(driver.report(worker)))
        driver.advance()
        for worker, attempts in running.items():
            driver.report(
                worker, running=[running_attempt(a, 1) for a in attempts]
            )
        crashing = driver.submit('crashing')
        for _ in range(40):
            driver.advance(0.5)
            for worker, attempts in running.items():
                reply = driver.report(
                    worker, running=[running_attempt(a, 1) for a in attempts]
                )
                started = started_attempts(reply)
                attempts.update(started)
                if crashing in map(job_of, started):
                    attempts.clear()
                    driver.crash(worker)
        assert driver.outcome(crashing) is JobOutcome.FAILED
        for worker, attempts in running.items():
            driver.report(
                worker, ended=[ended_attempt(attempt) for attempt in attempts]
            )
        assert driver.outcome(sound) is JobOutcome.DONE


def test_why_names_the_workers_and_incarnations_that_crashed() -> None:
    with running_leader() as driver:
        job = driver.submit()
        driver.advance()
        crash_under(driver, job, rounds=20)
        reasons = why(driver, job)
        assert 'crashes' in reasons
        assert 'incarnation 1 of worker' in reasons


def test_the_other_tasks_of_a_job_given_up_are_stopped_and_not_started() -> (
    None
):
    with running_leader(workers=4) as driver:
        job = driver.submit(tasks=40)
        for _ in range(20):
            driver.advance(0.5)
            for number in range(4):
                worker = f'w{number}'
                if started_attempts(driver.report(worker)):
                    driver.crash(worker)
        driver.advance()
        assert not driver.state.team_usage(RED).tasks
        assert driver.outcome(job) is JobOutcome.FAILED


def test_a_suspect_task_starts_apart_from_other_tasks() -> None:
    with running_leader() as driver:
        crashing = driver.submit('crashing')
        driver.advance(0.5)
        crash_under(driver, crashing, rounds=1)
        driver.submit('others', tasks=7)
        driver.advance(0.5)
        for number in range(2):
            jobs = set(
                map(job_of, started_attempts(driver.report(f'w{number}')))
            )
            assert crashing not in jobs or jobs == {crashing}


def test_a_suspect_task_starts_under_a_stream_of_short_tasks() -> None:
    with running_leader(workers=1) as driver:
        crashing = driver.submit('crashing')
        driver.advance(0.5)
        assert started_attempts(driver.report())
        driver.crash()
        running: list[AttemptId] = []
        for number in range(60):
            driver.submit(f'short{number}', tasks=2)
            driver.advance(0.3)
            ended, rest = running[:2], running[2:]
            reply = driver.report(
                running=[running_attempt(attempt, 1) for attempt in rest],
                ended=[ended_attempt(attempt) for attempt in ended],
            )
            running = [*rest, *started_attempts(reply)]
            if crashing in map(job_of, running):
                break
        assert crashing in map(job_of, running)


def test_a_task_charged_late_while_it_waits_starts_apart() -> None:
    with running_leader(workers=1) as driver:
        crashing = driver.submit('crashing')
        driver.advance(0.5)
        assert started_attempts(driver.report())
        driver.advance(LEASE_BOUND_S + 0.5)
        assert 'may crash their workers' not in why(driver, crashing)
        driver.crash()
        assert 'may crash their workers' in why(driver, crashing)


def test_a_departure_told_with_a_result_is_no_crash() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(tasks=2)
        driver.advance()
        first, second = started_attempts(driver.report())
        driver.report(
            ended=[ended_attempt(first)],
            running=[running_attempt(second, 1)],
            leaving=True,
        )
        driver.crash()
        assert 'crashed' not in why(driver, job)


def test_a_departure_told_at_a_registration_is_no_crash() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        [attempt] = started_attempts(driver.report())
        running = [running_attempt(attempt, 1)]
        smaller = Resources(2000, 8000, 0)
        driver.report(running=running, leaving=True, capacity=smaller)
        driver.crash()
        assert 'crashed' not in why(driver, job)


load_tests = function_tests(globals())
