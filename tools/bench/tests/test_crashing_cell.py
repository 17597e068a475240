"""Tests of the simulated cell in which some tasks crash their workers."""

from cassiahold.bench.experiments.crashing_cell import (
    RESTART_S,
    CrashingCell,
    CrashOutcome,
    CrashPolicy,
)
from cassiahold.bench.experiments.crashing_jobs import COUNTER_TO_TWO, PRODUCT
from cassiahold.bench.experiments.generated_jobs import (
    OTHER_TEAM,
    GeneratedJob,
    JobClass,
    generate_jobs,
)
from cassiahold.bench.experiments.idle_waits import IdleWaits
from cassiahold.core.ids import JobId, QueueName
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import StepKey, TaskKey

CHECKS = JobClass(
    queue=QueueName('checks'),
    priority=0,
    share=1.0,
    min_work_s=0.5,
    max_work_s=1.0,
    slack=3.0,
)
BATCH = JobClass(
    queue=QueueName('batch'),
    priority=1,
    share=0.5,
    min_work_s=3.0,
    max_work_s=5.0,
    slack=3.0,
)


def jobs(crashing_share: float) -> list[GeneratedJob]:
    return generate_jobs([CHECKS], 4, 5.0, 8.0, crashing_share, 1)


def simulate(
    policy: CrashPolicy,
    arriving: list[GeneratedJob],
    workers: int = 12,
    until_s: float = 30.0,
) -> CrashOutcome:
    cell = CrashingCell(
        policy,
        workers,
        Resources(4000, 4000),
        Resources(1000, 1000),
        [CHECKS, BATCH],
    )
    return cell.simulate(arriving, until_s)


def test_jobs_are_on_time_without_crashes() -> None:
    outcome = simulate(PRODUCT, jobs(crashing_share=0.0))
    assert outcome.sound_on_time == outcome.sound_jobs > 0
    assert outcome.crashes == 0


def test_larger_share_contains_the_crashing_jobs_of_a_smaller_one() -> None:
    few, many = (
        {job.id for job in jobs(share) if job.crashing_task is not None}
        for share in (0.1, 0.5)
    )
    assert few < many
    assert len(few) == round(0.1 * len(jobs(0.1)))


def test_counter_gives_every_task_of_the_worker_up() -> None:
    # On one worker, a long sound task meets each crash of the other job.
    sound = GeneratedJob(JobId('sound'), CHECKS, 0.0, 1, 20.0)
    crashing = GeneratedJob(JobId('crashing'), CHECKS, 0.1, 1, 1.0, 0)
    outcome = simulate(COUNTER_TO_TWO, [sound, crashing], workers=1)
    task = TaskKey(StepKey(JobId('crashing'), 0, 0), 0)
    assert outcome.crashing_starts == {task: 2}
    assert outcome.sound_given_up == 1
    assert outcome.lost_worker_s == 2 * RESTART_S


def test_product_gives_only_crashing_jobs_up_if_they_are_few() -> None:
    outcome = simulate(PRODUCT, jobs(crashing_share=0.05))
    assert set(outcome.crashing_starts.values()) == {3}
    assert outcome.sound_given_up == 0


def test_wait_counts_only_while_capacity_is_free() -> None:
    step = StepKey(JobId('j'), 0, 0)
    early, late = TaskKey(step, 0), TaskKey(step, 1)
    waits = IdleWaits()
    waits.record([early], 1.0)
    waits.record([early, late], 3.0)
    waits.record([], 4.0)
    waits.record([early], 9.0)
    assert waits.longest_s == 2.0


def test_product_gives_no_sound_job_up_if_many_crash_workers() -> None:
    # Trials on the workers of sound tasks ended them time and again.
    arriving = generate_jobs([CHECKS, BATCH], 4, 6.0, 16.0, 0.4, 1)
    outcome = simulate(PRODUCT, arriving, until_s=70.0)
    assert outcome.sound_unfinished == 0
    assert outcome.sound_given_up == 0
    assert max(outcome.crashing_starts.values()) <= 5


def test_job_whose_tasks_all_crash_takes_few_workers() -> None:
    # Its tasks crashed 27.
    job = GeneratedJob(
        JobId('j'), CHECKS, 0.0, 12, 1.0, crashing_task=0, all_tasks_crash=True
    )
    assert simulate(PRODUCT, [job]).crashes <= 8


def test_attempts_that_another_team_loses_are_counted() -> None:
    other = GeneratedJob(JobId('o'), CHECKS, 0.0, 1, 5.0, team=OTHER_TEAM)
    crashing = GeneratedJob(JobId('c'), CHECKS, 1.0, 1, 1.0, crashing_task=0)
    outcome = simulate(PRODUCT, [other, crashing], workers=1)
    assert outcome.other_jobs == 1
    assert outcome.other_attempts_lost == outcome.crashes == 3


def test_equal_seeds_give_equal_results() -> None:
    assert simulate(PRODUCT, jobs(0.3)) == simulate(PRODUCT, jobs(0.3))


load_tests = function_tests(globals())
