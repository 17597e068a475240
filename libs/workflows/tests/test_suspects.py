"""Tests of the placement of tasks that may crash their workers."""

import collections

import msgspec
from state_fixtures import (
    BIG,
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
    worker_info,
)
from suspect_fixtures import (
    HALF,
    NOW_S,
    SMALL,
    crash,
    crash_often,
    plan_starts,
    show_running,
)

from cassiahold.core.ids import JobId, ServiceName, TeamName, WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext
from cassiahold.workflows.suspects import MAX_GROUP_TASKS, MAX_KEPT_WORKERS


def test_suspects_start_on_different_workers() -> None:
    # Best fit had started them together again: one of them ended the others
    # with each worker that returned.
    cell = StateFixture('crashed', 'u', 'v', 'w', 'x')
    for job in ('i', 'j'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    starts = plan_starts(cell)
    assert len({start.worker for start in starts}) == 2


def crash_three_jobs(*, is_loaded: bool) -> StateFixture:
    """Return a cell of ten workers with three suspect tasks."""
    names = [f'w{number}' for number in range(10)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(10, resources=HALF))
    if is_loaded:
        for number, name in enumerate(names):
            cell.start((attempt_key('load', 0, number), name))
    else:
        cell.apply(commands.CancelJob(JobId('load'), 1.0))
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    return cell


def test_few_workers_of_a_loaded_cell_have_a_suspect_at_a_time() -> None:
    # Suspects crashed the workers as fast as they returned.
    cell = crash_three_jobs(is_loaded=True)
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    (start,) = plan_starts(cell, health)
    cell.start((start.attempt, start.worker))
    assert not plan_starts(cell, health)
    show_running(health, start.attempt, start.worker)
    assert len(plan_starts(cell, health)) == 1


def test_suspect_does_not_start_beside_a_task_that_has_just_started() -> None:
    # The other task crashed the worker, and the suspect was blamed again.
    cell = StateFixture('crashed', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), other, NOW_S)
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    cell.submit('later', step_spec(), accepted_at=5.0)
    # The worker is kept free of further tasks meanwhile.
    assert not plan_starts(cell, health)
    settled = HealthTracker()
    show_running(settled, other, 'w')
    (start,) = plan_starts(cell, settled)
    assert start.attempt.task.step.job == 'j'


def test_suspect_does_not_start_on_a_worker_that_may_have_crashed() -> None:
    # A worker with silent connections had crashed, and the suspect was blamed.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    (start,) = plan_starts(cell, silent='v')
    assert start.worker == 'w'
    assert not plan_starts(cell, silent='vw')


def test_suspects_do_not_wait_while_most_of_the_capacity_is_free() -> None:
    starts = plan_starts(crash_three_jobs(is_loaded=False))
    assert len({start.worker for start in starts}) == 3


def test_load_of_one_service_does_not_hold_back_suspects_of_another() -> None:
    # The other service had most of its capacity free, and its suspects waited
    # for the trials of the full one.
    idle_queue = msgspec.structs.replace(
        queue_policy('idle'), service=ServiceName('idle')
    )
    config = configuration(queue_policy(), idle_queue)
    cell = StateFixture('crashed', 'v', 'w', 'x', config=config)
    for name in ('y', 'z'):
        info = msgspec.structs.replace(worker_info(name), service='idle')
        cell.apply(commands.RegisterWorker(info))
    health = HealthTracker()
    cell.submit('load', step_spec(5, resources=HALF))
    for task, worker in enumerate('vvwwx'):
        attempt = attempt_key('load', 0, task)
        cell.start((attempt, worker))
        show_running(health, attempt, worker)
    cell.submit('busy', step_spec())
    crash(cell, 'busy', 0)
    cell.submit('i', step_spec(), queue='idle', accepted_at=1.0)
    cell.start((attempt_key('i', 0, 0), 'crashed'))
    crash_of_idle = commands.AttemptResult(
        attempt_key('i', 0, 0),
        WorkerId('crashed'),
        AttemptOutcome.LOST,
        crash=CrashEvidence.ONLY_RECENT,
    )
    cell.apply(commands.EndAttempts([crash_of_idle], 1.0))
    starts = plan_starts(cell, health)
    assert {start.attempt.task.step.job for start in starts} >= {'busy', 'i'}


def test_suspect_starts_where_the_fewest_tasks_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('sound', step_spec())
    cell.start((attempt_key('sound', 0, 0), 'v'))
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    (start,) = plan_starts(cell)
    assert start.worker == 'w'


def test_other_tasks_avoid_a_worker_with_a_suspect() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    cell.start((attempt_key('j', 0, 0, 2), 'v'))
    cell.submit('sound', step_spec(5))
    workers = [start.worker for start in plan_starts(cell)]
    assert workers == ['w', 'w', 'w', 'w']


