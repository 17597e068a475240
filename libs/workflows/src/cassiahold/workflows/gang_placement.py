"""Placement of gangs, whose tasks start together or not at all.

The most urgent gang that has to wait reserves free resources of its allowed
workers against less urgent work, so that a stream of small tasks does not
starve it.  Other waiting gangs reserve nothing: with several gangs that each
reserve a part of what they need the cell would be idle while none of them can
start.  Nor does a gang that would not fit once all that ends has ended.  Once
the free resources of a gang's allowed workers suffice, they stay reserved while
its tickets are renewed.
"""

import bisect
import itertools
import math
import typing

from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.advisor_queries import AdvisorQueries
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.available_workers import (
    AvailableWorker,
    isolation_rank,
    placement_rank,
    task_capacity,
    would_fit,
)
from cassiahold.workflows.crashes import is_suspect
from cassiahold.workflows.model import WorkerRecord
from cassiahold.workflows.placement import Placement
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.suspect_placement import SuspectPlacement
from cassiahold.workflows.urgency import Candidate

# More workers than a gang needs, since more urgent work may take some of them.
GANG_HEADROOM_FACTOR: typing.Final = 1.25
# Share of a gang's tasks that has to fit before the gang reserves resources.
GANG_RESERVATION_SHARE: typing.Final = 0.5


class GangPlacement:
    """Plans the starts and reservations of the gangs of one pass."""

    def __init__(
        self,
        placement: Placement,
        queries: AdvisorQueries,
        suspects: SuspectPlacement,
    ) -> None:
        self._placement = placement
        self._queries = queries
        self._suspects = suspects
        self._has_gang_reservation = False

    def place(self, candidate: Candidate, tasks: list[int]) -> None:
        """Start a gang as a whole, or query its advisor and reserve."""
        task_count = len(tasks)
        if (
            self._placement.count_within_limit(candidate, task_count)
            < task_count
        ):
            return
        workers = self._placement.eligible_workers(candidate)
        records = candidate.record.step(candidate.key).tasks
        if any(is_suspect(task) for task in records):
            if self._suspects.remaining_trials(candidate) <= 0:
                return
            workers = [
                worker
                for worker in workers
                if self._suspects.is_settled(worker)
            ]
            workers.sort(key=lambda worker: isolation_rank(candidate, worker))
        if task_capacity(candidate, workers) >= task_count:
            self._placement.plan.start_groups.append(
                self._placement.assign_tasks(candidate, tasks, workers)
            )
            return
        sufficient_workers = self._sufficient_allowed_workers(
            candidate, task_count
        )
        if sufficient_workers:
            # The tickets have expired: reserve until they are renewed.
            self._reserve(candidate, sufficient_workers, task_count)
            self._queries.query_about(candidate, sufficient_workers)
            return
        self._query_unknown_workers(candidate, task_count)
        allowed_workers = self._allowed_workers(candidate)
        # Resources reserved for a gang far from its start would stay idle.
        has_enough_capacity = (
            task_capacity(candidate, allowed_workers)
            >= task_count * GANG_RESERVATION_SHARE
        )
        if (
            has_enough_capacity
            and not self._has_gang_reservation
            and _can_ever_fit(
                candidate,
                self._placement.state,
                self._placement.advisor_replies,
            )
        ):
            self._has_gang_reservation = True
            self._reserve(candidate, allowed_workers, task_count)

    def _sufficient_allowed_workers(
        self, candidate: Candidate, task_count: int
    ) -> list[AvailableWorker]:
        """Return allowed workers that fit a whole gang, with headroom."""
        if candidate.queue.advisor is None:
            return []
        workers = self._placement.placeable_workers(
            candidate, self._allowed_workers(candidate)
        )
        if task_capacity(candidate, workers) < task_count:
            return []
        workers.sort(
            key=lambda worker: (
                not self._placement.advisor_replies.is_queried(
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
                for worker in self._placement.capacity_index.with_cores(
                    candidate.spec.resources
                )
                if worker.is_eligible_for(candidate)
            ]
        return self._placement.capacity_index.select(
            self._placement.advisor_replies.allowed_workers(candidate.key)
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
        if not self._queries.may_query(candidate):
            return
        unknown_workers = [
            worker
            for worker in self._placement.capacity_index.all_workers()
            if worker.is_eligible_for(candidate)
            and not self._placement.advisor_replies.has_reply_about(
                candidate.key, worker.info.id
            )
        ]
        self._queries.query_about(
            candidate,
            self._queries.most_promising(
                candidate, unknown_workers, task_count
            ),
        )


def _can_ever_fit(
    candidate: Candidate,
    state: WorkflowState,
    advisor_replies: AdvisorReplyCache,
) -> bool:
    """Tell whether a gang would fit on the workers that no advisor denies.

    What runs there has to end for it, but long-running tasks stay.
    """
    workers = [
        worker
        for worker in state.worker_by_id.values()
        if not advisor_replies.is_denied(candidate.key, worker.info.id)
    ]
    return would_fit(
        candidate,
        workers,
        {
            worker.info.id: _lasting_resources(worker, state)
            for worker in workers
        },
    )


def _lasting_resources(worker: WorkerRecord, state: WorkflowState) -> Resources:
    """Return what long-running tasks of open jobs occupy on a worker."""
    occupied = NO_RESOURCES
    for attempt, resources in worker.resources_by_attempt.items():
        step = attempt.task.step
        is_lasting = state.step_spec(step).is_long_running
        if is_lasting and state.job_by_id[step.job].is_open:
            occupied += resources
    return occupied
