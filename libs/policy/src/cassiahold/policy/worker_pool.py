"""The workers of one data centre and the choice of one for a task.

Workers are indexed by class and free capacity.  The workers reserved for one
job have indexes of their own, so that they are offered only to that job and to
short jobs that may backfill.
"""

import itertools
import typing

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.policy.capacity_index import CapacityIndex
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker, WorkerState

# Workers compared where rack, speed, class or reservations matter.
MAX_CANDIDATES: typing.Final = 24

_IndexByClass = dict[str, CapacityIndex]


class PlacementPreference(typing.NamedTuple):
    """Which of several fitting workers is preferred, and which may be used."""

    prefers_speed: bool = False
    # Tasks of the same job by rack; the least used rack is preferred.
    task_count_by_rack: dict[str, int] | None = None
    # The workers reserved for this job may be used.
    reservation_job: str = ''
    # All reserved workers may be used, since the job ends before they are
    # needed.
    may_backfill: bool = False


NO_PREFERENCE: typing.Final = PlacementPreference()


class WorkerPool:
    """All workers of a data centre, indexed by class and free capacity.

    A worker that changes must be passed to ``reindex``.
    """

    def __init__(self) -> None:
        self.worker_by_id: dict[WorkerId, Worker] = {}
        self.capacity = NO_RESOURCES
        self._unreserved_index_by_class: _IndexByClass = {}
        self._reserved_indexes_by_job: dict[str, _IndexByClass] = {}
        # The job that a worker was reserved for when it was indexed.
        self._indexed_job_by_worker: dict[WorkerId, str] = {}
        self._largest_capacities_by_class: dict[str, list[Resources]] | None = (
            None
        )
        self._worker_ids: list[WorkerId] | None = None

    @property
    def worker_ids(self) -> list[WorkerId]:
        """Return the ids of all workers, as a cached list."""
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
        """Remove a worker; unknown ones are ignored."""
        worker = self.worker_by_id.pop(worker_id, None)
        if worker is None:
            return
        self.capacity -= worker.capacity
        self._largest_capacities_by_class = None
        self._worker_ids = None
        self._remove_from_index(worker)

    def reindex(self, worker: Worker) -> None:
        """Update the indexes after any change of a worker."""
        job = worker.reserved_for if worker.is_eligible else None
        if job != self._indexed_job_by_worker.get(worker.id):
            self._remove_from_index(worker)
        if job is None:
            return
        self._indexed_job_by_worker[worker.id] = job
        indexes = (
            self._indexes_of(job) if job else self._unreserved_index_by_class
        )
        index = indexes.get(worker.worker_class)
        if index is None:
            index = CapacityIndex()
            indexes[worker.worker_class] = index
        index.add_or_move(worker)

    def find_worker(
        self, shape: TaskShape, preference: PlacementPreference = NO_PREFERENCE
    ) -> Worker | None:
        """Return the preferred worker that fits the shape, None if none does.

        Without a preference, and with only one class of workers to search, the
        index of that class is queried directly.
        """
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

    def allocate(self, worker: Worker, key: str, resources: Resources) -> None:
        """Allocate resources of a worker under a task's key.

        Raises ``InvariantError`` when they are not free.
        """
        if not worker.has_free(resources):
            raise InvariantError(
                1,
                f'worker {worker.id!r} has {worker.free} free, '
                f'task {key!r} needs {resources}',
            )
        worker.allocate(key, resources)
        self.reindex(worker)

    def release(self, worker: Worker, key: str) -> None:
        """Release the allocation of a task; unknown keys are ignored."""
        worker.release(key)
        self.reindex(worker)

    def has_worker_large_enough(self, shape: TaskShape) -> bool:
        """Tell whether the shape fits on some worker when it is empty."""
        if self._largest_capacities_by_class is None:
            self._largest_capacities_by_class = self._find_largest_capacities()
        for (
            worker_class,
            capacities,
        ) in self._largest_capacities_by_class.items():
            if not shape.allows_class(worker_class):
                continue
            if any(shape.resources.fits_in(size) for size in capacities):
                return True
        return False

    def allocated_resources(self) -> Resources:
        """Return what is not free on all workers, overuse included."""
        return sum(
            (
                worker.capacity - worker.free
                for worker in self.worker_by_id.values()
            ),
            NO_RESOURCES,
        )

    def _has_one_class(self) -> bool:
        return len(self._unreserved_index_by_class) == 1

    def _single_index(self, shape: TaskShape) -> CapacityIndex | None:
        if shape.worker_class:
            return self._unreserved_index_by_class.get(shape.worker_class)
        worker_class, index = next(
            iter(self._unreserved_index_by_class.items())
        )
        return index if shape.allows_class(worker_class) else None

    def _indexes_of(self, job: str) -> _IndexByClass:
        """Return the indexes of the workers reserved for a job, '' for none."""
        if not job:
            return self._unreserved_index_by_class
        return self._reserved_indexes_by_job.setdefault(job, {})

    def _remove_from_index(self, worker: Worker) -> None:
        job = self._indexed_job_by_worker.pop(worker.id, None)
        if job is None:
            return
        indexes = self._indexes_of(job)
        index = indexes[worker.worker_class]
        index.remove(worker.id)
        if index:
            return
        indexes.pop(worker.worker_class)
        if job and not indexes:
            self._reserved_indexes_by_job.pop(job)

    def _candidates(
        self, shape: TaskShape, preference: PlacementPreference
    ) -> typing.Iterator[Worker]:
        # Apart from speed and rack, workers in one bucket of the index count
        # as equal, so without such a preference one of each is enough.
        compares_workers = (
            preference.prefers_speed
            or preference.task_count_by_rack is not None
        )
        per_bucket = MAX_CANDIDATES if compares_workers else 1
        yield from _candidates_by_class(
            self._unreserved_index_by_class, shape, per_bucket
        )
        if preference.may_backfill:
            for indexes in self._reserved_indexes_by_job.values():
                yield from _candidates_by_class(indexes, shape)
        elif preference.reservation_job:
            reserved = self._reserved_indexes_by_job.get(
                preference.reservation_job, {}
            )
            yield from _candidates_by_class(reserved, shape)

    def _find_largest_capacities(self) -> dict[str, list[Resources]]:
        capacities_by_class: dict[str, set[Resources]] = {}
        for worker in self.worker_by_id.values():
            if worker.state is not WorkerState.LOST:
                capacities_by_class.setdefault(worker.worker_class, set()).add(
                    worker.capacity
                )
        return {
            worker_class: _maximal_capacities(capacities)
            for worker_class, capacities in capacities_by_class.items()
        }


