"""The workers of one data centre and what is free on them."""

import itertools
import typing

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.policy.index import CapacityIndex
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker, WorkerState

# Candidates compared where rack, speed or holds matter.
MAX_CANDIDATES: typing.Final = 24


class Wish(typing.NamedTuple):
    """Which of several fitting workers is preferred."""

    prefers_speed: bool = False
    # Tasks of the same job by rack; the least used rack is preferred.
    count_by_rack: dict[str, int] | None = None
    # Worker that a held gang may use, and the length of a backfill.
    gang: str = ''
    is_backfill: bool = False


ANY: typing.Final = Wish()


class WorkerPool:
    """Every worker, indexed by class and free capacity."""

    def __init__(self) -> None:
        self.worker_by_id: dict[WorkerId, Worker] = {}
        self.capacity = NO_RESOURCES
        self._index_by_class: dict[str, CapacityIndex] = {}
        self._held_index_by_class: dict[str, CapacityIndex] = {}
        self._largest_by_class: dict[str, list[Resources]] | None = None
        self._ids: list[WorkerId] | None = None

    @property
    def ids(self) -> list[WorkerId]:
        """Return the ids of every worker."""
        if self._ids is None:
            self._ids = list(self.worker_by_id)
        return self._ids

    def add(self, worker: Worker) -> None:
        """Add a worker, or replace the one with its id."""
        self.remove(worker.id)
        self.worker_by_id[worker.id] = worker
        self.capacity += worker.capacity
        self._largest_by_class = None
        self._ids = None
        self.reindex(worker)

    def remove(self, worker_id: WorkerId) -> None:
        """Forget a worker; unknown ones are ignored."""
        worker = self.worker_by_id.pop(worker_id, None)
        if worker is None:
            return
        self.capacity -= worker.capacity
        self._largest_by_class = None
        self._ids = None
        self._drop(worker)

    def reindex(self, worker: Worker) -> None:
        """Bring the index up to date after any change of a worker."""
        if not worker.is_eligible:
            self._drop(worker)
            return
        put = self._index_by_class
        drop = self._held_index_by_class
        if worker.reserved_for:
            put = self._held_index_by_class
            drop = self._index_by_class
        index = put.get(worker.worker_class)
        if index is None:
            index = CapacityIndex()
            put[worker.worker_class] = index
        index.put(worker)
        other = drop.get(worker.worker_class)
        if other is not None:
            other.drop(worker.id)

    def find_worker(self, shape: TaskShape, wish: Wish = ANY) -> Worker | None:
        """Return the preferred worker with room, None when there is none."""
        if wish is ANY and (shape.worker_class or self._has_one_class()):
            index = self._only_index(shape)
            return index.find(shape) if index else None
        return min(
            itertools.islice(self._candidates(shape, wish), MAX_CANDIDATES),
            key=lambda worker: _badness(worker, shape, wish),
            default=None,
        )

    def allocate(self, worker: Worker, key: str, resources: Resources) -> None:
        """Let an attempt hold a part of a worker.

        Raises ``InvariantError`` when the worker cannot hold it.
        """
        if not worker.has_room_for(resources):
            raise InvariantError(
                1,
                f'worker {worker.id!r} has {worker.free} free, '
                f'attempt {key!r} needs {resources}',
            )
        worker.allocate(key, resources)
        self.reindex(worker)

    def release(self, worker: Worker, key: str) -> None:
        """Free what an attempt held."""
        worker.release(key)
        self.reindex(worker)

    def has_worker_large_enough(self, shape: TaskShape) -> bool:
        """Tell whether some worker, were it empty, could hold the shape."""
        if self._largest_by_class is None:
            self._largest_by_class = self._find_largest()
        for worker_class, capacities in self._largest_by_class.items():
            if not shape.suits(worker_class):
                continue
            if any(shape.resources.fits_in(most) for most in capacities):
                return True
        return False

    def allocated_resources(self) -> Resources:
        """Return what is held on all workers that can take tasks."""
        return sum(
            (
                worker.capacity - worker.free
                for worker in self.worker_by_id.values()
            ),
            NO_RESOURCES,
        )

    def _has_one_class(self) -> bool:
        return len(self._index_by_class) == 1

    def _only_index(self, shape: TaskShape) -> CapacityIndex | None:
        if shape.worker_class:
            return self._index_by_class.get(shape.worker_class)
        worker_class, index = next(iter(self._index_by_class.items()))
        return index if shape.suits(worker_class) else None

    def _drop(self, worker: Worker) -> None:
        for indexes in (self._index_by_class, self._held_index_by_class):
            index = indexes.get(worker.worker_class)
            if index is not None:
                index.drop(worker.id)
                if not index:
                    indexes.pop(worker.worker_class)

    def _candidates(
        self, shape: TaskShape, wish: Wish
    ) -> typing.Iterator[Worker]:
        # Workers of one cell differ only in what such wishes look at.
        is_picky = wish.prefers_speed or wish.count_by_rack is not None
        per_cell = MAX_CANDIDATES if is_picky else 1
        yield from _matching(self._index_by_class, shape, per_cell)
        if wish.is_backfill:
            yield from _matching(self._held_index_by_class, shape)
        elif wish.gang:
            for worker in _matching(self._held_index_by_class, shape):
                if worker.reserved_for == wish.gang:
                    yield worker

    def _find_largest(self) -> dict[str, list[Resources]]:
        sizes_by_class: dict[str, set[Resources]] = {}
        for worker in self.worker_by_id.values():
            if worker.state is not WorkerState.LOST:
                sizes_by_class.setdefault(worker.worker_class, set()).add(
                    worker.capacity
                )
        return {
            worker_class: _undominated(sizes)
            for worker_class, sizes in sizes_by_class.items()
        }


def _matching(
    index_by_class: dict[str, CapacityIndex],
    shape: TaskShape,
    per_cell: int = 1,
) -> typing.Iterator[Worker]:
    for worker_class, index in index_by_class.items():
        if shape.suits(worker_class):
            yield from index.candidates(shape, per_cell)


def _undominated(sizes: set[Resources]) -> list[Resources]:
    return [
        size
        for size in sizes
        if not any(size != other and size.fits_in(other) for other in sizes)
    ]


def _badness(
    worker: Worker, shape: TaskShape, wish: Wish
) -> tuple[float, float, float]:
    crowding = 0
    if wish.count_by_rack is not None:
        crowding = wish.count_by_rack.get(worker.rack, 0)
    slowness = -worker.speed if wish.prefers_speed else 0.0
    return crowding, slowness, _leftover(worker, shape)


def _leftover(worker: Worker, shape: TaskShape) -> float:
    """Return how much stays free, as a fraction of the worker's size."""
    cores = worker.free_cores_m - shape.cores_m
    memory = worker.free_memory_mb - shape.memory_mb
    spare = worker.free_accelerators - shape.accelerators
    return (
        cores / max(worker.capacity.cores_m, 1)
        + memory / max(worker.capacity.memory_mb, 1)
        + 2 * spare / max(worker.capacity.accelerators, 1)
    )
