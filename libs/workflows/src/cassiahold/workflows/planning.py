"""Which tasks start where, and which advisors are asked, in one pass.

The most urgent gang that has to wait keeps the room of its allowed workers
from the work behind it, so that a stream of small tasks does not starve it.
Others keep nothing: several gangs that each hold a part of what they need
leave the cell idle while none of them can start.  Once a gang fits into the
room of workers that it may use, that room is kept while its tickets are
renewed.

A pass looks only at workers that can matter for a step: those that hold a
ticket for it, or those with room when an advisor has to be asked.  A step
that waits for its advisor costs nothing.
"""

import bisect
import itertools
import math
import typing

import msgspec

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.advisor_replies import MAX_NAMED, AdvisorReplyCache
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey, WorkerInfo
from cassiahold.workflows.rooms import (
    Room,
    Rooms,
    breadth,
    how_many_fit,
    rank,
)
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.steps import startable_tasks
from cassiahold.workflows.urgency import Backlog, Candidate

SPARE_ROOM: typing.Final = 1.25  # of a gang, since urgent work goes first
NEAR_SHARE: typing.Final = 0.5  # of a gang's room is free: it may hold it
UNLIMITED: typing.Final = 1_000_000_000_000


class AdvisorQuery(msgspec.Struct, frozen=True):
    """A call to an advisor that is worth its time."""

    step: StepKey
    queue: QueuePolicy
    workers: tuple[WorkerInfo, ...]


class Plan(msgspec.Struct):
    """What one pass decided."""

    start_groups: list[list[AttemptStart]] = msgspec.field(default_factory=list)
    advisor_queries: list[AdvisorQuery] = msgspec.field(default_factory=list)


class PlanningContext(msgspec.Struct, frozen=True):
    """What a pass is based on beside the replicated state.

    ``usable`` are the workers that may get work.  ``now`` is on the steady
    clock, ``time_of_day`` in seconds since 1970.
    """

    usable_workers: frozenset[WorkerId]
    now: float
    unix_time_s: float


class Planner:
    """Plans passes over the waiting steps of one state."""

    def __init__(
        self,
        state: WorkflowState,
        advice: AdvisorReplyCache,
        health: HealthTracker,
    ) -> None:
        self._state = state
        self._advice = advice
        self._health = health
        self._backlog = Backlog(state)

    def plan(self, conditions: PlanningContext) -> Plan:
        """Return starts and questions, the most urgent first."""
        candidates = self._backlog.candidates(conditions.unix_time_s)
        if not candidates:
            return Plan()
        return _Pass(self._state, self._advice, self._health, conditions).run(
            candidates
        )


