"""Tests of trials: suspect tasks start apart from other tasks."""

from planner_fixtures import (
    ONE_CORE,
    RED,
    SIZE,
    new_planner,
    started_jobs,
    submit,
)

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.core.states import JobKind
from cassiahold.core.testing import function_tests
from cassiahold.policy.decisions import Plan, StartDecision, task_key
from cassiahold.policy.planner import Planner
from cassiahold.policy.trials import MAX_HOLD_S
from cassiahold.policy.waiting_jobs import WaitingJob


def submit_suspect(planner: Planner, job_id: str = 'suspect') -> WaitingJob:
    job = WaitingJob(JobId(job_id), RED, ONE_CORE, 0.0)
    planner.waiting_jobs.add_task(job, 0, is_suspect=True)
    return job


def starts(plan: Plan) -> list[StartDecision]:
    return [start for group in plan.start_groups for start in group]


def worker_of(plan: Plan, job_id: str) -> WorkerId | None:
    return next(
        (start.worker for start in starts(plan) if start.job == job_id), None
    )


def settle(planner: Planner, job_id: str) -> None:
    for task in planner.task_by_key.values():
        if task.job == job_id:
            planner.trials.settle(task)


def test_nothing_else_starts_where_a_suspect_has_just_started() -> None:
    planner = new_planner(workers=2)
    submit_suspect(planner)
    submit(planner, 'others', tasks=8)
    plan = planner.plan(0.0)
    suspected = worker_of(plan, 'suspect')
    assert suspected is not None
    others = [start for start in starts(plan) if start.job == 'others']
    assert len(others) == 4
    assert all(start.worker != suspected for start in others)
    assert not starts(planner.plan(1.0))
    settle(planner, 'suspect')
    assert len(starts(planner.plan(2.0))) == 3


def test_a_suspect_does_not_start_beside_recent_starts() -> None:
    planner = new_planner(workers=1)
    submit(planner, 'other')
    planner.plan(0.0)
    submit_suspect(planner)
    submit(planner, 'next')
    # The worker is held for the suspect until the other task has settled.
    assert not starts(planner.plan(0.1))
    settle(planner, 'other')
    assert started_jobs(planner.plan(1.0)) == ['suspect']


def test_a_worker_is_not_held_for_ever() -> None:
    planner = new_planner(workers=1)
    submit(planner, 'other')
    planner.plan(0.0)
    job = submit_suspect(planner)
    submit(planner, 'next')
    assert not starts(planner.plan(0.1))
    planner.waiting_jobs.remove_task(job.id, 0)
    assert started_jobs(planner.plan(0.2)) == ['next']


def test_a_hold_moves_on_when_its_worker_does_not_settle() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'other', tasks=2, shape=ONE_CORE._replace(cores_m=3000))
    planner.plan(0.0)
    submit_suspect(planner)
    planner.plan(0.1)
    held = next(iter(planner.trials.hold_by_worker))
    planner.worker_pool.remove(held)
    planner.trials.refresh(held)
    planner.plan(0.2)
    assert held not in planner.trials.hold_by_worker
    assert planner.trials.is_held_for(task_key(JobId('suspect'), 0))
    first = dict(planner.trials.hold_by_worker)
    planner.plan(0.2 + MAX_HOLD_S)
    assert planner.trials.hold_by_worker != first


def test_a_suspect_avoids_members_of_gangs_and_services() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'service', kind=JobKind.SERVICE)
    service_worker = worker_of(planner.plan(0.0), 'service')
    settle(planner, 'service')
    submit(planner, 'batch', tasks=3, shape=ONE_CORE)
    planner.plan(1.0)
    settle(planner, 'batch')
    submit_suspect(planner)
    suspected = worker_of(planner.plan(2.0), 'suspect')
    assert suspected not in {None, service_worker}


def test_members_everywhere_do_not_hold_a_suspect() -> None:
    planner = new_planner(workers=1)
    submit(planner, 'service', kind=JobKind.SERVICE)
    planner.plan(0.0)
    settle(planner, 'service')
    submit_suspect(planner)
    assert started_jobs(planner.plan(1.0)) == ['suspect']


def test_few_suspects_start_at_a_time_under_load() -> None:
    planner = new_planner(workers=10)
    submit(planner, 'load', tasks=30)
    planner.plan(0.0)
    settle(planner, 'load')
    for number in range(5):
        submit_suspect(planner, f'suspect{number}')
    assert len(starts(planner.plan(1.0))) == 1
    assert not starts(planner.plan(2.0))


def test_a_suspect_that_fits_nowhere_does_not_hold_another() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'small')
    planner.plan(0.0)
    settle(planner, 'small')
    large = WaitingJob(
        JobId('large'), RED, ONE_CORE.with_resources(SIZE * 2), 0.0
    )
    planner.waiting_jobs.add_task(large, 0, is_suspect=True)
    submit_suspect(planner, 'fits')
    assert started_jobs(planner.plan(1.0)) == ['fits']


def test_a_gang_with_a_suspect_member_keeps_others_off_its_workers() -> None:
    planner = new_planner(workers=2)
    gang = WaitingJob(JobId('gang'), RED, ONE_CORE, 0.0, kind=JobKind.GANG)
    for index in range(2):
        planner.waiting_jobs.add_task(gang, index, is_suspect=index == 0)
    planner.plan(0.0)
    submit(planner, 'other', tasks=8)
    gang_workers = {task.worker for task in planner.task_by_key.values()}
    for start in starts(planner.plan(0.1)):
        assert start.worker not in gang_workers


def test_the_demand_of_a_team_includes_its_suspects() -> None:
    planner = new_planner(workers=0)
    job = submit_suspect(planner)
    team_jobs = planner.waiting_jobs.jobs_by_team[RED]
    assert team_jobs.oldest_job() is job
    assert team_jobs.total_resources == ONE_CORE.resources
    planner.waiting_jobs.remove_task(job.id, 0)
    assert not planner.waiting_jobs.jobs_by_team
    assert not planner.waiting_jobs.job_by_id


load_tests = function_tests(globals())
