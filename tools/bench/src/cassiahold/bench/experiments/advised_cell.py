"""Simulation of a workflow cell whose planner depends on slow advisors.

The state, the planner, the reply cache and the health tracker are the real
ones of ``cassiahold.workflows``.  Workers, advisors and arrivals are simulated
from a seed, in simulated time.  Advisor queries share a fixed number of
concurrent calls.
"""

import collections
import functools
import heapq
import itertools
import random
import typing

import msgspec

from cassiahold.core.ids import (
    DataCentre,
    JobId,
    QueueName,
    ServiceName,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReply, AdvisorReplyCache
from cassiahold.workflows.configuration import (
    AdvisorPolicy,
    CellConfiguration,
    QueuePolicy,
    ServicePolicy,
    TeamPolicy,
)
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import (
    AttemptOutcome,
    JobState,
    StepSpec,
    WorkerInfo,
    WorkflowSpec,
)
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import AdvisorQuery, PlanningContext
from cassiahold.workflows.state import WorkflowState

PLAN_INTERVAL_S: typing.Final = 0.025
START_DELAY_S: typing.Final = 0.06  # from a decision to a confirmed start
CALL_OVERHEAD_S: typing.Final = 0.02  # added to an advisor's processing time
SERVICE: typing.Final = ServiceName('desk')
TEAM: typing.Final = TeamName('team')


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Distribution of the jobs that are submitted to one queue.

    ``tasks``, ``steps``, ``work_s`` and ``cores_m`` are means of log-normal
    draws.

    Attributes:
        rate: Arrivals per second; ``burst`` multiplies it during a burst.
        objective_s: Seconds allowed beyond ``slack`` times the critical path.
        tasks: Tasks of a step.
        steps: Steps of a job; each depends on the one before.
        work_s: Duration of a task on a worker of speed 1.
        cores_m: Millicores of a task, with as many MB of memory.
        gang_part: Fraction of the steps that are gangs.
        fail_part: Expected failures among attempts that start together.
        estimate_error: Largest relative error of a declared duration.
        decision_s: Constant part of an advisor's processing time.
        per_worker_s: Part of that time for each worker in the query.
        allowed_part: Fraction of the workers that may run a step.
    """

    queue: str
    priority: int
    rate: float
    objective_s: float
    slack: float
    tasks: float
    steps: float
    work_s: float
    cores_m: int
    gang_part: float
    fail_part: float
    estimate_error: float
    decision_s: float
    per_worker_s: float
    allowed_part: float
    burst: float = 1.0


class SimulatedJob(msgspec.Struct):
    """A generated job, its arrival and the actual duration of its steps.

    ``step_work_s`` holds the duration of a task of each step, on a worker of
    speed 1.  ``failed_attempts_s`` is the total duration of the failed
    attempts.
    """

    workload: Workload
    arrived_at: float
    step_work_s: list[float]
    steps: tuple[StepSpec, ...]
    failed_attempts_s: float = 0.0
    ended_at: float = float('inf')
    is_complete: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether the job completed within its objective.

        Attempts that fail through the job's own fault count as part of its
        critical path.
        """
        advisor_s = len(self.steps) * self.workload.decision_s
        critical_path_s = (
            sum(self.step_work_s) + advisor_s + self.failed_attempts_s
        )
        allowed_s = self.workload.slack * critical_path_s
        elapsed_s = self.ended_at - self.arrived_at
        return (
            self.is_complete
            and elapsed_s <= self.workload.objective_s + allowed_s
        )


class AdvisedCell:
    """Submits generated jobs to the real planner and simulates the rest.

    ``worker_speeds`` holds a factor for each worker; the duration of a task
    is divided by it.  ``max_advisor_calls`` bounds the concurrent advisor
    calls.
    """

    def __init__(
        self,
        workloads: typing.Sequence[Workload],
        worker_speeds: typing.Sequence[float],
        worker_capacity: Resources,
        max_advisor_calls: int,
        seed: int,
    ) -> None:
        self.job_by_id: dict[JobId, SimulatedJob] = {}
        self._random = random.Random(seed)
        self._workload_by_queue = {
            workload.queue: workload for workload in workloads
        }
        self._speed_by_worker: dict[WorkerId, float] = {}
        self._max_advisor_calls = max_advisor_calls
        self._waiting_queries: list[tuple[int, float, int, AdvisorQuery]] = []
        self._active_advisor_calls = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._now = 0.0
        self._state = WorkflowState()
        self._advisor_replies = AdvisorReplyCache()
        self._health = HealthTracker()
        self._planner = Planner(
            self._state, self._advisor_replies, self._health
        )
        self._apply_command(
            commands.PutConfiguration(_create_configuration(workloads), b'-')
        )
        for number, speed in enumerate(worker_speeds):
            worker = WorkerId(f'w{number:04}')
            self._speed_by_worker[worker] = speed
            self._apply_command(
                commands.RegisterWorker(
                    _create_worker_info(worker, worker_capacity)
                )
            )

    def simulate(
        self, arrive_s: float, burst_from_s: float, until_s: float
    ) -> None:
        """Submit jobs until ``arrive_s`` and simulate until ``until_s``.

        For 4 s from ``burst_from_s``, each arrival rate is multiplied by the
        ``burst`` of its workload.
        """
        for workload in self._workload_by_queue.values():
            arrives_at = 0.0
            while arrives_at < arrive_s:
                is_in_burst = burst_from_s <= arrives_at < burst_from_s + 4
                rate = workload.rate * (workload.burst if is_in_burst else 1.0)
                arrives_at += self._random.expovariate(rate)
                self._schedule_event(
                    arrives_at, functools.partial(self._submit_job, workload)
                )
        usable = frozenset(self._state.worker_by_id)
        while self._now < until_s:
            self._now += PLAN_INTERVAL_S
            while self._events and self._events[0][0] <= self._now:
                heapq.heappop(self._events)[2]()
            self._start_advisor_calls()
            plan = self._planner.plan(
                PlanningContext(usable, self._now, self._now)
            )
            for query in plan.advisor_queries:
                self._queue_query(query)
            if plan.start_groups:
                self._apply_command(
                    commands.StartAttempts(1, plan.start_groups)
                )
                for group in plan.start_groups:
                    self._start_group(group)

    def _schedule_event(
        self, occurs_at: float, action: typing.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (occurs_at, next(self._numbers), action))

    def _apply_command(self, command: commands.Command) -> None:
        self._state.apply(commands.encode_command(command))
        for effect in self._state.drain_effects():
            if isinstance(effect, commands.JobFinished):
                job = self.job_by_id[effect.job]
                job.ended_at = self._now
                job.is_complete = effect.state is JobState.COMPLETE
            elif isinstance(effect, commands.StepClosed):
                self._advisor_replies.forget_step(effect.step)
            elif isinstance(effect, commands.AttemptStopRequired):
                self._schedule_end(
                    effect.attempt, effect.worker, AttemptOutcome.STOPPED, 0.0
                )

    def _submit_job(self, workload: Workload) -> None:
        steps = []
        step_work_s = []
        for number in range(
            max(1, round(self._draw_log_normal(workload.steps, 0.4)))
        ):
            work_s = self._draw_log_normal(workload.work_s, 0.5)
            error = self._random.uniform(
                -workload.estimate_error, workload.estimate_error
            )
            cores_m = int(self._draw_log_normal(workload.cores_m, 0.4))
            steps.append(
                StepSpec(
                    tasks=max(
                        1, round(self._draw_log_normal(workload.tasks, 0.8))
                    ),
                    resources=Resources(cores_m, cores_m),
                    expected_s=work_s * (1 + error),
                    depends_on=(number - 1,) if number else (),
                    is_gang=self._random.random() < workload.gang_part,
                )
            )
            step_work_s.append(work_s)
        job_id = JobId(f'j{next(self._numbers):06}')
        self.job_by_id[job_id] = SimulatedJob(
            workload, self._now, step_work_s, tuple(steps)
        )
        self._apply_command(
            commands.AcceptJob(
                job_id,
                QueueName(workload.queue),
                TEAM,
                WorkflowSpec('-', tuple(steps)),
                self._now,
            )
        )

    def _draw_log_normal(self, mean: float, sigma: float) -> float:
        sample = self._random.lognormvariate(-(sigma**2) / 2, sigma) * mean
        return min(sample, 4 * mean)

    def _queue_query(self, query: AdvisorQuery) -> None:
        self._advisor_replies.record_query(query.step, query.workers)
        workload = self._workload_by_queue[query.queue.name]
        processing_s = workload.decision_s + workload.per_worker_s * len(
            query.workers
        )
        self._waiting_queries.append(
            (workload.priority, processing_s, next(self._numbers), query)
        )

    def _start_advisor_calls(self) -> None:
        self._waiting_queries.sort(key=lambda call: call[:3])
        while (
            self._waiting_queries
            and self._active_advisor_calls < self._max_advisor_calls
        ):
            _, processing_s, _, query = self._waiting_queries.pop(0)
            self._active_advisor_calls += 1
            self._schedule_event(
                self._now + CALL_OVERHEAD_S + processing_s,
                functools.partial(self._finish_advisor_call, query),
            )

    def _finish_advisor_call(self, query: AdvisorQuery) -> None:
        self._active_advisor_calls -= 1
        workload = self._workload_by_queue[query.queue.name]
        # Spelled out, so that renaming a field leaves the draws unchanged.
        step_seed = (
            f'StepKey(job={query.step.job!r}, '
            f'occurrence={query.step.occurrence}, '
            f'step={query.step.step_index})'
        )
        tokens = {
            worker.id: 'ticket'
            for worker in query.workers
            # Seeded, so that the same step and worker always get the same
            # reply.
            if random.Random(f'{step_seed} {worker.id}').random()
            < workload.allowed_part
        }
        self._advisor_replies.record_reply(
            query.step,
            query.queue.name,
            query.workers,
            AdvisorReply(tokens, 1.5),
            self._now,
        )

    def _start_group(self, group: list[commands.AttemptStart]) -> None:
        key = group[0].attempt.task.step
        job = self.job_by_id[key.job]
        slowest_speed = min(
            self._speed_by_worker[start.worker] for start in group
        )
        for start in group:
            self._health.record_start(
                start.worker, start.attempt, self._now + START_DELAY_S
            )
            speed = slowest_speed
            if not job.steps[key.step_index].is_gang:
                speed = self._speed_by_worker[start.worker]
            elapsed_s = job.step_work_s[key.step_index] / speed
            outcome = AttemptOutcome.DONE
            if self._random.random() < job.workload.fail_part / len(group):
                elapsed_s *= self._random.random()
                outcome = AttemptOutcome.FAILED
                job.failed_attempts_s += elapsed_s
            self._schedule_end(start.attempt, start.worker, outcome, elapsed_s)

    def _schedule_end(
        self,
        attempt: typing.Any,
        worker: WorkerId,
        outcome: AttemptOutcome,
        elapsed_s: float,
    ) -> None:
        def end() -> None:
            ended = commands.AttemptResult(
                attempt, worker, outcome, '', elapsed_s
            )
            self._apply_command(commands.EndAttempts([ended], self._now))
            self._health.record_outcome(worker, attempt, outcome, self._now)

        self._schedule_event(self._now + START_DELAY_S + elapsed_s, end)


def on_time_fraction_by_queue(
    jobs: typing.Iterable[SimulatedJob],
) -> dict[str, float]:
    """Return the fraction of each queue's jobs that was on time."""
    counts: dict[str, collections.Counter[bool]]
    counts = collections.defaultdict(collections.Counter)
    for job in jobs:
        counts[job.workload.queue][job.is_on_time] += 1
    return {
        queue: count[True] / count.total() for queue, count in counts.items()
    }


def _create_configuration(
    workloads: typing.Sequence[Workload],
) -> CellConfiguration:
    queues = tuple(
        QueuePolicy(
            QueueName(workload.queue),
            'host',
            f'/{workload.queue}/',
            SERVICE,
            priority=workload.priority,
            max_attempts=3,
            slack_factor=workload.slack,
            objective_s=workload.objective_s,
            advisor=AdvisorPolicy(
                workload.decision_s, workload.per_worker_s, 1.5
            ),
        )
        for workload in workloads
    )
    return CellConfiguration(
        1, queues, (ServicePolicy(SERVICE),), (TeamPolicy(TEAM, ('key',)),)
    )


def _create_worker_info(worker: WorkerId, capacity: Resources) -> WorkerInfo:
    return WorkerInfo(
        worker, 1, f'{worker}:80', SERVICE, DataCentre('east'), capacity
    )