class _Pass:
    """One pass; room that it gives away is counted at once."""

    def __init__(
        self,
        state: WorkflowState,
        advice: AdvisorReplyCache,
        health: HealthTracker,
        conditions: PlanningContext,
    ) -> None:
        self._state = state
        self._advice = advice
        self._health = health
        self._now = conditions.now
        self._rooms = Rooms(
            (
                worker
                for worker in state.worker_by_id.values()
                if worker.info.id in conditions.usable_workers
            ),
            health,
        )
        self._added_by_team: dict[TeamName, Resources] = {}
        self._is_holding = False
        self._plan = Plan()

    def run(self, candidates: list[Candidate]) -> Plan:
        """Place or ask for every candidate."""
        for candidate in candidates:
            if self._waits_for_advice(candidate):
                continue
            tasks = startable_tasks(candidate.record, candidate.key)
            if candidate.spec.is_gang:
                self._place_gang(candidate, tasks)
            else:
                self._place_tasks(candidate, tasks)
        return self._plan

    def _waits_for_advice(self, candidate: Candidate) -> bool:
        return (
            candidate.queue.advisor is not None
            and self._advice.is_asking(candidate.key)
            and not self._advice.is_answered(candidate.key)
        )

    # Tasks that start one by one.

    def _place_tasks(self, candidate: Candidate, tasks: list[int]) -> None:
        allowed = self._within_limit(candidate, len(tasks))
        if not allowed:
            return
        rooms = self._usable_rooms(candidate)
        starts = self._fill(candidate, tasks[:allowed], rooms)
        self._plan.start_groups.extend([start] for start in starts)
        if len(starts) < allowed:
            self._ask(candidate, allowed - len(starts))

    def _fill(
        self, candidate: Candidate, tasks: list[int], rooms: list[Room]
    ) -> list[AttemptStart]:
        starts: list[AttemptStart] = []
        left = list(reversed(tasks))
        for room in rooms:
            while left and room.has_room(candidate):
                starts.append(self._take(candidate, left.pop(), room))
            if not left:
                break
        return starts

    def _usable_rooms(self, candidate: Candidate) -> list[Room]:
        rooms = (
            self._rooms.with_cores(candidate.spec.resources)
            if candidate.queue.advisor is None
            else self._ticketed_rooms(candidate.key)
        )
        usable = [room for room in rooms if self._could_use(candidate, room)]
        usable.sort(key=lambda room: rank(candidate, room))
        return usable

    def _ticketed_rooms(self, step: StepKey) -> list[Room]:
        return [
            room
            for room in self._rooms.of(self._advice.allowed(step))
            if self._advice.ticket(step, room.info, self._now) is not None
        ]

    def _could_use(self, candidate: Candidate, room: Room) -> bool:
        if not room.has_room(candidate) or not room.may_run(candidate):
            return False
        return not self._health.avoids(
            candidate.key.job, room.info.id, self._now
        )

    def _take(
        self, candidate: Candidate, number: int, room: Room
    ) -> AttemptStart:
        record = candidate.record
        resources = candidate.spec.resources
        room.free -= resources
        taken = room.taken_by_step.get(candidate.key, 0)
        room.taken_by_step[candidate.key] = taken + 1
        added = self._added_by_team.get(record.team, NO_RESOURCES)
        self._added_by_team[record.team] = added + resources
        run = AttemptKey(
            TaskKey(candidate.key, number), _next_attempt(candidate, number)
        )
        return AttemptStart(run, room.info.id, room.info.incarnation)

    def _within_limit(self, candidate: Candidate, tasks: int) -> int:
        """Return how many of a number of tasks the team's limit leaves."""
        team = self._state.index.team_by_name.get(candidate.record.team)
        if team is None:
            return tasks
        used = self._state.usage_of(team.name)
        used += self._added_by_team.get(team.name, NO_RESOURCES)
        left = _left_under(team.limit, used)
        return min(how_many_fit(candidate.spec.resources, left), tasks)

    # Gangs.

    def _place_gang(self, candidate: Candidate, tasks: list[int]) -> None:
        count = len(tasks)
        if self._within_limit(candidate, count) < count:
            return
        rooms = self._usable_rooms(candidate)
        if _capacity_of(candidate, rooms) >= count:
            self._plan.start_groups.append(self._fill(candidate, tasks, rooms))
            return
        chosen = self._enough_allowed(candidate, count)
        if chosen:
            # The tickets have lapsed; the room is kept until they are new.
            self._hold(candidate, chosen, count)
            self._ask_about(candidate, chosen)
            return
        self._discover(candidate, count)
        allowed = self._allowed_rooms(candidate)
        # The room of a gang that is far from its start would lie idle.
        is_near = _capacity_of(candidate, allowed) >= count * NEAR_SHARE
        if is_near and not self._is_holding:
            self._is_holding = True
            self._hold(candidate, allowed, count)

    def _enough_allowed(self, candidate: Candidate, tasks: int) -> list[Room]:
        """Return allowed rooms that hold a whole gang, with some to spare."""
        if candidate.queue.advisor is None:
            return []
        rooms = [
            room
            for room in self._allowed_rooms(candidate)
            if self._could_use(candidate, room)
        ]
        if _capacity_of(candidate, rooms) < tasks:
            return []
        rooms.sort(
            key=lambda room: (
                not self._advice.is_named(candidate.key, room.info.id),
                rank(candidate, room),
            )
        )
        wanted = math.ceil(tasks * SPARE_ROOM)
        held = itertools.accumulate(
            room.tasks_that_fit(candidate) for room in rooms
        )
        return rooms[: bisect.bisect_left(list(held), wanted) + 1]

    def _allowed_rooms(self, candidate: Candidate) -> list[Room]:
        if candidate.queue.advisor is None:
            return [
                room
                for room in self._rooms.with_cores(candidate.spec.resources)
                if room.may_run(candidate)
            ]
        return self._rooms.of(self._advice.allowed(candidate.key))

    def _hold(
        self, candidate: Candidate, rooms: typing.Iterable[Room], tasks: int
    ) -> None:
        left = tasks
        for room in rooms:
            fits = min(room.tasks_that_fit(candidate), left)
            if fits:
                room.free -= candidate.spec.resources * fits
                left -= fits

    def _discover(self, candidate: Candidate, tasks: int) -> None:
        """Ask about workers that were never named, with room or without."""
        if not self._may_ask(candidate):
            return
        unknown = [
            room
            for room in self._rooms.everyone()
            if room.may_run(candidate)
            and not self._advice.is_known(candidate.key, room.info.id)
        ]
        self._ask_about(candidate, self._promising(candidate, unknown, tasks))

    # Advice.

    def _ask(self, candidate: Candidate, tasks: int) -> None:
        if self._may_ask(candidate):
            self._ask_about(candidate, self._rooms_to_name(candidate, tasks))

    def _may_ask(self, candidate: Candidate) -> bool:
        return (
            candidate.queue.advisor is not None
            and not self._advice.is_asking(candidate.key)
        )

    def _ask_about(
        self, candidate: Candidate, rooms: typing.Iterable[Room]
    ) -> None:
        named = tuple(room.info for room in itertools.islice(rooms, MAX_NAMED))
        if named and self._may_ask(candidate):
            self._plan.advisor_queries.append(
                AdvisorQuery(candidate.key, candidate.queue, named)
            )

    def _rooms_to_name(self, candidate: Candidate, tasks: int) -> list[Room]:
        allowed: list[Room] = []
        unknown: list[Room] = []
        for room in self._rooms.with_cores(candidate.spec.resources):
            if not self._could_use(candidate, room):
                continue
            if self._advice.is_allowed(candidate.key, room.info.id):
                allowed.append(room)
            elif not self._advice.is_denied(candidate.key, room.info.id):
                unknown.append(room)
        left = tasks - _capacity_of(candidate, allowed)
        if left > 0:
            allowed.extend(self._promising(candidate, unknown, left))
        return allowed

    def _promising(
        self, candidate: Candidate, unknown: list[Room], tasks: int
    ) -> list[Room]:
        """Return unknown rooms that are expected to cover some tasks.

        The workers behind the last one returned would add little.
        """
        fits_now = _capacity_of(candidate, unknown)
        typical = max(fits_now / max(len(unknown), 1), 1)
        unknown.sort(key=lambda room: breadth(candidate, room))
        needed = math.ceil(tasks / typical)
        return unknown[: self._advice.how_many(candidate.queue, needed)]


def _capacity_of(candidate: Candidate, rooms: typing.Sequence[Room]) -> int:
    return sum(room.tasks_that_fit(candidate) for room in rooms)


def _next_attempt(candidate: Candidate, number: int) -> int:
    tasks = candidate.record.step(candidate.key).tasks
    if candidate.spec.is_gang:
        return max(task.last_attempt_number for task in tasks) + 1
    return tasks[number].last_attempt_number + 1


def _left_under(limit: Resources, used: Resources) -> Resources:
    """Return what a limit leaves; 0 in a limit means none."""
    return Resources(
        limit.cores_m - used.cores_m if limit.cores_m else UNLIMITED,
        limit.memory_mb - used.memory_mb if limit.memory_mb else UNLIMITED,
        limit.accelerators - used.accelerators
        if limit.accelerators
        else UNLIMITED,
    )
