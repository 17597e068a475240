"""Runs new seeds of every fault machine for a given time."""

import collections
import itertools
import random
import sys
import time
import typing

from absl import logging

from cassiahold.bench.faults.seed_runner import (
    MACHINE_BY_NAME,
    Violation,
    run_seed,
)

_PROGRESS_INTERVAL_S: typing.Final = 10.0


def run_soak(minutes: float, first_seed: int | None = None) -> list[Violation]:
    """Print seeds, faults and violations; return the violations.

    Seeds count up from ``first_seed``, by default a random one.
    """
    # Injected worker failures and leader changes would fill the log.
    logging.set_verbosity(logging.FATAL)
    start_seed = random.SystemRandom().randrange(1 << 30)
    if first_seed is not None:
        start_seed = first_seed
    sys.stdout.write(f'first seed {start_seed}\n')
    deadline = time.monotonic() + minutes * 60
    next_progress_at = time.monotonic() + _PROGRESS_INTERVAL_S
    seed_count_by_machine: collections.Counter[str] = collections.Counter()
    fault_count_by_machine: collections.Counter[str] = collections.Counter()
    violations: list[Violation] = []
    for seed in itertools.count(start_seed):
        for machine in MACHINE_BY_NAME:
            fault_count, violation = run_seed(machine, seed)
            seed_count_by_machine[machine] += 1
            fault_count_by_machine[machine] += fault_count
            if violation is not None:
                violations.append(violation)
                sys.stdout.write(
                    f'BROKEN {machine} seed {seed}: {violation.description}\n'
                )
        if time.monotonic() >= next_progress_at:
            next_progress_at = time.monotonic() + _PROGRESS_INTERVAL_S
            sys.stdout.write(f'seed {seed}, {len(violations)} broken\n')
            sys.stdout.flush()
        if time.monotonic() >= deadline:
            break
    for machine in MACHINE_BY_NAME:
        sys.stdout.write(
            f'{machine}: {seed_count_by_machine[machine]} seeds, '
            f'{fault_count_by_machine[machine]} faults\n'
        )
    sys.stdout.write(f'{len(violations)} broken\n')
    return violations
