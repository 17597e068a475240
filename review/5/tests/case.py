"""A task crashes each minion that starts it and is started without end.

Rule BUDGET (``terms.md``): such a task is started three times more after three
minions have crashed under it.
"""

import itertools
import pathlib
import threading
import time

from cluster import (
    Cell,
    Minion,
    configuration,
    has_trouble,
    run_case,
)

FOLDER = pathlib.Path(__file__).resolve().parents[1]
JOB = '5c0e7a21d94b36f8'
MINIONS = 8
BACK_AFTER_S = 9.0
CRASHES = 3
MORE_STARTS = 3
OBSERVED_S = 80.0


def case(record_path: pathlib.Path) -> bool:
    starts: list[str] = []
    with Cell(record_path) as cell:
        numbers = itertools.count(1)

        def new_minion(address: str) -> None:
            # Each life has an id of its own.
            Minion(cell, f'i-{next(numbers):04}', address, on_start=on_start)

        def on_start(minion: Minion, task: str) -> None:
            starts.append(task)
            if not has_trouble():
                return
            minion.crash()
            threading.Timer(BACK_AFTER_S, new_minion, (minion.address,)).start()

        cell.start()
        for number in range(1, MINIONS + 1):
            new_minion(f'127.{cell.network}.3.{number}:8080')
        cell.configure(configuration())
        cell.wait_ready()
        time.sleep(3)
        edge = cell.edges[0]
        cell.submit(edge, JOB, 1.0, replicas=1, cpu=1000, est_runtime_ms=1000)
        deadline = time.monotonic() + OBSERVED_S
        while time.monotonic() < deadline:
            if cell.state(edge, JOB) in {'complete', 'failed'}:
                break
            if len(starts) >= CRASHES + MORE_STARTS:
                break
            time.sleep(0.2)
        cell.record.write(
            f'{len(starts)} starts, shown as {cell.state(edge, JOB)}'
        )
    return len(starts) < CRASHES + MORE_STARTS


run_case(FOLDER, case)
