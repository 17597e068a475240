"""A worker as the decisions see it."""

import enum

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape


class WorkerState(enum.Enum):
    """Whether a worker may be given tasks."""

    AVAILABLE = 'open'
    UNPROVEN = 'unproven'
    QUARANTINED = 'quarantined'
    DRAINING = 'draining'
    LOST = 'lost'


class Worker:
    """Capacity, what is free of it, and who holds the rest."""

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
        # Most attempts at once; None leaves it to the capacity.
        self.concurrency_limit: int | None = None
        # The gang that this worker is kept free for.
        self.reserved_for = ''
        self.allocation_by_key: dict[str, Resources] = {}
        self.overuse_by_key: dict[str, Resources] = {}
        self.free_cores_m = capacity.cores_m
        self.free_memory_mb = capacity.memory_mb
        self.free_accelerators = capacity.accelerators

    @property
    def free(self) -> Resources:
        """Return what is free; negative where over-used."""
        return Resources(
            self.free_cores_m, self.free_memory_mb, self.free_accelerators
        )

    @property
    def is_eligible(self) -> bool:
        """Tell whether new attempts may be placed at all."""
        if self.state not in _ELIGIBLE:
            return False
        return (
            self.concurrency_limit is None
            or len(self.allocation_by_key) < self.concurrency_limit
        )

    def fits(self, shape: TaskShape) -> bool:
        """Tell whether one task of the shape fits now."""
        return (
            shape.cores_m <= self.free_cores_m
            and shape.memory_mb <= self.free_memory_mb
            and shape.accelerators <= self.free_accelerators
        )

    def has_room_for(self, resources: Resources) -> bool:
        """Tell whether an amount is free now."""
        return (
            resources.cores_m <= self.free_cores_m
            and resources.memory_mb <= self.free_memory_mb
            and resources.accelerators <= self.free_accelerators
        )

    def allocate(self, key: str, resources: Resources) -> None:
        """Let an attempt hold a part."""
        self.allocation_by_key[key] = resources
        self._change_free(resources, -1)

    def release(self, key: str) -> None:
        """Take back what an attempt held; unknown ones are ignored."""
        resources = self.allocation_by_key.pop(key, None)
        if resources is not None:
            self._change_free(resources, 1)
        excess = self.overuse_by_key.pop(key, None)
        if excess is not None:
            self._change_free(excess, 1)

    def record_usage(self, key: str, used: Resources) -> None:
        """Count what an attempt uses beyond what it holds."""
        held = self.allocation_by_key.get(key)
        if held is None:
            return
        old = self.overuse_by_key.pop(key, None)
        if old is not None:
            self._change_free(old, 1)
        excess = used.elementwise_max(held) - held
        if excess.cores_m or excess.memory_mb or excess.accelerators:
            self.overuse_by_key[key] = excess
            self._change_free(excess, -1)

    def _change_free(self, resources: Resources, sign: int) -> None:
        self.free_cores_m += sign * resources.cores_m
        self.free_memory_mb += sign * resources.memory_mb
        self.free_accelerators += sign * resources.accelerators


_ELIGIBLE = frozenset((WorkerState.AVAILABLE, WorkerState.UNPROVEN))
