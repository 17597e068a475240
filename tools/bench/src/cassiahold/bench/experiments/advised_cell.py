"""A cell that calls its workers, in simulated time: state, planner, advisors.

Only the decisions are the product's; workers, advisors and arrivals are
seeded.  Advisors work on one call at a time for each lane.
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
from cassiahold.workflows.planning import AdvisorQuery, Planner, PlanningContext
from cassiahold.workflows.state import WorkflowState

PASS_S: typing.Final = 0.025
ORDER_S: typing.Final = 0.06  # from a decision to a confirmed start
CALL_S: typing.Final = 0.02  # around an advisor's own time
SERVICE: typing.Final = ServiceName('desk')
TEAM: typing.Final = TeamName('team')


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of work: its queue and how its jobs are drawn.

    Means are of log-normal draws; ``estimate_error`` is the largest
    relative error of a declared duration.
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


class Job(msgspec.Struct):
    """A drawn job: when it came and how long its steps really take.

    ``failed_s`` is the time that its failed runs took.
    """

    kind: Kind
    came_at: float
    work_s: list[float]
    steps: tuple[StepSpec, ...]
    failed_s: float = 0.0
    ended_at: float = float('inf')
    is_complete: bool = False

    @property
    def is_on_time(self) -> bool:
        """Tell whether it was complete within its objective.

        Runs that fail by the job's own fault are a part of its chain.
        """
        calls_s = len(self.steps) * self.kind.decision_s
        chain_s = sum(self.work_s) + calls_s + self.failed_s
        length_s = self.kind.slack * chain_s
        took_s = self.ended_at - self.came_at
        return self.is_complete and took_s <= self.kind.objective_s + length_s


class AdvisedCell:
    """Plays arrivals against the planner."""

    def __init__(
        self,
        kinds: typing.Sequence[Kind],
        speeds: typing.Sequence[float],
        capacity: Resources,
        lanes: int,
        seed: int,
    ) -> None:
        self.job_by_id: dict[JobId, Job] = {}
        self._random = random.Random(seed)
        self._kind_by_queue = {kind.queue: kind for kind in kinds}
        self._speed_by_worker: dict[WorkerId, float] = {}
        self._lanes = lanes
        self._waiting: list[tuple[int, float, int, AdvisorQuery]] = []
        self._busy_lanes = 0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._now = 0.0
        self._state = WorkflowState()
        self._advice = AdvisorReplyCache()
        self._health = HealthTracker()
        self._planner = Planner(self._state, self._advice, self._health)
        self._do(commands.PutConfiguration(_configuration(kinds), b'-'))
        for number, speed in enumerate(speeds):
            worker = WorkerId(f'w{number:04}')
            self._speed_by_worker[worker] = speed
            self._do(commands.RegisterWorker(_info(worker, capacity)))

    def run(self, arrive_s: float, burst_from_s: float, until_s: float) -> None:
        """Let work arrive for a while and play until a later time.

        Kinds with a burst come that much faster for 4 s.
        """
        for kind in self._kind_by_queue.values():
            at = 0.0
            while at < arrive_s:
                in_burst = burst_from_s <= at < burst_from_s + 4
                rate = kind.rate * (kind.burst if in_burst else 1.0)
                at += self._random.expovariate(rate)
                self._at(at, functools.partial(self._arrive, kind))
        usable = frozenset(self._state.worker_by_id)
        while self._now < until_s:
            self._now += PASS_S
            while self._events and self._events[0][0] <= self._now:
                heapq.heappop(self._events)[2]()
            self._start_calls()
            plan = self._planner.plan(
                PlanningContext(usable, self._now, self._now)
            )
            for question in plan.advisor_queries:
                self._ask(question)
            if plan.start_groups:
                self._do(commands.StartAttempts(1, plan.start_groups))
                for group in plan.start_groups:
                    self._carry_out(group)

    def _at(self, when: float, act: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def _do(self, command: commands.Command) -> None:
        self._state.apply(commands.encode_command(command))
        for effect in self._state.drain_effects():
            if isinstance(effect, commands.JobFinished):
                job = self.job_by_id[effect.job]
                job.ended_at = self._now
                job.is_complete = effect.state is JobState.COMPLETE
            elif isinstance(effect, commands.StepClosed):
                self._advice.forget_step(effect.step)
            elif isinstance(effect, commands.AttemptStopRequired):
                self._end_later(
                    effect.run, effect.worker, AttemptOutcome.STOPPED, 0.0
                )

    def _arrive(self, kind: Kind) -> None:
        steps = []
        works = []
        for number in range(max(1, round(self._draw(kind.steps, 0.4)))):
            work_s = self._draw(kind.work_s, 0.5)
            error = self._random.uniform(
                -kind.estimate_error, kind.estimate_error
            )
            cores_m = int(self._draw(kind.cores_m, 0.4))
            steps.append(
                StepSpec(
                    tasks=max(1, round(self._draw(kind.tasks, 0.8))),
                    resources=Resources(cores_m, cores_m),
                    expected_s=work_s * (1 + error),
                    depends_on=(number - 1,) if number else (),
                    is_gang=self._random.random() < kind.gang_part,
                )
            )
            works.append(work_s)
        name = JobId(f'j{next(self._numbers):06}')
        self.job_by_id[name] = Job(kind, self._now, works, tuple(steps))
        self._do(
            commands.AcceptJob(
                name,
                QueueName(kind.queue),
                TEAM,
                WorkflowSpec('-', tuple(steps)),
                self._now,
            )
        )

    def _draw(self, mean: float, spread: float) -> float:
        draw = self._random.lognormvariate(-(spread**2) / 2, spread) * mean
        return min(draw, 4 * mean)

    def _ask(self, question: AdvisorQuery) -> None:
        self._advice.record_query(question.step, question.workers)
        kind = self._kind_by_queue[question.queue.name]
        length_s = kind.decision_s + kind.per_worker_s * len(question.workers)
        self._waiting.append(
            (kind.priority, length_s, next(self._numbers), question)
        )

    def _start_calls(self) -> None:
        self._waiting.sort(key=lambda call: call[:3])
        while self._waiting and self._busy_lanes < self._lanes:
            _, length_s, _, question = self._waiting.pop(0)
            self._busy_lanes += 1
            self._at(
                self._now + CALL_S + length_s,
                functools.partial(self._answer, question),
            )

    def _answer(self, question: AdvisorQuery) -> None:
        self._busy_lanes -= 1
        kind = self._kind_by_queue[question.queue.name]
        tokens = {
            worker.id: 'ticket'
            for worker in question.workers
            # Whether a worker may run a step never changes.
            if random.Random(f'{question.step} {worker.id}').random()
            < kind.allowed_part
        }
        self._advice.record_reply(
            question.step,
            question.queue.name,
            question.workers,
            AdvisorReply(tokens, 1.5),
            self._now,
        )

    def _carry_out(self, group: list[commands.AttemptStart]) -> None:
        key = group[0].attempt.task.step
        job = self.job_by_id[key.job]
        slowest = min(self._speed_by_worker[start.worker] for start in group)
        for start in group:
            self._health.record_start(
                start.worker, start.attempt, self._now + ORDER_S
            )
            speed = slowest
            if not job.steps[key.step_index].is_gang:
                speed = self._speed_by_worker[start.worker]
            took_s = job.work_s[key.step_index] / speed
            how = AttemptOutcome.DONE
            if self._random.random() < job.kind.fail_part / len(group):
                took_s *= self._random.random()
                how = AttemptOutcome.FAILED
                job.failed_s += took_s
            self._end_later(start.attempt, start.worker, how, took_s)

    def _end_later(
        self,
        run: typing.Any,
        worker: WorkerId,
        how: AttemptOutcome,
        took_s: float,
    ) -> None:
        def end() -> None:
            ended = commands.AttemptResult(run, worker, how, '', took_s)
            self._do(commands.EndAttempts([ended], self._now))
            self._health.record_outcome(worker, run, how, self._now)

        self._at(self._now + ORDER_S + took_s, end)


def on_time_part(jobs: typing.Iterable[Job]) -> dict[str, float]:
    """Return which part of each queue's jobs was on time."""
    counts: dict[str, collections.Counter[bool]]
    counts = collections.defaultdict(collections.Counter)
    for job in jobs:
        counts[job.kind.queue][job.is_on_time] += 1
    return {
        queue: count[True] / count.total() for queue, count in counts.items()
    }


def _configuration(kinds: typing.Sequence[Kind]) -> CellConfiguration:
    queues = tuple(
        QueuePolicy(
            QueueName(kind.queue),
            'host',
            f'/{kind.queue}/',
            SERVICE,
            priority=kind.priority,
            max_attempts=3,
            slack_factor=kind.slack,
            objective_s=kind.objective_s,
            advisor=AdvisorPolicy(kind.decision_s, kind.per_worker_s, 1.5),
        )
        for kind in kinds
    )
    return CellConfiguration(
        1, queues, (ServicePolicy(SERVICE),), (TeamPolicy(TEAM, ('key',)),)
    )


def _info(worker: WorkerId, capacity: Resources) -> WorkerInfo:
    return WorkerInfo(
        worker, 1, f'{worker}:80', SERVICE, DataCentre('east'), capacity
    )
