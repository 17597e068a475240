"""All-at-once placement and the reservations that keep gangs from starving."""

import typing

from cassiahold.policy.cell import NO_PREFERENCE, Cell, PlacementPreference
from cassiahold.policy.waiting import WaitingJob
from cassiahold.policy.workers import Worker


class Placement(typing.NamedTuple):
    """One task of a gang and its worker."""

    task_index: int
    worker: Worker


def place_gang(
    worker_pool: Cell,
    job: WaitingJob,
    task_key_of: typing.Callable[[int], str],
    *,
    has_reservation: bool = False,
) -> list[Placement] | None:
    """Place every waiting task of a gang, or none.

    On success the cell holds the places; on failure it is unchanged.
    """
    placed: list[Placement] = []
    wish = (
        PlacementPreference(reservation_job=job.id)
        if has_reservation
        else NO_PREFERENCE
    )
    resources = job.shape.resources
    for index in job.pending:
        worker = worker_pool.find(job.shape, wish)
        if worker is None:
            for placement in placed:
                worker_pool.give_back(
                    placement.worker, task_key_of(placement.task_index)
                )
            return None
        worker_pool.take(worker, task_key_of(index), resources)
        placed.append(Placement(index, worker))
    return placed
