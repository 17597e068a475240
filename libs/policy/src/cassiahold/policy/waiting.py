"""Work that waits, by team and by what it asks for."""

import heapq
import itertools
import typing

from cassiahold.core.ids import JobId, TeamName
from cassiahold.core.resources import NOTHING, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.shapes import Shape

# Lanes of one team that one round looks at, the oldest first.
MAX_CLASSES_PER_ROUND: typing.Final = 256


class EquivalenceClass(typing.NamedTuple):
    """Jobs of one lane are placed by the same rule; gangs wait alone."""

    shape: Shape
    is_urgent: bool
    gang_job: str


class WaitingJob:
    """A job with tasks that wait."""

    __slots__ = (
        'declared',
        'id',
        'is_idempotent',
        'is_urgent',
        'kind',
        'name',
        'pending',
        'run_s',
        'shape',
        'since',
        'team',
    )

    def __init__(
        self,
        job_id: JobId,
        team: TeamName,
        shape: Shape,
        since: float,
        *,
        kind: JobKind = JobKind.BATCH,
        name: str = '',
        is_urgent: bool = False,
        is_idempotent: bool = True,
        run_s: float | None = None,
        declared: Resources | None = None,
    ) -> None:
        self.id = job_id
        self.team = team
        self.shape = shape
        self.since = since
        self.kind = kind
        self.name = name
        self.is_urgent = is_urgent
        self.is_idempotent = is_idempotent
        self.run_s = run_s
        self.declared = shape.resources if declared is None else declared
        # Keys only, in the order in which the tasks began to wait.
        self.pending: dict[int, None] = {}

    @property
    def is_gang(self) -> bool:
        """Tell whether the tasks start together or not at all."""
        return self.kind is JobKind.GANG

    def has_pending(self, index: int) -> bool:
        """Tell whether a task of the job waits here."""
        return index in self.pending

    @property
    def equivalence_class(self) -> EquivalenceClass:
        """Return the lane that the job waits in."""
        gang = self.id if self.is_gang else ''
        return EquivalenceClass(self.shape, self.is_urgent, gang)


JobsById = dict[JobId, WaitingJob]


class TeamBook:
    """What one team has waiting."""

    def __init__(self) -> None:
        self.jobs_by_class: dict[EquivalenceClass, JobsById] = {}
        self.waiting = NOTHING
        self.tasks = 0

    def oldest_classes(self) -> list[tuple[float, EquivalenceClass]]:
        """Return a heap of lanes by the age of their first job."""
        heads = (
            (next(iter(lane.values())).since, key)
            for key, lane in self.jobs_by_class.items()
        )
        lanes = heapq.nsmallest(MAX_CLASSES_PER_ROUND, heads)
        heapq.heapify(lanes)
        return lanes

    def oldest_job(self) -> WaitingJob | None:
        """Return the job that has waited longest."""
        heads = (
            next(iter(lane.values())) for lane in self.jobs_by_class.values()
        )
        return min(heads, key=lambda job: job.since, default=None)

    def adjust_totals(self, resources: Resources, tasks: int) -> None:
        """Change the total that waits."""
        self.waiting += resources * tasks
        self.tasks += tasks


class WaitingBook:
    """What every team has waiting."""

    def __init__(self) -> None:
        self.by_team: dict[TeamName, TeamBook] = {}
        self.job_by_id: dict[JobId, WaitingJob] = {}

    def put(self, job: WaitingJob, index: int) -> None:
        """Let a task wait; the job is kept from its first waiting task."""
        known = self.job_by_id.get(job.id)
        book = self.by_team.setdefault(job.team, TeamBook())
        if known is None:
            known = job
            self.job_by_id[job.id] = job
            book.jobs_by_class.setdefault(job.equivalence_class, {})[job.id] = (
                job
            )
        known.pending[index] = None
        book.adjust_totals(known.shape.resources, 1)

    def take(self, job: WaitingJob, count: int = 1) -> list[int]:
        """Remove and return the next ``count`` waiting tasks of a job."""
        indexes = list(itertools.islice(job.pending, count))
        for index in indexes:
            job.pending.pop(index)
        self._after_removal(job, count)
        return indexes

    def remove(self, job_id: JobId, index: int) -> None:
        """Remove one waiting task; unknown ones are ignored."""
        job = self.job_by_id.get(job_id)
        if job is not None and index in job.pending:
            job.pending.pop(index)
            self._after_removal(job, 1)

    def jobs_named(self, team: TeamName, name: str) -> list[WaitingJob]:
        """Return a team's waiting jobs of one name."""
        book = self.by_team.get(team)
        if book is None:
            return []
        return [
            job
            for lane in book.jobs_by_class.values()
            for job in lane.values()
            if job.name == name
        ]

    def change_shape(self, job: WaitingJob, shape: Shape) -> None:
        """Change what a waiting job asks for."""
        book = self.by_team[job.team]
        book.adjust_totals(job.shape.resources, -len(job.pending))
        self._remove_from_class(job, book)
        job.shape = shape
        book.jobs_by_class.setdefault(job.equivalence_class, {})[job.id] = job
        book.adjust_totals(shape.resources, len(job.pending))

    def _after_removal(self, job: WaitingJob, count: int) -> None:
        book = self.by_team[job.team]
        book.adjust_totals(job.shape.resources, -count)
        if not job.pending:
            self._remove_from_class(job, book)
            self.job_by_id.pop(job.id)
            if not book.jobs_by_class:
                self.by_team.pop(job.team)

    def _remove_from_class(self, job: WaitingJob, book: TeamBook) -> None:
        lane = book.jobs_by_class[job.equivalence_class]
        lane.pop(job.id)
        if not lane:
            book.jobs_by_class.pop(job.equivalence_class)
