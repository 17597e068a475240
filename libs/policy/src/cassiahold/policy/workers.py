"""A worker as the planner sees it: capacity, allocations, eligibility."""

import enum

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape


class WorkerState(enum.Enum):
    """Whether a worker may get new tasks.

    AVAILABLE and UNPROVEN workers may, the latter only a few at a time.
    """

    AVAILABLE = 'open'
    UNPROVEN = 'unproven'
    QUARANTINED = 'quarantined'
    DRAINING = 'draining'
    LOST = 'lost'


class Worker:
    """A worker's capacity, the part of it that is free, and its allocations.

    The free amounts are negative where running attempts use more than the
    worker has.
    """

    __slots__ = (
        'capacity',
        'overuse_by_key',
        'free_accelerators',
        'free_cores_m',
        'free_memory_mb',
        'reserved_for',
        'allocation_by_key',
        'id',
        'rack',
        'concurrency_limit',
        'is_on_trial',
        'speed',
        'state',
        'worker_class',
    )

    def __init__(
        self,
        worker_id: WorkerId,
        capacity: Resources,
        worker_class: str = '',
        rack: str = '',
        speed: float = 1.0,
    ) -> None:
        self.id = worker_id
        self.capacity = capacity
        self.worker_class = worker_class
        self.rack = rack
        self.speed = speed
        self.state = WorkerState.AVAILABLE
        # Maximum number of attempts at once; None for no limit but capacity.
        self.concurrency_limit: int | None = None
        # Whether a task that may crash the worker is to start there alone.
        self.is_on_trial = False
        # Id of the job that this worker is reserved for, empty if none.
        self.reserved_for = ''
        self.allocation_by_key: dict[str, Resources] = {}
        self.overuse_by_key: dict[str, Resources] = {}
        self.free_cores_m = capacity.cores_m
        self.free_memory_mb = capacity.memory_mb
        self.free_accelerators = capacity.accelerators

    @property
    def free(self) -> Resources:
        """Return the free capacity, negative where it is overused."""
        return Resources(
            self.free_cores_m, self.free_memory_mb, self.free_accelerators
        )

    @property
    def is_eligible(self) -> bool:
        """Tell whether the worker may get any new attempts if they fit."""
        return self.accepts_attempts and not self.is_on_trial

    @property
    def accepts_attempts(self) -> bool:
        """Tell whether a task on trial may start if it fits."""
        if not self.is_usable:
            return False
        return (
            self.concurrency_limit is None
            or len(self.allocation_by_key) < self.concurrency_limit
        )

    @property
    def is_usable(self) -> bool:
        """Tell whether the worker gets tasks at all, now or as others end."""
        return self.state in _ELIGIBLE_STATES

    def fits(self, shape: TaskShape) -> bool:
        """Tell whether a task of the shape fits in the free capacity."""
        return (
            shape.cores_m <= self.free_cores_m
            and shape.memory_mb <= self.free_memory_mb
            and shape.accelerators <= self.free_accelerators
        )

    def has_free(self, resources: Resources) -> bool:
        """Tell whether the resources are free now."""
        return (
            resources.cores_m <= self.free_cores_m
            and resources.memory_mb <= self.free_memory_mb
            and resources.accelerators <= self.free_accelerators
        )

    def allocate(self, key: str, resources: Resources) -> None:
        """Allocate resources under a key, without a check that they fit."""
        self.allocation_by_key[key] = resources
        self._change_free(resources, -1)

    def release(self, key: str) -> None:
        """Release an allocation and its overuse; unknown keys are ignored."""
        resources = self.allocation_by_key.pop(key, None)
        if resources is not None:
            self._change_free(resources, 1)
        overuse = self.overuse_by_key.pop(key, None)
        if overuse is not None:
            self._change_free(overuse, 1)

    def record_usage(self, key: str, used: Resources) -> None:
        """Count what a task uses beyond its allocation as not free.

        Replaces the overuse recorded before; unknown keys are ignored.
        """
        allocated = self.allocation_by_key.get(key)
        if allocated is None:
            return
        previous = self.overuse_by_key.pop(key, None)
        if previous is not None:
            self._change_free(previous, 1)
        overuse = used.elementwise_max(allocated) - allocated
        if overuse.cores_m or overuse.memory_mb or overuse.accelerators:
            self.overuse_by_key[key] = overuse
            self._change_free(overuse, -1)

    def _change_free(self, resources: Resources, sign: int) -> None:
        self.free_cores_m += sign * resources.cores_m
        self.free_memory_mb += sign * resources.memory_mb
        self.free_accelerators += sign * resources.accelerators


_ELIGIBLE_STATES = frozenset((WorkerState.AVAILABLE, WorkerState.UNPROVEN))
