"""Tests of tasks that one more crash of a worker would end."""

from state_fixtures import StateFixture, attempt_key, step_spec, worker_info
from suspect_fixtures import NOW_S, crash_often, plan_starts, show_running

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import PROVEN_RUN_S
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome


def start_last(
    cell: StateFixture, health: HealthTracker, job: str, worker: str
) -> None:
    """Start a task that one more crash ends; it survives its trial."""
    attempt = crash_often(cell, job)
    assert cell.start((attempt, worker))
    show_running(health, attempt, worker)


def test_nothing_starts_beside_a_task_that_one_more_crash_ends() -> None:
    # Trials of others crashed its worker: a sound job was given up.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    health = HealthTracker()
    start_last(cell, health, 'j', 'w')
    cell.submit('sound', step_spec(5))
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v'}
    cell.state.restore(cell.state.snapshot())
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v'}
    cell.end(attempt_key('j', 0, 0, 3), 'w', AttemptOutcome.DONE)
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v', 'w'}


def test_isolated_tasks_leave_half_of_the_workers_to_others() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    health = HealthTracker()
    for worker in 'uvw':
        cell.submit(f'j-{worker}', step_spec())
        start_last(cell, health, f'j-{worker}', worker)
    cell.submit('sound', step_spec(3))
    assert len({start.worker for start in plan_starts(cell, health)}) == 1


def test_isolated_task_holds_nothing_back_that_fits_nowhere_else() -> None:
    # Work that needs a label waited although the only worker had room.
    cell = StateFixture('crashed', 'v')
    cell.apply(commands.RegisterWorker(worker_info('w', labels=('gpu',))))
    health = HealthTracker()
    cell.submit('j', step_spec())
    start_last(cell, health, 'j', 'w')
    cell.submit('sound', step_spec(required_label='gpu'))
    assert [start.worker for start in plan_starts(cell, health)] == ['w']


def test_long_running_task_is_not_isolated_after_a_long_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(is_long_running=True))
    attempt = crash_often(cell, 'j')
    assert cell.start((attempt, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), attempt, NOW_S - PROVEN_RUN_S)
    cell.submit('sound', step_spec())
    # Best fit again.
    assert plan_starts(cell, health)[0].worker == 'w'


def test_gang_that_one_more_crash_ends_starts_on_settled_workers() -> None:
    # A task that had just started beside it crashed its worker.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'v'))
    cell.submit('j', step_spec(5, is_gang=True))
    crash_often(cell, 'j')
    assert not plan_starts(cell)
    health = HealthTracker()
    show_running(health, other, 'v')
    assert len(plan_starts(cell, health)) == 5


load_tests = function_tests(globals())
