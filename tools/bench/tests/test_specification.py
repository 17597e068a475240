"""Tests of the PRISM specifications and of the code against one of them."""

import pathlib
import random

from cassiahold.bench.specification.model_checking import (
    MODELS,
    explore,
    find_guards,
)
from cassiahold.bench.specification.trace_replay import EscrowTraceReplay
from cassiahold.core.testing import function_tests

ROOT = pathlib.Path(__file__).parents[3]


def test_every_property_is_proved_and_needs_every_guard() -> None:
    """Each property holds, and fails without any one of its guards."""
    paths = sorted((ROOT / MODELS).glob('*.prism'))
    assert len(paths) == 4
    for path in paths:
        assert not explore(path).is_bad_reachable, path.stem
        guards = find_guards(path)
        assert guards, path.stem
        for guard in guards:
            assert explore(path, disabled_guard=guard).is_bad_reachable, guard


def test_specification_and_code_accept_the_same_traces() -> None:
    """Offers and holdings are equal after every comparable step of a trace."""
    trace_replay = EscrowTraceReplay(ROOT / MODELS / 'escrow.prism')
    step_count = 0
    for seed in range(150):
        step_count += trace_replay.replay(random.Random(seed))
    assert step_count > 1500, step_count


load_tests = function_tests(globals())
