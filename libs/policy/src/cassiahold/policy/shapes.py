"""Task shapes: the resources and worker class that one task requests."""

import typing

from cassiahold.core.resources import Resources


class TaskShape(typing.NamedTuple):
    """The request of one task; tasks of equal shape fit on the same workers.

    ``worker_class`` is the only class that may run it, and ``avoid_class`` a
    class that may not; both are optional.
    """

    cores_m: int
    memory_mb: int
    accelerators: int = 0
    worker_class: str = ''
    avoid_class: str = ''

    @property
    def resources(self) -> Resources:
        """Return the requested resources without the worker classes."""
        return Resources(self.cores_m, self.memory_mb, self.accelerators)

    def with_resources(self, resources: Resources) -> 'TaskShape':
        """Return a copy that requests other resources."""
        return self._replace(
            cores_m=resources.cores_m,
            memory_mb=resources.memory_mb,
            accelerators=resources.accelerators,
        )

    def allows_class(self, worker_class: str) -> bool:
        """Tell whether workers of a class may run tasks of this shape."""
        if self.worker_class:
            return self.worker_class == worker_class
        return not self.avoid_class or self.avoid_class != worker_class
