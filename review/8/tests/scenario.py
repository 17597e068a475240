"""A route is replaced by one with another name at the same host and prefix."""

import pathlib
import time

from cell import BOUNDS, Client, configuration, job_id, route
from minion import Minion, RunLog
from runner import run, wait_for

FOLDER = pathlib.Path(__file__).resolve().parents[1]
MINIONS = 2
CPU = 4000
BATCH = '/batch/'
JOBS = 8
WORK_S = 3


def scenario(cell, record, has_trouble):
    """Return whether every accepted job stays known and is worked on."""
    log = RunLog(record)
    client = Client(cell)
    first = configuration([route('r-batch', BATCH)])
    cell.configure(first)
    minions = [
        Minion(number, cell, log, ['a', 'r1-1'], cpu=CPU)
        for number in range(1, MINIONS + 1)
    ]
    cell.wait_until_ready()
    time.sleep(3)
    cpu_by_job = {}
    for _ in range(JOBS):
        job = job_id()
        cpu_by_job[job] = CPU
        client.submit(
            BATCH,
            job,
            [
                {
                    'replicas': 1,
                    'cpu': CPU,
                    'mem_mb': 256,
                    'est_runtime_ms': WORK_S * 1000,
                }
            ],
            {'work_s': WORK_S},
        )
    wait_for(lambda: len(log.begun_by_job) >= MINIONS, 10, 'two jobs begin')
    time.sleep(BOUNDS['visible_ms'] / 1000)

    name = 'r-batch-2' if has_trouble else 'r-batch'
    record.write(f'the route at {BATCH} is now called {name}')
    cell.configure(
        {
            **configuration([route(name, BATCH)]),
            'version': first['version'] + 4,
        }
    )
    time.sleep(BOUNDS['config_apply_ms'] / 1000)
    states = {job: client.state(BATCH, job) for job in cpu_by_job}
    gone = [job for job, state in states.items() if state == '410']
    record.write(f'{len(gone)} of {JOBS} accepted jobs are answered 410')

    time.sleep(JOBS / MINIONS * WORK_S + BOUNDS['finish_s'])
    begun = sum(log.has_begun(job) for job in cpu_by_job)
    used = sum(minion.used_cpu(cpu_by_job) for minion in minions)
    record.write(
        f'{begun} of {JOBS} accepted jobs have ever begun, {used} of '
        f'{MINIONS * CPU} cpu are in use'
    )
    return not gone and begun == JOBS


if __name__ == '__main__':
    run(scenario, FOLDER)
