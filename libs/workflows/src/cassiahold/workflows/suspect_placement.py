"""Placement of tasks that may crash their workers, apart from other starts.

While much of the capacity is free, other work goes first and leaves some
workers to trials.  Otherwise suspect tasks take part in the order of urgency,
and few workers have a trial at a time.
"""

import functools
import typing

import msgspec

from cassiahold.workflows.advisor_queries import AdvisorQueries
from cassiahold.workflows.available_workers import (
    AvailableWorker,
    isolation_rank,
)
from cassiahold.workflows.crashes import RECENT_START_S, is_weak_suspect
from cassiahold.workflows.placement import Placement
from cassiahold.workflows.steps import active_attempts
from cassiahold.workflows.suspects import MAX_GROUP_TASKS, settling_time_s
from cassiahold.workflows.team_trials import TeamTrials
from cassiahold.workflows.urgency import Candidate


class _SuspectTasks(msgspec.Struct, frozen=True):
    """Suspect tasks of a step; a doubted step has none that run on."""

    candidate: Candidate
    tasks: list[int]
    is_step_doubted: bool

    def split(self) -> tuple[list[int], list[int]]:
        """Return the tasks that may share a trial, and the others."""
        if self.is_step_doubted:
            return [], self.tasks
        records = self.candidate.record.step(self.candidate.key).tasks
        weak_tasks = [
            task for task in self.tasks if is_weak_suspect(records[task])
        ]
        strong_tasks = [task for task in self.tasks if task not in weak_tasks]
        return weak_tasks, strong_tasks


class _Trial(msgspec.Struct, frozen=True):
    """Tasks of a step that start together on a worker.

    Tasks of other steps may join a shared trial.
    """

    tasks: list[int]
    is_shared: bool


