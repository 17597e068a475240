"""Plays fresh seeds of every fault machine for as long as asked."""

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
    """Print seeds, faults and broken properties; return what broke."""
    # The runs make workers fail and leaders change all the time.
    logging.set_verbosity(logging.FATAL)
    start = random.SystemRandom().randrange(1 << 30)
    if first_seed is not None:
        start = first_seed
    sys.stdout.write(f'first seed {start}\n')
    deadline = time.monotonic() + minutes * 60
    line_at = time.monotonic() + _PROGRESS_INTERVAL_S
    seeds: collections.Counter[str] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    broken: list[Violation] = []
    for seed in itertools.count(start):
        for machine in MACHINE_BY_NAME:
            troubles, found = run_seed(machine, seed)
            seeds[machine] += 1
            faults[machine] += troubles
            if found is not None:
                broken.append(found)
                sys.stdout.write(
                    f'BROKEN {machine} seed {seed}: {found.description}\n'
                )
        if time.monotonic() >= line_at:
            line_at = time.monotonic() + _PROGRESS_INTERVAL_S
            sys.stdout.write(f'seed {seed}, {len(broken)} broken\n')
            sys.stdout.flush()
        if time.monotonic() >= deadline:
            break
    for machine in MACHINE_BY_NAME:
        sys.stdout.write(
            f'{machine}: {seeds[machine]} seeds, {faults[machine]} faults\n'
        )
    sys.stdout.write(f'{len(broken)} broken\n')
    return broken
