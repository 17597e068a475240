"""A planner with workers and waiting jobs, for tests."""

import typing

from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.decisions import Plan, task_key
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker

RED, BLUE = TeamName('red'), TeamName('blue')
SIZE = Resources(4000, 8000, 0)
ONE_CORE = TaskShape(1000, 1000)


def new_planner(workers: int = 2, **weights: float) -> Planner:
    planner = Planner(seed=1)
    for number in range(workers):
        planner.worker_pool.add(
            Worker(WorkerId(f'w{number}'), SIZE, rack=f'r{number % 2}')
        )
    for team, weight in (weights or {'red': 1.0, 'blue': 1.0}).items():
        planner.limits_by_team[TeamName(team)] = TeamLimits(
            weight, SIZE * 1000, 10**6
        )
    return planner


def submit(
    planner: Planner,
    job_id: str,
    tasks: int = 1,
    team: TeamName = RED,
    shape: TaskShape = ONE_CORE,
    waiting_since: float = 0.0,
    **fields: typing.Any,
) -> WaitingJob:
    job = WaitingJob(JobId(job_id), team, shape, waiting_since, **fields)
    for index in range(tasks):
        planner.waiting_jobs.add_task(job, index)
    return job


def started_jobs(plan: Plan) -> list[str]:
    return [start.job for group in plan.start_groups for start in group]


def end_task(planner: Planner, name: str, index: int = 0) -> None:
    assert planner.record_end(task_key(JobId(name), index)) is not None
