"""Tests of steps in which tasks have crashed their workers."""

from state_fixtures import StateFixture, attempt_key, step_spec
from suspect_fixtures import crash, plan_starts, show_running

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome


def test_few_tasks_of_a_step_start_after_one_has_crashed_its_worker() -> None:
    # Each task of a job crashed three workers.
    cell = StateFixture('crashed', 'u', 'v', 'w', 'x')
    cell.submit('j', step_spec(12))
    crash(cell, 'j', 3)
    starts = plan_starts(cell)
    assert {start.attempt.task.task_index for start in starts} == {3, 11}
    assert len({start.worker for start in starts}) == 2
    for start in starts:
        cell.start((start.attempt, start.worker))
    assert not plan_starts(cell)
    # Others stay away from both, since either may crash its worker.
    cell.submit('sound', step_spec())
    (sound_start,) = plan_starts(cell)
    assert sound_start.worker not in {start.worker for start in starts}


def test_step_is_doubted_until_one_of_its_tasks_runs_on() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    crash(cell, 'j', 0)
    health = HealthTracker()
    cell.start((attempt_key('j', 0, 8), 'w'))
    assert len(plan_starts(cell, health)) == 1
    show_running(health, attempt_key('j', 0, 8), 'w')
    assert len(plan_starts(cell, health)) == 8


def test_task_on_a_worker_that_is_down_does_not_clear_its_step() -> None:
    # It had crashed its worker, which had not returned yet.
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    health = HealthTracker()
    for task in (0, 8):
        cell.start((attempt_key('j', 0, task), 'crashed'))
        show_running(health, attempt_key('j', 0, task), 'crashed')
    lost = commands.AttemptResult(
        attempt_key('j', 0, 0),
        WorkerId('crashed'),
        AttemptOutcome.LOST,
        crash=CrashEvidence.ONLY_RECENT,
    )
    cell.apply(commands.EndAttempts([lost], 1.0))
    assert len(plan_starts(cell, health)) == 1


def test_step_is_not_doubted_once_one_of_its_tasks_has_ended_well() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    cell.start((attempt_key('j', 0, 8), 'w'))
    cell.end(attempt_key('j', 0, 8), 'w', AttemptOutcome.DONE)
    crash(cell, 'j', 0)
    assert len(plan_starts(cell)) == 8


load_tests = function_tests(globals())
