"""Figures of one scheduler group for operators and the coordinator."""

import collections

from cassiahold.cellstate.jobs import JobRecord
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import DataCentre, JobId, TeamName
from cassiahold.policy.planner import Planner
from cassiahold.policy.waiting_jobs import TeamWaitingJobs
from cassiahold.wire import messages

MAX_NOTES = 5
MAX_NEVER_FITTING = 100


def job_status(record: JobRecord) -> messages.JobStatus:
    """Return what a caller is told about a job."""
    counts = collections.Counter(task.state for task in record.tasks)
    notes = {task.note for task in record.tasks if task.note}
    return messages.JobStatus(
        record.id,
        record.team,
        record.spec.queue,
        record.spec.kind,
        record.outcome,
        dict(counts),
        sorted(notes)[:MAX_NOTES],
        record.submitted_at,
        record.finished_at,
    )


def team_demand(
    state: SchedulerState, planner: Planner, now: float
) -> list[messages.TeamDemand]:
    """Return usage and waiting amounts of every active team."""
    teams = set(planner.waiting_jobs.jobs_by_team)
    teams.update(state.configuration.team_by_name)
    return [
        _demand(state, team, planner.waiting_jobs.jobs_by_team.get(team), now)
        for team in sorted(teams)
    ]


def _demand(
    state: SchedulerState,
    team: TeamName,
    book: TeamWaitingJobs | None,
    now: float,
) -> messages.TeamDemand:
    usage = state.team_usage(team)
    oldest = book.oldest_job() if book else None
    if book is None or oldest is None:
        return messages.TeamDemand(team, usage, ResourceTotals())
    at_once = len(oldest.pending_indexes) if oldest.is_gang else 1
    return messages.TeamDemand(
        team,
        usage,
        _waiting(book),
        ResourceTotals(oldest.shape.resources * at_once, at_once),
        now - oldest.waiting_since,
    )


def scheduler_status(
    centre: DataCentre,
    term: int,
    state: SchedulerState,
    planner: Planner,
    targets: int,
) -> messages.SchedulerStatus:
    """Return workers, teams and packing."""
    entitled = planner.entitled_shares()
    workers = [
        messages.WorkerStatus(
            worker.id,
            worker.state.value,
            worker.capacity,
            worker.capacity - worker.free,
            len(worker.allocation_by_key),
        )
        for worker in planner.worker_pool.worker_by_id.values()
    ]
    teams = [
        messages.TeamStatus(
            team,
            state.team_usage(team),
            state.team_quota(team),
            _waiting(planner.waiting_jobs.jobs_by_team.get(team)).tasks,
            entitled.get(team, 0.0),
            planner.dominant_share(team),
        )
        for team in state.configuration.team_by_name
    ]
    return messages.SchedulerStatus(
        centre,
        term,
        state.configuration_version,
        workers,
        teams,
        targets,
        never_fitting(planner),
        planner.worker_pool.allocated_resources().dominant_share(
            planner.worker_pool.capacity
        ),
    )


def never_fitting(planner: Planner) -> list[JobId]:
    """Return waiting jobs that no known worker can hold."""
    if not planner.worker_pool.worker_by_id:
        return []
    jobs = (
        job.id
        for job in planner.waiting_jobs.job_by_id.values()
        if not planner.worker_pool.has_worker_large_enough(job.shape)
    )
    return [job for job, _ in zip(jobs, range(MAX_NEVER_FITTING), strict=False)]


def _waiting(book: TeamWaitingJobs | None) -> ResourceTotals:
    return (
        ResourceTotals(book.total_resources, book.task_count)
        if book
        else ResourceTotals()
    )
