"""The workers of one data centre and what is free on them."""

import itertools
import typing

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.policy.capacity_index import CapacityIndex
from cassiahold.policy.shapes import Shape
from cassiahold.policy.workers import Standing, Worker

# Candidates compared where rack, speed or holds matter.
MAX_CANDIDATES: typing.Final = 24


class PlacementPreference(typing.NamedTuple):
    """Which of several fitting workers is preferred."""

    prefers_speed: bool = False
    # Tasks of the same job by rack; the least used rack is preferred.
    task_count_by_rack: dict[str, int] | None = None
    # Worker that a held gang may use, and the length of a backfill.
    reservation_job: str = ''
    may_backfill: bool = False


NO_PREFERENCE: typing.Final = PlacementPreference()


class Cell:
    """Every worker, indexed by class and free capacity."""

    def __init__(self) -> None:
        self.worker_by_id: dict[WorkerId, Worker] = {}
        self.capacity = NOTHING
        self._index_by_class: dict[str, CapacityIndex] = {}
        self._reserved_index_by_class: dict[str, CapacityIndex] = {}
        self._largest_capacities_by_class: dict[str, list[Resources]] | None = (
            None
        )
        self._worker_ids: list[WorkerId] | None = None

    @property
    def worker_ids(self) -> list[WorkerId]:
        """Return the ids of every worker."""
        if self._worker_ids is None:
            self._worker_ids = list(self.worker_by_id)
        return self._worker_ids

    def add(self, worker: Worker) -> None:
        """Add a worker, or replace the one with its id."""
        self.remove(worker.id)
        self.worker_by_id[worker.id] = worker
        self.capacity += worker.capacity
        self._largest_capacities_by_class = None
        self._worker_ids = None
        self.reindex(worker)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker; unknown ones are ignored."""
        worker = self.worker_by_id.pop(worker_id, None)
        if worker is None:
            return
        self.capacity -= worker.capacity
        self._largest_capacities_by_class = None
        self._worker_ids = None
        self._remove_from_indexes(worker)

    def reindex(self, worker: Worker) -> None:
        """Bring the index up to date after any change of a worker."""
        if not worker.is_eligible:
            self._remove_from_indexes(worker)
            return
        put = self._index_by_class
        drop = self._reserved_index_by_class
        if worker.held_for:
            put = self._reserved_index_by_class
            drop = self._index_by_class
        index = put.get(worker.worker_class)
        if index is None:
            index = CapacityIndex()
            put[worker.worker_class] = index
        index.add_or_move(worker)
        other = drop.get(worker.worker_class)
        if other is not None:
            other.remove(worker.id)

    def find(
        self, shape: Shape, preference: PlacementPreference = NO_PREFERENCE
    ) -> Worker | None:
        """Return the preferred worker with room, None when there is none."""
        if preference is NO_PREFERENCE and (
            shape.worker_class or self._has_one_class()
        ):
            index = self._single_index(shape)
            return index.find_worker(shape) if index else None
        return min(
            itertools.islice(
                self._candidates(shape, preference), MAX_CANDIDATES
            ),
            key=lambda worker: _placement_cost(worker, shape, preference),
            default=None,
        )

    def take(self, worker: Worker, key: str, resources: Resources) -> None:
        """Let an attempt hold a part of a worker.

        Raises ``InvariantError`` when the worker cannot hold it.
        """
        if not worker.has_room_for(resources):
            raise InvariantError(
                1,
                f'worker {worker.id!r} has {worker.free} free, '
                f'attempt {key!r} needs {resources}',
            )
        worker.take(key, resources)
        self.reindex(worker)

    def give_back(self, worker: Worker, key: str) -> None:
        """Free what an attempt held."""
        worker.give_back(key)
        self.reindex(worker)

    def can_ever_hold(self, shape: Shape) -> bool:
        """Tell whether some worker, were it empty, could hold the shape."""
        if self._largest_capacities_by_class is None:
            self._largest_capacities_by_class = self._find_largest_capacities()
        for (
            worker_class,
            capacities,
        ) in self._largest_capacities_by_class.items():
            if not shape.allows_class(worker_class):
                continue
            if any(shape.resources.fits_in(most) for most in capacities):
                return True
        return False

    def used(self) -> Resources:
        """Return what is held on all workers that can take tasks."""
        return sum(
            (
                worker.capacity - worker.free
                for worker in self.worker_by_id.values()
            ),
            NOTHING,
        )

    def _has_one_class(self) -> bool:
        return len(self._index_by_class) == 1

    def _single_index(self, shape: Shape) -> CapacityIndex | None:
        if shape.worker_class:
            return self._index_by_class.get(shape.worker_class)
        worker_class, index = next(iter(self._index_by_class.items()))
        return index if shape.allows_class(worker_class) else None

    def _remove_from_indexes(self, worker: Worker) -> None:
        for indexes in (self._index_by_class, self._reserved_index_by_class):
            index = indexes.get(worker.worker_class)
            if index is not None:
                index.remove(worker.id)
                if not index:
                    indexes.pop(worker.worker_class)

    def _candidates(
        self, shape: Shape, preference: PlacementPreference
    ) -> typing.Iterator[Worker]:
        # Workers of one cell differ only in what such wishes look at.
        is_picky = (
            preference.prefers_speed
            or preference.task_count_by_rack is not None
        )
        per_cell = MAX_CANDIDATES if is_picky else 1
        yield from _candidates_by_class(self._index_by_class, shape, per_cell)
        if preference.may_backfill:
            yield from _candidates_by_class(
                self._reserved_index_by_class, shape
            )
        elif preference.reservation_job:
            for worker in _candidates_by_class(
                self._reserved_index_by_class, shape
            ):
                if worker.held_for == preference.reservation_job:
                    yield worker

    def _find_largest_capacities(self) -> dict[str, list[Resources]]:
        sizes_by_class: dict[str, set[Resources]] = {}
        for worker in self.worker_by_id.values():
            if worker.standing is not Standing.LOST:
                sizes_by_class.setdefault(worker.worker_class, set()).add(
                    worker.capacity
                )
        return {
            worker_class: _maximal_capacities(sizes)
            for worker_class, sizes in sizes_by_class.items()
        }


def _candidates_by_class(
    index_by_class: dict[str, CapacityIndex], shape: Shape, per_bucket: int = 1
) -> typing.Iterator[Worker]:
    for worker_class, index in index_by_class.items():
        if shape.allows_class(worker_class):
            yield from index.candidates(shape, per_bucket)


def _maximal_capacities(sizes: set[Resources]) -> list[Resources]:
    return [
        size
        for size in sizes
        if not any(size != other and size.fits_in(other) for other in sizes)
    ]


def _placement_cost(
    worker: Worker, shape: Shape, preference: PlacementPreference
) -> tuple[float, float, float]:
    crowding = 0
    if preference.task_count_by_rack is not None:
        crowding = preference.task_count_by_rack.get(worker.rack, 0)
    slowness = -worker.speed if preference.prefers_speed else 0.0
    return crowding, slowness, _unused_fraction(worker, shape)


def _unused_fraction(worker: Worker, shape: Shape) -> float:
    """Return how much stays free, as a fraction of the worker's size."""
    cores = worker.free_cores_m - shape.cores_m
    memory = worker.free_memory_mb - shape.memory_mb
    spare = worker.free_accelerators - shape.accelerators
    return (
        cores / max(worker.capacity.cores_m, 1)
        + memory / max(worker.capacity.memory_mb, 1)
        + 2 * spare / max(worker.capacity.accelerators, 1)
    )
