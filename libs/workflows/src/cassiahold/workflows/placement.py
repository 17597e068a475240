"""Operations that the placement of tasks, gangs and suspects shares.

A pass considers only workers that are relevant for a step: those with a ticket
for it, or those with free resources when an advisor has to be queried.
"""

import functools
import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.available_workers import (
    AvailableWorker,
    CapacityIndex,
    count_fitting,
    placement_rank,
    task_capacity,
    would_fit,
)
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.crashes import is_suspect
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey
from cassiahold.workflows.plans import Plan, PlanningContext
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.suspects import isolated_workers
from cassiahold.workflows.urgency import Candidate

UNLIMITED_AMOUNT: typing.Final = 1_000_000_000_000


class Placement:
    """Inputs and result of one pass, and the resources that it assigns."""

    def __init__(
        self,
        state: WorkflowState,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
        context: PlanningContext,
    ) -> None:
        self.state = state
        self.advisor_replies = advisor_replies
        self.health = health
        self.now = context.now
        self.usable_workers = context.usable_workers
        self.silent_workers = context.silent_workers
        self.plan = Plan()
        self._planned_usage_by_team: dict[TeamName, Resources] = {}
        self._closed_workers_by_step: dict[StepKey, frozenset[WorkerId]] = {}

    @functools.cached_property
    def capacity_index(self) -> CapacityIndex:
        """The usable workers; a pass that places nothing does not need it."""
        return CapacityIndex(
            (
                worker
                for worker in self.state.worker_by_id.values()
                if worker.info.id in self.usable_workers
            ),
            self.health,
            self.now,
        )

    @functools.cached_property
    def isolated_workers(self) -> frozenset[WorkerId]:
        """The workers on which nothing may start beside a certain task."""
        return isolated_workers(
            self.state.worker_by_id.values(),
            self.usable_workers,
            self.health,
            self.now,
        )

    def eligible_workers(self, candidate: Candidate) -> list[AvailableWorker]:
        """Return the workers on which a task may start, the best first."""
        workers = (
            self.capacity_index.with_cores(candidate.spec.resources)
            if candidate.queue.advisor is None
            else self._workers_with_ticket(candidate.key)
        )
        usable = self.placeable_workers(candidate, workers)
        usable.sort(key=lambda worker: placement_rank(candidate, worker))
        return usable

    def assign_tasks(
        self,
        candidate: Candidate,
        tasks: list[int],
        workers: list[AvailableWorker],
    ) -> list[AttemptStart]:
        """Assign tasks to workers as far as they fit, in this order."""
        starts: list[AttemptStart] = []
        remaining = list(reversed(tasks))
        for worker in workers:
            while remaining and worker.has_capacity_for(candidate):
                starts.append(
                    self.assign_task(candidate, remaining.pop(), worker)
                )
            if not remaining:
                break
        return starts

    def assign_task(
        self, candidate: Candidate, task_index: int, worker: AvailableWorker
    ) -> AttemptStart:
        """Assign a task to a worker that it fits on."""
        record = candidate.record
        resources = candidate.spec.resources
        worker.free_resources -= resources
        planned_tasks = worker.planned_tasks_by_step.get(candidate.key, 0)
        worker.planned_tasks_by_step[candidate.key] = planned_tasks + 1
        task = record.step(candidate.key).tasks[task_index]
        worker.has_trial |= is_suspect(task)
        planned_usage = self._planned_usage_by_team.get(
            record.team, NO_RESOURCES
        )
        self._planned_usage_by_team[record.team] = planned_usage + resources
        attempt = AttemptKey(
            TaskKey(candidate.key, task_index),
            _next_attempt_number(candidate, task_index),
        )
        return AttemptStart(attempt, worker.info.id, worker.info.incarnation)

    def count_within_limit(self, candidate: Candidate, task_count: int) -> int:
        """Return how many of some tasks fit under the limit of their team."""
        team = self.state.configuration_index.team_by_name.get(
            candidate.record.team
        )
        if team is None:
            return task_count
        usage = self.state.usage_of(team.name)
        usage += self._planned_usage_by_team.get(team.name, NO_RESOURCES)
        remaining = _remaining_under_limit(team.limit, usage)
        return min(
            count_fitting(candidate.spec.resources, remaining), task_count
        )

    def _workers_with_ticket(self, step: StepKey) -> list[AvailableWorker]:
        return [
            worker
            for worker in self.capacity_index.select(
                self.advisor_replies.allowed_workers(step)
            )
            if self.advisor_replies.valid_ticket(step, worker.info, self.now)
            is not None
        ]

    def placeable_workers(
        self, candidate: Candidate, workers: typing.Iterable[AvailableWorker]
    ) -> list[AvailableWorker]:
        """Return those of some workers on which tasks of a step may start.

        Workers on which the job has failed recently are left out as long as
        the others may suffice.
        """
        placeable = [
            worker
            for worker in workers
            if self._can_place_on(candidate, worker)
        ]
        preferred = [
            worker
            for worker in placeable
            if not self._is_avoided(candidate, worker)
        ]
        if len(preferred) == len(placeable) or self._can_avoid_failures(
            candidate
        ):
            return preferred
        return placeable

    def _is_avoided(
        self, candidate: Candidate, worker: AvailableWorker
    ) -> bool:
        return self.health.has_recent_failure(
            candidate.key.job, worker.info.id, self.now
        )

    def _can_avoid_failures(self, candidate: Candidate) -> bool:
        """Tell whether workers without a failure of the job may suffice.

        One task or a whole gang has to fit.  Workers about which the advisor
        has not been asked yet count as allowed.
        """
        others = [
            worker
            for worker in self.capacity_index.with_cores(
                candidate.spec.resources
            )
            if self._can_place_on(candidate, worker)
            and not self._is_avoided(candidate, worker)
            and not self.advisor_replies.is_denied(
                candidate.key, worker.info.id
            )
        ]
        required_count = candidate.spec.tasks if candidate.spec.is_gang else 1
        return task_capacity(candidate, others) >= required_count

    def _can_place_on(
        self, candidate: Candidate, worker: AvailableWorker
    ) -> bool:
        if (
            worker.has_trial
            or worker.is_kept
            or worker.info.id in self._closed_workers(candidate)
            or not worker.has_capacity_for(candidate)
            or not worker.is_eligible_for(candidate)
        ):
            return False
        return not self.health.is_retry_paused(
            candidate.key.job, worker.info.id, self.now
        )

    def _closed_workers(self, candidate: Candidate) -> frozenset[WorkerId]:
        """Return the isolated workers if the others are large enough."""
        if not self.isolated_workers:
            return self.isolated_workers
        closed = self._closed_workers_by_step.get(candidate.key)
        if closed is None:
            closed = self.isolated_workers
            others = (
                worker
                for worker in self.state.worker_by_id.values()
                if worker.info.id not in closed
            )
            if not would_fit(candidate, others):
                closed = frozenset()
            self._closed_workers_by_step[candidate.key] = closed
        return closed


def _next_attempt_number(candidate: Candidate, task_index: int) -> int:
    tasks = candidate.record.step(candidate.key).tasks
    if candidate.spec.is_gang:
        return max(task.last_attempt_number for task in tasks) + 1
    return tasks[task_index].last_attempt_number + 1


def _remaining_under_limit(limit: Resources, usage: Resources) -> Resources:
    """Return what a limit leaves; 0 in a limit means unlimited."""
    return Resources(
        limit.cores_m - usage.cores_m if limit.cores_m else UNLIMITED_AMOUNT,
        limit.memory_mb - usage.memory_mb
        if limit.memory_mb
        else UNLIMITED_AMOUNT,
        limit.accelerators - usage.accelerators
        if limit.accelerators
        else UNLIMITED_AMOUNT,
    )
