"""Tests of how long work waits beside tasks that may crash workers."""

from state_fixtures import (
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
    worker_info,
)
from suspect_fixtures import HALF, NOW_S, SMALL, crash, show_running

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext

PLAN_INTERVAL_S = 0.05
# Work that could run and has waited this long counts as lost.
LOST_AFTER_S = 3.0
LONG_RUNNING_LOST_AFTER_S = 9.0  # since the last run ended


def waiting_time_s(cell: StateFixture, job: str, limit_s: float) -> float:
    """Return how long the planner takes to start the last task of a job.

    Every start is confirmed at once and its task runs on; no worker is silent.
    """
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset(cell.state.worker_by_id) - {WorkerId('crashed')}
    steps = int(limit_s / PLAN_INTERVAL_S)
    for passed_s in (step * PLAN_INTERVAL_S for step in range(steps)):
        now = NOW_S + passed_s
        for (start,) in planner.plan(
            PlanningContext(usable, now, now)
        ).start_groups:
            assert cell.start((start.attempt, start.worker))
            health.record_start(start.worker, start.attempt, now)
        tasks = cell.job(job).steps_by_occurrence[0][0].tasks
        if all(task.active_attempt is not None for task in tasks):
            return passed_s
    return limit_s


def test_doubted_step_does_not_wait_for_seconds_for_workers_that_are_gone() -> (
    None
):
    # Its few trials hold their places until all leases of the silent workers
    # have expired, while the other tasks of the job wait in an idle cell.
    cell = StateFixture('crashed', 'gone', 'lost', 'v', 'w')
    cell.submit('j', step_spec(9, resources=SMALL))
    crash(cell, 'j', 0)
    for task, worker in ((0, 'gone'), (8, 'lost')):
        assert cell.start((attempt_key('j', 0, task, 2), worker))
    planner = Planner(cell.state, AdvisorReplyCache(), HealthTracker())
    usable = frozenset((WorkerId('v'), WorkerId('w')))
    now = NOW_S + LOST_AFTER_S
    assert planner.plan(PlanningContext(usable, now, now)).start_groups


def crash_many_tasks() -> StateFixture:
    """Return a nearly idle cell and a job whose 20 tasks a crash has ended."""
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(20, resources=SMALL))
    crash(cell, 'j', *range(20))
    return cell


def test_sound_work_does_not_wait_for_seconds_in_an_idle_cell() -> None:
    # Each pass kept every worker free for suspects of the one crash.
    cell = crash_many_tasks()
    cell.submit('sound', step_spec(resources=SMALL), accepted_at=5.0)
    waited_s = waiting_time_s(cell, 'sound', 20.0)
    assert waited_s < LOST_AFTER_S, waited_s


def test_tasks_of_one_crash_do_not_wait_for_seconds_in_an_idle_cell() -> None:
    waited_s = waiting_time_s(crash_many_tasks(), 'j', 20.0)
    assert waited_s < LOST_AFTER_S, waited_s


def test_suspect_that_cannot_start_does_not_hold_back_the_others() -> None:
    # Urgent work kept starting on the only worker that the first suspect may
    # use; its reservation there counted as the one trial of the service.
    config = configuration(queue_policy(), queue_policy('urgent', -1))
    cell = StateFixture('crashed', 'w', config=config)
    label = worker_info('v', labels=('gpu',))
    cell.apply(commands.RegisterWorker(label))
    health = HealthTracker()
    cell.submit('load', step_spec(2, resources=HALF))
    for task, worker in enumerate('vw'):
        attempt = attempt_key('load', 0, task)
        cell.start((attempt, worker))
        show_running(health, attempt, worker)
    for name, options in (('j', {'required_label': 'gpu'}), ('k', {})):
        cell.submit(name, step_spec(resources=SMALL, **options))
        attempt = attempt_key(name, 0, 0)
        # Both were on a labelled worker that crashed.
        cell.start((attempt, 'crashed'))
        lost = commands.AttemptResult(
            attempt,
            WorkerId('crashed'),
            AttemptOutcome.LOST,
            crash=CrashEvidence.ONLY_RECENT,
        )
        cell.apply(commands.EndAttempts([lost], 1.0))
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset((WorkerId('v'), WorkerId('w')))
    started: list[str] = []
    for second in range(1, 11):
        for part in range(4):
            now = NOW_S + second + part / 4
            urgent = f'urgent{now}'
            cell.submit(
                urgent,
                step_spec(resources=SMALL, required_label='gpu'),
                queue='urgent',
                accepted_at=now,
            )
            for (start,) in planner.plan(
                PlanningContext(usable, now, now)
            ).start_groups:
                cell.start((start.attempt, start.worker))
                health.record_start(start.worker, start.attempt, now)
                started.append(start.attempt.task.step.job)
            cell.end(attempt_key(urgent, 0, 0), 'v', AttemptOutcome.DONE)
            health.record_outcome(
                WorkerId('v'),
                attempt_key(urgent, 0, 0),
                AttemptOutcome.DONE,
                now,
            )
    assert 'k' in started, started


def test_long_running_tasks_of_one_crash_are_back_soon_in_a_full_cell() -> None:
    # Rule LOST holds for them however full the service is.
    names = [f'w{number}' for number in range(10)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(10, resources=HALF))
    for number, name in enumerate(names):
        cell.start((attempt_key('load', 0, number), name))
    step = step_spec(24, resources=SMALL, is_long_running=True)
    cell.submit('j', step)
    crash(cell, 'j', *range(24))
    waited_s = waiting_time_s(cell, 'j', 30.0)
    assert waited_s < LONG_RUNNING_LOST_AFTER_S, waited_s


load_tests = function_tests(globals())
