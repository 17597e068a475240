"""Jobs given up in a cell in which some tasks crash their workers."""

import statistics
import sys
import typing

import msgspec

from cassiahold.bench.experiments.crashing_cell import (
    CrashingCell,
    CrashOutcome,
    CrashPolicy,
)
from cassiahold.bench.experiments.generated_jobs import (
    JobClass,
    generate_jobs,
    with_other_team,
)
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
    expect_at_most,
)
from cassiahold.core.resources import Resources
from cassiahold.workflows.crashes import MAX_CRASH_SCORE

COUNTER_TO_TWO: typing.Final = CrashPolicy(name='counter to 2', max_score=2)
COUNTER_TO_THREE: typing.Final = CrashPolicy(name='counter to 3', max_score=3)
UNSEPARATED: typing.Final = CrashPolicy(
    name='score, not apart', max_score=MAX_CRASH_SCORE, weighs_starts=True
)
PRODUCT: typing.Final = CrashPolicy(
    name='product',
    max_score=MAX_CRASH_SCORE,
    weighs_starts=True,
    is_in_state=True,
)
POLICIES: typing.Final = (
    COUNTER_TO_TWO,
    COUNTER_TO_THREE,
    UNSEPARATED,
    PRODUCT,
)
_PERCENT: typing.Final = 100

_OutcomeByPolicy = dict[str, CrashOutcome]


class CrashingJobsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    Attributes:
        cores_m: Millicores of a worker, which has twice as many MB of memory.
        task_cores_m: Millicores of a task, with as many MB of memory.
        max_tasks: Most tasks of a job; each number from 1 is as likely.
        load: Share of the cores that the jobs would use without crashes.
        job_classes: Queues and the jobs that are submitted to them.
        crashing_shares: Shares of the jobs with a crashing task, ascending.
        arrive_s: Time after which no more jobs arrive.
        until_s: End of the simulation.
        target_starts: Most starts of a crashing task.
        target_given_up_part: Largest fraction of the sound jobs given up.
        wholly_crashing_shares: Shares of the jobs all of whose tasks crash.
        target_lost_part: Workers lost to jobs all of whose tasks crash, as a
            part of those lost with a counter to three.
        two_team_shares: Shares of the jobs with a crashing task, all of them
            of one of two teams.
        target_idle_wait_s: Longest wait of a task of a sound job while at
            least half of the capacity is free.
        seed: Jobs for which the policies are compared.
        further_seeds: Jobs that only the product gets beside those.
    """

    workers: int
    cores_m: int
    task_cores_m: int
    max_tasks: int
    load: float
    job_classes: list[JobClass]
    crashing_shares: list[float]
    arrive_s: float
    until_s: float
    target_starts: float
    target_given_up_part: float
    wholly_crashing_shares: list[float]
    target_lost_part: float
    two_team_shares: list[float]
    target_idle_wait_s: float
    seed: int
    further_seeds: list[int]


def run(settings: CrashingJobsSettings) -> list[BenchmarkResult]:
    """Compare policies for crashes at several shares of crashing jobs.

    All policies get the same jobs.  The figures of every policy are printed.
    The product is judged by the jobs of all seeds.
    """
    outcomes_by_share = {
        share: simulate_policies(settings, share)
        for share in settings.crashing_shares
    }
    results: list[BenchmarkResult] = []
    for share, outcomes in outcomes_by_share.items():
        _print_outcomes(share, outcomes)
        product_outcomes = [
            outcomes[PRODUCT.name],
            *_simulate_further_seeds(settings, share),
        ]
        results.extend(
            _judge_share(
                settings,
                share,
                product_outcomes,
                outcomes[COUNTER_TO_THREE.name],
            )
        )
    lowest_share = settings.crashing_shares[0]
    outcomes = outcomes_by_share[lowest_share]
    results.append(
        expect_at_least(
            f'sound jobs on time, {lowest_share:.0%} crashing',
            _on_time_percent(outcomes[PRODUCT.name]),
            _on_time_percent(outcomes[COUNTER_TO_TWO.name]),
            '%',
        )
    )
    for share in settings.wholly_crashing_shares:
        results.extend(_compare_lost_workers(settings, share))
    for share in settings.two_team_shares:
        results.append(_compare_other_team(settings, share))
    return results


def _compare_other_team(
    settings: CrashingJobsSettings, share: float
) -> BenchmarkResult:
    """Judge the jobs of a team beside one that submits crashing jobs."""
    outcomes = simulate_policies(
        settings, share, (COUNTER_TO_THREE, PRODUCT), has_other_team=True
    )
    for name, outcome in outcomes.items():
        _print_outcome(share, f'{name}, teams', outcome)
        sys.stdout.write(
            f'       of the other team: {_other_on_time_percent(outcome):.1f}% '
            f'of {outcome.other_jobs} jobs on time, '
            f'{outcome.other_attempts_lost} attempts lost\n'
        )
    baseline, product = outcomes.values()
    return expect_at_least(
        f'jobs of another team on time, {share:.0%} crashing',
        _other_on_time_percent(product),
        _other_on_time_percent(baseline),
        '%',
    )


def _compare_lost_workers(
    settings: CrashingJobsSettings, share: float
) -> list[BenchmarkResult]:
    """Judge what jobs take all of whose tasks crash their workers."""
    outcomes = simulate_policies(
        settings, share, (COUNTER_TO_THREE, PRODUCT), all_tasks_crash=True
    )
    for name, outcome in outcomes.items():
        _print_outcome(share, f'{name}, all tasks', outcome)
    baseline, product = outcomes.values()
    return [
        expect_at_most(
            f'workers lost, all tasks of {share:.0%} crashing',
            float(product.crashes),
            baseline.crashes * settings.target_lost_part,
            'workers',
            COUNTER_TO_THREE.name,
            float(baseline.crashes),
        ),
        expect_at_most(
            f'sound jobs given up, all tasks of {share:.0%} crashing',
            _given_up_percent(product),
            settings.target_given_up_part * _PERCENT,
            '%',
            COUNTER_TO_THREE.name,
            _given_up_percent(baseline),
        ),
        expect_at_least(
            f'sound jobs on time, all tasks of {share:.0%} crashing',
            _on_time_percent(product),
            _on_time_percent(baseline),
            '%',
        ),
    ]


def simulate_policies(
    settings: CrashingJobsSettings,
    crashing_share: float,
    policies: typing.Iterable[CrashPolicy] = POLICIES,
    *,
    all_tasks_crash: bool = False,
    has_other_team: bool = False,
) -> _OutcomeByPolicy:
    """Return the outcome of each policy for the same jobs, by its name."""
    jobs = generate_jobs(
        settings.job_classes,
        settings.max_tasks,
        _jobs_per_s(settings),
        settings.arrive_s,
        crashing_share,
        settings.seed,
        all_tasks_crash=all_tasks_crash,
    )
    if has_other_team:
        jobs = with_other_team(jobs)
    return {
        policy.name: CrashingCell(
            policy,
            settings.workers,
            Resources(settings.cores_m, 2 * settings.cores_m),
            Resources(settings.task_cores_m, settings.task_cores_m),
            settings.job_classes,
        ).simulate(jobs, settings.until_s)
        for policy in policies
    }


def _simulate_further_seeds(
    settings: CrashingJobsSettings, crashing_share: float
) -> list[CrashOutcome]:
    outcomes: list[CrashOutcome] = []
    for seed in settings.further_seeds:
        seed_settings = msgspec.structs.replace(settings, seed=seed)
        outcome = simulate_policies(seed_settings, crashing_share, (PRODUCT,))[
            PRODUCT.name
        ]
        _print_outcome(crashing_share, f'product, seed {seed}', outcome)
        outcomes.append(outcome)
    return outcomes


def _jobs_per_s(settings: CrashingJobsSettings) -> float:
    mean_work_s = sum(
        job_class.share * (job_class.min_work_s + job_class.max_work_s) / 2
        for job_class in settings.job_classes
    )
    mean_tasks = (1 + settings.max_tasks) / 2
    concurrent_tasks = (
        settings.workers * settings.cores_m / settings.task_cores_m
    )
    return settings.load * concurrent_tasks / (mean_tasks * mean_work_s)


def _judge_share(
    settings: CrashingJobsSettings,
    share: float,
    outcomes: list[CrashOutcome],
    baseline: CrashOutcome,
) -> list[BenchmarkResult]:
    """Judge the worst of the product's outcomes at one share."""
    return [
        expect_at_most(
            f'starts of a crashing task, worst, {share:.0%} crashing',
            float(max(map(_most_starts, outcomes))),
            settings.target_starts,
            'starts',
            COUNTER_TO_THREE.name,
            float(_most_starts(baseline)),
        ),
        expect_at_most(
            f'sound jobs given up, worst, {share:.0%} crashing',
            max(map(_given_up_percent, outcomes)),
            settings.target_given_up_part * _PERCENT,
            '%',
            COUNTER_TO_THREE.name,
            _given_up_percent(baseline),
        ),
        expect_at_most(
            f'wait beside free capacity, longest, {share:.0%} crashing',
            max(outcome.longest_idle_wait_s for outcome in outcomes),
            settings.target_idle_wait_s,
            's',
            COUNTER_TO_THREE.name,
            baseline.longest_idle_wait_s,
        ),
    ]