def _candidates_by_class(
    index_by_class: _IndexByClass,
    shape: TaskShape,
    per_bucket: int = 1,
) -> typing.Iterator[Worker]:
    for worker_class, index in index_by_class.items():
        if shape.allows_class(worker_class):
            yield from index.candidates(shape, per_bucket)


def _maximal_capacities(capacities: set[Resources]) -> list[Resources]:
    # Capacities that fit in no other one.
    return [
        capacity
        for capacity in capacities
        if not any(
            capacity != other and capacity.fits_in(other)
            for other in capacities
        )
    ]


def _placement_cost(
    worker: Worker, shape: TaskShape, preference: PlacementPreference
) -> tuple[float, float, float]:
    rack_cost = 0
    if preference.task_count_by_rack is not None:
        rack_cost = preference.task_count_by_rack.get(worker.rack, 0)
    speed_cost = -worker.speed if preference.prefers_speed else 0.0
    return rack_cost, speed_cost, _unused_fraction(worker, shape)


def _unused_fraction(worker: Worker, shape: TaskShape) -> float:
    """Return what would stay free, summed as fractions of the capacity.

    Accelerators count twice.
    """
    cores_m = worker.free_cores_m - shape.cores_m
    memory_mb = worker.free_memory_mb - shape.memory_mb
    accelerators = worker.free_accelerators - shape.accelerators
    return (
        cores_m / max(worker.capacity.cores_m, 1)
        + memory_mb / max(worker.capacity.memory_mb, 1)
        + 2 * accelerators / max(worker.capacity.accelerators, 1)
    )
