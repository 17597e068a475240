"""Jobs whose starts were refused are missing from the queue's length."""

import pathlib
import threading
import time

from cell import (
    BOUNDS,
    FRONTEND_PORT,
    HOST,
    KEY,
    Client,
    call,
    configuration,
    job_id,
    route,
)
from minion import Minion, RunLog
from runner import run

FOLDER = pathlib.Path(__file__).resolve().parents[1]
MINIONS = 12
JOBS = 10
BATCH = '/batch/'
# Jobs accepted longer ago than this have to be counted.
SETTLED_S = BOUNDS['visible_ms'] / 1000 + 2.0
UNHEALTHY_S = 6.5


def scenario(cell, record, has_trouble):
    """Return whether the queue's length is true while a minion refuses."""
    log = RunLog(record)
    client = Client(cell)
    cell.configure(configuration([route('r-batch', BATCH, priority=2)]))
    minions = [
        Minion(number, cell, log, ['b' if number == MINIONS else 'a', 'r1-1'])
        for number in range(1, MINIONS + 1)
    ]
    cell.wait_until_ready()
    time.sleep(3)
    minions[-1].is_unhealthy = has_trouble
    recovery = threading.Timer(UNHEALTHY_S, _recover, (minions[-1], record))
    recovery.start()
    unhealthy_until = time.monotonic() + UNHEALTHY_S
    if has_trouble:
        record.write(f'{minions[-1].id} is unhealthy for {UNHEALTHY_S} s')
    accepted_at = {}
    for _ in range(JOBS):
        job = job_id()
        client.submit(
            BATCH,
            job,
            [
                {
                    'replicas': 1,
                    'cpu': 500,
                    'mem_mb': 256,
                    'est_runtime_ms': 1000,
                    'constraints': 'b',
                }
            ],
            {'work_s': 1},
        )
        accepted_at[job] = time.monotonic()
    time.sleep(SETTLED_S + 0.2)
    held = True
    while time.monotonic() < unhealthy_until - 0.4:
        for edge in cell.edges:
            held &= _is_length_true(edge, record, log, accepted_at)
        time.sleep(0.3)
    recovery.join()
    time.sleep(5)
    begun = sum(log.has_begun(job) for job in accepted_at)
    record.write(f'{begun} of {JOBS} jobs have begun by now')
    return held


def _recover(minion, record):
    minion.is_unhealthy = False
    record.write('the minion is healthy again')


def _is_length_true(edge, record, log, accepted_at):
    """Read the queue's length at a machine and compare it with the jobs."""
    status, document = call(
        f'{edge.ip}:{FRONTEND_PORT}',
        'GET',
        BATCH,
        headers={
            'Host': HOST,
            'Authorization': f'Token {KEY}',
            'X-Deadline-Ms': '3000',
        },
    )
    now = time.monotonic()
    waiting = sum(
        not log.has_begun(job)
        for job, accepted in accepted_at.items()
        if accepted <= now - SETTLED_S
    )
    record.write(
        f'GET {BATCH} at {edge.name}: {status} {document}; {waiting} jobs '
        f'were accepted over {SETTLED_S} s ago and have not begun'
    )
    if status != 200:
        return True
    return 2 * document['pending'] >= waiting


if __name__ == '__main__':
    run(scenario, FOLDER)
