"""Tests of the simulated callers who return after a refusal."""

import math

import msgspec

from cassiahold.bench.experiments.refused_callers import (
    CONSTANT,
    EXACT,
    OWN_BACKOFF,
    WHOLE,
    Load,
    RefusedCallersSettings,
    generate_callers,
    simulate,
)
from cassiahold.bench.experiments.refused_gateway import (
    GatewayShape,
    OwnBackoff,
    SimulatedGateway,
)
from cassiahold.core.testing import function_tests

SETTINGS = RefusedCallersSettings(
    gateway=GatewayShape(slots=10, work_s=0.1, queue_length=5, election_s=0.7),
    callers=200,
    teams=10,
    min_patience_s=1.0,
    max_patience_s=3.0,
    fail_over_load=1.2,
    outage_at=0.5,
    outage_s=1.0,
    burst_load=2.3,
    others_load=0.6,
    one_team_s=0.3,
    target_served_points=0.0,
    target_refused_part=0.5,
    target_worst_points=0.0,
    seeds=[7],
)
POLICIES = (CONSTANT, OWN_BACKOFF, EXACT, WHOLE)


def test_same_seed_gives_the_same_outcome() -> None:
    for name in POLICIES:
        first = simulate(SETTINGS, Load.BURST, name)
        assert first == simulate(SETTINGS, Load.BURST, name)


def test_everyone_is_served_at_once_below_the_capacity() -> None:
    calm = msgspec.structs.replace(SETTINGS, burst_load=0.3)
    for name in POLICIES:
        outcome = simulate(calm, Load.BURST, name)
        assert outcome.served_part == 1.0
        assert outcome.refused_tries == 0


def test_outage_refuses_callers_whatever_the_policy() -> None:
    for name in POLICIES:
        outcome = simulate(SETTINGS, Load.FAIL_OVER, name)
        assert outcome.refused_tries >= 50
        assert 0 < outcome.served_part < 1


def test_every_caller_is_served_in_time_or_not_at_all() -> None:
    for load in Load:
        callers = generate_callers(SETTINGS, load, 7)
        assert len(callers) == SETTINGS.callers
        gateway = SimulatedGateway(SETTINGS.gateway, OwnBackoff(), 7)
        gateway.simulate(callers)
        assert all(
            math.isnan(caller.served_at)
            or caller.arrives_at < caller.served_at <= caller.deadline
            for caller in callers
        )


load_tests = function_tests(globals())
