"""Runs the fault machines: one seed, or Hypothesis for some examples."""

import contextlib
import random
import typing

import hypothesis
import msgspec
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

from cassiahold.bench.faults.agreement import AgreementRun
from cassiahold.bench.faults.escrow import EscrowRun
from cassiahold.bench.faults.scheduling import SchedulingRun
from cassiahold.bench.faults.slots import SlotRun

STORMS_PER_SEED: typing.Final = 15


class FaultRun(typing.Protocol):
    """What every machine offers beside its Hypothesis rules."""

    troubles: int

    def play(self, generator: random.Random) -> None:
        """Make one storm with parameters from the generator."""

    def verify(self) -> None:
        """Check what is only checked between storms."""

    def teardown(self) -> None:
        """Give back what the run took."""


MACHINES: typing.Final[dict[str, type[RuleBasedStateMachine]]] = {
    'agreement': AgreementRun,
    'escrow': EscrowRun,
    'scheduling': SchedulingRun,
    'slots': SlotRun,
}


class Broken(msgspec.Struct, frozen=True):
    """A property that did not hold."""

    machine: str
    seed: int
    what: str


def run_seed(
    machine: str, seed: int, storms: int = STORMS_PER_SEED
) -> tuple[int, Broken | None]:
    """Play one seed; return the faults made and what broke."""
    generator = random.Random(seed)
    run = typing.cast(FaultRun, MACHINES[machine]())
    with contextlib.ExitStack() as stack:
        stack.callback(run.teardown)
        try:
            for _ in range(storms):
                run.play(generator)
                run.verify()
        except Exception as exc:  # noqa: BLE001
            what = f'{type(exc).__name__}: {exc}'[:300]
            return run.troubles, Broken(machine, seed, what)
    return run.troubles, None


def run_examples(machine: str, examples: int, steps: int) -> None:
    """Let Hypothesis search, with the same choices at every run."""
    run_state_machine_as_test(
        MACHINES[machine],
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