def _print_outcomes(share: float, outcomes: _OutcomeByPolicy) -> None:
    for name, outcome in outcomes.items():
        _print_outcome(share, name, outcome)


def _print_outcome(share: float, name: str, outcome: CrashOutcome) -> None:
    sys.stdout.write(f'  {share:>4.0%} {name:<17} {describe(outcome)}\n')


def describe(outcome: CrashOutcome) -> str:
    """Return the figures of one simulated cell as a line of text."""
    starts = list(outcome.crashing_starts.values()) or [0]
    return (
        f'sound: {outcome.sound_given_up} of {outcome.sound_jobs} given up '
        f'({_given_up_percent(outcome):.2f}%), '
        f'{_on_time_percent(outcome):.1f}% on time, '
        f'{outcome.sound_unfinished} open, '
        f'idle wait {outcome.longest_idle_wait_s:.1f} s; '
        f'crashing: {len(outcome.crashing_starts)} tasks, '
        f'starts {max(starts)} most, {statistics.fmean(starts):.2f} mean; '
        f'{outcome.lost_worker_s:.0f} worker-s lost'
    )


def _most_starts(outcome: CrashOutcome) -> int:
    return max(outcome.crashing_starts.values(), default=0)


def _given_up_percent(outcome: CrashOutcome) -> float:
    return outcome.sound_given_up / outcome.sound_jobs * _PERCENT


def _on_time_percent(outcome: CrashOutcome) -> float:
    return outcome.sound_on_time / outcome.sound_jobs * _PERCENT


def _other_on_time_percent(outcome: CrashOutcome) -> float:
    return outcome.other_on_time / outcome.other_jobs * _PERCENT
