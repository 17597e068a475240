"""A rolling restart ends a connection whose request is not answered.

Rule LOST: around the SIGTERM of the machine that took a request, the
connection ends without a complete answer later than 200 ms after the last byte
of the request was sent.
"""

import http.client
import json
import pathlib
import signal
import time

from cluster import (
    Cell,
    Minion,
    Process,
    client_headers,
    configuration,
    has_trouble,
    run_case,
)

FOLDER = pathlib.Path(__file__).resolve().parents[1]
ROUNDS = 11
LAST_START_S = 100.0  # of a round, since the first one began
CORE_AFTER_S = 4.15  # SIGTERM of the leading core machine
REQUEST_AFTER_S = 4.17  # both since the SIGTERM of the edge machine
LOSS_SLACK_S = 0.2
GRACE_S = 6.0
SETTLE_S = 3.0
CLIENT_TIMEOUT_S = 3.0


def restart(process: Process) -> None:
    """Start a stopped process again, as the platform does."""
    if process.wait(GRACE_S) is None:
        process.signal(signal.SIGKILL)
        process.wait(1.0)
    process.start()


def sleep_until(moment: float) -> None:
    time.sleep(max(moment - time.monotonic(), 0.0))


def play_round(cell: Cell, number: int) -> bool:
    """Restart an edge and then the leader; tell whether the rule held."""
    edge = cell.edges[number % len(cell.edges)]
    host, _, port = edge.address.rpartition(':')
    client = http.client.HTTPConnection(
        host, int(port), timeout=CLIENT_TIMEOUT_S
    )
    client.request('GET', '/desk/', headers=client_headers())
    client.getresponse().read()
    leader = cell.leader()
    body = {
        'spec': json.dumps({'work_s': 0.2}),
        'phases': [{'replicas': 1, 'cpu': 1000, 'mem_mb': 64}],
    }
    path = f'/desk/{number:016x}'
    terminated_at = time.monotonic()
    edge.signal(signal.SIGTERM)
    sleep_until(terminated_at + CORE_AFTER_S)
    if has_trouble() and leader is not None:
        leader.signal(signal.SIGTERM)
    sleep_until(terminated_at + REQUEST_AFTER_S)
    sent_at = time.monotonic()
    try:
        client.request('POST', path, json.dumps(body), client_headers())
        response = client.getresponse()
        response.read()
        answer = str(response.status)
        is_answered = True
    except (OSError, http.client.HTTPException) as exc:
        answer = repr(exc)
        is_answered = False
    took_s = time.monotonic() - sent_at
    cell.record.write(
        f'POST {path} to {edge.name} {sent_at - terminated_at:.2f} s after '
        f'its SIGTERM: {answer} after {took_s:.3f} s'
    )
    client.close()
    restart(edge)
    if has_trouble() and leader is not None:
        restart(leader)
    is_cut = not is_answered and took_s < CLIENT_TIMEOUT_S
    return not is_cut or took_s <= LOSS_SLACK_S


def case(record_path: pathlib.Path) -> bool:
    with Cell(record_path, edges=3) as cell:
        cell.start()
        Minion(cell, 'i-01', f'127.{cell.network}.3.1:8080')
        cell.configure(configuration())
        cell.wait_ready()
        started_at = time.monotonic()
        for number in range(ROUNDS):
            time.sleep(SETTLE_S)
            if time.monotonic() > started_at + LAST_START_S:
                break
            if not play_round(cell, number):
                return False
    return True


run_case(FOLDER, case)
