"""Gang placement: all tasks of a gang start together or none does."""

import typing

from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.worker_pool import (
    NO_PREFERENCE,
    PlacementPreference,
    WorkerPool,
)
from cassiahold.policy.workers import Worker


class Placement(typing.NamedTuple):
    """The worker chosen for one task of a gang."""

    task_index: int
    worker: Worker


def place_gang(
    worker_pool: WorkerPool,
    job: WaitingJob,
    task_key_of: typing.Callable[[int], str],
    *,
    has_reservation: bool = False,
) -> list[Placement] | None:
    """Allocate a worker to every waiting task of a gang, or to none.

    Returns None, with the pool unchanged, when not all tasks fit.  With
    ``has_reservation`` the workers reserved for the job may be used.
    """
    placements: list[Placement] = []
    preference = (
        PlacementPreference(reservation_job=job.id)
        if has_reservation
        else NO_PREFERENCE
    )
    resources = job.shape.resources
    for index in job.pending_indexes:
        worker = worker_pool.find_worker(job.shape, preference)
        if worker is None:
            for placement in placements:
                worker_pool.release(
                    placement.worker, task_key_of(placement.task_index)
                )
            return None
        worker_pool.allocate(worker, task_key_of(index), resources)
        placements.append(Placement(index, worker))
    return placements
