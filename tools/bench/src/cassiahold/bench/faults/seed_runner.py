"""Runs a fault machine with one seed, or with examples of Hypothesis."""

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
from cassiahold.bench.faults.crashing import CrashingMachine
from cassiahold.bench.faults.escrow import EscrowMachine
from cassiahold.bench.faults.full_disks import FullDiskMachine
from cassiahold.bench.faults.scheduling import SchedulingMachine
from cassiahold.bench.faults.slots import SlotMachine

STORMS_PER_SEED: typing.Final = 15


class FaultMachine(typing.Protocol):
    """The methods of every fault machine besides its Hypothesis rules."""

    fault_count: int

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""

    def check_properties(self) -> None:
        """Check the properties that are checked only between storms."""

    def teardown(self) -> None:
        """Undo patches and release other resources."""


MACHINE_BY_NAME: typing.Final[dict[str, type[RuleBasedStateMachine]]] = {
    'agreement': AgreementMachine,
    'crashing': CrashingMachine,
    'escrow': EscrowMachine,
    'full_disks': FullDiskMachine,
    'scheduling': SchedulingMachine,
    'slots': SlotMachine,
}


class Violation(msgspec.Struct, frozen=True):
    """A property violation found with a seed."""

    machine: str
    seed: int
    description: str


def run_seed(
    machine: str, seed: int, storm_count: int = STORMS_PER_SEED
) -> tuple[int, Violation | None]:
    """Run one seed; return the number of faults and the violation, if any."""
    generator = random.Random(seed)
    fault_machine = typing.cast(FaultMachine, MACHINE_BY_NAME[machine]())
    with contextlib.ExitStack() as stack:
        stack.callback(fault_machine.teardown)
        try:
            for _ in range(storm_count):
                fault_machine.run_random_storm(generator)
                fault_machine.check_properties()
        except Exception as exc:  # noqa: BLE001
            description = f'{type(exc).__name__}: {exc}'[:300]
            return fault_machine.fault_count, Violation(
                machine, seed, description
            )
    return fault_machine.fault_count, None


def run_examples(machine: str, max_examples: int, step_count: int) -> None:
    """Run Hypothesis with choices derived from the code, not from chance."""
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
