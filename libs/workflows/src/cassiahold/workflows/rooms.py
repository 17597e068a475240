"""The free room of workers during one planning pass.

Rooms only shrink while a pass gives them away, so the order of their free
cores at its start bounds what each can still hold: a search for room stops
at the first worker that was too full from the beginning.
"""

import bisect
import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import StepKey, WorkerInfo, WorkerRecord
from cassiahold.workflows.urgency import Candidate

SPEED_STEP: typing.Final = 0.25  # speeds this close count as equal
SLACK_NEEDED: typing.Final = 1.2  # of the estimate, with starting and noticing
TIGHT_SLACK: typing.Final = 2.0
MANY: typing.Final = 1_000_000_000


class Room(msgspec.Struct):
    """What a worker has left in this pass."""

    worker: WorkerRecord
    info: WorkerInfo
    free: Resources
    speed: float
    is_suspect: bool
    taken_by_step: dict[StepKey, int] = msgspec.field(default_factory=dict)

    def tasks_of(self, step: StepKey) -> int:
        """Return how many tasks of a step run or will run here."""
        return self.worker.tasks_of(step) + self.taken_by_step.get(step, 0)

    def has_room(self, candidate: Candidate) -> bool:
        """Tell whether one more task of a step fits."""
        spec = candidate.spec
        if not spec.resources.fits_in(self.free):
            return False
        if not spec.max_tasks_per_worker:
            return True
        return self.tasks_of(candidate.key) < spec.max_tasks_per_worker

    def may_run(self, candidate: Candidate) -> bool:
        """Tell whether queue and label of a step permit this worker."""
        spec = candidate.spec
        if self.info.service != candidate.queue.service:
            return False
        return (
            not spec.required_label or spec.required_label in self.info.labels
        )

    def tasks_that_fit(self, candidate: Candidate) -> int:
        """Return how many more tasks of a step fit."""
        fits = how_many_fit(candidate.spec.resources, self.free)
        most = candidate.spec.max_tasks_per_worker
        if most:
            fits = min(fits, most - self.tasks_of(candidate.key))
        return max(fits, 0)


class Rooms:
    """The rooms of the workers that may get work, those with most first."""

    def __init__(
        self, workers: typing.Iterable[WorkerRecord], health: HealthTracker
    ) -> None:
        self._ordered = [
            Room(
                worker,
                worker.info,
                worker.free,
                worker.speed.speed,
                health.is_suspect(worker.info.id),
            )
            for worker in workers
        ]
        self._ordered.sort(key=_fullness)
        self._fullness = [_fullness(room) for room in self._ordered]
        self._room_by_worker = {room.info.id: room for room in self._ordered}

    def of(self, workers: typing.Iterable[WorkerId]) -> list[Room]:
        """Return the rooms of some workers; the others get no work."""
        found = (self._room_by_worker.get(worker) for worker in workers)
        return [room for room in found if room is not None]

    def everyone(self) -> list[Room]:
        """Return every room, those with most free cores first."""
        return self._ordered

    def with_cores(self, wanted: Resources) -> list[Room]:
        """Return the rooms that had the wanted cores free at the start."""
        count = bisect.bisect_right(self._fullness, -wanted.cores_m)
        return self._ordered[:count]


class _Rank(typing.NamedTuple):
    is_far: bool
    is_suspect: bool
    is_slow: bool
    order: float
    is_second: bool
    free: int


def rank(candidate: Candidate, room: Room) -> _Rank:
    """Return a sort key; the best room for a task of a step goes first.

    Work goes to the slowest worker on which its job is still on time, so
    that fast ones are left for work with little slack.  Workers whose speed
    is not known yet are tried with work that has slack.
    """
    near = candidate.spec.preferred_rack
    is_far = bool(near) and near != room.info.rack
    speed = round(room.speed / SPEED_STEP) * SPEED_STEP
    slow = is_slow(candidate, speed)
    # Estimates are rough: with little slack the fastest goes first.
    is_tight = candidate.queue.slack_factor < TIGHT_SLACK
    order = -speed if slow or is_tight else speed
    return _Rank(
        is_far,
        room.is_suspect,
        slow,
        order,
        room.worker.speed.is_proven is not is_tight,
        room.free.cores_m,
    )


def breadth(candidate: Candidate, room: Room) -> tuple[bool, bool, int]:
    """Return a sort key for asking; the most promising room goes first."""
    slow = is_slow(candidate, room.speed)
    return room.is_suspect, slow, -room.free.cores_m


def is_slow(candidate: Candidate, speed: float) -> bool:
    """Tell whether a speed makes a job late that could be on time.

    For a job that is late anyway the whole slack of its queue counts.
    """
    spec = candidate.spec
    if spec.expected_s <= 0 or candidate.left_s <= 0:
        return speed * candidate.queue.slack_factor < SLACK_NEEDED
    left_s = candidate.left_s - candidate.after_s * SLACK_NEEDED
    return speed * left_s < SLACK_NEEDED * spec.expected_s


def how_many_fit(wanted: Resources, free: Resources) -> int:
    """Return how many times an amount fits; 1 when nothing is wanted."""
    if wanted == NO_RESOURCES:
        return 1
    fits = MANY
    if wanted.cores_m:
        fits = free.cores_m // wanted.cores_m
    if wanted.memory_mb:
        fits = min(fits, free.memory_mb // wanted.memory_mb)
    if wanted.accelerators:
        fits = min(fits, free.accelerators // wanted.accelerators)
    return max(fits, 0)


def _fullness(room: Room) -> int:
    return -room.free.cores_m
