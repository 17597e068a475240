"""Waiting jobs, grouped by team and by equivalence class.

Jobs of one team with the same shape and urgency form an equivalence class.  A
round offers only the oldest job of a class for placement, and skips the rest
of the class when that job cannot be placed.
"""

import heapq
import itertools
import typing

from cassiahold.core.ids import JobId, TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import JobKind
from cassiahold.policy.shapes import TaskShape

# Classes of one team that one round considers, oldest job first.
MAX_CLASSES_PER_ROUND: typing.Final = 256


class EquivalenceClass(typing.NamedTuple):
    """The key of a team's jobs with the same shape and urgency.

    Each gang is a class of its own: ``gang_job`` is its job id, and empty for
    other jobs.
    """

    shape: TaskShape
    is_urgent: bool
    gang_job: str


class WaitingJob:
    """A job with tasks that wait for placement.

    ``waiting_since`` is when its first task began to wait, and
    ``declared_resources`` the size of a task as submitted.
    """

    __slots__ = (
        'declared_resources',
        'id',
        'is_idempotent',
        'is_urgent',
        'kind',
        'name',
        'pending_indexes',
        'suspect_indexes',
        'has_suspect_member',
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
        # An ordered set of task indexes, in the order of their arrival.
        self.pending_indexes: dict[int, None] = {}
        # Tasks that may crash their workers; they start on trial.
        self.suspect_indexes: dict[int, None] = {}
        # Whether a task of a gang may crash its worker.
        self.has_suspect_member = False

    @property
    def is_gang(self) -> bool:
        """Tell whether the tasks start together or not at all."""
        return self.kind is JobKind.GANG

    def is_task_pending(self, index: int) -> bool:
        """Tell whether a task of the job waits for placement."""
        return index in self.pending_indexes or index in self.suspect_indexes

    @property
    def waiting_count(self) -> int:
        """Return how many tasks wait, those that start on trial included."""
        return len(self.pending_indexes) + len(self.suspect_indexes)

    @property
    def equivalence_class(self) -> EquivalenceClass:
        """Return the class that the job currently belongs to."""
        gang = self.id if self.is_gang else ''
        return EquivalenceClass(self.shape, self.is_urgent, gang)


JobsById = dict[JobId, WaitingJob]


class TeamWaitingJobs:
    """The waiting jobs of one team and the sum of what they request."""

    def __init__(self) -> None:
        self.jobs_by_class: dict[EquivalenceClass, JobsById] = {}
        self.suspect_job_by_id: JobsById = {}
        self.total_resources = NO_RESOURCES
        self.task_count = 0

    def oldest_classes(self) -> list[tuple[float, EquivalenceClass]]:
        """Return a heap of classes by when their oldest job began to wait.

        At most ``MAX_CLASSES_PER_ROUND`` classes are returned.
        """
        oldest_by_class = (
            (next(iter(jobs.values())).waiting_since, job_class)
            for job_class, jobs in self.jobs_by_class.items()
        )
        classes = heapq.nsmallest(MAX_CLASSES_PER_ROUND, oldest_by_class)
        heapq.heapify(classes)
        return classes

    def oldest_job(self) -> WaitingJob | None:
        """Return the job that has waited longest, None if none waits."""
        oldest_of_classes = (
            next(iter(jobs.values())) for jobs in self.jobs_by_class.values()
        )
        candidates = itertools.chain(
            oldest_of_classes, self.suspect_job_by_id.values()
        )
        return min(candidates, key=lambda job: job.waiting_since, default=None)

    def adjust_totals(self, resources: Resources, task_change: int) -> None:
        """Add tasks of one size to the totals; a negative change removes."""
        self.total_resources += resources * task_change
        self.task_count += task_change


class WaitingJobs:
    """The waiting jobs of all teams, each kept while a task of it waits."""

    def __init__(self) -> None:
        self.jobs_by_team: dict[TeamName, TeamWaitingJobs] = {}
        self.job_by_id: dict[JobId, WaitingJob] = {}

    def add_task(
        self, job: WaitingJob, index: int, *, is_suspect: bool = False
    ) -> None:
        """Add a waiting task; its job is added with its first task.

        A suspect task waits for a trial, unless it is a member of a gang.
        """
        queued_job = self.job_by_id.get(job.id)
        team_jobs = self.jobs_by_team.setdefault(job.team, TeamWaitingJobs())
        if queued_job is None:
            queued_job = job
            self.job_by_id[job.id] = job
        if is_suspect and not job.is_gang:
            team_jobs.suspect_job_by_id[job.id] = queued_job
            queued_job.suspect_indexes[index] = None
        else:
            team_jobs.jobs_by_class.setdefault(
                queued_job.equivalence_class, {}
            )[job.id] = queued_job
            queued_job.pending_indexes[index] = None
            queued_job.has_suspect_member |= is_suspect
        team_jobs.adjust_totals(queued_job.shape.resources, 1)

    def pop_tasks(self, job: WaitingJob, count: int = 1) -> list[int]:
        """Remove and return the next ``count`` waiting tasks of a job."""
        indexes = list(itertools.islice(job.pending_indexes, count))
        for index in indexes:
            job.pending_indexes.pop(index)
        self._after_removal(job, count)
        return indexes

    def remove_task(self, job_id: JobId, index: int) -> None:
        """Remove one waiting task; unknown ones are ignored."""
        job = self.job_by_id.get(job_id)
        if job is not None and job.is_task_pending(index):
            job.pending_indexes.pop(index, None)
            job.suspect_indexes.pop(index, None)
            self._after_removal(job, 1)

    def jobs_named(self, team: TeamName, name: str) -> list[WaitingJob]:
        """Return a team's waiting jobs of one name."""
        team_jobs = self.jobs_by_team.get(team)
        if team_jobs is None:
            return []
        jobs_of_classes = (
            job
            for jobs in team_jobs.jobs_by_class.values()
            for job in jobs.values()
        )
        job_by_id = {job.id: job for job in jobs_of_classes}
        job_by_id.update(team_jobs.suspect_job_by_id)
        return [job for job in job_by_id.values() if job.name == name]

    def change_shape(self, job: WaitingJob, shape: TaskShape) -> None:
        """Change the shape of a waiting job's tasks, and so its class."""
        team_jobs = self.jobs_by_team[job.team]
        team_jobs.adjust_totals(job.shape.resources, -job.waiting_count)
        self._remove_from_class(job, team_jobs)
        job.shape = shape
        if job.pending_indexes:
            team_jobs.jobs_by_class.setdefault(job.equivalence_class, {})[
                job.id
            ] = job
        team_jobs.adjust_totals(shape.resources, job.waiting_count)

    def _after_removal(self, job: WaitingJob, count: int) -> None:
        team_jobs = self.jobs_by_team[job.team]
        team_jobs.adjust_totals(job.shape.resources, -count)
        if not job.pending_indexes:
            self._remove_from_class(job, team_jobs)
        if not job.suspect_indexes:
            team_jobs.suspect_job_by_id.pop(job.id, None)
        if not job.waiting_count:
            self.job_by_id.pop(job.id)
        if not team_jobs.task_count:
            self.jobs_by_team.pop(job.team)

    def _remove_from_class(
        self, job: WaitingJob, team_jobs: TeamWaitingJobs
    ) -> None:
        jobs = team_jobs.jobs_by_class.get(job.equivalence_class, {})
        jobs.pop(job.id, None)
        if not jobs:
            team_jobs.jobs_by_class.pop(job.equivalence_class, None)
