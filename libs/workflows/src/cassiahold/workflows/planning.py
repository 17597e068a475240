"""Which tasks start where, and which advisors are asked, in one pass.

Steps are taken in the order of ``urgency``: first those that can still be
on time, by their queue's priority and their due time; late ones after them.
A gang that has to wait keeps the room of its allowed workers from the work
behind it, so that a stream of small tasks does not starve it.
"""

import enum
import math
import typing

import msgspec

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.workflows.advising import AdviceBook
from cassiahold.workflows.commands import Start
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import (
    JobRecord,
    RunKey,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerInfo,
)
from cassiahold.workflows.state import WorkState, startable_tasks

LATE_FACTOR: typing.Final = 3.0  # objectives after which an answer is worthless


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
    info: WorkerInfo
    free: Resources
    tasks_by_step: dict[StepKey, int] = msgspec.field(default_factory=dict)


class _Candidate(msgspec.Struct, frozen=True):
    key: StepKey
    record: JobRecord
    spec: StepSpec
    queue: QueuePolicy
    tasks: list[int]


def objective_s(record: JobRecord, queue: QueuePolicy) -> float:
    """Return how long a job may take to be on time."""
    steps = record.spec.steps
    chain: list[float] = []
    for step in steps:
        before = max((chain[earlier] for earlier in step.after), default=0.0)
        chain.append(before + step.expected_s)
    return queue.objective_s + queue.slack * max(chain, default=0.0)


def urgency(
    record: JobRecord, queue: QueuePolicy, now: float
) -> tuple[Standing, int, float]:
    """Return a sort key; the smallest goes first.

    ``now`` is the time of day, as is the job's acceptance.
    """
    length_s = objective_s(record, queue)
    due_at = record.accepted_at + length_s
    standing = Standing.ON_TIME
    if now > record.accepted_at + LATE_FACTOR * length_s:
        standing = Standing.WORTHLESS
    elif now > due_at:
        standing = Standing.LATE
    return standing, queue.priority, due_at


