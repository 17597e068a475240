"""Choice of the workers about which advisors are queried."""

import itertools
import math
import typing

from cassiahold.workflows.advisor_replies import MAX_WORKERS_PER_QUERY
from cassiahold.workflows.available_workers import (
    AvailableWorker,
    query_rank,
    task_capacity,
)
from cassiahold.workflows.placement import Placement
from cassiahold.workflows.plans import AdvisorQuery
from cassiahold.workflows.urgency import Candidate


class AdvisorQueries:
    """Plans the queries of one pass; each step has one at a time."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    def query_for_tasks(self, candidate: Candidate, task_count: int) -> None:
        """Query about workers that may take some tasks of a step."""
        if self.may_query(candidate):
            self.query_about(
                candidate, self._workers_to_query(candidate, task_count)
            )

    def query_about(
        self, candidate: Candidate, workers: typing.Iterable[AvailableWorker]
    ) -> None:
        """Query about the first of some workers."""
        queried_workers = tuple(
            worker.info
            for worker in itertools.islice(workers, MAX_WORKERS_PER_QUERY)
        )
        if queried_workers and self.may_query(candidate):
            self._placement.plan.advisor_queries.append(
                AdvisorQuery(candidate.key, candidate.queue, queried_workers)
            )

    def may_query(self, candidate: Candidate) -> bool:
        """Tell whether a step has an advisor and no query in progress."""
        return (
            candidate.queue.advisor is not None
            and not self._placement.advisor_replies.has_pending_query(
                candidate.key
            )
        )

    def most_promising(
        self,
        candidate: Candidate,
        unknown_workers: list[AvailableWorker],
        task_count: int,
    ) -> list[AvailableWorker]:
        """Return unknown workers that are expected to cover some tasks.

        The workers that are left out would add little.
        """
        total_capacity = task_capacity(candidate, unknown_workers)
        tasks_per_worker = max(total_capacity / max(len(unknown_workers), 1), 1)
        unknown_workers.sort(key=lambda worker: query_rank(candidate, worker))
        needed_workers = math.ceil(task_count / tasks_per_worker)
        return unknown_workers[
            : self._placement.advisor_replies.workers_per_query(
                candidate.queue, needed_workers
            )
        ]

    def _workers_to_query(
        self, candidate: Candidate, task_count: int
    ) -> list[AvailableWorker]:
        allowed_workers: list[AvailableWorker] = []
        unknown_workers: list[AvailableWorker] = []
        for worker in self._placement.placeable_workers(
            candidate,
            self._placement.capacity_index.with_cores(candidate.spec.resources),
        ):
            if self._placement.advisor_replies.is_allowed(
                candidate.key, worker.info.id
            ):
                allowed_workers.append(worker)
            elif not self._placement.advisor_replies.is_denied(
                candidate.key, worker.info.id
            ):
                unknown_workers.append(worker)
        remaining = task_count - task_capacity(candidate, allowed_workers)
        if remaining > 0:
            allowed_workers.extend(
                self.most_promising(candidate, unknown_workers, remaining)
            )
        return allowed_workers
