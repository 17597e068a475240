"""Which tasks start where, and which advisors are asked, in one pass.

Steps are taken in the order of ``urgency``: first those that can still be
on time, by their queue's priority and their due time; late ones after them.
A task goes to the slowest worker on which it is still on time, so that fast
ones are left for work with little slack; among equals to the fullest.
A gang that has to wait keeps the room of its allowed workers from the work
behind it, so that a stream of small tasks does not starve it.

A pass costs little while the cell is full: a step that fits no worker's
free room is passed over before its tasks are looked at.
"""

import enum
import math
import operator
import typing

import msgspec

from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.workflows.advising import AdviceBook
from cassiahold.workflows.commands import Start
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.health import HealthBook
from cassiahold.workflows.model import (
    JobRecord,
    RunKey,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkerRecord,
)
from cassiahold.workflows.state import WorkState, startable_tasks

LATE_FACTOR: typing.Final = 3.0  # objectives after which an answer is worthless


SPEED_STEP: typing.Final = 0.25  # speeds this close count as equal
SLACK_NEEDED: typing.Final = 1.2  # of the estimate, with starting and noticing
TIGHT_SLACK: typing.Final = 2.0
UNLIMITED: typing.Final = 1_000_000_000_000


class Standing(enum.IntEnum):
    """What finishing a job can still bring its caller."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Question(msgspec.Struct, frozen=True):
    """A call to an advisor that is worth its time."""

    step: StepKey
    queue: QueuePolicy
    workers: tuple[WorkerInfo, ...]


class Plan(msgspec.Struct):
    """What one pass decided."""

    groups: list[list[Start]] = msgspec.field(default_factory=list)
    questions: list[Question] = msgspec.field(default_factory=list)


class _Room(msgspec.Struct):
    worker: WorkerRecord
    info: WorkerInfo
    free: Resources
    speed: float
    is_suspect: bool
    taken_by_step: dict[StepKey, int] = msgspec.field(default_factory=dict)

    def tasks_of(self, step: StepKey) -> int:
        """Return how many tasks of a step run or will run here."""
        return self.worker.tasks_of(step) + self.taken_by_step.get(step, 0)


class _Candidate(msgspec.Struct, frozen=True):
    key: StepKey
    record: JobRecord
    spec: StepSpec
    queue: QueuePolicy


class Conditions(msgspec.Struct, frozen=True):
    """What a pass is based on beside the replicated state.

    ``usable`` are the workers that may get work.  ``now`` is on the steady
    clock, ``time_of_day`` in seconds since 1970.
    """

    usable: frozenset[WorkerId]
    now: float
    time_of_day: float


def objective_s(record: JobRecord, queue: QueuePolicy) -> float:
    """Return how long a job may take to be on time."""
    chain: list[float] = []
    for step in record.spec.steps:
        before = max((chain[earlier] for earlier in step.after), default=0.0)
        chain.append(before + step.expected_s)
    return queue.objective_s + queue.slack * max(chain, default=0.0)


def urgency(
    record: JobRecord, queue: QueuePolicy, length_s: float, now: float
) -> tuple[Standing, int, float]:
    """Return a sort key; the smallest goes first.

    ``now`` is the time of day, as is the job's acceptance; ``length_s`` is
    the job's objective.
    """
    age_s = now - record.accepted_at
    standing = Standing.ON_TIME
    if age_s > LATE_FACTOR * length_s:
        standing = Standing.WORTHLESS
    elif age_s > length_s:
        standing = Standing.LATE
    return standing, queue.priority, record.accepted_at + length_s


class Planner:
    """Plans passes over the waiting steps of one state."""

    def __init__(
        self, state: WorkState, advice: AdviceBook, health: HealthBook
    ) -> None:
        self._state = state
        self._advice = advice
        self._health = health
        self._objective_by_job: dict[JobId, float] = {}

    def plan(self, conditions: Conditions) -> Plan:
        """Return starts and questions, the most urgent first."""
        return _Pass(
            self._state,
            self._advice,
            self._health,
            conditions,
            self._sorted(conditions),
        ).run()

    def _sorted(self, conditions: Conditions) -> list[_Candidate]:
        ranked = []
        objective_by_job: dict[JobId, float] = {}
        for key in self._state.waiting_steps():
            record = self._state.job_by_id[key.job]
            queue = self._state.index.queue_by_name.get(record.queue)
            if queue is None:
                continue
            if record.spec.due_at(key.occurrence) > conditions.time_of_day:
                continue
            length_s = self._objective_by_job.get(key.job)
            if length_s is None:
                length_s = objective_s(record, queue)
            objective_by_job[key.job] = length_s
            rank = urgency(record, queue, length_s, conditions.time_of_day)
            spec = record.spec.steps[key.step]
            ranked.append((rank, key, _Candidate(key, record, spec, queue)))
        self._objective_by_job = objective_by_job
        ranked.sort(key=operator.itemgetter(0, 1))
        return [candidate for _, _, candidate in ranked]


class _Pass:
    """One pass; room that it gives away is counted at once."""

    def __init__(
        self,
        state: WorkState,
        advice: AdviceBook,
        health: HealthBook,
        conditions: Conditions,
        candidates: list[_Candidate],
    ) -> None:
        self._state = state
        self._advice = advice
        self._health = health
        self._now = conditions.now
        self._candidates = candidates
        self._rooms = [
            _Room(
                worker,
                worker.info,
                worker.free,
                health.speed_of(worker.info.id),
                health.is_suspect(worker.info.id),
            )
            for worker in state.worker_by_id.values()
            if worker.info.id in conditions.usable
        ]
        self._largest = Resources()
        self._added_by_team: dict[TeamName, Resources] = {}
        self._plan = Plan()

    def run(self) -> Plan:
        """Place or ask for every candidate."""
        self._measure()
        for candidate in self._candidates:
            if not candidate.spec.resources.fits_in(self._largest):
                continue
            tasks = startable_tasks(candidate.record, candidate.key)
            if candidate.spec.is_gang:
                self._place_gang(candidate, tasks)
            else:
                self._place_tasks(candidate, tasks)
        return self._plan

    def _measure(self) -> None:
        largest = Resources()
        for room in self._rooms:
            largest = largest.at_least(room.free)
        self._largest = largest

    # Tasks that start one by one.

    def _place_tasks(self, candidate: _Candidate, tasks: list[int]) -> None:
        allowed = self._within_limit(candidate, len(tasks))
        starts = self._fill(candidate, tasks[:allowed])
        self._plan.groups.extend([start] for start in starts)
        if len(starts) < allowed:
            self._ask(candidate, allowed - len(starts))

    def _fill(self, candidate: _Candidate, tasks: list[int]) -> list[Start]:
        starts: list[Start] = []
        left = list(reversed(tasks))
        for room in self._usable_rooms(candidate):
            while left and self._has_room(candidate, room):
                starts.append(self._take(candidate, left.pop(), room))
            if not left:
                break
        if starts:
            self._measure()
        return starts

    def _usable_rooms(self, candidate: _Candidate) -> list[_Room]:
        rooms = [room for room in self._rooms if self._may_use(candidate, room)]
        rooms.sort(key=lambda room: _rank(candidate, room))
        return rooms

    def _may_use(self, candidate: _Candidate, room: _Room) -> bool:
        return self._could_use(candidate, room) and (
            candidate.queue.advisor is None
            or self._advice.ticket(candidate.key, room.info, self._now)
            is not None
        )

    def _could_use(self, candidate: _Candidate, room: _Room) -> bool:
        spec = candidate.spec
        if room.info.service != candidate.queue.service:
            return False
        if spec.needs_label and spec.needs_label not in room.info.labels:
            return False
        if self._health.avoids(candidate.key.job, room.info.id, self._now):
            return False
        return self._has_room(candidate, room)

    def _has_room(self, candidate: _Candidate, room: _Room) -> bool:
        spec = candidate.spec
        if not spec.resources.fits_in(room.free):
            return False
        if not spec.most_per_worker:
            return True
        return room.tasks_of(candidate.key) < spec.most_per_worker

    def _take(self, candidate: _Candidate, number: int, room: _Room) -> Start:
        record = candidate.record
        resources = candidate.spec.resources
        room.free -= resources
        taken = room.taken_by_step.get(candidate.key, 0)
        room.taken_by_step[candidate.key] = taken + 1
        added = self._added_by_team.get(record.team, NOTHING)
        self._added_by_team[record.team] = added + resources
        run = RunKey(
            TaskKey(candidate.key, number), _next_attempt(candidate, number)
        )
        return Start(run, room.info.id, room.info.born)

    def _within_limit(self, candidate: _Candidate, tasks: int) -> int:
        """Return how many of a number of tasks the team's limit leaves."""
        team = self._state.index.team_by_name.get(candidate.record.team)
        if team is None:
            return tasks
        used = self._state.usage_of(team.name)
        used += self._added_by_team.get(team.name, NOTHING)
        left = _left_under(team.limit, used)
        return min(_how_many_fit(candidate.spec.resources, left), tasks)

    # Gangs.

    def _place_gang(self, candidate: _Candidate, tasks: list[int]) -> None:
        if self._within_limit(candidate, len(tasks)) < len(tasks):
            return
        rooms = self._usable_rooms(candidate)
        if self._capacity_of(candidate, rooms) >= len(tasks):
            starts = self._fill(candidate, tasks)
            self._plan.groups.append(starts)
            return
        self._ask(candidate, len(tasks))
        self._hold_back(candidate, len(tasks))

    def _hold_back(self, candidate: _Candidate, tasks: int) -> None:
        left = tasks
        for room in self._rooms:
            if not self._advice.is_allowed(candidate.key, room.info.id):
                continue
            fits = _how_many_fit(candidate.spec.resources, room.free)
            held = min(fits, left)
            room.free -= candidate.spec.resources * held
            left -= held
        self._measure()

    # Advice.

    def _ask(self, candidate: _Candidate, tasks: int) -> None:
        if candidate.queue.advisor is None:
            return
        if self._advice.is_asking(candidate.key):
            return
        named = self._workers_to_name(candidate, tasks)
        if named:
            self._plan.questions.append(
                Question(candidate.key, candidate.queue, tuple(named))
            )

    def _workers_to_name(
        self, candidate: _Candidate, tasks: int
    ) -> list[WorkerInfo]:
        allowed: list[_Room] = []
        unknown: list[_Room] = []
        for room in self._rooms:
            if not self._could_use(candidate, room):
                continue
            if self._advice.is_allowed(candidate.key, room.info.id):
                allowed.append(room)
            elif not self._advice.is_denied(candidate.key, room.info.id):
                unknown.append(room)
        left = tasks - self._capacity_of(candidate, allowed)
        if left > 0 and unknown:
            unknown.sort(key=lambda room: _breadth(candidate, room))
            # The workers behind the last one named add little.
            typical = max(
                self._capacity_of(candidate, unknown) / len(unknown), 1
            )
            needed = math.ceil(left / typical)
            count = self._advice.how_many(candidate.queue, needed)
            allowed.extend(unknown[:count])
        elif left > 0 and candidate.spec.is_gang:
            return []
        return [room.info for room in allowed]

    def _capacity_of(
        self, candidate: _Candidate, rooms: typing.Sequence[_Room]
    ) -> int:
        most = candidate.spec.most_per_worker
        total = 0
        for room in rooms:
            fits = _how_many_fit(candidate.spec.resources, room.free)
            if most:
                fits = min(fits, most - room.tasks_of(candidate.key))
            total += fits
        return total