def test_suspect_that_has_survived_is_no_danger_to_others() -> None:
    cell = StateFixture('crashed', 'w', 'x')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    attempt = attempt_key('j', 0, 0, 2)
    cell.start((attempt, 'w'))
    cell.submit('sound', step_spec())
    health = HealthTracker()
    assert plan_starts(cell, health)[0].worker == 'x'
    show_running(health, attempt, 'w')
    # Best fit again.
    assert plan_starts(cell, health)[0].worker == 'w'


def test_gang_with_a_suspect_starts_where_the_fewest_tasks_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('sound', step_spec())
    cell.start((attempt_key('sound', 0, 0), 'v'))
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    assert [start.worker for start in plan_starts(cell)] == ['w', 'w']


def test_task_that_has_crashed_often_does_not_wait_for_newer_suspects() -> None:
    # It waited for as long as others were suspected for their first crash.
    cell = StateFixture('crashed', 'w')
    cell.submit('crashing', step_spec())
    crash_often(cell, 'crashing')
    cell.submit('blamed', step_spec(), accepted_at=5.0)
    crash(cell, 'blamed', 0)
    (start,) = plan_starts(cell)
    assert start.attempt.task.step.job == 'crashing'


def test_many_suspects_leave_most_of_a_large_cell_to_other_work() -> None:
    # A pass over a lightly loaded cell ranked its workers for each suspect.
    names = [f'w{number:03}' for number in range(200)]
    cell = StateFixture('crashed', *names)
    for number in range(30):
        cell.submit(f'j{number}', step_spec())
        crash(cell, f'j{number}', 0)
    cell.submit('sound', step_spec(200, resources=BIG), accepted_at=5.0)
    jobs = collections.Counter(
        start.attempt.task.step.job for start in plan_starts(cell)
    )
    assert jobs.pop(JobId('sound')) == 200 - MAX_KEPT_WORKERS
    assert len(jobs) == MAX_KEPT_WORKERS


def loaded_cell(health: HealthTracker) -> StateFixture:
    """Return a cell of 20 workers half of whose capacity is allocated."""
    names = [f'w{number:02}' for number in range(20)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(20, resources=HALF))
    for number, name in enumerate(names):
        cell.start((attempt_key('load', 0, number), name))
        show_running(health, attempt_key('load', 0, number), name)
    return cell


def test_workers_that_a_team_has_lost_count_against_its_trials() -> None:
    # It crashed further ones as soon as others were noticed.
    health = HealthTracker()
    cell = loaded_cell(health)
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    assert len(plan_starts(cell, health)) == 2
    cell.start((attempt_key('i', 0, 0, 2), 'crashed'))
    show_running(health, attempt_key('i', 0, 0, 2), 'crashed')
    assert len(plan_starts(cell, health)) == 1


def test_suspects_of_one_team_do_not_hold_back_those_of_another() -> None:
    # The one team had every trial.
    health = HealthTracker()
    cell = loaded_cell(health)
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    cell.submit('other', step_spec(), team=TeamName('other'), accepted_at=5.0)
    crash(cell, 'other', 0)
    jobs = [start.attempt.task.step.job for start in plan_starts(cell, health)]
    assert jobs == ['i', 'j', 'other']


def test_tasks_that_a_crash_has_only_blamed_share_a_trial() -> None:
    # Each had a worker of its own for half a second, and most of them waited.
    cell = StateFixture('crashed', 'w')
    jobs = [f'j{number}' for number in range(MAX_GROUP_TASKS + 1)]
    for job in jobs:
        cell.submit(job, step_spec(resources=SMALL))
        crash(cell, job, 0, evidence=CrashEvidence.RECENT)
    starts = plan_starts(cell)
    assert len(starts) == MAX_GROUP_TASKS
    # One that is suspected for a second crash is tried alone.
    crash(cell, jobs[0], 0, evidence=CrashEvidence.RECENT, number=2)
    (start,) = plan_starts(cell)
    assert start.attempt.task.step.job == jobs[0]


def test_gang_with_a_suspect_does_not_start_on_a_silent_worker() -> None:
    # As for a single task: the worker may have crashed unnoticed.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    starts = plan_starts(cell, silent='v')
    assert {start.worker for start in starts} == {'w'}, starts
    assert not plan_starts(cell, silent='vw'), 'started on silent workers'


def test_gang_with_a_suspect_does_not_start_beside_a_recent_start() -> None:
    # The crash would be held against the other job as well.
    cell = StateFixture('crashed', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), other, NOW_S)
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    starts = plan_starts(cell, health)
    assert not starts, starts


def test_trial_that_has_crashed_its_worker_still_counts() -> None:
    # The worker's poll had failed, so it was no longer usable, and the next
    # suspect crashed the next worker within a few passes.
    cell = crash_three_jobs(is_loaded=True)
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    (start,) = plan_starts(cell, health)
    cell.start((start.attempt, start.worker))
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset(cell.state.worker_by_id) - {
        WorkerId('crashed'),
        start.worker,
    }
    context = PlanningContext(usable, NOW_S, NOW_S)
    groups = planner.plan(context).start_groups
    assert not groups, groups


load_tests = function_tests(globals())
