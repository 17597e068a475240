"""Plans which waiting tasks start where, and which running tasks to evict.

The planner works on the leader's in-memory copy of the replicated state.
``plan`` makes a bounded number of decisions per call, so that other requests
to the leader are not delayed for long.
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
    """Scheduler of one data centre: order, placement, gangs, preemption.

    ``urgent_budget`` is the dominant share of the workers that urgent tasks
    may occupy; ``spreads_racks`` spreads the tasks of a service over racks.
    ``seed`` determines which workers are sampled for evictions.
    """

    def __init__(self, seed: int = 0) -> None:
        self.cell = Cell()
        self.book = WaitingBook()
        self.estimator = Estimator()
        self.blame = Blame()
        self.bounds_by_team: dict[TeamName, Bounds] = {}
        # Set when limits change, since a lowered limit may leave a team above.
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

    # Accounting.

    def started(self, task: RunningTask) -> None:
        """Count a running task; its worker is already allocated to it."""
        self.task_by_key[task.key] = task
        usage = self.usage_by_team.setdefault(task.team, TeamUsage())
        usage.resources += task.resources
        usage.task_count += 1
        if task.is_urgent:
            self.urgent_allocated += task.resources
        self._adjust_rack_count(task, 1)

    def ended(self, key: TaskKey) -> RunningTask | None:
        """Release a task's allocation; return the task, None if unknown."""
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
        """Return a service's task counts by rack, None without spreading."""
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
        """Update the estimates from a finished task.

        ``used`` is its peak usage and ``ran_s`` its run time.  Waiting tasks
        of the same team and name are resized when the estimate has changed.
        """
        if self.estimator.record_finished_task(
            task.team, task.name, used, ran_s
        ):
            self._resize_waiting_jobs(task.team, task.name)

    def _resize_waiting_jobs(self, team: TeamName, name: str) -> None:
        for job in self.book.jobs_named(team, name):
            estimate = self.estimator.reservation(team, name, job.declared)
            if estimate != job.shape.resources:
                self.book.change_shape(job, job.shape.with_resources(estimate))

    def share_of(self, team: TeamName) -> float:
        """Return a team's dominant share of the capacity of all workers."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            return 0.0
        return usage.resources.dominant_share(self.cell.capacity)

    def entitled(self) -> dict[TeamName, float]:
        """Return the dominant share that each active team is entitled to."""
        claims = {}
        for team, limits in self.bounds_by_team.items():
            demand = self._demand(team, limits)
            if demand > 0:
                claims[team] = Claim(limits.weight, demand)
        return entitlements(claims)

    def _demand(self, team: TeamName, limits: Bounds) -> float:
        demand = NOTHING
        usage = self.usage_by_team.get(team)
        if usage is not None:
            demand += usage.resources
        team_jobs = self.book.by_team.get(team)
        if team_jobs is not None:
            demand += team_jobs.waiting
        return demand.at_most(limits.limit).dominant_share(self.cell.capacity)

    # Decisions.

    def plan(self, now: float, max_starts: int = MAX_STARTS_PER_ROUND) -> Plan:
        """Run one planning round with at most ``max_starts`` starts.

        Reservations and evictions follow only when starts are left over, that
        is when everything that fits has been placed.
        """
        self.holds.release_expired(self.book, now)
        planning = PlanningRound(self, now, max_starts)
        if self.must_check_limits:
            self.must_check_limits = planning.stop_tasks_over_limits()
        planning.place_urgent()
        planning.place_by_share()
        if planning.starts_left > 0:
            planning.reserve_for_blocked_jobs()
            planning.evict_for_urgent()
            planning.evict_for_shares()
        return Plan(
            planning.start_groups, planning.evictions, planning.starts_left > 0
        )

    def fits_team_limits(self, team: TeamName, resources: Resources) -> bool:
        """Tell whether a team may run ``resources`` and a task more.

        A team without limits may not run anything.
        """
        limits = self.bounds_by_team.get(team)
        if limits is None:
            return False
        usage = self.usage_by_team.get(team) or TeamUsage()
        return usage.task_count < limits.tasks and (
            usage.resources + resources
        ).fits_in(limits.limit)

    def sample_workers(self) -> list[WorkerId]:
        """Return a random sample of workers to compare for an eviction."""
        return sample_workers(self.cell, self._random)

    def mark_blocked(self, team: TeamName, now: float) -> float:
        """Record that a team is blocked; return for how many seconds."""
        return now - self._blocked_since_by_team.setdefault(team, now)

    def clear_blocked(self, team: TeamName) -> None:
        """Record that a team has its share and is no longer blocked."""
        self._blocked_since_by_team.pop(team, None)
