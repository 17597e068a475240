"""Live requests: queueing at high load, and goodput in overload."""

import collections
import heapq
import random
import typing

import msgspec

from cassiahold.bench.experiments.baselines import RandomTarget, RoundRobin
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
    expect_at_most,
    percentile,
)
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.slots import SlotGrant, SlotRequest

SERVICE: typing.Final = ServiceName('prices')
TEAM: typing.Final = TeamName('red')


class LiveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    ``load`` and ``overload`` are multiples of the capacity.  ``slowest`` is
    the factor by which the slowest target is slower than the fastest.
    ``target_queueing`` is relative to round robin, ``target_goodput`` to the
    goodput at full load.
    """

    targets: int
    slots: int
    work_s: float
    slowest: float
    load: float
    overload: float
    deadline_s: float
    measure_s: float
    target_queueing: float
    target_goodput: float
    seed: int


class _SimulatedTargets:
    """Targets whose mean work time rises evenly up to ``slowest`` times."""

    def __init__(self, settings: LiveSettings) -> None:
        last = settings.targets - 1
        self.mean_work_s_by_target = [
            settings.work_s * (1 + (settings.slowest - 1) * number / last)
            for number in range(settings.targets)
        ]
        self.slots_per_target = settings.slots

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all targets together can serve."""
        return sum(
            self.slots_per_target / work_s
            for work_s in self.mean_work_s_by_target
        )


def run(settings: LiveSettings) -> list[BenchmarkResult]:
    """Measure queueing against simple policies, and goodput in overload."""
    dispatched = _DispatcherSimulation(settings, settings.load).simulate()
    round_robin_s = _measure_separate_queues(
        settings, RoundRobin(settings.targets).choose_target
    )
    random_target_s = _measure_separate_queues(
        settings, RandomTarget(settings.targets, settings.seed).choose_target
    )
    peak = _DispatcherSimulation(settings, 1.0).simulate()
    overloaded = _DispatcherSimulation(settings, settings.overload).simulate()
    unbounded_good_count = _count_good_unbounded(settings)
    return [
        expect_at_most(
            'queueing p99, part of round robin',
            percentile(dispatched.queueing_s, 0.99)
            / percentile(round_robin_s, 0.99),
            settings.target_queueing,
            'times',
            'random target',
            percentile(random_target_s, 0.99) / percentile(round_robin_s, 0.99),
        ),
        expect_at_least(
            f'goodput at {settings.overload:g} times capacity, of the peak',
            overloaded.good_count / peak.good_count * 100,
            settings.target_goodput * 100,
            '%',
            'unbounded queue',
            unbounded_good_count / peak.good_count * 100,
        ),
        expect_at_most(
            'refusals told at once, p99 of the wait before one',
            percentile(overloaded.refusal_wait_s, 0.99),
            settings.deadline_s,
            's',
        ),
    ]


class _DispatcherSimulation:
    """The real dispatcher over simulated targets, in simulated time."""

    def __init__(self, settings: LiveSettings, load: float) -> None:
        self._settings = settings
        self._targets = _SimulatedTargets(settings)
        self._random = random.Random(settings.seed)
        self._arrivals_per_s = self._targets.capacity_per_s * load
        self.queueing_s: list[float] = []
        self.refusal_wait_s: list[float] = []
        self.good_count = 0
        self._now = 0.0
        self._last_number = 0
        self._end_events: list[tuple[float, int, SlotRequest, float]] = []
        self._dispatcher = Dispatcher(200, self._handle_decision)
        grants = [
            SlotGrant(
                TargetId(str(number)),
                1,
                SERVICE,
                'address',
                settings.slots,
                60,
            )
            for number in range(settings.targets)
        ]
        # Granted 60 s in the past, so that the targets are warmed up.
        self._dispatcher.renew_grants(grants, float('inf'), -60.0)

    def simulate(self) -> '_DispatcherSimulation':
        """Process arrivals and ends in order of time; return itself."""
        next_arrival_at = 0.0
        next_tick_at = 0.0
        while self._now < self._settings.measure_s:
            next_end_at = (
                self._end_events[0][0] if self._end_events else float('inf')
            )
            self._now = min(next_arrival_at, next_end_at, next_tick_at)
            if self._now == next_tick_at:
                next_tick_at += 0.05
                self._dispatcher.tick(self._now)
            elif self._now == next_end_at:
                self._complete_next_request()
            else:
                next_arrival_at += self._random.expovariate(
                    self._arrivals_per_s
                )
                deadline = self._now + self._settings.deadline_s
                self._dispatcher.submit(
                    SlotRequest(SERVICE, TEAM, deadline, self._now), self._now
                )
        return self

    def _handle_decision(self, request: SlotRequest) -> None:
        if request.endpoint is None:
            self.refusal_wait_s.append(self._now - request.arrived_at)
            return
        self.queueing_s.append(self._now - request.arrived_at)
        work_s = self._targets.mean_work_s_by_target[
            int(request.endpoint.target)
        ]
        elapsed_s = self._random.expovariate(1 / work_s)
        self._last_number += 1
        heapq.heappush(
            self._end_events,
            (self._now + elapsed_s, self._last_number, request, elapsed_s),
        )

    def _complete_next_request(self) -> None:
        _, _, ticket, elapsed_s = heapq.heappop(self._end_events)
        if ticket.endpoint is None:
            return
        if self._now <= ticket.deadline:
            self.good_count += 1
        self._dispatcher.complete(
            SERVICE, ticket.endpoint, self._now, latency_s=elapsed_s
        )


def _measure_separate_queues(
    settings: LiveSettings, choose_target: typing.Callable[[], int]
) -> list[float]:
    """Return the queueing times if each target has its own queue."""
    targets = _SimulatedTargets(settings)
    generator = random.Random(settings.seed)
    free_at = [[0.0] * settings.slots for _ in range(settings.targets)]
    queueing_s = []
    now = 0.0
    while now < settings.measure_s:
        now += generator.expovariate(targets.capacity_per_s * settings.load)
        target = choose_target()
        slot_free_at = heapq.heappop(free_at[target])
        starts_at = max(now, slot_free_at)
        queueing_s.append(starts_at - now)
        elapsed_s = generator.expovariate(
            1 / targets.mean_work_s_by_target[target]
        )
        heapq.heappush(free_at[target], starts_at + elapsed_s)
    return queueing_s


def _count_good_unbounded(settings: LiveSettings) -> int:
    """Return how many requests meet the deadline in an unbounded queue."""
    targets = _SimulatedTargets(settings)
    generator = random.Random(settings.seed)
    waiting: collections.deque[float] = collections.deque()
    free_slots = [
        (0.0, target)
        for target in range(settings.targets)
        for _ in range(settings.slots)
    ]
    heapq.heapify(free_slots)
    good_count = 0
    now = 0.0
    while now < settings.measure_s:
        now += generator.expovariate(targets.capacity_per_s * settings.overload)
        waiting.append(now)
        while waiting and free_slots[0][0] <= now:
            free_at, target = heapq.heappop(free_slots)
            arrived = waiting.popleft()
            starts_at = max(free_at, arrived)
            ends_at = starts_at + generator.expovariate(
                1 / targets.mean_work_s_by_target[target]
            )
            good_count += ends_at - arrived <= settings.deadline_s
            heapq.heappush(free_slots, (ends_at, target))
    return good_count
