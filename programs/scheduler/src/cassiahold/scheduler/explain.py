"""Says in words and figures why a job waits."""

from cassiahold.cellstate.jobs import JobRecord
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.resources import Resources
from cassiahold.core.states import TaskState
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.scheduler.mirror import Mirror


def reasons_for(
    record: JobRecord, state: SchedulerState, mirror: Mirror
) -> list[str]:
    """Return the reasons, the strongest first."""
    if record.is_finished:
        return [f'it is finished: {record.outcome.value}']
    waiting = sum(task.state is TaskState.WAITING for task in record.tasks)
    running = sum(task.state is TaskState.RUNNING for task in record.tasks)
    if not waiting:
        return [f'nothing waits: {running} of {len(record.tasks)} tasks run']
    reasons = [f'{waiting} of {len(record.tasks)} tasks wait']
    planner = mirror.planner
    known = planner.waiting_jobs.job_by_id.get(record.id)
    if known is None:
        reasons.append('it pauses after a failure or waits for its own stops')
        reasons.extend(_failures(record))
        return reasons
    if not planner.worker_pool.worker_by_id:
        reasons.append('no worker has announced itself here')
        return reasons
    if not planner.worker_pool.has_worker_large_enough(known.shape):
        reasons.append(
            f'no worker can ever hold a task of {show(known.shape.resources)}'
        )
    reasons.extend(_limit(record, known.shape, state))
    reasons.extend(_room(known.shape, planner))
    reasons.extend(_share(record, planner))
    reasons.extend(_failures(record))
    return reasons


def show(resources: Resources) -> str:
    """Return an amount for people."""
    text = f'{resources.cores_m / 1000:g} cores, '
    text += f'{resources.memory_mb / 1000:g} GB'
    if resources.accelerators:
        text += f', {resources.accelerators} accelerators'
    return text


def _limit(
    record: JobRecord, shape: TaskShape, state: SchedulerState
) -> list[str]:
    usage = state.team_usage(record.team)
    allowance = state.team_quota(record.team)
    needed = usage + ResourceTotals(shape.resources, 1)
    if needed.fits_in(allowance):
        return []
    return [
        f'team {record.team!r} runs {show(usage.resources)} in '
        f'{usage.tasks} tasks; its limit here is '
        f'{show(allowance.resources)} in {allowance.tasks} tasks'
    ]


def _room(shape: TaskShape, planner: Planner) -> list[str]:
    if planner.worker_pool.find_worker(shape) is not None:
        return ['a worker has room now; it starts within a moment']
    cell = planner.worker_pool
    used = cell.allocated_resources()
    reasons = [
        f'no worker has {show(shape.resources)} free; '
        f'{show(used)} of {show(cell.capacity)} are held'
    ]
    reasons.extend(
        f'{len(hold.workers)} workers are kept free for job {hold.job}'
        for hold in planner.reservations.reservation_by_job.values()
    )
    return reasons


def _share(record: JobRecord, planner: Planner) -> list[str]:
    share = planner.dominant_share(record.team)
    entitled = planner.entitled_shares().get(record.team, 0.0)
    return [
        f'team {record.team!r} has {share:.1%} of the cell and is entitled '
        f'to {entitled:.1%}'
    ]


def _failures(record: JobRecord) -> list[str]:
    failures = sum(task.failure_count for task in record.tasks)
    if not failures:
        return []
    notes = {task.note for task in record.tasks if task.failure_count}
    return [f'{failures} attempts failed: {"; ".join(sorted(notes)[:3])}']
