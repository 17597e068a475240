"""All-at-once placement and the reservations that keep gangs from starving."""

import typing

from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.worker_pool import ANY, Wish, WorkerPool
from cassiahold.policy.workers import Worker


class Placement(typing.NamedTuple):
    """One task of a gang and its worker."""

    task: int
    worker: Worker


def place_gang(
    cell: WorkerPool,
    job: WaitingJob,
    key_of: typing.Callable[[int], str],
    *,
    is_held: bool = False,
) -> list[Placement] | None:
    """Place every waiting task of a gang, or none.

    On success the cell holds the places; on failure it is unchanged.
    """
    placed: list[Placement] = []
    wish = Wish(gang=job.id) if is_held else ANY
    resources = job.shape.resources
    for index in job.pending_indexes:
        worker = cell.find_worker(job.shape, wish)
        if worker is None:
            for placement in placed:
                cell.release(placement.worker, key_of(placement.task))
            return None
        cell.allocate(worker, key_of(index), resources)
        placed.append(Placement(index, worker))
    return placed