class SuspectPlacement:
    """Plans the trials of one pass."""

    def __init__(self, placement: Placement, queries: AdvisorQueries) -> None:
        self._placement = placement
        self._queries = queries
        self._postponed_suspects: list[_SuspectTasks] = []
        self._shared_workers: list[AvailableWorker] = []
        self._kept_workers: list[AvailableWorker] = []

    @functools.cached_property
    def _team_trials(self) -> TeamTrials:
        return TeamTrials(
            self._placement.state,
            self._placement.usable_workers,
            self._placement.health,
            self._placement.now,
        )

    def has_settled_task(self, candidate: Candidate) -> bool:
        """Tell whether a task of a step has run on after its start."""
        return any(
            worker in self._placement.usable_workers
            and self._placement.health.has_run_for(
                attempt, RECENT_START_S, self._placement.now
            )
            for attempt, worker in active_attempts(
                candidate.record, candidate.key
            ).items()
        )

    def place_or_postpone(
        self, candidate: Candidate, tasks: list[int], *, is_step_doubted: bool
    ) -> None:
        """Place suspect tasks of a step now or at the end of the pass."""
        if not tasks:
            return
        suspects = _SuspectTasks(candidate, tasks, is_step_doubted)
        if self._placement.capacity_index.has_light_load(
            candidate.queue.service
        ):
            self._postpone(suspects)
        else:
            self._place(suspects)

    def _postpone(self, suspects: _SuspectTasks) -> None:
        """Place suspect tasks at the end of the pass, on few kept workers.

        Beyond those they take what other work leaves free.
        """
        candidate = suspects.candidate
        self._postponed_suspects.append(suspects)
        kept_count = min(
            self._count_trials(candidate, suspects.tasks),
            self._count_keepable_workers(candidate.queue.service),
        )
        if kept_count > 0:
            self._keep_workers(self._trial_workers(candidate)[:kept_count])

    def _count_keepable_workers(self, service: str) -> int:
        kept_count = sum(
            worker.is_kept and worker.info.service == service
            for worker in self._kept_workers
        )
        return (
            self._placement.capacity_index.kept_worker_limit(service)
            - kept_count
        )

    def _keep_workers(self, workers: typing.Iterable[AvailableWorker]) -> None:
        """Keep workers free until the end of the pass."""
        for worker in workers:
            worker.is_kept = True
            self._kept_workers.append(worker)

    def place_postponed(self) -> None:
        """Place the suspect tasks that other work has gone before."""
        for worker in self._kept_workers:
            worker.is_kept = False
        for suspects in self._postponed_suspects:
            self._place(suspects)

    def _place(self, suspects: _SuspectTasks) -> None:
        """Start tasks that may crash their workers, apart from other starts.

        Workers on which other tasks have just started are kept free of further
        ones until they can have a trial.
        """
        candidate = suspects.candidate
        weak_tasks, strong_tasks = suspects.split()
        weak_tasks = self._join_trials(candidate, weak_tasks)
        trials = [_Trial([task], is_shared=False) for task in strong_tasks]
        trials.extend(
            _Trial(weak_tasks[first : first + MAX_GROUP_TASKS], is_shared=True)
            for first in range(0, len(weak_tasks), MAX_GROUP_TASKS)
        )
        trial_count = self._count_trials(candidate, trials)
        if not trial_count:
            return
        workers = self._trial_workers(candidate)
        for trial, worker in zip(trials[:trial_count], workers, strict=False):
            if self.is_settled(worker):
                self._start_trial(candidate, trial, worker)
            elif self._count_keepable_workers(candidate.queue.service) > 0:
                self._keep_workers([worker])
        if len(workers) < trial_count:
            self._queries.query_for_tasks(candidate, trial_count - len(workers))

    def _join_trials(self, candidate: Candidate, tasks: list[int]) -> list[int]:
        """Start tasks beside others on trial; return those that remain."""
        remaining = list(reversed(tasks))
        for worker in self._shared_workers:
            while remaining and self._can_join_trial(candidate, worker):
                worker.free_group_places -= 1
                self._placement.plan.start_groups.append(
                    [
                        self._placement.assign_task(
                            candidate, remaining.pop(), worker
                        )
                    ]
                )
        return list(reversed(remaining))

    def _can_join_trial(
        self, candidate: Candidate, worker: AvailableWorker
    ) -> bool:
        return (
            worker.free_group_places > 0
            and worker.has_capacity_for(candidate)
            and worker.is_eligible_for(candidate)
            and self._may_start_on(candidate, worker)
            and self._placement.count_within_limit(candidate, 1) > 0
        )

    def _may_start_on(
        self, candidate: Candidate, worker: AvailableWorker
    ) -> bool:
        """Tell whether neither a pause nor the advisor forbids a start."""
        if self._placement.health.is_retry_paused(
            candidate.key.job, worker.info.id, self._placement.now
        ):
            return False
        if candidate.queue.advisor is None:
            return True
        ticket = self._placement.advisor_replies.valid_ticket(
            candidate.key, worker.info, self._placement.now
        )
        return ticket is not None

    def _start_trial(
        self, candidate: Candidate, trial: _Trial, worker: AvailableWorker
    ) -> None:
        """Start the tasks of a trial as far as they fit."""
        task_count = min(
            worker.count_fitting_tasks(candidate),
            self._placement.count_within_limit(candidate, len(trial.tasks)),
        )
        for task in trial.tasks[:task_count]:
            start = self._placement.assign_task(candidate, task, worker)
            self._placement.plan.start_groups.append([start])
        worker.has_trial = True
        self._team_trials.record_start(
            worker.info.service, candidate.record.team
        )
        if trial.is_shared:
            worker.free_group_places = MAX_GROUP_TASKS - task_count
            self._shared_workers.append(worker)

    def _count_trials(
        self, candidate: Candidate, trials: typing.Sequence[object]
    ) -> int:
        """Return how many of some trials may start in this pass."""
        trial_count = min(len(trials), self.remaining_trials(candidate))
        if trial_count <= 0:
            return 0
        return self._placement.count_within_limit(candidate, trial_count)

    def _trial_workers(self, candidate: Candidate) -> list[AvailableWorker]:
        """Return workers for trials, those first that can have one soonest."""
        workers = self._placement.eligible_workers(candidate)
        workers.sort(
            key=lambda worker: (
                self._settling_time_s(worker),
                isolation_rank(candidate, worker),
            )
        )
        return workers

    def remaining_trials(self, candidate: Candidate) -> int:
        """Return how many suspect tasks of a step's team may start.

        Under load a team may take few workers, and one whatever others take.
        """
        service = candidate.queue.service
        team = candidate.record.team
        remaining = self._placement.capacity_index.remaining_trials(service)
        if self._placement.capacity_index.has_light_load(service):
            return remaining
        if not self._team_trials.count_taken(service, team):
            return max(remaining, 1)
        return min(remaining, self._team_trials.remaining(service, team))

    def is_settled(self, worker: AvailableWorker) -> bool:
        """Tell whether a worker can have a trial now."""
        return not self._settling_time_s(worker)

    def _settling_time_s(self, worker: AvailableWorker) -> float:
        """Return after which time a worker can have a trial, 0 for now."""
        if worker.planned_tasks_by_step:
            return RECENT_START_S
        if worker.info.id in self._placement.silent_workers:
            return RECENT_START_S
        return max(
            settling_time_s(
                worker.record, self._placement.health, self._placement.now
            ),
            0.0,
        )
