"""A gang for which the services leave no room keeps all other work waiting."""

import pathlib
import time

from cell import BOUNDS, Client, configuration, job_id, route
from minion import Minion, RunLog
from runner import run, wait_for

FOLDER = pathlib.Path(__file__).resolve().parents[1]
MINIONS = 6
CPU = 8000  # of each minion, in thousandths of a core
CAP = {'cpu': 400_000, 'mem_mb': 0, 'gpu': 0}
SERVE, URGENT, BATCH = '/serve/', '/urgent/', '/batch/'
BATCH_JOBS = 20
BATCH_CPU = 1000
WATCH_S = 3.0


def scenario(cell, record, has_trouble):
    """Return whether every batch job begins or runs as the rule says."""
    log = RunLog(record)
    client = Client(cell)
    cell.configure(
        configuration(
            [
                route('r-serve', SERVE, priority=1, target_latency_ms=250),
                route('r-urgent', URGENT, priority=0),
                route('r-batch', BATCH, priority=2),
            ],
            CAP,
        )
    )
    minions = [
        Minion(number, cell, log, ['a', 'r1-1'], cpu=CPU)
        for number in range(1, MINIONS + 1)
    ]
    cell.wait_until_ready()
    time.sleep(3)
    cpu_by_job = {}

    service = job_id()
    cpu_by_job[service] = CPU
    client.submit(
        SERVE,
        service,
        [{'replicas': 1, 'cpu': CPU, 'mem_mb': 512, 'long_running': True}],
        {'lasting': True},
    )
    wait_for(lambda: log.is_running(service), 10, 'the service runs')

    if has_trouble:
        gang = job_id()
        cpu_by_job[gang] = CPU // 2
        record.write('a gang as wide as the whole service is handed in')
        client.submit(
            URGENT,
            gang,
            [
                {
                    'replicas': 2 * MINIONS,
                    'cpu': CPU // 2,
                    'mem_mb': 512,
                    'est_runtime_ms': 30_000,
                    'gang': True,
                }
            ],
            {'work_s': 30},
        )
    jobs = []
    for _ in range(BATCH_JOBS):
        job = job_id()
        jobs.append(job)
        cpu_by_job[job] = BATCH_CPU
        client.submit(
            BATCH,
            job,
            [
                {
                    'replicas': 1,
                    'cpu': BATCH_CPU,
                    'mem_mb': 256,
                    'est_runtime_ms': 1000,
                }
            ],
            {'work_s': 1},
        )
        time.sleep(0.3)
    record.write('the traffic ends')
    time.sleep(BOUNDS['finish_s'])
    return _watch(cell, record, log, client, jobs, minions, cpu_by_job)


def _watch(cell, record, log, client, jobs, minions, cpu_by_job):
    """Watch all jobs for three seconds after ``finish_s``."""
    states = {job: client.state(BATCH, job) for job in jobs}
    idle = {job for job in jobs if states[job] in {'queued', 'active'}}
    most_used = 0
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        idle = {job for job in idle if not log.is_running(job)}
        used = sum(minion.used_cpu(cpu_by_job) for minion in minions)
        most_used = max(most_used, used)
        time.sleep(0.05)
    idle = {
        job for job in idle if client.state(BATCH, job) in {'queued', 'active'}
    }
    record.write(
        f'{len(idle)} of {len(jobs)} accepted jobs had nothing running for '
        f'{WATCH_S} s, from {BOUNDS["finish_s"]} s after the end of the '
        f'traffic; at most {most_used} of {MINIONS * CPU} cpu were in use, '
        f'the cap is {CAP["cpu"]}, a job needs {BATCH_CPU}'
    )
    has_room = most_used < MINIONS * CPU / 2 and most_used < CAP['cpu'] / 2
    return not (idle and has_room)


if __name__ == '__main__':
    run(scenario, FOLDER)
