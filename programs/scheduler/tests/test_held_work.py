"""Tests of work that would be held by a belief that nothing corrects."""

from leader_driver import (
    running_leader,
)

from cassiahold.core.ids import AttemptId, WorkerId
from cassiahold.core.states import (
    CommandKind,
    JobOutcome,
)
from cassiahold.core.testing import function_tests
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


load_tests = function_tests(globals())
