"""Simulated time: a queue of events and the clocks of the cell's modules."""

import contextlib
import heapq
import itertools
import random
import typing
from unittest import mock

FIRST_TIME_S = 1000.0
UNIX_TIME_OFFSET_S = 1_000_000_000.0

_MODULES_WITH_CLOCK = (
    'service',
    'worker_polls',
    'attempt_ends',
    'tries',
    'reply_times',
)

Action = typing.Callable[[], typing.Any]


class Simulation:
    """Runs events in the order of their time; ``random`` is seeded.

    ``history`` contains one line for each recorded step.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = FIRST_TIME_S
        self.history: list[str] = []
        self._events: list[tuple[float, int, Action]] = []
        self._event_numbers = itertools.count()

    def read_clock(self) -> float:
        return self.now

    def unix_time_s(self) -> float:
        return UNIX_TIME_OFFSET_S + self.now

    def schedule(self, delay_s: float, action: Action) -> None:
        event = (self.now + delay_s, next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def run_for(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def record(self, text: str) -> None:
        self.history.append(f'{self.now - FIRST_TIME_S:8.3f} {text}')

    def chance(self, probability: float) -> bool:
        return self.random.random() < probability


@contextlib.contextmanager
def simulated_clocks(simulation: Simulation) -> typing.Iterator[None]:
    """Let the cell's modules read the simulated time."""
    with contextlib.ExitStack() as stack:
        for module in _MODULES_WITH_CLOCK:
            name = f'cassiahold.cell.{module}.boottime_s'
            stack.enter_context(mock.patch(name, simulation.read_clock))
        stack.enter_context(mock.patch('time.time', simulation.unix_time_s))
        yield
