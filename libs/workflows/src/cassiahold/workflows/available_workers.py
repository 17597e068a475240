"""Free resources of the workers during one planning pass, and their ranking.

Free resources only shrink while a pass assigns tasks.  The free cores at the
start of the pass are therefore an upper bound, and a search in their order
stops at the first worker that had too few from the beginning.
"""

import bisect
import collections
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import StepKey, WorkerInfo, WorkerRecord
from cassiahold.workflows.suspects import (
    has_light_load,
    has_trial,
    kept_worker_limit,
    loaded_trial_limit,
)
from cassiahold.workflows.urgency import Candidate

SPEED_RESOLUTION: typing.Final = 0.25  # speeds this close count as equal
# Estimated durations exclude the time to start a task and to notice its end.
RUNTIME_SAFETY_FACTOR: typing.Final = 1.2
TIGHT_SLACK_FACTOR: typing.Final = 2.0  # queues below it have little slack
UNBOUNDED_TASK_COUNT: typing.Final = 1_000_000_000


class AvailableWorker(msgspec.Struct):
    """A worker and the resources that are still free in this pass.

    ``planned_tasks_by_step`` counts the tasks that the pass assigned to it.
    ``has_trial`` is set while it runs a task that may soon crash it, and
    ``free_group_places`` counts the tasks that may share a trial of this pass.
    ``is_kept`` is set while it is kept free for a trial.
    """

    record: WorkerRecord
    info: WorkerInfo
    free_resources: Resources
    speed: float
    is_unreliable: bool
    has_trial: bool = False
    free_group_places: int = 0
    is_kept: bool = False
    planned_tasks_by_step: dict[StepKey, int] = msgspec.field(
        default_factory=dict
    )

    def count_tasks(self, step: StepKey) -> int:
        """Return how many tasks of a step run here or are assigned here."""
        return self.record.count_tasks(step) + self.planned_tasks_by_step.get(
            step, 0
        )

    def count_all_tasks(self) -> int:
        """Return how many tasks run here or are assigned here."""
        return len(self.record.resources_by_attempt) + sum(
            self.planned_tasks_by_step.values()
        )

    def has_capacity_for(self, candidate: Candidate) -> bool:
        """Tell whether one more task of a step fits."""
        spec = candidate.spec
        if not spec.resources.fits_in(self.free_resources):
            return False
        if not spec.max_tasks_per_worker:
            return True
        return self.count_tasks(candidate.key) < spec.max_tasks_per_worker

    def is_eligible_for(self, candidate: Candidate) -> bool:
        """Tell whether the worker has a step's service and label."""
        return is_eligible(candidate, self.info)

    def count_fitting_tasks(self, candidate: Candidate) -> int:
        """Return how many more tasks of a step fit."""
        fitting_count = count_fitting(
            candidate.spec.resources, self.free_resources
        )
        max_tasks = candidate.spec.max_tasks_per_worker
        if max_tasks:
            fitting_count = min(
                fitting_count, max_tasks - self.count_tasks(candidate.key)
            )
        return max(fitting_count, 0)


class CapacityIndex:
    """The usable workers, ordered by free cores at the start of the pass."""

    def __init__(
        self,
        workers: typing.Iterable[WorkerRecord],
        health: HealthTracker,
        now: float,
    ) -> None:
        self._ordered = [
            AvailableWorker(
                worker,
                worker.info,
                worker.free_resources,
                worker.speed_estimate.speed,
                health.is_unreliable(worker.info.id),
                has_trial(worker, health, now),
            )
            for worker in workers
        ]
        self._ordered.sort(key=_negative_free_cores)
        self._sort_keys = [
            _negative_free_cores(available) for available in self._ordered
        ]
        self._worker_by_id = {
            available.info.id: available for available in self._ordered
        }
        self._workers_by_service: dict[str, list[AvailableWorker]] = (
            collections.defaultdict(list)
        )
        for available in self._ordered:
            self._workers_by_service[available.info.service].append(available)
        self._has_light_load_by_service: dict[str, bool] = {}

    def select(
        self, workers: typing.Iterable[WorkerId]
    ) -> list[AvailableWorker]:
        """Return those of some workers that are usable."""
        selected = (self._worker_by_id.get(worker_id) for worker_id in workers)
        return [worker for worker in selected if worker is not None]

    def has_light_load(self, service: str) -> bool:
        """Tell whether much of the capacity of a service is free."""
        has_light = self._has_light_load_by_service.get(service)
        if has_light is None:
            has_light = has_light_load(
                worker.record for worker in self._workers_of(service)
            )
            self._has_light_load_by_service[service] = has_light
        return has_light

    def remaining_trials(self, service: str) -> int:
        """Return on how many more of its workers a suspect task may start."""
        workers = self._workers_of(service)
        limit = (
            len(workers)
            if self.has_light_load(service)
            else loaded_trial_limit(len(workers))
        )
        return limit - sum(worker.has_trial for worker in workers)

    def kept_worker_limit(self, service: str) -> int:
        """Return how many workers may be kept for trials of a service."""
        return kept_worker_limit(len(self._workers_of(service)))

    def _workers_of(self, service: str) -> list[AvailableWorker]:
        return self._workers_by_service.get(service, [])

    def all_workers(self) -> list[AvailableWorker]:
        """Return every usable worker, those with most free cores first."""
        return self._ordered

    def with_cores(self, required: Resources) -> list[AvailableWorker]:
        """Return the workers that had enough free cores at the start."""
        count = bisect.bisect_right(self._sort_keys, -required.cores_m)
        return self._ordered[:count]


