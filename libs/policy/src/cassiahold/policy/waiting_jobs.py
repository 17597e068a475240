"""Work that waits, by team and by what it asks for."""

import heapq
import itertools
import typing

from cassiahold.core.ids import JobId, TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.shapes import TaskShape

# Lanes of one team that one round looks at, the oldest first.
MAX_LANES_PER_ROUND: typing.Final = 256


class LaneKey(typing.NamedTuple):
    """Jobs of one lane are placed by the same rule; gangs wait alone."""

    shape: TaskShape
    is_urgent: bool
    gang: str


class WaitingJob:
    """A job with tasks that wait."""

    __slots__ = (
        'declared_resources',
        'id',
        'is_idempotent',
        'is_urgent',
        'kind',
        'name',
        'pending_indexes',
        'expected_run_s',
        'shape',
        'waiting_since',
        'team',
    )

    def __init__(
        self,
        job_id: JobId,
        team: TeamName,
        shape: TaskShape,
        waiting_since: float,
        *,
        kind: JobKind = JobKind.BATCH,
        name: str = '',
        is_urgent: bool = False,
        is_idempotent: bool = True,
        expected_run_s: float | None = None,
        declared_resources: Resources | None = None,
    ) -> None:
        self.id = job_id
        self.team = team
        self.shape = shape
        self.waiting_since = waiting_since
        self.kind = kind
        self.name = name
        self.is_urgent = is_urgent
        self.is_idempotent = is_idempotent
        self.expected_run_s = expected_run_s
        self.declared_resources = (
            shape.resources
            if declared_resources is None
            else declared_resources
        )
        # Keys only, in the order in which the tasks began to wait.
        self.pending_indexes: dict[int, None] = {}

    @property
    def is_gang(self) -> bool:
        """Tell whether the tasks start together or not at all."""
        return self.kind is JobKind.GANG

    def is_task_pending(self, index: int) -> bool:
        """Tell whether a task of the job waits here."""
        return index in self.pending_indexes

    @property
    def lane(self) -> LaneKey:
        """Return the lane that the job waits in."""
        gang = self.id if self.is_gang else ''
        return LaneKey(self.shape, self.is_urgent, gang)


Lane = dict[JobId, WaitingJob]


class TeamWaitingJobs:
    """What one team has waiting."""

    def __init__(self) -> None:
        self.lane_by_key: dict[LaneKey, Lane] = {}
        self.total_resources = NO_RESOURCES
        self.task_count = 0

    def oldest_lanes(self) -> list[tuple[float, LaneKey]]:
        """Return a heap of lanes by the age of their first job."""
        heads = (
            (next(iter(lane.values())).waiting_since, key)
            for key, lane in self.lane_by_key.items()
        )
        lanes = heapq.nsmallest(MAX_LANES_PER_ROUND, heads)
        heapq.heapify(lanes)
        return lanes

    def oldest_job(self) -> WaitingJob | None:
        """Return the job that has waited longest."""
        heads = (
            next(iter(lane.values())) for lane in self.lane_by_key.values()
        )
        return min(heads, key=lambda job: job.waiting_since, default=None)

    def count(self, resources: Resources, tasks: int) -> None:
        """Change the total that waits."""
        self.total_resources += resources * tasks
        self.task_count += tasks


class WaitingJobs:
    """What every team has waiting."""

    def __init__(self) -> None:
        self.jobs_by_team: dict[TeamName, TeamWaitingJobs] = {}
        self.job_by_id: dict[JobId, WaitingJob] = {}

    def add_task(self, job: WaitingJob, index: int) -> None:
        """Let a task wait; the job is kept from its first waiting task."""
        known = self.job_by_id.get(job.id)
        book = self.jobs_by_team.setdefault(job.team, TeamWaitingJobs())
        if known is None:
            known = job
            self.job_by_id[job.id] = job
            book.lane_by_key.setdefault(job.lane, {})[job.id] = job
        known.pending_indexes[index] = None
        book.count(known.shape.resources, 1)

    def pop_tasks(self, job: WaitingJob, count: int = 1) -> list[int]:
        """Remove and return the next ``count`` waiting tasks of a job."""
        indexes = list(itertools.islice(job.pending_indexes, count))
        for index in indexes:
            job.pending_indexes.pop(index)
        self._removed(job, count)
        return indexes

    def remove_task(self, job_id: JobId, index: int) -> None:
        """Remove one waiting task; unknown ones are ignored."""
        job = self.job_by_id.get(job_id)
        if job is not None and index in job.pending_indexes:
            job.pending_indexes.pop(index)
            self._removed(job, 1)

    def jobs_like(self, team: TeamName, name: str) -> list[WaitingJob]:
        """Return a team's waiting jobs of one name."""
        book = self.jobs_by_team.get(team)
        if book is None:
            return []
        return [
            job
            for lane in book.lane_by_key.values()
            for job in lane.values()
            if job.name == name
        ]

    def reshape(self, job: WaitingJob, shape: TaskShape) -> None:
        """Change what a waiting job asks for."""
        book = self.jobs_by_team[job.team]
        book.count(job.shape.resources, -len(job.pending_indexes))
        self._leave_lane(job, book)
        job.shape = shape
        book.lane_by_key.setdefault(job.lane, {})[job.id] = job
        book.count(shape.resources, len(job.pending_indexes))

    def _removed(self, job: WaitingJob, count: int) -> None:
        book = self.jobs_by_team[job.team]
        book.count(job.shape.resources, -count)
        if not job.pending_indexes:
            self._leave_lane(job, book)
            self.job_by_id.pop(job.id)
            if not book.lane_by_key:
                self.jobs_by_team.pop(job.team)

    def _leave_lane(self, job: WaitingJob, book: TeamWaitingJobs) -> None:
        lane = book.lane_by_key[job.lane]
        lane.pop(job.id)
        if not lane:
            book.lane_by_key.pop(job.lane)
