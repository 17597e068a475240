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

from cassiahold.bench.faults.agreement import AgreementMachine
from cassiahold.bench.faults.escrow import EscrowMachine
from cassiahold.bench.faults.scheduling import SchedulingMachine
from cassiahold.bench.faults.slots import SlotMachine

STORMS_PER_SEED: typing.Final = 15


class FaultMachine(typing.Protocol):
    """What every machine offers beside its Hypothesis rules."""

    fault_count: int

    def run_random_storm(self, generator: random.Random) -> None:
        """Make one storm with parameters from the generator."""

    def check_properties(self) -> None:
        """Check what is only checked between storms."""

    def teardown(self) -> None:
        """Give back what the run took."""


MACHINE_BY_NAME: typing.Final[dict[str, type[RuleBasedStateMachine]]] = {
    'agreement': AgreementMachine,
    'escrow': EscrowMachine,
    'scheduling': SchedulingMachine,
    'slots': SlotMachine,
}


class Violation(msgspec.Struct, frozen=True):
    """A property that did not hold."""

    machine: str
    seed: int
    description: str


def run_seed(
    machine: str, seed: int, storm_count: int = STORMS_PER_SEED
) -> tuple[int, Violation | None]:
    """Play one seed; return the faults made and what broke."""
    generator = random.Random(seed)
    run = typing.cast(FaultMachine, MACHINE_BY_NAME[machine]())
    with contextlib.ExitStack() as stack:
        stack.callback(run.teardown)
        try:
            for _ in range(storm_count):
                run.run_random_storm(generator)
                run.check_properties()
        except Exception as exc:  # noqa: BLE001
            what = f'{type(exc).__name__}: {exc}'[:300]
            return run.fault_count, Violation(machine, seed, what)
    return run.fault_count, None


def run_examples(machine: str, max_examples: int, step_count: int) -> None:
    """Let Hypothesis search, with the same choices at every run."""
    run_state_machine_as_test(
        MACHINE_BY_NAME[machine],
        settings=hypothesis.settings(
            max_examples=max_examples,
            stateful_step_count=step_count,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
