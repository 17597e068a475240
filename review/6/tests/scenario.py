"""A minion that leaves is cut off, with connections refused, and runs on."""

import pathlib
import time

from cell import BOUNDS, Client, configuration, job_id, route
from minion import Minion, RunLog
from runner import run, wait_for

FOLDER = pathlib.Path(__file__).resolve().parents[1]
MINIONS = 16
BATCH = '/batch/'
WORK_S = 12
# Without an acknowledgement of its DELETE a minion ends some seconds later.
LINGER_S = 4.0


def scenario(cell, record, has_trouble):
    """Return whether the task never ran on two minions at a time."""
    log = RunLog(record)
    client = Client(cell)
    cell.configure(configuration([route('r-batch', BATCH)]))
    minions = [
        Minion(number, cell, log, ['a', 'r1-1'])
        for number in range(1, MINIONS + 1)
    ]
    cell.wait_until_ready()
    time.sleep(3)
    job = job_id()
    client.submit(
        BATCH,
        job,
        [
            {
                'replicas': 1,
                'cpu': 1000,
                'mem_mb': 256,
                'est_runtime_ms': WORK_S * 1000,
            }
        ],
        {'work_s': WORK_S},
    )
    wait_for(lambda: log.is_running(job), 10, 'the task runs')
    leaving = next(minion for minion in minions if minion.life.tasks())

    leaving.drain()
    time.sleep(BOUNDS['drain_ms'] / 1000)
    if not leaving.leave(is_cut=has_trouble):
        time.sleep(LINGER_S)
    leaving.crash()
    time.sleep(BOUNDS['max_lease_ms'] / 1000 + WORK_S + 2)

    state = client.state(BATCH, job)
    for task, first, second in log.overlaps:
        record.write(f'{task} began on {second} while it ran on {first}')
    record.write(
        f'the job is {state}; its task ran on two minions at a time '
        f'{len(log.overlaps)} times'
    )
    return not log.overlaps


if __name__ == '__main__':
    run(scenario, FOLDER)
