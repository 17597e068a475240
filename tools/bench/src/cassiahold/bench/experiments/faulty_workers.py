"""Starts lost to workers that fail every task."""

import heapq
import random
import typing

import msgspec

from cassiahold.bench.experiments.results import BenchmarkResult, expect_at_most
from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.decisions import task_key
from cassiahold.policy.failure_tracking import HEALTHY_START_S
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker, WorkerState

WORKER_CAPACITY: typing.Final = Resources(16_000, 32_000, 0)
TASK_SHAPE: typing.Final = TaskShape(1000, 2000)
TEAMS: typing.Final = tuple(TeamName(f't{number}') for number in range(5))


class FaultyWorkersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    Attributes:
        bad_part: Probability that a worker is bad.
        measure_s: Simulated duration.
        run_s: Mean duration of a task on a good worker.
        fails_after_s: Time until a task fails on a bad worker.
        target_before_quarantine: Most starts that one bad worker may get
            before its quarantine.
        target_lost_part: Largest fraction of all starts lost.
    """

    workers: int
    bad_part: float
    measure_s: float
    run_s: float
    fails_after_s: float
    target_before_quarantine: float
    target_lost_part: float
    seed: int


def run(settings: FaultyWorkersSettings) -> list[BenchmarkResult]:
    """Compare lost starts with and without failure tracking.

    Some workers fail every task shortly after its start.
    """
    tracked = _Simulation(settings, uses_failure_tracking=True).simulate()
    untracked = _Simulation(settings, uses_failure_tracking=False).simulate()
    return [
        expect_at_most(
            'starts lost to one bad worker before its quarantine, worst',
            float(max(tracked.lost_starts_before_quarantine.values())),
            settings.target_before_quarantine,
            'starts',
        ),
        expect_at_most(
            f'starts lost, {settings.bad_part:.0%} of the workers bad',
            tracked.lost_start_count / tracked.start_count * 100,
            settings.target_lost_part * 100,
            '%',
            'without blame',
            untracked.lost_start_count / untracked.start_count * 100,
        ),
        expect_at_most(
            'good workers in quarantine at the end',
            float(tracked.count_good_quarantined()),
            0.0,
            'workers',
        ),
    ]


class _Simulation:
    """A full cell in simulated time, with bad workers among good ones."""

    def __init__(
        self, settings: FaultyWorkersSettings, *, uses_failure_tracking: bool
    ) -> None:
        self._settings = settings
        self._uses_failure_tracking = uses_failure_tracking
        self._random = random.Random(settings.seed)
        self.planner = Planner(settings.seed)
        self.start_count = 0
        self.lost_start_count = 0
        self._last_number = 0
        self._end_events: list[tuple[float, int, JobId, WorkerId]] = []
        self.bad_workers: set[WorkerId] = set()
        for number in range(settings.workers):
            worker = WorkerId(f'w{number}')
            self.planner.worker_pool.add(Worker(worker, WORKER_CAPACITY))
            self.planner.failure_tracker.add_worker(worker)
            self._update_worker_state(worker)
            if self._random.random() < settings.bad_part:
                self.bad_workers.add(worker)
        self.lost_starts_before_quarantine: dict[WorkerId, int] = dict.fromkeys(
            self.bad_workers, 0
        )
        self._ever_quarantined: set[WorkerId] = set()
        limit = WORKER_CAPACITY * settings.workers
        for team in TEAMS:
            self.planner.limits_by_team[team] = TeamLimits(1.0, limit, 10**6)

    def simulate(self) -> '_Simulation':
        """Keep the cell full for ``measure_s`` and return itself."""
        now = 0.0
        while now < self._settings.measure_s:
            now += 0.05
            self._fill_queue(now)
            for worker in self.planner.failure_tracker.end_expired_quarantines(
                now
            ):
                self._update_worker_state(worker)
            self._record_healthy_start(now)
            while self._end_events and self._end_events[0][0] <= now:
                self._end_task(heapq.heappop(self._end_events), now)
            for group in self.planner.plan(now).start_groups:
                for start in group:
                    self._start_task(start.job, start.worker, now)
        return self

    def count_good_quarantined(self) -> int:
        """Return how many good workers are in quarantine now."""
        return sum(
            worker.state is WorkerState.QUARANTINED
            and worker.id not in self.bad_workers
            for worker in self.planner.worker_pool.worker_by_id.values()
        )

    def _record_healthy_start(self, now: float) -> None:
        # The oldest running task is known from the worker reports.
        oldest_task = next(iter(self.planner.task_by_key.values()), None)
        if (
            oldest_task is not None
            and now - oldest_task.started_at >= HEALTHY_START_S
        ):
            self.planner.failure_tracker.record_healthy_start(
                oldest_task.team, oldest_task.name
            )

    def _fill_queue(self, now: float) -> None:
        while len(self.planner.waiting_jobs.job_by_id) < 200:
            self._last_number += 1
            team = self._random.choice(TEAMS)
            job = WaitingJob(
                JobId(f'j{self._last_number}'),
                team,
                TASK_SHAPE,
                now,
                name='work',
            )
            self.planner.waiting_jobs.add_task(job, 0)

    def _start_task(self, job: JobId, worker: WorkerId, now: float) -> None:
        self.start_count += 1
        duration_s = self._settings.run_s * self._random.uniform(0.5, 1.5)
        if worker in self.bad_workers:
            self.lost_start_count += 1
            duration_s = self._settings.fails_after_s
            if worker not in self._ever_quarantined:
                self.lost_starts_before_quarantine[worker] += 1
        # 0.5 s for a start and its end to travel with a report each.
        self._last_number += 1
        heapq.heappush(
            self._end_events,
            (now + duration_s + 0.5, self._last_number, job, worker),
        )

    def _end_task(
        self, event: tuple[float, int, JobId, WorkerId], now: float
    ) -> None:
        _, _, job, worker = event
        task = self.planner.record_end(task_key(job, 0))
        if task is None:
            return
        if worker in self.bad_workers:
            self._last_number += 1
            retry = WaitingJob(job, task.team, TASK_SHAPE, now, name='work')
            self.planner.waiting_jobs.add_task(retry, 0)
        if not self._uses_failure_tracking:
            return
        tracker = self.planner.failure_tracker
        if worker in self.bad_workers:
            assessment = tracker.record_failure(worker, task.team, 'work', now)
            if assessment.is_worker_quarantined:
                self._ever_quarantined.add(worker)
        else:
            tracker.record_success(worker, task.team, 'work')
        self._update_worker_state(worker)

    def _update_worker_state(self, worker_id: WorkerId) -> None:
        if not self._uses_failure_tracking:
            return
        worker = self.planner.worker_pool.worker_by_id[worker_id]
        worker.concurrency_limit = (
            self.planner.failure_tracker.concurrency_limit(worker_id)
        )
        worker.state = (
            WorkerState.QUARANTINED
            if worker.concurrency_limit == 0
            else WorkerState.AVAILABLE
        )
        self.planner.worker_pool.reindex(worker)