class _PlacementRank(typing.NamedTuple):
    is_other_rack: bool
    is_unreliable: bool
    is_too_slow: bool
    speed_order: float
    # Proven speeds are preferred with little slack, unproven ones otherwise.
    is_second_choice: bool
    free_cores_m: int


def placement_rank(
    candidate: Candidate, worker: AvailableWorker
) -> _PlacementRank:
    """Return a sort key for placement; the best worker comes first.

    Work goes to the slowest worker on which its job is still on time, so
    that fast ones remain free for work with little slack.  Workers whose
    speed is not known yet are tried with work that has slack.  Of equal
    workers the one with the fewest free cores comes first (best fit).
    """
    preferred_rack = candidate.spec.preferred_rack
    is_other_rack = bool(preferred_rack) and preferred_rack != worker.info.rack
    speed = round(worker.speed / SPEED_RESOLUTION) * SPEED_RESOLUTION
    too_slow = is_too_slow(candidate, speed)
    # Estimates are rough: with little slack the fastest worker comes first.
    is_tight = candidate.queue.slack_factor < TIGHT_SLACK_FACTOR
    speed_order = -speed if too_slow or is_tight else speed
    return _PlacementRank(
        is_other_rack,
        worker.is_unreliable,
        too_slow,
        speed_order,
        worker.record.speed_estimate.is_proven is not is_tight,
        worker.free_resources.cores_m,
    )


def is_eligible(candidate: Candidate, worker: WorkerInfo) -> bool:
    """Tell whether a worker has a step's service and label."""
    required_label = candidate.spec.required_label
    if worker.service != candidate.queue.service:
        return False
    return not required_label or required_label in worker.labels


def would_fit(
    candidate: Candidate,
    workers: typing.Iterable[WorkerRecord],
    occupied_by_worker: typing.Mapping[WorkerId, Resources] | None = None,
) -> bool:
    """Tell whether a step would fit on some workers if the rest was free.

    One task or a whole gang has to fit beside what is occupied for good.
    """
    occupied = occupied_by_worker or {}
    fitting_count = sum(
        _count_fitting_beside(
            candidate,
            worker.info,
            occupied.get(worker.info.id, NO_RESOURCES),
        )
        for worker in workers
        if is_eligible(candidate, worker.info)
    )
    required_count = candidate.spec.tasks if candidate.spec.is_gang else 1
    return fitting_count >= required_count


def _count_fitting_beside(
    candidate: Candidate, worker: WorkerInfo, occupied: Resources
) -> int:
    spec = candidate.spec
    fitting_count = count_fitting(spec.resources, worker.capacity - occupied)
    if spec.max_tasks_per_worker:
        return min(fitting_count, spec.max_tasks_per_worker)
    return fitting_count


def isolation_rank(
    candidate: Candidate, worker: AvailableWorker
) -> tuple[int, _PlacementRank]:
    """Return a sort key for a task that may crash its worker.

    The worker comes first on which the fewest tasks would end with it.
    """
    return worker.count_all_tasks(), placement_rank(candidate, worker)


def query_rank(
    candidate: Candidate, worker: AvailableWorker
) -> tuple[bool, bool, int]:
    """Return a sort key for advisor queries.

    The worker that probably fits most tasks comes first.
    """
    too_slow = is_too_slow(candidate, worker.speed)
    return worker.is_unreliable, too_slow, -worker.free_resources.cores_m


def is_too_slow(candidate: Candidate, speed: float) -> bool:
    """Tell whether a worker of this speed would make a job late.

    A job without an estimate or without time left is judged by the slack
    factor of its queue alone.
    """
    spec = candidate.spec
    if spec.expected_s <= 0 or candidate.time_left_s <= 0:
        return speed * candidate.queue.slack_factor < RUNTIME_SAFETY_FACTOR
    time_for_step_s = (
        candidate.time_left_s - candidate.downstream_s * RUNTIME_SAFETY_FACTOR
    )
    return speed * time_for_step_s < RUNTIME_SAFETY_FACTOR * spec.expected_s


def count_fitting(required: Resources, free: Resources) -> int:
    """Return how many times an amount fits; 1 for an empty amount.

    Nothing fits while ``free`` is negative in any dimension, even in one that
    is not required: more is allocated than the capacity or the limit.
    """
    if not required.fits_in(free):
        return 0
    if required == NO_RESOURCES:
        return 1
    fitting_count = UNBOUNDED_TASK_COUNT
    if required.cores_m:
        fitting_count = free.cores_m // required.cores_m
    if required.memory_mb:
        fitting_count = min(fitting_count, free.memory_mb // required.memory_mb)
    if required.accelerators:
        fitting_count = min(
            fitting_count, free.accelerators // required.accelerators
        )
    return fitting_count


def task_capacity(
    candidate: Candidate, workers: typing.Sequence[AvailableWorker]
) -> int:
    """Return how many more tasks of a step fit on some workers."""
    return sum(worker.count_fitting_tasks(candidate) for worker in workers)


def _negative_free_cores(worker: AvailableWorker) -> int:
    return -worker.free_resources.cores_m
