"""Simple scheduling policies and a task mix for comparison measurements."""

import random
import typing

from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker


class FirstFit:
    """Places tasks in order of arrival by scanning the workers in order."""

    def __init__(self, workers: typing.Sequence[Worker]) -> None:
        self._workers = list(workers)

    def place(self, shape: TaskShape, key: str) -> Worker | None:
        """Allocate the task on the first worker that fits it.

        Returns ``None`` if no worker fits it.
        """
        for worker in self._workers:
            if worker.fits(shape):
                worker.allocate(key, shape.resources)
                return worker
        return None


class RoundRobin:
    """Chooses targets in turn; each target has a queue of its own."""

    def __init__(self, target_count: int) -> None:
        self._target_count = target_count
        self._next_target = 0

    def choose_target(self) -> int:
        """Return the index of the next target."""
        self._next_target = (self._next_target + 1) % self._target_count
        return self._next_target


class RandomTarget:
    """Chooses a target uniformly at random for each request."""

    def __init__(self, target_count: int, seed: int) -> None:
        self._target_count = target_count
        self._random = random.Random(seed)

    def choose_target(self) -> int:
        """Return the index of a random target."""
        return self._random.randrange(self._target_count)


def generate_task_sizes(
    generator: random.Random, count: int
) -> typing.Iterator[Resources]:
    """Yield random task sizes.

    60% are small and 25% large, with 1 to 3 MB for each millicore.  The rest
    need much memory for few cores.
    """
    for _ in range(count):
        size_class = generator.random()
        if size_class < 0.6:
            cores = generator.choice((250, 500, 1000, 2000))
            yield Resources(cores, int(cores * generator.uniform(1, 3)))
        elif size_class < 0.85:
            cores = generator.choice((4000, 8000))
            yield Resources(cores, int(cores * generator.uniform(1, 3)))
        else:
            yield Resources(
                generator.choice((500, 1000)), generator.randrange(4000, 16000)
            )
