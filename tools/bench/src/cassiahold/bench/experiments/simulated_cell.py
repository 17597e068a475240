"""Drives the planner with tasks that end after their run time.

Stands in for the workers only: a task that is started runs for a while and
ends, and ends become known with the next report of its worker.
"""

import heapq
import random
import typing

import msgspec

from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.policy.decisions import StartDecision, task_key
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.waiting_jobs import WaitingJob
from cassiahold.policy.workers import Worker

PLAN_PAUSE_S: typing.Final = 0.02
COMMIT_S: typing.Final = 0.01


class Work(msgspec.Struct, frozen=True):
    """What a job really does, against what it declares."""

    team: TeamName
    declared: Resources
    used: Resources
    run_s: float
    name: str = ''
    is_urgent: bool = False


class Event(msgspec.Struct, frozen=True, order=True):
    """Something that happens at a time; the number breaks ties."""

    at: float
    number: int
    what: str
    subject: str


class SimulatedCell:
    """One data centre in simulated time."""

    def __init__(
        self,
        workers: int,
        size: Resources,
        weight_by_team: dict[TeamName, float],
        report_s: float,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.planner = Planner(seed)
        self.random = random.Random(seed)
        self.report_s = report_s
        self.waits: dict[bool, list[float]] = {True: [], False: []}
        self.used_by_team: dict[TeamName, float] = dict.fromkeys(
            weight_by_team, 0.0
        )
        self.starts = 0
        self._events: list[Event] = []
        self._number = 0
        self._work_by_job: dict[JobId, Work] = {}
        self._submitted_at: dict[JobId, float] = {}
        self._worker_phase: dict[WorkerId, float] = {}
        for number in range(workers):
            worker_id = WorkerId(f'w{number}')
            self.planner.worker_pool.add(Worker(worker_id, size))
            self._worker_phase[worker_id] = self.random.random() * report_s
        limit = size * workers
        for team, weight in weight_by_team.items():
            self.planner.limits_by_team[team] = TeamLimits(weight, limit, 10**6)

    def submit(self, work: Work, tasks: int) -> None:
        """Let a job wait."""
        self._number += 1
        job_id = JobId(f'j{self._number}')
        job = self._waiting_job(job_id, work)
        self._work_by_job[job_id] = work
        self._submitted_at[job_id] = self.now
        for index in range(tasks):
            self.planner.waiting_jobs.add_task(job, index)

    def run(
        self, until: float, arrive: typing.Callable[[float, float], None]
    ) -> None:
        """Let time pass; ``arrive`` is told each span of time."""
        while self.now < until:
            then = self.now
            self.now += PLAN_PAUSE_S
            arrive(then, self.now)
            while self._events and self._events[0].at <= self.now:
                self._happen(heapq.heappop(self._events))
            self._plan()

    def share_by_team(self) -> dict[TeamName, float]:
        """Return each team's dominant share of what it really uses."""
        return {
            team: self.planner.dominant_share(team)
            for team in self.used_by_team
        }

    def _plan(self) -> None:
        plan = self.planner.plan(self.now)
        for group in plan.start_groups:
            for decision in group:
                self._start(decision)
        for eviction in plan.evictions:
            for victim in eviction.victims:
                # The order travels with one report, the end with another.
                at = self._next_report(victim.worker, self.now + COMMIT_S)
                self._push(at + 0.25, 'evicted', victim.key)

    def _start(self, decision: StartDecision) -> None:
        work = self._work_by_job[decision.job]
        begins = self._next_report(decision.worker, self.now + COMMIT_S)
        wait_s = begins - self._submitted_at[decision.job]
        self.waits[work.is_urgent].append(wait_s)
        self.starts += 1
        run_s = work.run_s * self.random.uniform(0.8, 1.2)
        key = task_key(decision.job, decision.index)
        # Ends are reported at once.
        self._push(begins + run_s, 'ended', key)

    def _next_report(self, worker: WorkerId, after: float) -> float:
        phase = self._worker_phase[worker]
        beats = int((after - phase) / self.report_s) + 1
        return phase + beats * self.report_s

    def _push(self, at: float, what: str, key: str) -> None:
        self._number += 1
        heapq.heappush(self._events, Event(at, self._number, what, key))

    def _happen(self, event: Event) -> None:
        key = task_key(
            JobId(event.subject.rpartition('/')[0]),
            int(event.subject.rpartition('/')[2]),
        )
        task = self.planner.task_by_key.get(key)
        if task is None:
            return
        work = self._work_by_job[task.job]
        if event.what == 'evicted' and not task.is_stopping:
            return
        self.planner.record_end(key)
        if event.what == 'evicted':
            self._requeue(task.job, task.index, work)
            return
        self.planner.learn_from_finished_task(task, work.used, work.run_s)
        self.used_by_team[work.team] += work.used.cores_m * work.run_s

    def _waiting_job(self, job_id: JobId, work: Work) -> WaitingJob:
        resources = self.planner.estimator.estimate_resources(
            work.team, work.name, work.declared
        )
        return WaitingJob(
            job_id,
            work.team,
            TaskShape(*msgspec.structs.astuple(resources)),
            self.now,
            name=work.name,
            is_urgent=work.is_urgent,
            declared_resources=work.declared,
        )

    def _requeue(self, job_id: JobId, index: int, work: Work) -> None:
        known = self.planner.waiting_jobs.job_by_id.get(job_id)
        if known is None:
            known = self._waiting_job(job_id, work)
        self.planner.waiting_jobs.add_task(known, index)
