"""Load of the cell, for logs and metrics."""

import collections
import typing

import msgspec

from cassiahold.core.ids import QueueName, WorkerId
from cassiahold.workflows.state import WorkflowState


class CellLoad(msgspec.Struct, frozen=True):
    """Cores of the usable workers and number of waiting steps by queue.

    Cores are in thousandths of a core.
    """

    cores_m: int
    allocated_cores_m: int
    waiting_by_queue: dict[QueueName, int]


def measure_load(
    state: WorkflowState, usable: typing.Collection[WorkerId]
) -> CellLoad:
    """Return the current load, counting only the usable workers."""
    workers = [
        worker
        for worker in state.worker_by_id.values()
        if worker.info.id in usable
    ]
    return CellLoad(
        sum(worker.info.capacity.cores_m for worker in workers),
        sum(worker.allocated.cores_m for worker in workers),
        collections.Counter(
            state.job_by_id[key.job].queue for key in state.waiting_steps()
        ),
    )
