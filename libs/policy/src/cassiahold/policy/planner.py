"""Plans which waiting tasks start where, and which running tasks to evict.

The planner works on the leader's in-memory copy of the replicated state.
``plan`` makes a bounded number of decisions per call, so that other requests
to the leader are not delayed for long.
"""

import random
import typing

from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.decisions import Plan
from cassiahold.policy.estimates import Estimator
from cassiahold.policy.failure_tracking import FailureTracker
from cassiahold.policy.planning_round import PlanningRound
from cassiahold.policy.preemption import (
    RunningTask,
    sample_workers,
)
from cassiahold.policy.reservations import ReservationRegistry
from cassiahold.policy.shares import Claim, entitlements
from cassiahold.policy.teams import TeamLimits, TeamUsage
from cassiahold.policy.trials import TrialRegistry
from cassiahold.policy.waiting_jobs import (
    WaitingJobs,
)
from cassiahold.policy.worker_pool import WorkerPool

MAX_STARTS_PER_ROUND: typing.Final = 256


class Planner:
    """Scheduler of one data centre: order, placement, gangs, preemption.

    ``urgent_budget`` is the dominant share of the workers that urgent tasks
    may occupy; ``spreads_racks`` spreads the tasks of a service over racks.
    ``seed`` determines which workers are sampled for evictions.
    """

    def __init__(self, seed: int = 0) -> None:
        self.worker_pool = WorkerPool()
        self.waiting_jobs = WaitingJobs()
        self.estimator = Estimator()
        self.failure_tracker = FailureTracker()
        self.limits_by_team: dict[TeamName, TeamLimits] = {}
        # Set when limits change, since a team may be above a lowered one.
        self.must_check_limits = True
        self.usage_by_team: dict[TeamName, TeamUsage] = {}
        self.task_by_key: dict[TaskKey, RunningTask] = {}
        self.urgent_budget = 0.2
        self.spreads_racks = False
        self.reservations = ReservationRegistry(
            self.worker_pool, self.task_by_key, self.estimator
        )
        self.trials = TrialRegistry(self.worker_pool, self.task_by_key)
        self.urgent_allocated = NO_RESOURCES
        self._random = random.Random(seed)
        self._blocked_since_by_team: dict[TeamName, float] = {}
        self._count_by_rack_by_job: dict[JobId, dict[str, int]] = {}

    # Accounting.

    def record_start(self, task: RunningTask) -> None:
        """Count a running task, whose resources are already allocated."""
        self.task_by_key[task.key] = task
        usage = self.usage_by_team.setdefault(task.team, TeamUsage())
        usage.resources += task.resources
        usage.task_count += 1
        if task.is_suspect:
            self.trials.refresh(task.worker)
        if task.is_urgent:
            self.urgent_allocated += task.resources
        self._adjust_rack_count(task, 1)

    def record_end(self, key: TaskKey) -> RunningTask | None:
        """Release a task's allocation; return the task, None if unknown."""
        task = self.task_by_key.pop(key, None)
        if task is None:
            return None
        self._adjust_rack_count(task, -1)
        worker = self.worker_pool.worker_by_id.get(task.worker)
        if worker is not None:
            self.worker_pool.release(worker, key)
            if task.is_suspect:
                self.trials.refresh(task.worker)
        usage = self.usage_by_team[task.team]
        usage.resources -= task.resources
        usage.task_count -= 1
        if task.is_urgent:
            self.urgent_allocated -= task.resources
        return task

    def task_count_by_rack(self, job: JobId) -> dict[str, int] | None:
        """Return a service's task counts by rack, None without spreading."""
        if not self.spreads_racks:
            return None
        return self._count_by_rack_by_job.get(job, {})

    def _adjust_rack_count(self, task: RunningTask, change: int) -> None:
        if task.kind is not JobKind.SERVICE:
            return
        worker = self.worker_pool.worker_by_id.get(task.worker)
        rack = worker.rack if worker else ''
        counts = self._count_by_rack_by_job.setdefault(task.job, {})
        counts[rack] = counts.get(rack, 0) + change

    def learn_from_finished_task(
        self, task: RunningTask, used: Resources, ran_s: float
    ) -> None:
        """Update the estimates from a finished task.

        ``used`` is its peak usage and ``ran_s`` its run time.  Waiting tasks
        of the same team and name are resized when the estimate has changed.
        """
        if self.estimator.record_finished_task(
            task.team, task.name, used, ran_s
        ):
            self._resize_waiting_jobs(task.team, task.name)

    def _resize_waiting_jobs(self, team: TeamName, name: str) -> None:
        for job in self.waiting_jobs.jobs_named(team, name):
            estimate = self.estimator.estimate_resources(
                team, name, job.declared_resources
            )
            if estimate != job.shape.resources:
                self.waiting_jobs.change_shape(
                    job, job.shape.with_resources(estimate)
                )

    def dominant_share(self, team: TeamName) -> float:
        """Return a team's dominant share of the capacity of all workers."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            return 0.0
        return usage.resources.dominant_share(self.worker_pool.capacity)

    def entitled_shares(self) -> dict[TeamName, float]:
        """Return the dominant share that each active team is entitled to."""
        claims = {}
        for team, limits in self.limits_by_team.items():
            demand = self._demand(team, limits)
            if demand > 0:
                claims[team] = Claim(limits.weight, demand)
        return entitlements(claims)

    def _demand(self, team: TeamName, limits: TeamLimits) -> float:
        demand = NO_RESOURCES
        usage = self.usage_by_team.get(team)
        if usage is not None:
            demand += usage.resources
        team_jobs = self.waiting_jobs.jobs_by_team.get(team)
        if team_jobs is not None:
            demand += team_jobs.total_resources
        return demand.elementwise_min(limits.max_resources).dominant_share(
            self.worker_pool.capacity
        )

    # Decisions.

    def plan(self, now: float, max_starts: int = MAX_STARTS_PER_ROUND) -> Plan:
        """Run one planning round with at most ``max_starts`` starts.

        Reservations and evictions follow only when starts are left over, that
        is when everything that fits has been placed.
        """
        self.reservations.release_obsolete(self.waiting_jobs, now)
        self.trials.release_expired(self._is_suspect_waiting, now)
        planning = PlanningRound(self, now, max_starts)
        if self.must_check_limits:
            self.must_check_limits = planning.stop_tasks_over_limits()
        planning.place_suspects()
        planning.place_urgent()
        planning.place_by_share()
        if planning.starts_left > 0:
            planning.reserve_for_blocked_jobs()
            planning.evict_for_urgent()
            planning.evict_for_shares()
        return Plan(
            planning.start_groups, planning.evictions, planning.starts_left > 0
        )

    def _is_suspect_waiting(self, key: TaskKey) -> bool:
        job_id, _, index = key.rpartition('/')
        job = self.waiting_jobs.job_by_id.get(JobId(job_id))
        return job is not None and int(index) in job.suspect_indexes

    def fits_team_limits(self, team: TeamName, resources: Resources) -> bool:
        """Tell whether ``resources`` and one task more are within the limits.

        A team without limits may not run anything.
        """
        limits = self.limits_by_team.get(team)
        if limits is None:
            return False
        usage = self.usage_by_team.get(team) or TeamUsage()
        return usage.task_count < limits.max_tasks and (
            usage.resources + resources
        ).fits_in(limits.max_resources)

    def sample_workers(self) -> list[WorkerId]:
        """Return a random sample of workers to compare for an eviction."""
        return sample_workers(self.worker_pool, self._random)

    def mark_blocked(self, team: TeamName, now: float) -> float:
        """Record that a team is blocked; return for how long, in seconds."""
        return now - self._blocked_since_by_team.setdefault(team, now)

    def clear_blocked(self, team: TeamName) -> None:
        """Record that a team has its share, so it is not blocked any more."""
        self._blocked_since_by_team.pop(team, None)