def _next_attempt(candidate: _Candidate, number: int) -> int:
    tasks = candidate.record.step(candidate.key).tasks
    if candidate.spec.is_gang:
        return max(task.attempt for task in tasks) + 1
    return tasks[number].attempt + 1


class _Rank(typing.NamedTuple):
    is_far: bool
    is_suspect: bool
    is_slow: bool
    order: float
    free: int


def _rank(candidate: _Candidate, room: _Room) -> _Rank:
    near = candidate.spec.near_rack
    is_far = bool(near) and near != room.info.rack
    speed = round(room.speed / SPEED_STEP) * SPEED_STEP
    is_slow = speed * candidate.queue.slack < SLACK_NEEDED
    # Estimates are rough: with little slack the fastest goes first.
    is_tight = candidate.queue.slack < TIGHT_SLACK
    order = -speed if is_slow or is_tight else speed
    return _Rank(is_far, room.is_suspect, is_slow, order, room.free.cores_m)


def _breadth(candidate: _Candidate, room: _Room) -> tuple[bool, bool, int]:
    is_slow = room.speed * candidate.queue.slack < SLACK_NEEDED
    return room.is_suspect, is_slow, -room.free.cores_m


def _how_many_fit(wanted: Resources, free: Resources) -> int:
    fits = [
        have // want
        for want, have in (
            (wanted.cores_m, free.cores_m),
            (wanted.memory_mb, free.memory_mb),
            (wanted.accelerators, free.accelerators),
        )
        if want > 0
    ]
    return max(min(fits, default=1), 0)


def _left_under(limit: Resources, used: Resources) -> Resources:
    """Return what a limit leaves; 0 in a limit means none."""
    return Resources(
        limit.cores_m - used.cores_m if limit.cores_m else UNLIMITED,
        limit.memory_mb - used.memory_mb if limit.memory_mb else UNLIMITED,
        limit.accelerators - used.accelerators
        if limit.accelerators
        else UNLIMITED,
    )
