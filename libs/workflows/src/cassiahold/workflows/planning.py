"""Placement of waiting tasks on workers, and queries to advisors.

Each pass goes through the waiting steps, the most urgent first, and decides
which tasks start on which workers and which queries are sent to advisors.

The most urgent gang that has to wait reserves free resources of its allowed
workers against less urgent work, so that a stream of small tasks does not
starve it.  Other waiting gangs reserve nothing: with several gangs that each
reserve a part of what they need the cell would be idle while none of them can
start.  Nor does a gang that would not fit if all was free.  Once the free
resources of a gang's allowed workers suffice, they stay reserved while its
tickets are renewed.

A pass considers only workers that are relevant for a step: those with a ticket
for it, or those with free resources when an advisor has to be queried.  A step
that waits for its first advisor reply costs no placement work.
"""

import bisect
import functools
import itertools
import math
import typing

import msgspec

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.advisor_replies import (
    MAX_WORKERS_PER_QUERY,
    AdvisorReplyCache,
)
from cassiahold.workflows.available_workers import (
    AvailableWorker,
    CapacityIndex,
    count_fitting,
    isolation_rank,
    placement_rank,
    query_rank,
    would_fit,
)
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.crashes import (
    RECENT_START_S,
    is_suspect,
    is_weak_suspect,
)
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey, WorkerInfo
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.steps import active_attempts, startable_tasks
from cassiahold.workflows.suspects import (
    MAX_GROUP_TASKS,
    isolated_workers,
    select_doubted_tasks,
    settling_time_s,
)
from cassiahold.workflows.team_trials import TeamTrials
from cassiahold.workflows.urgency import Backlog, Candidate

# More workers than a gang needs, since more urgent work may take some of them.
GANG_HEADROOM_FACTOR: typing.Final = 1.25
# Share of a gang's tasks that has to fit before the gang reserves resources.
GANG_RESERVATION_SHARE: typing.Final = 0.5
UNLIMITED_AMOUNT: typing.Final = 1_000_000_000_000


class AdvisorQuery(msgspec.Struct, frozen=True):
    """A query to a queue's advisor: which of the workers may run a step."""

    step: StepKey
    queue: QueuePolicy
    workers: tuple[WorkerInfo, ...]


class Plan(msgspec.Struct):
    """Result of one pass.

    Each of the ``start_groups`` starts as a whole or not at all.
    """

    start_groups: list[list[AttemptStart]] = msgspec.field(default_factory=list)
    advisor_queries: list[AdvisorQuery] = msgspec.field(default_factory=list)


class PlanningContext(msgspec.Struct, frozen=True):
    """Inputs of a pass beside the replicated state.

    ``usable_workers`` may get new work; those in ``silent_workers`` have not
    replied for a moment and may have crashed unnoticed.  ``now`` is on the
    steady clock, ``unix_time_s`` in seconds since 1970.
    """

    usable_workers: frozenset[WorkerId]
    now: float
    unix_time_s: float
    silent_workers: frozenset[WorkerId] = frozenset()


class Planner:
    """Plans placement passes over the waiting steps of one state."""

    def __init__(
        self,
        state: WorkflowState,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
    ) -> None:
        self._state = state
        self._advisor_replies = advisor_replies
        self._health = health
        self._backlog = Backlog(state)

    def plan(self, context: PlanningContext) -> Plan:
        """Return starts and advisor queries, the most urgent first."""
        candidates = self._backlog.candidates(context.unix_time_s)
        if not candidates:
            return Plan()
        return _PlanningPass(
            self._state, self._advisor_replies, self._health, context
        ).run(candidates)


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


