"""Turns what waits and what is free into starts and stops.

The planner mirrors the replicated state at the leader.  ``plan`` makes a
bounded number of decisions, so that nobody else waits for long.
"""

import random
import typing

from cassiahold.core.ids import JobId, TaskKey, TeamName, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.blame import Blame
from cassiahold.policy.cell import Cell
from cassiahold.policy.decisions import Plan
from cassiahold.policy.estimates import Estimator
from cassiahold.policy.planning_round import PlanningRound
from cassiahold.policy.preemption import (
    RunningTask,
    sample_workers,
)
from cassiahold.policy.reservations import ReservationRegistry
from cassiahold.policy.shares import Claim, entitlements
from cassiahold.policy.teams import Bounds, TeamUsage
from cassiahold.policy.waiting import (
    WaitingBook,
)

MAX_STARTS_PER_ROUND: typing.Final = 256


class Planner:
    """Decides order, placement, gangs and preemption for one cell."""

    def __init__(self, seed: int = 0) -> None:
        self.cell = Cell()
        self.book = WaitingBook()
        self.estimator = Estimator()
        self.blame = Blame()
        self.bounds_by_team: dict[TeamName, Bounds] = {}
        # Whether a lowered limit may have left a team above it.
        self.must_check_limits = True
        self.usage_by_team: dict[TeamName, TeamUsage] = {}
        self.task_by_key: dict[TaskKey, RunningTask] = {}
        self.urgent_budget = 0.2
        self.spreads_racks = False
        self.holds = ReservationRegistry(
            self.cell, self.task_by_key, self.estimator
        )
        self.urgent_allocated = NOTHING
        self._random = random.Random(seed)
        self._blocked_since_by_team: dict[TeamName, float] = {}
        self._count_by_rack_by_job: dict[JobId, dict[str, int]] = {}

    # Bookkeeping.

    def started(self, task: RunningTask) -> None:
        """Count a task that holds its worker; cell.take was done."""
        self.task_by_key[task.key] = task
        usage = self.usage_by_team.setdefault(task.team, TeamUsage())
        usage.resources += task.resources
        usage.task_count += 1
        if task.is_urgent:
            self.urgent_allocated += task.resources
        self._adjust_rack_count(task, 1)

    def ended(self, key: TaskKey) -> RunningTask | None:
        """Free what a task held; None when it is unknown."""
        task = self.task_by_key.pop(key, None)
        if task is None:
            return None
        self._adjust_rack_count(task, -1)
        worker = self.cell.worker_by_id.get(task.worker)
        if worker is not None:
            self.cell.give_back(worker, key)
        usage = self.usage_by_team[task.team]
        usage.resources -= task.resources
        usage.task_count -= 1
        if task.is_urgent:
            self.urgent_allocated -= task.resources
        return task

    def task_count_by_rack(self, job: JobId) -> dict[str, int] | None:
        """Return the tasks of a service by rack, None without spreading."""
        if not self.spreads_racks:
            return None
        return self._count_by_rack_by_job.get(job, {})

    def _adjust_rack_count(self, task: RunningTask, change: int) -> None:
        if task.kind is not JobKind.SERVICE:
            return
        worker = self.cell.worker_by_id.get(task.worker)
        rack = worker.rack if worker else ''
        counts = self._count_by_rack_by_job.setdefault(task.job, {})
        counts[rack] = counts.get(rack, 0) + change

    def learn(self, task: RunningTask, used: Resources, ran_s: float) -> None:
        """Take what a finished task used; size waiting ones like it anew."""
        if self.estimator.record_finished_task(
            task.team, task.name, used, ran_s
        ):
            self._resize_waiting_jobs(task.team, task.name)

    def _resize_waiting_jobs(self, team: TeamName, name: str) -> None:
        for job in self.book.jobs_named(team, name):
            size = self.estimator.reservation(team, name, job.declared)
            if size != job.shape.resources:
                self.book.change_shape(job, job.shape.with_resources(size))

    def share_of(self, team: TeamName) -> float:
        """Return a team's dominant share of the cell."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            return 0.0
        return usage.resources.dominant_share(self.cell.capacity)

    def entitled(self) -> dict[TeamName, float]:
        """Return the dominant share that each active team should have."""
        claims = {}
        for team, bounds in self.bounds_by_team.items():
            demand = self._demand(team, bounds)
            if demand > 0:
                claims[team] = Claim(bounds.weight, demand)
        return entitlements(claims)

    def _demand(self, team: TeamName, limits: Bounds) -> float:
        wanted = NOTHING
        usage = self.usage_by_team.get(team)
        if usage is not None:
            wanted += usage.resources
        book = self.book.by_team.get(team)
        if book is not None:
            wanted += book.waiting
        return wanted.at_most(limits.limit).dominant_share(self.cell.capacity)

    # Decisions.

    def plan(self, now: float, max_starts: int = MAX_STARTS_PER_ROUND) -> Plan:
        """Make up to ``starts`` starts and the evictions they lack."""
        self.holds.release_expired(self.book, now)
        session = PlanningRound(self, now, max_starts)
        if self.must_check_limits:
            self.must_check_limits = session.stop_tasks_over_limits()
        session.place_urgent()
        session.place_by_share()
        if session.starts_left > 0:
            session.reserve_for_blocked_jobs()
            session.evict_for_urgent()
            session.evict_for_shares()
        return Plan(
            session.start_groups, session.evictions, session.starts_left > 0
        )

    def fits_team_limits(self, team: TeamName, resources: Resources) -> bool:
        """Tell whether a team's limit lets one more task start."""
        bounds = self.bounds_by_team.get(team)
        if bounds is None:
            return False
        usage = self.usage_by_team.get(team) or TeamUsage()
        return usage.task_count < bounds.tasks and (
            usage.resources + resources
        ).fits_in(bounds.limit)

    def sample_workers(self) -> list[WorkerId]:
        """Return workers to compare for an eviction."""
        return sample_workers(self.cell, self._random)

    def mark_blocked(self, team: TeamName, now: float) -> float:
        """Record that a team is blocked; return for how long, seconds."""
        return now - self._blocked_since_by_team.setdefault(team, now)

    def clear_blocked(self, team: TeamName) -> None:
        """Record that a team got what it wanted."""
        self._blocked_since_by_team.pop(team, None)
