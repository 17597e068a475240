"""Simulation of a data centre that drives the real planner.

Only the workers are simulated: a task starts with the next report of its
worker, runs for its duration and ends.
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

PLAN_INTERVAL_S: typing.Final = 0.02
COMMIT_DELAY_S: typing.Final = 0.01


class JobProfile(msgspec.Struct, frozen=True):
    """Declared and actual use of a job's tasks; ``run_s`` is their mean."""

    team: TeamName
    declared_resources: Resources
    used_resources: Resources
    run_s: float
    name: str = ''
    is_urgent: bool = False


class Event(msgspec.Struct, frozen=True, order=True):
    """End or eviction of a task; ``number`` orders simultaneous events."""

    occurs_at: float
    number: int
    kind: str
    task_key: str


class SimulatedCell:
    """Workers of one data centre and their planner, in simulated time.

    ``wait_s_by_urgency`` collects the waits from submission to start, and
    ``used_by_team`` the millicore-seconds of finished tasks.
    """

    def __init__(
        self,
        worker_count: int,
        worker_capacity: Resources,
        weight_by_team: dict[TeamName, float],
        report_interval_s: float,
        seed: int,
    ) -> None:
        self.now = 0.0
        self.planner = Planner(seed)
        self.random = random.Random(seed)
        self.report_interval_s = report_interval_s
        self.wait_s_by_urgency: dict[bool, list[float]] = {True: [], False: []}
        self.used_by_team: dict[TeamName, float] = dict.fromkeys(
            weight_by_team, 0.0
        )
        self.start_count = 0
        self._events: list[Event] = []
        self._last_number = 0
        self._profile_by_job: dict[JobId, JobProfile] = {}
        self._submitted_at_by_job: dict[JobId, float] = {}
        self._report_phase_by_worker: dict[WorkerId, float] = {}
        for number in range(worker_count):
            worker_id = WorkerId(f'w{number}')
            self.planner.worker_pool.add(Worker(worker_id, worker_capacity))
            self._report_phase_by_worker[worker_id] = (
                self.random.random() * report_interval_s
            )
        limit = worker_capacity * worker_count
        for team, weight in weight_by_team.items():
            self.planner.limits_by_team[team] = TeamLimits(weight, limit, 10**6)

    def submit_job(self, profile: JobProfile, task_count: int) -> None:
        """Queue a job with a number of equal tasks."""
        self._last_number += 1
        job_id = JobId(f'j{self._last_number}')
        job = self._create_waiting_job(job_id, profile)
        self._profile_by_job[job_id] = profile
        self._submitted_at_by_job[job_id] = self.now
        for index in range(task_count):
            self.planner.waiting_jobs.add_task(job, index)

    def simulate_until(
        self, end: float, submit_arrivals: typing.Callable[[float, float], None]
    ) -> None:
        """Advance the time to ``end``.

        ``submit_arrivals`` is called with the start and end of each interval.
        """
        while self.now < end:
            interval_start = self.now
            self.now += PLAN_INTERVAL_S
            submit_arrivals(interval_start, self.now)
            while self._events and self._events[0].occurs_at <= self.now:
                self._handle_event(heapq.heappop(self._events))
            self._run_planner()

    def dominant_share_by_team(self) -> dict[TeamName, float]:
        """Return each team's dominant share of the allocated resources."""
        return {
            team: self.planner.dominant_share(team)
            for team in self.used_by_team
        }

    def _run_planner(self) -> None:
        plan = self.planner.plan(self.now)
        for group in plan.start_groups:
            for decision in group:
                self._start_task(decision)
        for eviction in plan.evictions:
            for victim in eviction.victims:
                # The stop request goes with one report, the end with another.
                stopped_at = self._next_report_at(
                    victim.worker, self.now + COMMIT_DELAY_S
                )
                self._push_event(stopped_at + 0.25, 'evicted', victim.key)

    def _start_task(self, decision: StartDecision) -> None:
        profile = self._profile_by_job[decision.job]
        starts_at = self._next_report_at(
            decision.worker, self.now + COMMIT_DELAY_S
        )
        wait_s = starts_at - self._submitted_at_by_job[decision.job]
        self.wait_s_by_urgency[profile.is_urgent].append(wait_s)
        self.start_count += 1
        run_s = profile.run_s * self.random.uniform(0.8, 1.2)
        key = task_key(decision.job, decision.index)
        # Workers report ends immediately.
        self._push_event(starts_at + run_s, 'ended', key)

    def _next_report_at(self, worker: WorkerId, after: float) -> float:
        phase = self._report_phase_by_worker[worker]
        report_count = int((after - phase) / self.report_interval_s) + 1
        return phase + report_count * self.report_interval_s

    def _push_event(self, occurs_at: float, kind: str, key: str) -> None:
        self._last_number += 1
        heapq.heappush(
            self._events, Event(occurs_at, self._last_number, kind, key)
        )

    def _handle_event(self, event: Event) -> None:
        key = task_key(
            JobId(event.task_key.rpartition('/')[0]),
            int(event.task_key.rpartition('/')[2]),
        )
        task = self.planner.task_by_key.get(key)
        if task is None:
            return
        profile = self._profile_by_job[task.job]
        if event.kind == 'evicted' and not task.is_stopping:
            return
        self.planner.record_end(key)
        if event.kind == 'evicted':
            self._requeue(task.job, task.index, profile)
            return
        self.planner.learn_from_finished_task(
            task, profile.used_resources, profile.run_s
        )
        self.used_by_team[profile.team] += (
            profile.used_resources.cores_m * profile.run_s
        )

    def _create_waiting_job(
        self, job_id: JobId, profile: JobProfile
    ) -> WaitingJob:
        resources = self.planner.estimator.estimate_resources(
            profile.team, profile.name, profile.declared_resources
        )
        return WaitingJob(
            job_id,
            profile.team,
            TaskShape(*msgspec.structs.astuple(resources)),
            self.now,
            name=profile.name,
            is_urgent=profile.is_urgent,
            declared_resources=profile.declared_resources,
        )

    def _requeue(self, job_id: JobId, index: int, profile: JobProfile) -> None:
        waiting_job = self.planner.waiting_jobs.job_by_id.get(job_id)
        if waiting_job is None:
            waiting_job = self._create_waiting_job(job_id, profile)
        self.planner.waiting_jobs.add_task(waiting_job, index)
