"""An index that finds a worker with enough free capacity in constant time.

Workers are kept in buckets of a grid by the logarithms of their free cores
(rows) and free memory (columns), with four steps to a doubling.  Bit masks
tell which buckets are occupied, so the tightest bucket in which every worker
fits is found with a few operations, whatever the number of workers.
"""

import itertools
import typing

from cassiahold.core.ids import WorkerId
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker

_STEPS_BITS: typing.Final = 2  # four steps to a doubling
# Workers tried in a bucket at the level of the request, where some may not
# fit.
_MAX_EDGE_PROBES: typing.Final = 12
_LEVEL_BITS: typing.Final = 8  # a level is less than 256
_LEVEL_MASK: typing.Final = 255


def grid_level(amount: int) -> int:
    """Return the grid level of an amount; never lower for larger ones."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= _STEPS_BITS:
        return amount
    step = (amount >> (bits - 1 - _STEPS_BITS)) & ((1 << _STEPS_BITS) - 1)
    return (bits << _STEPS_BITS) | step


class CapacityIndex:
    """Workers of one class, by their free capacity."""

    def __init__(self) -> None:
        self._bucket_by_worker: dict[WorkerId, int] = {}
        self._workers_by_bucket: dict[int, dict[WorkerId, Worker]] = {}
        # Bit masks: the occupied rows by number of free accelerators, and the
        # occupied columns by row.
        self._row_mask: dict[int, int] = {}
        self._accelerator_counts: tuple[int, ...] = ()
        self._column_mask: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._bucket_by_worker)

    def add_or_move(self, worker: Worker) -> None:
        """Add a worker, or move it to the bucket of its free capacity."""
        row = _row_of(worker.free_accelerators, grid_level(worker.free_cores_m))
        column = grid_level(worker.free_memory_mb)
        bucket = row << _LEVEL_BITS | column
        previous = self._bucket_by_worker.get(worker.id)
        if previous == bucket:
            return
        if previous is not None:
            self._remove_from_bucket(worker.id, previous)
        self._bucket_by_worker[worker.id] = bucket
        members = self._workers_by_bucket.get(bucket)
        if members is None:
            members = {}
            self._workers_by_bucket[bucket] = members
            self._mark_occupied(row, column)
        members[worker.id] = worker

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker; unknown ones are ignored."""
        bucket = self._bucket_by_worker.pop(worker_id, None)
        if bucket is not None:
            self._remove_from_bucket(worker_id, bucket)

    def find_worker(self, shape: TaskShape) -> Worker | None:
        """Return a worker that fits the shape, preferring a tight fit.

        Finds the first of ``candidates`` without the cost of generators,
        since most placements take this path.
        """
        cores_level = grid_level(shape.cores_m)
        memory_level = grid_level(shape.memory_mb)
        for accelerators in self._accelerator_counts:
            if accelerators < shape.accelerators:
                continue
            mask = self._row_mask[accelerators] >> cores_level << cores_level
            while mask:
                level = (mask & -mask).bit_length() - 1
                mask = mask & (mask - 1)
                found = self._first_in_row(
                    shape,
                    accelerators << _LEVEL_BITS | level,
                    memory_level,
                    memory_level if level > cores_level else _LEVEL_MASK,
                )
                if found is not None:
                    return found
        return None

    def _first_in_row(
        self, shape: TaskShape, row: int, memory_level: int, all_fit_above: int
    ) -> Worker | None:
        columns = self._column_mask[row] >> memory_level << memory_level
        while columns:
            column = (columns & -columns).bit_length() - 1
            columns = columns & (columns - 1)
            members = self._workers_by_bucket[row << _LEVEL_BITS | column]
            if column > all_fit_above:
                return next(iter(members.values()))
            found = _first_fitting(members, shape)
            if found is not None:
                return found
        return None

    def candidates(
        self, shape: TaskShape, per_bucket: int = 1
    ) -> typing.Iterator[Worker]:
        """Yield fitting workers of each occupied bucket, tightest first.

        A bucket yields up to ``per_bucket`` workers, but only the first that
        fits when it is at the level of the request, where some may not fit.
        """
        cores_level = grid_level(shape.cores_m)
        memory_level = grid_level(shape.memory_mb)
        for accelerators in self._accelerator_counts:
            if accelerators < shape.accelerators:
                continue
            mask = self._row_mask[accelerators] >> cores_level << cores_level
            while mask:
                level = (mask & -mask).bit_length() - 1
                mask = mask & (mask - 1)
                yield from self._candidates_in_row(
                    shape,
                    _row_of(accelerators, level),
                    memory_level,
                    per_bucket if level > cores_level else 0,
                )

    def _candidates_in_row(
        self, shape: TaskShape, row: int, memory_level: int, per_bucket: int
    ) -> typing.Iterator[Worker]:
        mask = self._column_mask[row] >> memory_level << memory_level
        while mask:
            column = (mask & -mask).bit_length() - 1
            mask = mask & (mask - 1)
            members = self._workers_by_bucket[row << _LEVEL_BITS | column]
            if per_bucket and column > memory_level:
                yield from itertools.islice(members.values(), per_bucket)
                continue
            fitting = _first_fitting(members, shape)
            if fitting is not None:
                yield fitting

    def _mark_occupied(self, row: int, column: int) -> None:
        self._column_mask[row] = self._column_mask.get(row, 0) | (1 << column)
        accelerators = row >> _LEVEL_BITS
        level = row & _LEVEL_MASK
        if accelerators not in self._row_mask:
            self._row_mask[accelerators] = 0
            self._accelerator_counts = tuple(sorted(self._row_mask))
        self._row_mask[accelerators] |= 1 << level

    def _remove_from_bucket(self, worker_id: WorkerId, bucket: int) -> None:
        members = self._workers_by_bucket[bucket]
        members.pop(worker_id, None)
        if members:
            return
        self._workers_by_bucket.pop(bucket)
        row = bucket >> _LEVEL_BITS
        columns = self._column_mask[row] & ~(1 << (bucket & _LEVEL_MASK))
        if columns:
            self._column_mask[row] = columns
            return
        self._column_mask.pop(row)
        accelerators = row >> _LEVEL_BITS
        levels = self._row_mask[accelerators] & ~(1 << (row & _LEVEL_MASK))
        if levels:
            self._row_mask[accelerators] = levels
        else:
            self._row_mask.pop(accelerators)
            self._accelerator_counts = tuple(sorted(self._row_mask))


def _row_of(accelerators: int, cores_level: int) -> int:
    return max(accelerators, 0) << _LEVEL_BITS | cores_level


def _first_fitting(
    members: dict[WorkerId, Worker], shape: TaskShape
) -> Worker | None:
    for tried_count, worker in enumerate(members.values()):
        if worker.fits(shape):
            return worker
        if tried_count >= _MAX_EDGE_PROBES:
            return None
    return None
