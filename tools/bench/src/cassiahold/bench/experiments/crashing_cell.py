"""Simulation of a workflow cell in which some tasks crash their workers.

The state, the planner, the health tracker and the weighing of crashes are the
real ones of ``cassiahold.workflows``.  Workers and arrivals are simulated, in
simulated time.  A task that crashes its worker does so soon after each of its
starts; the worker is down for a while and returns empty in a new incarnation.
"""

import functools
import heapq
import itertools
import typing

import msgspec

from cassiahold.bench.experiments.generated_jobs import (
    OTHER_TEAM,
    TEAM,
    GeneratedJob,
    JobClass,
)
from cassiahold.bench.experiments.idle_waits import IdleWaits
from cassiahold.core.ids import (
    DataCentre,
    JobId,
    ServiceName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.workflows import commands, crashes
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.configuration import (
    CellConfiguration,
    QueuePolicy,
    ServicePolicy,
    TeamPolicy,
)
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkflowSpec,
)
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.steps import startable_tasks

PLAN_INTERVAL_S: typing.Final = 0.025
START_DELAY_S: typing.Final = 0.06  # from a decision to a confirmed start
STOP_DELAY_S: typing.Final = 0.06  # from a stop to its confirmation
CRASH_DELAY_S: typing.Final = 0.01  # from a task's start to the crash
NOTICE_DELAY_S: typing.Final = 0.02  # from a crash until polls fail
RESTART_S: typing.Final = 3.0  # from a crash to the next incarnation
POLL_INTERVAL_S: typing.Final = 1.0  # without an end in between
IDLE_LOAD_SHARE: typing.Final = 0.5  # much of the capacity is free below it
SERVICE: typing.Final = ServiceName('desk')


class CrashPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How crashes count against the tasks of a worker.

    Attributes:
        max_score: A job with a task of this score is given up.
        weighs_starts: Whether recent starts count more (``weigh_crash``).
            Otherwise each crash counts 1.
        is_in_state: Whether the replicated state counts and gives jobs up, so
            that the planner knows the suspects.  Otherwise the simulation
            counts and cancels jobs, and no task is a suspect.
    """

    name: str
    max_score: int
    weighs_starts: bool = False
    is_in_state: bool = False


class CrashOutcome(msgspec.Struct, kw_only=True):
    """What one simulated cell did with the sound and the crashing jobs.

    ``crashing_starts`` counts the starts of each crashing task that was
    started, ``sound_unfinished`` counts the sound jobs open at the end.
    ``other_jobs``, ``other_on_time`` and ``other_attempts_lost`` are of
    ``OTHER_TEAM``, whose jobs are all sound; its attempts end with workers.
    ``longest_idle_wait_s`` is the longest time that a task of a sound job
    waited while at least half of the capacity of the workers in touch was free.
    """

    sound_jobs: int = 0
    sound_given_up: int = 0
    sound_on_time: int = 0
    sound_unfinished: int = 0
    crashing_starts: dict[TaskKey, int] = msgspec.field(default_factory=dict)
    crashes: int = 0
    other_jobs: int = 0
    other_on_time: int = 0
    other_attempts_lost: int = 0
    longest_idle_wait_s: float = 0.0

    @property
    def lost_worker_s(self) -> float:
        """The time that workers were down after crashes."""
        return self.crashes * RESTART_S


class _RunningJob(msgspec.Struct):
    job: GeneratedJob
    state: JobState = JobState.QUEUED
    ended_at: float = float('inf')

    @property
    def is_on_time(self) -> bool:
        allowed_s = self.job.job_class.slack * self.job.work_s
        return (
            self.state is JobState.COMPLETE
            and self.ended_at - self.job.arrives_at <= allowed_s
        )


class _SimulatedWorker(msgspec.Struct):
    """A worker process; ``failing_since`` is None while polls succeed.

    ``replied_at`` is when it last replied to a poll or a start.
    """

    info: WorkerInfo
    is_running: bool = True
    replied_at: float = 0.0
    failing_since: float | None = None
    running_attempts: set[AttemptKey] = msgspec.field(default_factory=set)


class CrashingCell:
    """Submits generated jobs to the real planner and simulates the rest."""

    def __init__(
        self,
        policy: CrashPolicy,
        worker_count: int,
        worker_capacity: Resources,
        task_resources: Resources,
        job_classes: typing.Sequence[JobClass],
    ) -> None:
        self._policy = policy
        self._task_resources = task_resources
        self._now = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._job_by_id: dict[JobId, _RunningJob] = {}
        self._worker_by_id: dict[WorkerId, _SimulatedWorker] = {}
        self._sent_at_by_attempt: dict[AttemptKey, float] = {}
        self._score_by_task: dict[TaskKey, int] = {}
        self._outcome = CrashOutcome()
        self._idle_waits = IdleWaits()
        self._state = WorkflowState()
        self._health = HealthTracker()
        self._planner = Planner(self._state, AdvisorReplyCache(), self._health)
        self._apply_command(
            commands.PutConfiguration(_create_configuration(job_classes), b'-')
        )
        for number in range(worker_count):
            info = WorkerInfo(
                WorkerId(f'w{number:03}'),
                1,
                f'w{number:03}:80',
                SERVICE,
                DataCentre('east'),
                worker_capacity,
            )
            self._worker_by_id[info.id] = _SimulatedWorker(info)
            self._apply_command(commands.RegisterWorker(info))
            self._poll_repeatedly(self._worker_by_id[info.id])

    def simulate(
        self, jobs: typing.Iterable[GeneratedJob], until_s: float
    ) -> CrashOutcome:
        """Submit the jobs as they arrive and simulate until ``until_s``."""
        for job in jobs:
            self._schedule_event(
                job.arrives_at, functools.partial(self._submit_job, job)
            )
        plans_at = 0.0
        while plans_at < until_s:
            plans_at += PLAN_INTERVAL_S
            while self._events and self._events[0][0] <= plans_at:
                event = heapq.heappop(self._events)
                self._now = event[0]
                event[2]()
            self._now = plans_at
            self._plan_starts()
            self._idle_waits.record(
                self._tasks_beside_free_capacity(), plans_at
            )
        self._outcome.longest_idle_wait_s = self._idle_waits.longest_s
        self._count_sound_jobs()
        return self._outcome

    def _schedule_event(
        self, occurs_at: float, action: typing.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (occurs_at, next(self._numbers), action))

    def _apply_command(self, command: commands.Command) -> None:
        self._state.apply(commands.encode_command(command))
        for effect in self._state.drain_effects():
            if isinstance(effect, commands.JobFinished):
                running_job = self._job_by_id[effect.job]
                running_job.state = effect.state
                running_job.ended_at = self._now
            elif isinstance(effect, commands.AttemptStopRequired):
                self._schedule_event(
                    self._now + STOP_DELAY_S,
                    functools.partial(
                        self._end_attempt,
                        effect.attempt,
                        effect.worker,
                        AttemptOutcome.STOPPED,
                    ),
                )

    # Polls.

    def _poll_repeatedly(self, worker: _SimulatedWorker) -> None:
        self._poll(worker)
        self._schedule_event(
            self._now + POLL_INTERVAL_S,
            functools.partial(self._poll_repeatedly, worker),
        )

    def _poll(self, worker: _SimulatedWorker) -> None:
        if not worker.is_running:
            return
        worker.replied_at = self._now
        for attempt in worker.running_attempts:
            self._health.record_progress(worker.info.id, attempt, 0, self._now)

    # Jobs and starts.

    def _submit_job(self, job: GeneratedJob) -> None:
        self._job_by_id[job.id] = _RunningJob(job)
        step = StepSpec(job.tasks, self._task_resources, job.work_s)
        self._apply_command(
            commands.AcceptJob(
                job.id,
                job.job_class.queue,
                job.team,
                WorkflowSpec('-', (step,)),
                self._now,
            )
        )

    def _usable_workers(self) -> frozenset[WorkerId]:
        return frozenset(
            worker_id
            for worker_id, worker in self._worker_by_id.items()
            if worker.failing_since is None
        )

    def _tasks_beside_free_capacity(self) -> list[TaskKey]:
        """Return the waiting tasks of sound jobs if much capacity is free."""
        records = [
            self._state.worker_by_id[worker_id]
            for worker_id in self._usable_workers()
        ]
        allocated_m = sum(record.allocated.cores_m for record in records)
        capacity_m = sum(record.info.capacity.cores_m for record in records)
        if allocated_m > capacity_m * IDLE_LOAD_SHARE:
            return []
        return [
            TaskKey(step, task_index)
            for step in self._state.waiting_steps()
            if self._job_by_id[step.job].job.crashing_task is None
            for task_index in startable_tasks(
                self._state.job_by_id[step.job], step
            )
        ]

    def _plan_starts(self) -> None:
        plan = self._planner.plan(
            PlanningContext(self._usable_workers(), self._now, self._now)
        )
        if not plan.start_groups:
            return
        self._apply_command(commands.StartAttempts(1, plan.start_groups))
        for start in itertools.chain.from_iterable(plan.start_groups):
            self._sent_at_by_attempt[start.attempt] = self._now
            self._schedule_event(
                self._now + START_DELAY_S,
                functools.partial(self._receive_start, start),
            )

    def _receive_start(self, start: commands.AttemptStart) -> None:
        """Start an attempt on its worker, unless the worker is down.

        No connection to a worker that is down can be established, so the
        attempt has certainly not started.
        """
        worker = self._worker_by_id[start.worker]
        if (
            not worker.is_running
            or worker.info.incarnation != start.incarnation
        ):
            self._store_ends(
                [
                    commands.AttemptResult(
                        start.attempt, start.worker, AttemptOutcome.LOST
                    )
                ]
            )
            return
        worker.running_attempts.add(start.attempt)
        worker.replied_at = self._now
        self._health.record_start(start.worker, start.attempt, self._now)
        task = start.attempt.task
        job = self._job_by_id[task.step.job].job
        if job.is_crashing(task.task_index):
            starts = self._outcome.crashing_starts
            starts[task] = starts.get(task, 0) + 1
            self._schedule_event(
                self._now + CRASH_DELAY_S,
                functools.partial(self._crash_worker, start),
            )
            return
        self._schedule_event(
            self._now + job.work_s,
            functools.partial(
                self._end_attempt,
                start.attempt,
                start.worker,
                AttemptOutcome.DONE,
            ),
        )

    def _end_attempt(
        self, attempt: AttemptKey, worker_id: WorkerId, outcome: AttemptOutcome
    ) -> None:
        worker = self._worker_by_id[worker_id]
        if attempt not in worker.running_attempts:
            return
        worker.running_attempts.remove(attempt)
        # A poll waits at the worker for the next end.
        self._poll(worker)
        duration_s = self._health.attempt_duration_s(attempt, self._now)
        self._store_ends(
            [
                commands.AttemptResult(
                    attempt, worker_id, outcome, duration_s=duration_s
                )
            ]
        )

    def _store_ends(self, results: list[commands.AttemptResult]) -> None:
        self._apply_command(commands.EndAttempts(results, self._now))
        for result in results:
            self._sent_at_by_attempt.pop(result.attempt, None)
            self._health.record_outcome(
                result.worker, result.attempt, result.outcome, self._now
            )

    # Crashes.

    def _crash_worker(self, start: commands.AttemptStart) -> None:
        worker = self._worker_by_id[start.worker]
        if start.attempt not in worker.running_attempts:
            return
        self._outcome.crashes += 1
        worker.is_running = False
        worker.running_attempts.clear()
        self._schedule_event(
            self._now + NOTICE_DELAY_S,
            functools.partial(self._notice_crash, worker),
        )
        self._schedule_event(
            self._now + RESTART_S,
            functools.partial(self._restart_worker, worker),
        )

    def _notice_crash(self, worker: _SimulatedWorker) -> None:
        worker.failing_since = self._now

    def _restart_worker(self, worker: _SimulatedWorker) -> None:
        record = self._state.worker_by_id[worker.info.id]
        evidence_by_attempt = crashes.weigh_crash(
            record.resources_by_attempt,
            self._sent_at_by_attempt,
            worker.replied_at,
            record.suspect_attempts,
        )
        worker.info = msgspec.structs.replace(
            worker.info, incarnation=worker.info.incarnation + 1
        )
        worker.is_running = True
        worker.failing_since = None
        self._apply_command(commands.RegisterWorker(worker.info))
        self._store_ends(
            [
                commands.AttemptResult(
                    attempt,
                    worker.info.id,
                    AttemptOutcome.LOST,
                    duration_s=self._health.attempt_duration_s(
                        attempt, self._now
                    ),
                    crash=evidence
                    if self._policy.is_in_state
                    else crashes.CrashEvidence.NONE,
                )
                for attempt, evidence in evidence_by_attempt.items()
            ]
        )
        self._health.forget_worker(worker.info.id, evidence_by_attempt)
        self._outcome.other_attempts_lost += sum(
            self._job_by_id[attempt.task.step.job].job.team == OTHER_TEAM
            for attempt in evidence_by_attempt
        )
        if not self._policy.is_in_state:
            self._count_crash(evidence_by_attempt)

    def _count_crash(
        self,
        evidence_by_attempt: typing.Mapping[AttemptKey, crashes.CrashEvidence],
    ) -> None:
        for attempt, evidence in evidence_by_attempt.items():
            score = self._score_by_task.get(attempt.task, 0)
            score += int(evidence) if self._policy.weighs_starts else 1
            self._score_by_task[attempt.task] = score
            if score >= self._policy.max_score:
                self._apply_command(
                    commands.CancelJob(attempt.task.step.job, self._now)
                )

    def _count_sound_jobs(self) -> None:
        for running_job in self._job_by_id.values():
            if running_job.job.crashing_task is not None:
                continue
            self._outcome.sound_jobs += 1
            self._outcome.sound_on_time += int(running_job.is_on_time)
            if running_job.job.team == OTHER_TEAM:
                self._outcome.other_jobs += 1
                self._outcome.other_on_time += int(running_job.is_on_time)
            if running_job.state is JobState.QUEUED:
                self._outcome.sound_unfinished += 1
            elif running_job.state is not JobState.COMPLETE:
                self._outcome.sound_given_up += 1


def _create_configuration(
    job_classes: typing.Sequence[JobClass],
) -> CellConfiguration:
    queues = tuple(
        QueuePolicy(
            job_class.queue,
            'host',
            f'/{job_class.queue}/',
            SERVICE,
            priority=job_class.priority,
            slack_factor=job_class.slack,
            objective_s=0.0,
        )
        for job_class in job_classes
    )
    return CellConfiguration(
        1, queues, (ServicePolicy(SERVICE),), (TeamPolicy(TEAM, ('key',)),)
    )
