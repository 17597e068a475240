"""What workers that fail everything cost."""

import heapq
import random
import typing

import msgspec

from cassiahold.bench.experiments.rows import Row, at_most
from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.decisions import task_key
from cassiahold.policy.failure_tracking import HEALTHY_START_S
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker, WorkerState

SIZE: typing.Final = Resources(16_000, 32_000, 0)
SHAPE: typing.Final = TaskShape(1000, 2000)
TEAMS: typing.Final = tuple(TeamName(f't{number}') for number in range(5))


class FaultySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets."""

    workers: int
    bad_part: float
    measure_s: float
    run_s: float
    fails_after_s: float
    target_before_quarantine: float
    target_lost_part: float
    seed: int


def run(settings: FaultySettings) -> list[Row]:
    """Some workers fail everything shortly after it starts."""
    ours = _Run(settings, use_blame=True).play()
    naive = _Run(settings, use_blame=False).play()
    return [
        at_most(
            'starts lost to one bad worker before its quarantine, worst',
            float(max(ours.lost_before.values())),
            settings.target_before_quarantine,
            'starts',
        ),
        at_most(
            f'starts lost, {settings.bad_part:.0%} of the workers bad',
            ours.lost / ours.starts * 100,
            settings.target_lost_part * 100,
            '%',
            'without blame',
            naive.lost / naive.starts * 100,
        ),
        at_most(
            'good workers in quarantine at the end',
            float(ours.good_quarantined()),
            0.0,
            'workers',
        ),
    ]


class _Run:
    def __init__(self, settings: FaultySettings, *, use_blame: bool) -> None:
        self._settings = settings
        self._use_blame = use_blame
        self._random = random.Random(settings.seed)
        self.planner = Planner(settings.seed)
        self.starts = 0
        self.lost = 0
        self._number = 0
        self._ends: list[tuple[float, int, JobId, WorkerId]] = []
        self.bad: set[WorkerId] = set()
        for number in range(settings.workers):
            worker = WorkerId(f'w{number}')
            self.planner.worker_pool.add(Worker(worker, SIZE))
            self.planner.failure_tracker.add_worker(worker)
            self._set_standing(worker)
            if self._random.random() < settings.bad_part:
                self.bad.add(worker)
        self.lost_before: dict[WorkerId, int] = dict.fromkeys(self.bad, 0)
        self._quarantined: set[WorkerId] = set()
        limit = SIZE * settings.workers
        for team in TEAMS:
            self.planner.limits_by_team[team] = TeamLimits(1.0, limit, 10**6)

    def play(self) -> '_Run':
        """Keep the cell full until the time is up."""
        now = 0.0
        while now < self._settings.measure_s:
            now += 0.05
            self._submit(now)
            for worker in self.planner.failure_tracker.end_expired_quarantines(
                now
            ):
                self._set_standing(worker)
            self._note_endurance(now)
            while self._ends and self._ends[0][0] <= now:
                self._end(heapq.heappop(self._ends), now)
            for group in self.planner.plan(now).start_groups:
                for start in group:
                    self._start(start.job, start.worker, now)
        return self

    def good_quarantined(self) -> int:
        """Return how many good workers are in quarantine."""
        return sum(
            worker.state is WorkerState.QUARANTINED
            and worker.id not in self.bad
            for worker in self.planner.worker_pool.worker_by_id.values()
        )

    def _note_endurance(self, now: float) -> None:
        # Reports tell which tasks are still running.
        oldest = next(iter(self.planner.task_by_key.values()), None)
        if oldest is not None and now - oldest.started_at >= HEALTHY_START_S:
            self.planner.failure_tracker.record_healthy_start(
                oldest.team, oldest.name
            )

    def _submit(self, now: float) -> None:
        while len(self.planner.waiting_jobs.job_by_id) < 200:
            self._number += 1
            team = self._random.choice(TEAMS)
            job = WaitingJob(
                JobId(f'j{self._number}'), team, SHAPE, now, name='work'
            )
            self.planner.waiting_jobs.add_task(job, 0)

    def _start(self, job: JobId, worker: WorkerId, now: float) -> None:
        self.starts += 1
        length_s = self._settings.run_s * self._random.uniform(0.5, 1.5)
        if worker in self.bad:
            self.lost += 1
            length_s = self._settings.fails_after_s
            if worker not in self._quarantined:
                self.lost_before[worker] += 1
        # A start and its end each travel with a report.
        self._number += 1
        heapq.heappush(
            self._ends, (now + length_s + 0.5, self._number, job, worker)
        )

    def _end(
        self, ended: tuple[float, int, JobId, WorkerId], now: float
    ) -> None:
        _, _, job, worker = ended
        task = self.planner.record_end(task_key(job, 0))
        if task is None:
            return
        if worker in self.bad:
            self._number += 1
            again = WaitingJob(job, task.team, SHAPE, now, name='work')
            self.planner.waiting_jobs.add_task(again, 0)
        if not self._use_blame:
            return
        blame = self.planner.failure_tracker
        if worker in self.bad:
            judged = blame.record_failure(worker, task.team, 'work', now)
            if judged.is_worker_quarantined:
                self._quarantined.add(worker)
        else:
            blame.record_success(worker, task.team, 'work')
        self._set_standing(worker)

    def _set_standing(self, worker_id: WorkerId) -> None:
        if not self._use_blame:
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