class _PlanningPass:
    """One pass; deducts the resources of each start that it plans."""

    def __init__(
        self,
        state: WorkflowState,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
        context: PlanningContext,
    ) -> None:
        self._state = state
        self._advisor_replies = advisor_replies
        self._health = health
        self._now = context.now
        self._usable_workers = context.usable_workers
        self._silent_workers = context.silent_workers
        self._planned_usage_by_team: dict[TeamName, Resources] = {}
        self._has_gang_reservation = False
        self._postponed_suspects: list[_SuspectTasks] = []
        self._shared_workers: list[AvailableWorker] = []
        self._kept_workers: list[AvailableWorker] = []
        self._closed_workers_by_step: dict[StepKey, frozenset[WorkerId]] = {}
        self._plan = Plan()

    @functools.cached_property
    def _capacity_index(self) -> CapacityIndex:
        """The usable workers; a pass that places nothing does not need it."""
        return CapacityIndex(
            (
                worker
                for worker in self._state.worker_by_id.values()
                if worker.info.id in self._usable_workers
            ),
            self._health,
            self._now,
        )

    @functools.cached_property
    def _team_trials(self) -> TeamTrials:
        return TeamTrials(
            self._state, self._usable_workers, self._health, self._now
        )

    @functools.cached_property
    def _isolated_workers(self) -> frozenset[WorkerId]:
        return isolated_workers(
            self._state.worker_by_id.values(),
            self._usable_workers,
            self._health,
            self._now,
        )

    def run(self, candidates: list[Candidate]) -> Plan:
        """Place the tasks of every candidate or query its advisor."""
        for candidate in candidates:
            if self._awaits_first_reply(candidate):
                continue
            tasks = startable_tasks(candidate.record, candidate.key)
            if candidate.spec.is_gang:
                self._place_gang(candidate, tasks)
            else:
                self._place_step(candidate, tasks)
        self._place_postponed_suspects()
        return self._plan

    def _awaits_first_reply(self, candidate: Candidate) -> bool:
        return (
            candidate.queue.advisor is not None
            and self._advisor_replies.has_pending_query(candidate.key)
            and not self._advisor_replies.has_allowed_workers(candidate.key)
        )

    # Tasks that start one by one.

    def _place_step(self, candidate: Candidate, tasks: list[int]) -> None:
        step = candidate.record.step(candidate.key)
        if step.is_doubted and not self._has_settled_task(candidate):
            active_count = len(active_attempts(candidate.record, candidate.key))
            tasks = select_doubted_tasks(tasks, step.tasks, active_count)
            self._place_or_postpone_suspects(
                candidate, tasks, is_step_doubted=True
            )
            return
        records = step.tasks
        suspects = [index for index in tasks if is_suspect(records[index])]
        if suspects:
            tasks = [index for index in tasks if index not in suspects]
            self._place_or_postpone_suspects(
                candidate, suspects, is_step_doubted=False
            )
        if tasks:
            self._place_tasks(candidate, tasks)

    def _has_settled_task(self, candidate: Candidate) -> bool:
        """Tell whether a task of a step has run on after its start."""
        return any(
            worker in self._usable_workers
            and self._health.has_run_for(attempt, RECENT_START_S, self._now)
            for attempt, worker in active_attempts(
                candidate.record, candidate.key
            ).items()
        )

    def _place_or_postpone_suspects(
        self, candidate: Candidate, tasks: list[int], *, is_step_doubted: bool
    ) -> None:
        if not tasks:
            return
        suspects = _SuspectTasks(candidate, tasks, is_step_doubted)
        if self._capacity_index.has_light_load(candidate.queue.service):
            self._postpone_suspects(suspects)
        else:
            self._place_suspects(suspects)

    def _postpone_suspects(self, suspects: '_SuspectTasks') -> None:
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
        return self._capacity_index.kept_worker_limit(service) - kept_count

    def _keep_workers(self, workers: typing.Iterable[AvailableWorker]) -> None:
        """Keep workers free until the end of the pass."""
        for worker in workers:
            worker.is_kept = True
            self._kept_workers.append(worker)

    def _place_postponed_suspects(self) -> None:
        for worker in self._kept_workers:
            worker.is_kept = False
        for suspects in self._postponed_suspects:
            self._place_suspects(suspects)

    def _place_suspects(self, suspects: '_SuspectTasks') -> None:
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
            if self._is_settled(worker):
                self._start_trial(candidate, trial, worker)
            elif self._count_keepable_workers(candidate.queue.service) > 0:
                self._keep_workers([worker])
        if len(workers) < trial_count:
            self._query_for_tasks(candidate, trial_count - len(workers))

    def _join_trials(self, candidate: Candidate, tasks: list[int]) -> list[int]:
        """Start tasks beside others on trial; return those that remain."""
        remaining = list(reversed(tasks))
        for worker in self._shared_workers:
            while remaining and self._can_join_trial(candidate, worker):
                worker.free_group_places -= 1
                self._plan.start_groups.append(
                    [self._assign_task(candidate, remaining.pop(), worker)]
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
            and self._count_within_limit(candidate, 1) > 0
        )

    def _may_start_on(
        self, candidate: Candidate, worker: AvailableWorker
    ) -> bool:
        """Tell whether neither a pause nor the advisor forbids a start."""
        if self._health.is_retry_paused(
            candidate.key.job, worker.info.id, self._now
        ):
            return False
        if candidate.queue.advisor is None:
            return True
        ticket = self._advisor_replies.valid_ticket(
            candidate.key, worker.info, self._now
        )
        return ticket is not None

    def _start_trial(
        self, candidate: Candidate, trial: '_Trial', worker: AvailableWorker
    ) -> None:
        """Start the tasks of a trial as far as they fit."""
        task_count = min(
            worker.count_fitting_tasks(candidate),
            self._count_within_limit(candidate, len(trial.tasks)),
        )
        for task in trial.tasks[:task_count]:
            start = self._assign_task(candidate, task, worker)
            self._plan.start_groups.append([start])
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
        trial_count = min(len(trials), self._remaining_trials(candidate))
        if trial_count <= 0:
            return 0
        return self._count_within_limit(candidate, trial_count)

    def _trial_workers(self, candidate: Candidate) -> list[AvailableWorker]:
        """Return workers for trials, those first that can have one soonest."""
        workers = self._eligible_workers(candidate)
        workers.sort(
            key=lambda worker: (
                self._settling_time_s(worker),
                isolation_rank(candidate, worker),
            )
        )
        return workers

    def _remaining_trials(self, candidate: Candidate) -> int:
        """Return how many suspect tasks of a step's team may start.

        Under load a team may take few workers, and one whatever others take.
        """
        service = candidate.queue.service
        team = candidate.record.team
        remaining = self._capacity_index.remaining_trials(service)
        if self._capacity_index.has_light_load(service):
            return remaining
        if not self._team_trials.count_taken(service, team):
            return max(remaining, 1)
        return min(remaining, self._team_trials.remaining(service, team))

    def _is_settled(self, worker: AvailableWorker) -> bool:
        return not self._settling_time_s(worker)

    def _settling_time_s(self, worker: AvailableWorker) -> float:
        """Return after which time a worker can have a trial, 0 for now."""
        if worker.planned_tasks_by_step:
            return RECENT_START_S
        if worker.info.id in self._silent_workers:
            return RECENT_START_S
        return max(settling_time_s(worker.record, self._health, self._now), 0.0)

    def _place_tasks(self, candidate: Candidate, tasks: list[int]) -> None:
        allowed_count = self._count_within_limit(candidate, len(tasks))
        if not allowed_count:
            return
        workers = self._eligible_workers(candidate)
        starts = self._assign_tasks(candidate, tasks[:allowed_count], workers)
        self._plan.start_groups.extend([start] for start in starts)
        if len(starts) < allowed_count:
            self._query_for_tasks(candidate, allowed_count - len(starts))

    def _assign_tasks(
        self,
        candidate: Candidate,
        tasks: list[int],
        workers: list[AvailableWorker],
    ) -> list[AttemptStart]:
        starts: list[AttemptStart] = []
        remaining = list(reversed(tasks))
        for worker in workers:
            while remaining and worker.has_capacity_for(candidate):
                starts.append(
                    self._assign_task(candidate, remaining.pop(), worker)
                )
            if not remaining:
                break
        return starts

    def _eligible_workers(self, candidate: Candidate) -> list[AvailableWorker]:
        workers = (
            self._capacity_index.with_cores(candidate.spec.resources)
            if candidate.queue.advisor is None
            else self._workers_with_ticket(candidate.key)
        )
        usable = self._placeable_workers(candidate, workers)
        usable.sort(key=lambda worker: placement_rank(candidate, worker))
        return usable

    def _workers_with_ticket(self, step: StepKey) -> list[AvailableWorker]:
        return [
            worker
            for worker in self._capacity_index.select(
                self._advisor_replies.allowed_workers(step)
            )
            if self._advisor_replies.valid_ticket(step, worker.info, self._now)
            is not None
        ]

    def _placeable_workers(
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
        return self._health.has_recent_failure(
            candidate.key.job, worker.info.id, self._now
        )

    def _can_avoid_failures(self, candidate: Candidate) -> bool:
        """Tell whether workers without a failure of the job may suffice.

        One task or a whole gang has to fit.  Workers about which the advisor
        has not been asked yet count as allowed.
        """
        others = [
            worker
            for worker in self._capacity_index.with_cores(
                candidate.spec.resources
            )
            if self._can_place_on(candidate, worker)
            and not self._is_avoided(candidate, worker)
            and not self._advisor_replies.is_denied(
                candidate.key, worker.info.id
            )
        ]
        required_count = candidate.spec.tasks if candidate.spec.is_gang else 1
        return _task_capacity(candidate, others) >= required_count

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
        return not self._health.is_retry_paused(
            candidate.key.job, worker.info.id, self._now
        )

    def _closed_workers(self, candidate: Candidate) -> frozenset[WorkerId]:
        """Return the isolated workers if the others are large enough."""
        if not self._isolated_workers:
            return self._isolated_workers
        closed = self._closed_workers_by_step.get(candidate.key)
        if closed is None:
            closed = self._isolated_workers
            others = (
                worker
                for worker in self._state.worker_by_id.values()
                if worker.info.id not in closed
            )
            if not would_fit(candidate, others):
                closed = frozenset()
            self._closed_workers_by_step[candidate.key] = closed
        return closed

    def _assign_task(
        self, candidate: Candidate, task_index: int, worker: AvailableWorker
    ) -> AttemptStart:
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

    def _count_within_limit(self, candidate: Candidate, task_count: int) -> int:
        """Return how many of some tasks fit under the limit of their team."""
        team = self._state.configuration_index.team_by_name.get(
            candidate.record.team
        )
        if team is None:
            return task_count
        usage = self._state.usage_of(team.name)
        usage += self._planned_usage_by_team.get(team.name, NO_RESOURCES)
        remaining = _remaining_under_limit(team.limit, usage)
        return min(
            count_fitting(candidate.spec.resources, remaining), task_count
        )

    # Gangs.

    def _place_gang(self, candidate: Candidate, tasks: list[int]) -> None:
        task_count = len(tasks)
        if self._count_within_limit(candidate, task_count) < task_count:
            return
        workers = self._eligible_workers(candidate)
        records = candidate.record.step(candidate.key).tasks
        if any(is_suspect(task) for task in records):
            if self._remaining_trials(candidate) <= 0:
                return
            workers = [worker for worker in workers if self._is_settled(worker)]
            workers.sort(key=lambda worker: isolation_rank(candidate, worker))
        if _task_capacity(candidate, workers) >= task_count:
            self._plan.start_groups.append(
                self._assign_tasks(candidate, tasks, workers)
            )
            return
        sufficient_workers = self._sufficient_allowed_workers(
            candidate, task_count
        )
        if sufficient_workers:
            # The tickets have expired: reserve until they are renewed.
            self._reserve(candidate, sufficient_workers, task_count)
            self._query_about(candidate, sufficient_workers)
            return
        self._query_unknown_workers(candidate, task_count)
        allowed_workers = self._allowed_workers(candidate)
        # Resources reserved for a gang far from its start would stay idle.
        has_enough_capacity = (
            _task_capacity(candidate, allowed_workers)
            >= task_count * GANG_RESERVATION_SHARE
        )
        if (
            has_enough_capacity
            and not self._has_gang_reservation
            and _can_ever_fit(candidate, self._state, self._advisor_replies)
        ):
            self._has_gang_reservation = True
            self._reserve(candidate, allowed_workers, task_count)

    def _sufficient_allowed_workers(
        self, candidate: Candidate, task_count: int
    ) -> list[AvailableWorker]:
        """Return allowed workers that fit a whole gang, with headroom."""
        if candidate.queue.advisor is None:
            return []
        workers = self._placeable_workers(
            candidate, self._allowed_workers(candidate)
        )
        if _task_capacity(candidate, workers) < task_count:
            return []
        workers.sort(
            key=lambda worker: (
                not self._advisor_replies.is_queried(
                    candidate.key, worker.info.id
                ),
                placement_rank(candidate, worker),
            )
        )
        wanted_capacity = math.ceil(task_count * GANG_HEADROOM_FACTOR)
        cumulative_capacity = itertools.accumulate(
            worker.count_fitting_tasks(candidate) for worker in workers
        )
        return workers[
            : bisect.bisect_left(list(cumulative_capacity), wanted_capacity) + 1
        ]

    def _allowed_workers(self, candidate: Candidate) -> list[AvailableWorker]:
        if candidate.queue.advisor is None:
            return [
                worker
                for worker in self._capacity_index.with_cores(
                    candidate.spec.resources
                )
                if worker.is_eligible_for(candidate)
            ]
        return self._capacity_index.select(
            self._advisor_replies.allowed_workers(candidate.key)
        )

    def _reserve(
        self,
        candidate: Candidate,
        workers: typing.Iterable[AvailableWorker],
        task_count: int,
    ) -> None:
        remaining = task_count
        for worker in workers:
            fitting_count = min(
                worker.count_fitting_tasks(candidate), remaining
            )
            if fitting_count:
                worker.free_resources -= (
                    candidate.spec.resources * fitting_count
                )
                remaining -= fitting_count

    def _query_unknown_workers(
        self, candidate: Candidate, task_count: int
    ) -> None:
        """Query about workers without a reply, with free resources or not."""
        if not self._may_query(candidate):
            return
        unknown_workers = [
            worker
            for worker in self._capacity_index.all_workers()
            if worker.is_eligible_for(candidate)
            and not self._advisor_replies.has_reply_about(
                candidate.key, worker.info.id
            )
        ]
        self._query_about(
            candidate,
            self._most_promising(candidate, unknown_workers, task_count),
        )

    # Advisor queries.

    def _query_for_tasks(self, candidate: Candidate, task_count: int) -> None:
        if self._may_query(candidate):
            self._query_about(
                candidate, self._workers_to_query(candidate, task_count)
            )

    def _may_query(self, candidate: Candidate) -> bool:
        return (
            candidate.queue.advisor is not None
            and not self._advisor_replies.has_pending_query(candidate.key)
        )

    def _query_about(
        self, candidate: Candidate, workers: typing.Iterable[AvailableWorker]
    ) -> None:
        queried_workers = tuple(
            worker.info
            for worker in itertools.islice(workers, MAX_WORKERS_PER_QUERY)
        )
        if queried_workers and self._may_query(candidate):
            self._plan.advisor_queries.append(
                AdvisorQuery(candidate.key, candidate.queue, queried_workers)
            )

    def _workers_to_query(
        self, candidate: Candidate, task_count: int
    ) -> list[AvailableWorker]:
        allowed_workers: list[AvailableWorker] = []
        unknown_workers: list[AvailableWorker] = []
        for worker in self._placeable_workers(
            candidate,
            self._capacity_index.with_cores(candidate.spec.resources),
        ):
            if self._advisor_replies.is_allowed(candidate.key, worker.info.id):
                allowed_workers.append(worker)
            elif not self._advisor_replies.is_denied(
                candidate.key, worker.info.id
            ):
                unknown_workers.append(worker)
        remaining = task_count - _task_capacity(candidate, allowed_workers)
        if remaining > 0:
            allowed_workers.extend(
                self._most_promising(candidate, unknown_workers, remaining)
            )
        return allowed_workers

    def _most_promising(
        self,
        candidate: Candidate,
        unknown_workers: list[AvailableWorker],
        task_count: int,
    ) -> list[AvailableWorker]:
        """Return unknown workers that are expected to cover some tasks.

        The workers that are left out would add little.
        """
        total_capacity = _task_capacity(candidate, unknown_workers)
        tasks_per_worker = max(total_capacity / max(len(unknown_workers), 1), 1)
        unknown_workers.sort(key=lambda worker: query_rank(candidate, worker))
        needed_workers = math.ceil(task_count / tasks_per_worker)
        return unknown_workers[
            : self._advisor_replies.workers_per_query(
                candidate.queue, needed_workers
            )
        ]


def _task_capacity(
    candidate: Candidate, workers: typing.Sequence[AvailableWorker]
) -> int:
    return sum(worker.count_fitting_tasks(candidate) for worker in workers)


def _can_ever_fit(
    candidate: Candidate,
    state: WorkflowState,
    advisor_replies: AdvisorReplyCache,
) -> bool:
    """Tell whether a gang would fit on the workers that no advisor denies."""
    workers = (
        worker
        for worker in state.worker_by_id.values()
        if not advisor_replies.is_denied(candidate.key, worker.info.id)
    )
    return would_fit(candidate, workers)


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
