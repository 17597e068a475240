"""Turns what waits and what is free into starts and stops.

The planner mirrors the replicated state at the leader.  ``plan`` makes a
bounded number of decisions, so that nobody else waits for long.
"""

import random
import typing

from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.decisions import Plan
from cassiahold.policy.estimates import Estimator
from cassiahold.policy.failure_tracking import FailureTracker
from cassiahold.policy.holds import HoldBook
from cassiahold.policy.preemption import (
    RunningTask,
    sample_workers,
)
from cassiahold.policy.rounds import Round
from cassiahold.policy.shares import Claim, entitlements
from cassiahold.policy.teams import TeamLimits, Usage
from cassiahold.policy.waiting_jobs import (
    WaitingJobs,
)
from cassiahold.policy.worker_pool import WorkerPool

MAX_STARTS_PER_ROUND: typing.Final = 256


class Planner:
    """Decides order, placement, gangs and preemption for one cell."""

    def __init__(self, seed: int = 0) -> None:
        self.worker_pool = WorkerPool()
        self.waiting_jobs = WaitingJobs()
        self.estimator = Estimator()
        self.failure_tracker = FailureTracker()
        self.limits_by_team: dict[TeamName, TeamLimits] = {}
        # Whether a lowered limit may have left a team above it.
        self.must_check_limits = True
        self.usage_by_team: dict[TeamName, Usage] = {}
        self.task_by_key: dict[TaskKey, RunningTask] = {}
        self.urgent_budget = 0.2
        self.spreads_racks = False
        self.reservations = HoldBook(
            self.worker_pool, self.task_by_key, self.estimator
        )
        self.urgent_held = NO_RESOURCES
        self._random = random.Random(seed)
        self._blocked_since: dict[TeamName, float] = {}
        self._count_by_rack_by_job: dict[JobId, dict[str, int]] = {}

    # Bookkeeping.

    def record_start(self, task: RunningTask) -> None:
        """Count a task that holds its worker; cell.take was done."""
        self.task_by_key[task.key] = task
        usage = self.usage_by_team.setdefault(task.team, Usage())
        usage.resources += task.resources
        usage.tasks += 1
        if task.is_urgent:
            self.urgent_held += task.resources
        self._count_rack(task, 1)

    def record_end(self, key: TaskKey) -> RunningTask | None:
        """Free what a task held; None when it is unknown."""
        task = self.task_by_key.pop(key, None)
        if task is None:
            return None
        self._count_rack(task, -1)
        worker = self.worker_pool.worker_by_id.get(task.worker)
        if worker is not None:
            self.worker_pool.release(worker, key)
        usage = self.usage_by_team[task.team]
        usage.resources -= task.resources
        usage.tasks -= 1
        if task.is_urgent:
            self.urgent_held -= task.resources
        return task

    def racks_of(self, job: JobId) -> dict[str, int] | None:
        """Return the tasks of a service by rack, None without spreading."""
        if not self.spreads_racks:
            return None
        return self._count_by_rack_by_job.get(job, {})

    def _count_rack(self, task: RunningTask, change: int) -> None:
        if task.kind is not JobKind.SERVICE:
            return
        worker = self.worker_pool.worker_by_id.get(task.worker)
        rack = worker.rack if worker else ''
        counts = self._count_by_rack_by_job.setdefault(task.job, {})
        counts[rack] = counts.get(rack, 0) + change

    def learn_from_finished_task(
        self, task: RunningTask, used: Resources, ran_s: float
    ) -> None:
        """Take what a finished task used; size waiting ones like it anew."""
        if self.estimator.finished(task.team, task.name, used, ran_s):
            self._resize(task.team, task.name)

    def _resize(self, team: TeamName, name: str) -> None:
        for job in self.waiting_jobs.jobs_like(team, name):
            size = self.estimator.estimate_resources(
                team, name, job.declared_resources
            )
            if size != job.shape.resources:
                self.waiting_jobs.reshape(job, job.shape.resized(size))

    def dominant_share(self, team: TeamName) -> float:
        """Return a team's dominant share of the cell."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            return 0.0
        return usage.resources.dominant_share(self.worker_pool.capacity)

    def entitled_shares(self) -> dict[TeamName, float]:
        """Return the dominant share that each active team should have."""
        claims = {}
        for team, bounds in self.limits_by_team.items():
            demand = self._demand(team, bounds)
            if demand > 0:
                claims[team] = Claim(bounds.weight, demand)
        return entitlements(claims)

    def _demand(self, team: TeamName, bounds: TeamLimits) -> float:
        wanted = NO_RESOURCES
        usage = self.usage_by_team.get(team)
        if usage is not None:
            wanted += usage.resources
        book = self.waiting_jobs.jobs_by_team.get(team)
        if book is not None:
            wanted += book.total_resources
        return wanted.elementwise_min(bounds.max_resources).dominant_share(
            self.worker_pool.capacity
        )

    # Decisions.

    def plan(self, now: float, starts: int = MAX_STARTS_PER_ROUND) -> Plan:
        """Make up to ``starts`` starts and the evictions they lack."""
        self.reservations.drop_old(self.waiting_jobs, now)
        session = Round(self, now, starts)
        if self.must_check_limits:
            self.must_check_limits = session.stop_over_limit()
        session.place_urgent()
        session.place_by_share()
        if session.left > 0:
            session.keep_room()
            session.evict_for_urgent()
            session.evict_for_shares()
        return Plan(session.starts, session.evictions, session.left > 0)

    def room_for(self, team: TeamName, resources: Resources) -> bool:
        """Tell whether a team's limit lets one more task start."""
        bounds = self.limits_by_team.get(team)
        if bounds is None:
            return False
        usage = self.usage_by_team.get(team) or Usage()
        return usage.tasks < bounds.max_tasks and (
            usage.resources + resources
        ).fits_in(bounds.max_resources)

    def sample(self) -> list[WorkerId]:
        """Return workers to compare for an eviction."""
        return sample_workers(self.worker_pool, self._random)

    def blocked_for(self, team: TeamName, now: float) -> float:
        """Record that a team is blocked; return for how long, seconds."""
        return now - self._blocked_since.setdefault(team, now)

    def unblocked(self, team: TeamName) -> None:
        """Record that a team got what it wanted."""
        self._blocked_since.pop(team, None)
