"""Finds a worker with room in time that does not grow with their number.

Workers lie in a grid by the logarithm of their free cores and memory, four
steps to a doubling.  Bit masks tell which cells of the grid are occupied,
so the tightest cell that surely fits is found with a few operations.
"""

import itertools
import typing

from cassiahold.core.ids import WorkerId
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker

_STEPS_BITS: typing.Final = 2  # four steps to a doubling
_EDGE_PROBES: typing.Final = 12  # workers tried where only some may fit
_LEVEL_BITS: typing.Final = 8  # a level is less than 256
_LEVEL_MASK: typing.Final = 255


def level_of(amount: int) -> int:
    """Return the grid level of an amount; it never falls as amounts grow."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= _STEPS_BITS:
        return amount
    step = (amount >> (bits - 1 - _STEPS_BITS)) & ((1 << _STEPS_BITS) - 1)
    return (bits << _STEPS_BITS) | step


class CapacityIndex:
    """Workers of one class by what they have free."""

    def __init__(self) -> None:
        self._cell_by_worker: dict[WorkerId, int] = {}
        self._workers_by_cell: dict[int, dict[WorkerId, Worker]] = {}
        # Masks of occupied rows by accelerators, of columns by row.
        self._row_mask: dict[int, int] = {}
        self._accelerators: tuple[int, ...] = ()
        self._column_mask: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._cell_by_worker)

    def put(self, worker: Worker) -> None:
        """Add a worker or move it to where it belongs now."""
        row = _row(worker.free_accelerators, level_of(worker.free_cores_m))
        column = level_of(worker.free_memory_mb)
        cell = row << _LEVEL_BITS | column
        old = self._cell_by_worker.get(worker.id)
        if old == cell:
            return
        if old is not None:
            self._leave(worker.id, old)
        self._cell_by_worker[worker.id] = cell
        members = self._workers_by_cell.get(cell)
        if members is None:
            members = {}
            self._workers_by_cell[cell] = members
            self._mark(row, column)
        members[worker.id] = worker

    def drop(self, worker_id: WorkerId) -> None:
        """Take a worker out; unknown ones are ignored."""
        cell = self._cell_by_worker.pop(worker_id, None)
        if cell is not None:
            self._leave(worker_id, cell)

    def find(self, shape: TaskShape) -> Worker | None:
        """Return a worker with room, preferring a tight fit.

        Does what the first of ``candidates`` does, without the cost of
        generators, since most placements come this way.
        """
        cores_level = level_of(shape.cores_m)
        memory_level = level_of(shape.memory_mb)
        for accelerators in self._accelerators:
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
        self, shape: TaskShape, row: int, memory_level: int, sure_above: int
    ) -> Worker | None:
        columns = self._column_mask[row] >> memory_level << memory_level
        while columns:
            column = (columns & -columns).bit_length() - 1
            columns = columns & (columns - 1)
            members = self._workers_by_cell[row << _LEVEL_BITS | column]
            if column > sure_above:
                return next(iter(members.values()))
            found = _first_fitting(members, shape)
            if found is not None:
                return found
        return None

    def candidates(
        self, shape: TaskShape, per_cell: int = 1
    ) -> typing.Iterator[Worker]:
        """Yield fitting workers of each occupied cell, tightest first."""
        cores_level = level_of(shape.cores_m)
        memory_level = level_of(shape.memory_mb)
        for accelerators in self._accelerators:
            if accelerators < shape.accelerators:
                continue
            mask = self._row_mask[accelerators] >> cores_level << cores_level
            while mask:
                level = (mask & -mask).bit_length() - 1
                mask = mask & (mask - 1)
                yield from self._in_row(
                    shape,
                    _row(accelerators, level),
                    memory_level,
                    per_cell if level > cores_level else 0,
                )

    def _in_row(
        self, shape: TaskShape, row: int, memory_level: int, per_cell: int
    ) -> typing.Iterator[Worker]:
        mask = self._column_mask[row] >> memory_level << memory_level
        while mask:
            column = (mask & -mask).bit_length() - 1
            mask = mask & (mask - 1)
            members = self._workers_by_cell[row << _LEVEL_BITS | column]
            if per_cell and column > memory_level:
                yield from itertools.islice(members.values(), per_cell)
                continue
            fitting = _first_fitting(members, shape)
            if fitting is not None:
                yield fitting

    def _mark(self, row: int, column: int) -> None:
        self._column_mask[row] = self._column_mask.get(row, 0) | (1 << column)
        accelerators = row >> _LEVEL_BITS
        level = row & _LEVEL_MASK
        if accelerators not in self._row_mask:
            self._row_mask[accelerators] = 0
            self._accelerators = tuple(sorted(self._row_mask))
        self._row_mask[accelerators] |= 1 << level

    def _leave(self, worker_id: WorkerId, cell: int) -> None:
        members = self._workers_by_cell[cell]
        members.pop(worker_id, None)
        if members:
            return
        self._workers_by_cell.pop(cell)
        row = cell >> _LEVEL_BITS
        columns = self._column_mask[row] & ~(1 << (cell & _LEVEL_MASK))
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
            self._accelerators = tuple(sorted(self._row_mask))


def _row(accelerators: int, cores_level: int) -> int:
    return max(accelerators, 0) << _LEVEL_BITS | cores_level


def _first_fitting(
    members: dict[WorkerId, Worker], shape: TaskShape
) -> Worker | None:
    for tried, worker in enumerate(members.values()):
        if worker.fits(shape):
            return worker
        if tried >= _EDGE_PROBES:
            return None
    return None
