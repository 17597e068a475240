"""Simple policies that stay in the tree to be measured against."""

import random
import typing

from cassiahold.core.resources import Resources
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.workers import Worker


class FirstFit:
    """Takes jobs in order of arrival and scans every worker in order."""

    def __init__(self, workers: typing.Sequence[Worker]) -> None:
        self._workers = list(workers)

    def place(self, shape: TaskShape, key: str) -> Worker | None:
        """Return the first worker with room, which then holds the task."""
        for worker in self._workers:
            if worker.fits(shape):
                worker.allocate(key, shape.resources)
                return worker
        return None


class RoundRobin:
    """Sends requests to targets in turn, each with a queue of its own."""

    def __init__(self, targets: int) -> None:
        self._targets = targets
        self._next = 0

    def choose(self) -> int:
        """Return the next target."""
        self._next = (self._next + 1) % self._targets
        return self._next


class RandomTarget:
    """Sends each request to any target."""

    def __init__(self, targets: int, seed: int) -> None:
        self._targets = targets
        self._random = random.Random(seed)

    def choose(self) -> int:
        """Return a random target."""
        return self._random.randrange(self._targets)


def sizes(generator: random.Random, count: int) -> typing.Iterator[Resources]:
    """Yield mixed task sizes: many small, some large, some lopsided."""
    for _ in range(count):
        kind = generator.random()
        if kind < 0.6:
            cores = generator.choice((250, 500, 1000, 2000))
            yield Resources(cores, int(cores * generator.uniform(1, 3)))
        elif kind < 0.85:
            cores = generator.choice((4000, 8000))
            yield Resources(cores, int(cores * generator.uniform(1, 3)))
        else:
            yield Resources(
                generator.choice((500, 1000)), generator.randrange(4000, 16000)
            )
