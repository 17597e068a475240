"""Callers who return after a refusal, under three loads.

The product's pauses are compared with a constant pause of 1 s and with none,
after which callers back off by themselves.
"""

import enum
import random
import sys
import typing

import msgspec

from cassiahold.bench.experiments.refused_gateway import (
    Caller,
    CallerOutcome,
    ConstantPause,
    GatewayShape,
    OwnBackoff,
    PausePolicy,
    ProductPause,
    SimulatedGateway,
    summarise,
)
from cassiahold.bench.experiments.results import (
    BenchmarkResult,
    expect_at_least,
    expect_at_most,
)
from cassiahold.core.ids import TeamName

CONSTANT: typing.Final = 'constant 1 s'
OWN_BACKOFF: typing.Final = 'no Retry-After'
EXACT: typing.Final = 'product, exact'
WHOLE: typing.Final = 'product, whole s'
_PERCENT: typing.Final = 100


class Load(enum.Enum):
    """The loads of the experiment."""

    FAIL_OVER = 'fail-over in a burst'
    BURST = 'burst beyond the capacity'
    ONE_TEAM = 'burst of one team'


class RefusedCallersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    Attributes:
        min_patience_s: Shortest time between first try and deadline.
        max_patience_s: Longest such time.
        fail_over_load: Arrivals around the fail-over, times the capacity.
        burst_load: Arrivals of the burst, times the capacity.
        others_load: Arrivals of the other teams, times the capacity, while
            half of the callers are of one team.
        one_team_s: Time within which that team's callers arrive.
        target_served_points: Least share of the callers served above the
            better baseline, in percentage points.
        target_refused_part: Most refused tries, as a fraction of those of the
            better baseline.
        target_worst_points: As for the share served, in the worst tenth of
            the teams.
    """

    gateway: GatewayShape
    callers: int
    teams: int
    min_patience_s: float
    max_patience_s: float
    fail_over_load: float
    outage_at: float
    outage_s: float
    burst_load: float
    others_load: float
    one_team_s: float
    target_served_points: float
    target_refused_part: float
    target_worst_points: float
    seeds: list[int]


def run(settings: RefusedCallersSettings) -> list[BenchmarkResult]:
    """Compare the policies under each load; print every policy's figures.

    All policies get the same callers.  Figures are means over the seeds.
    """
    results: list[BenchmarkResult] = []
    for load in Load:
        outcome_by_policy = {
            name: simulate(settings, load, name)
            for name in (CONSTANT, OWN_BACKOFF, EXACT, WHOLE)
        }
        for name, outcome in outcome_by_policy.items():
            sys.stdout.write(
                f'  {load.value:<26} {name:<17} {describe(outcome)}\n'
            )
        for product in (EXACT, WHOLE):
            results.extend(_judge(settings, load, product, outcome_by_policy))
    return results


def simulate(
    settings: RefusedCallersSettings, load: Load, policy_name: str
) -> CallerOutcome:
    """Return the mean outcome of a policy under a load over all seeds."""
    outcomes = []
    for seed in settings.seeds:
        callers = generate_callers(settings, load, seed)
        SimulatedGateway(
            _shape(settings, load), _make_policy(policy_name, seed), seed
        ).simulate(callers)
        outcomes.append(summarise(callers))
    return CallerOutcome(
        *(
            sum(getattr(outcome, field) for outcome in outcomes) / len(outcomes)
            for field in CallerOutcome.__struct_fields__
        )
    )


def generate_callers(
    settings: RefusedCallersSettings, load: Load, seed: int
) -> list[Caller]:
    """Return the callers of a load with their first tries."""
    rng = random.Random(seed)
    capacity_per_s = settings.gateway.capacity_per_s
    teams = [TeamName(f'team-{number}') for number in range(settings.teams)]
    if load is not Load.ONE_TEAM:
        factor = settings.burst_load
        if load is Load.FAIL_OVER:
            factor = settings.fail_over_load
        duration_s = settings.callers / (capacity_per_s * factor)
        return [
            _new_caller(settings, rng.choice(teams), duration_s, rng)
            for _ in range(settings.callers)
        ]
    half = settings.callers // 2
    duration_s = half / (capacity_per_s * settings.others_load)
    others = [
        _new_caller(settings, rng.choice(teams[1:]), duration_s, rng)
        for _ in range(half)
    ]
    return others + [
        _new_caller(settings, teams[0], settings.one_team_s, rng)
        for _ in range(settings.callers - half)
    ]


def describe(outcome: CallerOutcome) -> str:
    """Return the figures of one policy as a line of text."""
    return (
        f'served {outcome.served_part:6.1%}, '
        f'refused tries {outcome.refused_tries:6.0f}, '
        f'worst tenth of teams {outcome.worst_teams_part:6.1%}, '
        f'wait {outcome.median_wait_s:.2f} s median, '
        f'{outcome.late_wait_s:.2f} s p90'
    )


def _new_caller(
    settings: RefusedCallersSettings,
    team: TeamName,
    duration_s: float,
    rng: random.Random,
) -> Caller:
    arrives_at = rng.uniform(0, duration_s)
    patience_s = rng.uniform(settings.min_patience_s, settings.max_patience_s)
    return Caller(team, arrives_at, arrives_at + patience_s)


def _shape(settings: RefusedCallersSettings, load: Load) -> GatewayShape:
    if load is not Load.FAIL_OVER:
        return settings.gateway
    return msgspec.structs.replace(
        settings.gateway,
        outage_at=settings.outage_at,
        outage_s=settings.outage_s,
    )


def _make_policy(name: str, seed: int) -> PausePolicy:
    if name == CONSTANT:
        return ConstantPause()
    if name == OWN_BACKOFF:
        return OwnBackoff()
    return ProductPause(seed, is_exact=name == EXACT)


def _judge(
    settings: RefusedCallersSettings,
    load: Load,
    product: str,
    outcome_by_policy: dict[str, CallerOutcome],
) -> list[BenchmarkResult]:
    outcome = outcome_by_policy[product]
    baselines = [outcome_by_policy[CONSTANT], outcome_by_policy[OWN_BACKOFF]]
    served = max(baseline.served_part for baseline in baselines)
    worst = max(baseline.worst_teams_part for baseline in baselines)
    refused = min(baseline.refused_tries for baseline in baselines)
    prefix = f'{load.value}, {product}'
    return [
        expect_at_least(
            f'{prefix}: served',
            outcome.served_part * _PERCENT,
            served * _PERCENT + settings.target_served_points,
            '%',
        ),
        expect_at_most(
            f'{prefix}: refused tries',
            float(outcome.refused_tries),
            refused * settings.target_refused_part,
            'tries',
        ),
        expect_at_least(
            f'{prefix}: worst teams',
            outcome.worst_teams_part * _PERCENT,
            worst * _PERCENT + settings.target_worst_points,
            '%',
        ),
    ]
