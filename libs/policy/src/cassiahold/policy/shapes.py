"""What one task asks of a worker."""

import typing

from cassiahold.core.resources import Resources


class TaskShape(typing.NamedTuple):
    """Tasks of equal shape fit on the same workers."""

    cores_m: int
    memory_mb: int
    accelerators: int = 0
    worker_class: str = ''
    avoid_class: str = ''

    @property
    def resources(self) -> Resources:
        """Return the amounts."""
        return Resources(self.cores_m, self.memory_mb, self.accelerators)

    def resized(self, resources: Resources) -> 'TaskShape':
        """Return the shape with other amounts."""
        return self._replace(
            cores_m=resources.cores_m,
            memory_mb=resources.memory_mb,
            accelerators=resources.accelerators,
        )

    def suits(self, worker_class: str) -> bool:
        """Tell whether a class of workers may run tasks of the shape."""
        if self.worker_class:
            return self.worker_class == worker_class
        return not self.avoid_class or self.avoid_class != worker_class