class Planner:
    """One pass over the waiting steps."""

    def __init__(
        self,
        state: WorkState,
        advice: AdviceBook,
        usable: typing.Mapping[WorkerId, bool],
        now: float,
        time_of_day: float,
    ) -> None:
        self._state = state
        self._advice = advice
        self._now = now
        self._time_of_day = time_of_day
        self._room_by_worker = {
            worker.info.id: _Room(worker.info, worker.free, _counts(worker))
            for worker in state.worker_by_id.values()
            if usable.get(worker.info.id)
        }
        self._added_by_team: dict[TeamName, Resources] = {}
        self._plan = Plan()

    def plan(self) -> Plan:
        """Return starts and questions, the most urgent first."""
        for candidate in self._candidates():
            if candidate.spec.is_gang:
                self._place_gang(candidate)
            else:
                self._place_tasks(candidate)
        return self._plan

    def _candidates(self) -> list[_Candidate]:
        found = []
        for key in self._state.waiting_steps():
            record = self._state.job_by_id[key.job]
            queue = self._state.index.queue_by_name.get(record.queue)
            if queue is None:
                continue
            if record.spec.due_at(key.occurrence) > self._time_of_day:
                continue
            tasks = startable_tasks(record, key)
            spec = record.spec.steps[key.step]
            found.append(_Candidate(key, record, spec, queue, tasks))
        found.sort(
            key=lambda each: urgency(each.record, each.queue, self._time_of_day)
        )
        return found

    # Tasks that start one by one.

    def _place_tasks(self, candidate: _Candidate) -> None:
        unplaced = 0
        for index in candidate.tasks:
            if not self._is_within_limit(candidate, 1):
                return
            room = self._best_room(candidate)
            if room is None:
                unplaced = len(candidate.tasks) - candidate.tasks.index(index)
                break
            self._plan.groups.append([self._take(candidate, index, room)])
        if unplaced:
            self._ask(candidate, unplaced)

    def _best_room(self, candidate: _Candidate) -> _Room | None:
        best: _Room | None = None
        for room in self._room_by_worker.values():
            if not self._may_use(candidate, room):
                continue
            if best is None or _rank(candidate, room) < _rank(candidate, best):
                best = room
        return best

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
        if not spec.resources.fits_in(room.free):
            return False
        if spec.needs_label and spec.needs_label not in room.info.labels:
            return False
        here = room.tasks_by_step.get(candidate.key, 0)
        return not spec.most_per_worker or here < spec.most_per_worker

    def _take(self, candidate: _Candidate, index: int, room: _Room) -> Start:
        record = candidate.record
        resources = candidate.spec.resources
        room.free -= resources
        here = room.tasks_by_step.get(candidate.key, 0)
        room.tasks_by_step[candidate.key] = here + 1
        added = self._added_by_team.get(record.team, NOTHING)
        self._added_by_team[record.team] = added + resources
        task = TaskKey(candidate.key, index)
        attempt = self._next_attempt(candidate, index)
        return Start(RunKey(task, attempt), room.info.id, room.info.born)

    def _next_attempt(self, candidate: _Candidate, index: int) -> int:
        tasks = candidate.record.step(candidate.key).tasks
        if candidate.spec.is_gang:
            return max(task.attempt for task in tasks) + 1
        return tasks[index].attempt + 1

    def _is_within_limit(self, candidate: _Candidate, tasks: int) -> bool:
        team = self._state.index.team_by_name.get(candidate.record.team)
        if team is None:
            return True
        used = self._state.usage_of(team.name)
        used += self._added_by_team.get(team.name, NOTHING)
        used += candidate.spec.resources * tasks
        return _is_under(used, team.limit)

    # Gangs.

    def _place_gang(self, candidate: _Candidate) -> None:
        if not self._is_within_limit(candidate, len(candidate.tasks)):
            return
        taken: list[tuple[int, _Room]] = []
        freed = {
            room.info.id: room.free for room in self._room_by_worker.values()
        }
        starts: list[Start] = []
        for index in candidate.tasks:
            room = self._best_room(candidate)
            if room is None:
                break
            taken.append((index, room))
            starts.append(self._take(candidate, index, room))
        if len(starts) == len(candidate.tasks):
            self._plan.groups.append(starts)
            return
        self._undo(candidate, taken, freed)
        self._ask(candidate, len(candidate.tasks))
        self._hold_back(candidate)

    def _undo(
        self,
        candidate: _Candidate,
        taken: list[tuple[int, _Room]],
        freed: dict[WorkerId, Resources],
    ) -> None:
        for _, room in taken:
            room.free = freed[room.info.id]
            room.tasks_by_step[candidate.key] -= 1
        team = candidate.record.team
        added = self._added_by_team.get(team, NOTHING)
        added -= candidate.spec.resources * len(taken)
        self._added_by_team[team] = added

    def _hold_back(self, candidate: _Candidate) -> None:
        left = len(candidate.tasks)
        for room in self._room_by_worker.values():
            if not self._advice.is_allowed(candidate.key, room.info.id):
                continue
            fits = _how_many_fit(candidate.spec.resources, room.free)
            if fits and left > 0:
                held = min(fits, left)
                room.free -= candidate.spec.resources * held
                left -= held

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
        for room in self._room_by_worker.values():
            if not self._could_use(candidate, room):
                continue
            if self._advice.is_allowed(candidate.key, room.info.id):
                allowed.append(room)
            elif not self._advice.is_denied(candidate.key, room.info.id):
                unknown.append(room)
        for rooms in (allowed, unknown):
            rooms.sort(key=lambda room: -room.free.cores_m)
        left = tasks - self._capacity_of(candidate, allowed)
        if left > 0 and unknown:
            # The workers behind the last one named add little.
            typical = max(
                self._capacity_of(candidate, unknown) / len(unknown), 1
            )
            needed = math.ceil(left / typical)
            count = self._advice.how_many(candidate.queue.name, needed)
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
                here = room.tasks_by_step.get(candidate.key, 0)
                fits = min(fits, most - here)
            total += fits
        return total


def _rank(candidate: _Candidate, room: _Room) -> tuple[bool, int]:
    near = candidate.spec.near_rack
    is_far = bool(near) and near != room.info.rack
    return is_far, room.free.cores_m


def _counts(worker: typing.Any) -> dict[StepKey, int]:
    counts: dict[StepKey, int] = {}
    for run in worker.runs:
        counts[run.task.step] = counts.get(run.task.step, 0) + 1
    return counts


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


def _is_under(used: Resources, limit: Resources) -> bool:
    """Tell whether an amount keeps a limit; 0 means no limit."""
    return all(
        not most or amount <= most
        for amount, most in (
            (used.cores_m, limit.cores_m),
            (used.memory_mb, limit.memory_mb),
            (used.accelerators, limit.accelerators),
        )
    )
