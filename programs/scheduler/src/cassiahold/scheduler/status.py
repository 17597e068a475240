"""Status messages of one scheduler group.

Job status is for callers, group status for operators, and the demand of
teams for the coordinator group.
"""

import collections

from cassiahold.cellstate.jobs import JobRecord
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import DataCentre, JobId, TeamName
from cassiahold.policy.planner import Planner
from cassiahold.policy.waiting_jobs import TeamWaitingJobs
from cassiahold.wire import messages

MAX_NOTES = 5
MAX_NEVER_FITTING_JOBS = 100


def job_status(record: JobRecord) -> messages.JobStatus:
    """Return the status of a job as callers see it."""
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
        record.reported_reason,
    )


def team_demand(
    state: SchedulerState, planner: Planner, now: float
) -> list[messages.TeamDemand]:
    """Return usage and waiting demand of every configured or waiting team."""
    teams = set(planner.waiting_jobs.jobs_by_team)
    teams.update(state.configuration.team_by_name)
    return [
        _team_demand(
            state, team, planner.waiting_jobs.jobs_by_team.get(team), now
        )
        for team in sorted(teams)
    ]


def _team_demand(
    state: SchedulerState,
    team: TeamName,
    team_jobs: TeamWaitingJobs | None,
    now: float,
) -> messages.TeamDemand:
    usage = state.team_usage(team)
    oldest = team_jobs.oldest_job() if team_jobs else None
    if team_jobs is None or oldest is None:
        return messages.TeamDemand(team, usage, ResourceTotals())
    # A gang starts all of its tasks together.
    tasks_at_once = len(oldest.pending_indexes) if oldest.is_gang else 1
    return messages.TeamDemand(
        team,
        usage,
        _waiting_amount(team_jobs),
        ResourceTotals(oldest.shape.resources * tasks_at_once, tasks_at_once),
        now - oldest.waiting_since,
    )


def scheduler_status(
    data_centre: DataCentre,
    term: int,
    state: SchedulerState,
    planner: Planner,
    target_count: int,
) -> messages.SchedulerStatus:
    """Return the status of workers, teams and utilisation of a group."""
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
            _waiting_amount(planner.waiting_jobs.jobs_by_team.get(team)).tasks,
            entitled.get(team, 0.0),
            planner.dominant_share(team),
        )
        for team in state.configuration.team_by_name
    ]
    return messages.SchedulerStatus(
        data_centre,
        term,
        state.configuration_version,
        workers,
        teams,
        target_count,
        never_fitting_jobs(planner),
        planner.worker_pool.allocated_resources().dominant_share(
            planner.worker_pool.capacity
        ),
    )


def never_fitting_jobs(planner: Planner) -> list[JobId]:
    """Return waiting jobs that no worker is large enough for.

    Workers may be too small or of another class.  At most
    ``MAX_NEVER_FITTING_JOBS`` are returned.
    """
    if not planner.worker_pool.worker_by_id:
        return []
    jobs = (
        job.id
        for job in planner.waiting_jobs.job_by_id.values()
        if not planner.worker_pool.has_worker_large_enough(job.shape)
    )
    return [
        job for job, _ in zip(jobs, range(MAX_NEVER_FITTING_JOBS), strict=False)
    ]


def _waiting_amount(team_jobs: TeamWaitingJobs | None) -> ResourceTotals:
    return (
        ResourceTotals(team_jobs.total_resources, team_jobs.task_count)
        if team_jobs
        else ResourceTotals()
    )
