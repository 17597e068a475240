"""Jobs for the simulated cell in which some tasks crash their workers."""

import random
import typing

import msgspec

from cassiahold.core.ids import JobId, QueueName, TeamName

TEAM: typing.Final = TeamName('team')
OTHER_TEAM: typing.Final = TeamName('other')


class JobClass(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs that are submitted to one queue.

    Attributes:
        share: Fraction of all jobs.
        min_work_s: Shortest duration of a task; the tasks of a job are equal.
        slack: A job is on time within this multiple of that duration.
    """

    queue: QueueName
    priority: int
    share: float
    min_work_s: float
    max_work_s: float
    slack: float


class GeneratedJob(msgspec.Struct, frozen=True):
    """A job to submit.

    ``crashing_task`` is the index of a task or None; with ``all_tasks_crash``
    the others crash their workers, too.  ``TEAM`` submits the crashing jobs.
    """

    id: JobId
    job_class: JobClass
    arrives_at: float
    tasks: int
    work_s: float
    crashing_task: int | None = None
    all_tasks_crash: bool = False
    team: TeamName = TEAM

    def is_crashing(self, task_index: int) -> bool:
        """Tell whether a task crashes its workers."""
        if self.crashing_task is None:
            return False
        return self.all_tasks_crash or task_index == self.crashing_task


def generate_jobs(
    job_classes: typing.Sequence[JobClass],
    max_tasks: int,
    jobs_per_s: float,
    arrive_s: float,
    crashing_share: float,
    seed: int,
    *,
    all_tasks_crash: bool = False,
) -> list[GeneratedJob]:
    """Return the jobs that arrive, a share of them with a crashing task.

    A seed gives the same arrivals and sizes for each ``crashing_share``, and
    the crashing jobs of a share are among those of each larger one.  With
    ``all_tasks_crash`` all tasks of such a job crash their workers.
    """
    generator = random.Random(seed)
    weights = [job_class.share for job_class in job_classes]
    jobs: list[GeneratedJob] = []
    arrives_at = generator.expovariate(jobs_per_s)
    while arrives_at < arrive_s:
        job_class = generator.choices(job_classes, weights)[0]
        tasks = generator.randint(1, max_tasks)
        work_s = generator.uniform(job_class.min_work_s, job_class.max_work_s)
        jobs.append(
            GeneratedJob(
                JobId(f'j{len(jobs):06}'), job_class, arrives_at, tasks, work_s
            )
        )
        arrives_at += generator.expovariate(jobs_per_s)
    return [
        msgspec.structs.replace(job, all_tasks_crash=all_tasks_crash)
        for job in _add_crashing_tasks(jobs, crashing_share, generator)
    ]


def _add_crashing_tasks(
    jobs: list[GeneratedJob], share: float, generator: random.Random
) -> list[GeneratedJob]:
    """Return the jobs, a share of them with one task that crashes workers."""
    order = generator.sample(range(len(jobs)), len(jobs))
    changed_jobs = list(jobs)
    for index in order[: round(share * len(jobs))]:
        changed_jobs[index] = msgspec.structs.replace(
            jobs[index], crashing_task=generator.randrange(jobs[index].tasks)
        )
    return changed_jobs


def with_other_team(
    jobs: typing.Iterable[GeneratedJob],
) -> list[GeneratedJob]:
    """Return the jobs, every second one without a crash of another team."""
    return [
        msgspec.structs.replace(job, team=OTHER_TEAM)
        if job.crashing_task is None and index % 2
        else job
        for index, job in enumerate(jobs)
    ]
