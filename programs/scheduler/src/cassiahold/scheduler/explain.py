"""Explains to callers and operators why a job is waiting."""

from cassiahold.cellstate.jobs import JobRecord
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.resources import Resources
from cassiahold.core.states import TaskState
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.scheduler.planner_projection import PlannerProjection


def waiting_reasons(
    record: JobRecord, state: SchedulerState, projection: PlannerProjection
) -> list[str]:
    """Return the reasons why a job is waiting, the strongest first.

    After the counts of tasks come workers that are too small, limits,
    capacity, the team's share and failures.
    """
    if record.is_finished:
        return [_finished_reason(record), *_crash_reasons(record)]
    waiting = sum(task.state is TaskState.WAITING for task in record.tasks)
    running = sum(task.state is TaskState.RUNNING for task in record.tasks)
    if not waiting:
        return [
            f'nothing waits: {running} of {len(record.tasks)} tasks run',
            *_crash_reasons(record),
        ]
    reasons = [f'{waiting} of {len(record.tasks)} tasks wait']
    reasons.extend(_placement_reasons(record, state, projection.planner))
    reasons.extend(_failure_reasons(record))
    reasons.extend(_crash_reasons(record))
    return reasons


def _placement_reasons(
    record: JobRecord, state: SchedulerState, planner: Planner
) -> list[str]:
    waiting_job = planner.waiting_jobs.job_by_id.get(record.id)
    if waiting_job is None:
        return [
            'it is backing off after a failure, or its earlier attempts are '
            'being stopped'
        ]
    if not planner.worker_pool.worker_by_id:
        return ['no worker has registered in this data centre']
    reasons = []
    if waiting_job.suspect_indexes:
        reasons.append(
            f'{len(waiting_job.suspect_indexes)} tasks may crash their '
            f'workers and start apart from other tasks'
        )
    if not planner.worker_pool.has_worker_large_enough(waiting_job.shape):
        reasons.append(
            'no worker is large enough for a task of '
            f'{format_resources(waiting_job.shape.resources)}'
        )
    reasons.extend(_limit_reasons(record, waiting_job.shape, state))
    reasons.extend(_capacity_reasons(waiting_job.shape, planner))
    reasons.extend(_share_reasons(record, planner))
    return reasons


def format_resources(resources: Resources) -> str:
    """Return resources as readable text, such as ``2 cores, 4 GB``."""
    text = f'{resources.cores_m / 1000:g} cores, '
    text += f'{resources.memory_mb / 1000:g} GB'
    if resources.accelerators:
        text += f', {resources.accelerators} accelerators'
    return text


def _limit_reasons(
    record: JobRecord, shape: TaskShape, state: SchedulerState
) -> list[str]:
    usage = state.team_usage(record.team)
    quota = state.team_quota(record.team)
    needed = usage + ResourceTotals(shape.resources, 1)
    if needed.fits_in(quota):
        return []
    return [
        f'team {record.team!r} runs {format_resources(usage.resources)} in '
        f'{usage.tasks} tasks; its limit in this data centre is '
        f'{format_resources(quota.resources)} in {quota.tasks} tasks'
    ]


def _capacity_reasons(shape: TaskShape, planner: Planner) -> list[str]:
    if planner.worker_pool.find_worker(shape) is not None:
        return ['a worker has enough free resources; it will start shortly']
    worker_pool = planner.worker_pool
    used = worker_pool.allocated_resources()
    reasons = [
        f'no worker has {format_resources(shape.resources)} free; '
        f'{format_resources(used)} of '
        f'{format_resources(worker_pool.capacity)} are allocated'
    ]
    reasons.extend(
        f'{len(reservation.workers)} workers are reserved for job '
        f'{reservation.job}'
        for reservation in planner.reservations.reservation_by_job.values()
    )
    return reasons


def _share_reasons(record: JobRecord, planner: Planner) -> list[str]:
    share = planner.dominant_share(record.team)
    entitled = planner.entitled_shares().get(record.team, 0.0)
    return [
        f'team {record.team!r} uses {share:.1%} of the data centre and is '
        f'entitled to {entitled:.1%}'
    ]


def _failure_reasons(record: JobRecord) -> list[str]:
    failures = sum(task.failure_count for task in record.tasks)
    if not failures:
        return []
    notes = {task.note for task in record.tasks if task.failure_count}
    return [f'{failures} attempts failed: {"; ".join(sorted(notes)[:3])}']


def _finished_reason(record: JobRecord) -> str:
    text = f'it is finished: {record.outcome.value}'
    if record.reported_reason is None:
        return text
    return f'{text}, reason {record.reported_reason.value}'


def _crash_reasons(record: JobRecord) -> list[str]:
    """Return the newest crashes of workers under the job, oldest first."""
    reasons = []
    if record.is_given_up and not record.is_finished:
        reasons.append('it crashes workers and was given up')
    reasons.extend(
        f'incarnation {crash.incarnation} of worker {crash.worker!r} crashed '
        f'under attempt {crash.attempt} of task {crash.index}'
        for crash in record.crashes
    )
    return reasons
