"""Live requests: queueing at high load, and goodput far above capacity."""

import collections
import heapq
import random
import typing

import msgspec

from cassiahold.bench.experiments.baselines import RandomTarget, RoundRobin
from cassiahold.bench.experiments.rows import (
    Row,
    at_least,
    at_most,
    percentile,
)
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.dispatcher import Dispatcher, SlotGrant, SlotRequest

SERVICE: typing.Final = ServiceName('prices')
TEAM: typing.Final = TeamName('red')


class LiveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets."""

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


class _Targets:
    """Speeds of the targets: the slowest takes ``slowest`` times as long."""

    def __init__(self, settings: LiveSettings) -> None:
        last = settings.targets - 1
        self.work_s = [
            settings.work_s * (1 + (settings.slowest - 1) * number / last)
            for number in range(settings.targets)
        ]
        self.slots = settings.slots

    @property
    def rate(self) -> float:
        """Return the requests a second that all targets can serve."""
        return sum(self.slots / work_s for work_s in self.work_s)


def run(settings: LiveSettings) -> list[Row]:
    """Measure queueing against simple choices, and overload."""
    ours = _Run(settings, settings.load).dispatch()
    robin = _baseline(settings, RoundRobin(settings.targets).choose)
    chance = _baseline(
        settings, RandomTarget(settings.targets, settings.seed).choose
    )
    peak = _Run(settings, 1.0).dispatch()
    over = _Run(settings, settings.overload).dispatch()
    naive = _unbounded(settings)
    return [
        at_most(
            'queueing p99, part of round robin',
            percentile(ours.queued, 0.99) / percentile(robin, 0.99),
            settings.target_queueing,
            'times',
            'random target',
            percentile(chance, 0.99) / percentile(robin, 0.99),
        ),
        at_least(
            f'goodput at {settings.overload:g} times capacity, of the peak',
            over.good / peak.good * 100,
            settings.target_goodput * 100,
            '%',
            'unbounded queue',
            naive / peak.good * 100,
        ),
        at_most(
            'refusals told at once, p99 of the wait before one',
            percentile(over.refused_after, 0.99),
            settings.deadline_s,
            's',
        ),
    ]


class _Run:
    """The real dispatcher over simulated targets."""

    def __init__(self, settings: LiveSettings, load: float) -> None:
        self._settings = settings
        self._targets = _Targets(settings)
        self._random = random.Random(settings.seed)
        self._rate = self._targets.rate * load
        self.queued: list[float] = []
        self.refused_after: list[float] = []
        self.good = 0
        self._now = 0.0
        self._number = 0
        self._ends: list[tuple[float, int, SlotRequest, float]] = []
        self._dispatcher = Dispatcher(200, self._decided)
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
        # Targets are warm when the measurement begins.
        self._dispatcher.renew_grants(grants, float('inf'), -60.0)

    def dispatch(self) -> '_Run':
        """Play arrivals and ends in order of time."""
        arrival = 0.0
        tick = 0.0
        while self._now < self._settings.measure_s:
            end = self._ends[0][0] if self._ends else float('inf')
            self._now = min(arrival, end, tick)
            if self._now == tick:
                tick += 0.05
                self._dispatcher.tick(self._now)
            elif self._now == end:
                self._finish()
            else:
                arrival += self._random.expovariate(self._rate)
                deadline = self._now + self._settings.deadline_s
                self._dispatcher.submit(
                    SlotRequest(SERVICE, TEAM, deadline, self._now), self._now
                )
        return self

    def _decided(self, ticket: SlotRequest) -> None:
        if ticket.endpoint is None:
            self.refused_after.append(self._now - ticket.arrived_at)
            return
        self.queued.append(self._now - ticket.arrived_at)
        work_s = self._targets.work_s[int(ticket.endpoint.target)]
        took_s = self._random.expovariate(1 / work_s)
        self._number += 1
        heapq.heappush(
            self._ends, (self._now + took_s, self._number, ticket, took_s)
        )

    def _finish(self) -> None:
        _, _, ticket, took_s = heapq.heappop(self._ends)
        if ticket.endpoint is None:
            return
        if self._now <= ticket.deadline:
            self.good += 1
        self._dispatcher.complete(
            SERVICE, ticket.endpoint, self._now, latency_s=took_s
        )


def _baseline(
    settings: LiveSettings, choose: typing.Callable[[], int]
) -> list[float]:
    """Return queueing when each target has a queue of its own."""
    targets = _Targets(settings)
    generator = random.Random(settings.seed)
    free_at = [[0.0] * settings.slots for _ in range(settings.targets)]
    queued = []
    now = 0.0
    while now < settings.measure_s:
        now += generator.expovariate(targets.rate * settings.load)
        target = choose()
        slot = heapq.heappop(free_at[target])
        begins = max(now, slot)
        queued.append(begins - now)
        took_s = generator.expovariate(1 / targets.work_s[target])
        heapq.heappush(free_at[target], begins + took_s)
    return queued


def _unbounded(settings: LiveSettings) -> int:
    """Return the goodput of one queue that never refuses."""
    targets = _Targets(settings)
    generator = random.Random(settings.seed)
    waiting: collections.deque[float] = collections.deque()
    free = [
        (0.0, target)
        for target in range(settings.targets)
        for _ in range(settings.slots)
    ]
    heapq.heapify(free)
    good = 0
    now = 0.0
    while now < settings.measure_s:
        now += generator.expovariate(targets.rate * settings.overload)
        waiting.append(now)
        while waiting and free[0][0] <= now:
            at, target = heapq.heappop(free)
            arrived = waiting.popleft()
            begins = max(at, arrived)
            ends = begins + generator.expovariate(1 / targets.work_s[target])
            good += ends - arrived <= settings.deadline_s
            heapq.heappush(free, (ends, target))
    return good
