"""Cost slopes of gateway, scheduler and coordinator processes on loopback.

One data centre of the Rollwerk example runs.  This process sends a bounded
load, and the use of each role is read from the operating system.
"""

import contextlib
import functools
import json
import pathlib
import socket
import threading
import time
import typing

import msgspec
import urllib3

from cassiahold.bench.capacity.slopes import Slope, measure_slope
from cassiahold.bench.demo.local_cell import LocalCell
from cassiahold.bench.demo.scenario import OPERATOR_KEY
from cassiahold.client import OperatorClient
from cassiahold.config import Configuration, Limit, Queue, Service, Team

WORKER_KEY: typing.Final = 'example-worker-key'
MEASUREMENT_S: typing.Final = 3.0
SENDER_THREADS: typing.Final = 4


class RequestLoad(msgspec.Struct):
    """Kind of HTTP request that is sent at a steady rate."""

    method: str
    path: str
    make_body: typing.Callable[[int], bytes]
    api_key: str = ''


def all_slopes(example: pathlib.Path, folder: pathlib.Path) -> list[Slope]:
    """Start a cell, measure every slope of this module, and stop the cell."""
    with contextlib.ExitStack() as stack:
        cell = LocalCell(example, folder)
        stack.callback(cell.close)
        cell.start_all()
        cell.wait_until_ready()
        _apply_configuration(cell)
        time.sleep(2)
        bench = _CellMeasurements(cell)
        return [
            bench.measure_cores(
                'gateway, worker reports',
                'report/s',
                (20, 60, 200),
                _REPORT_LOAD,
            ),
            bench.measure_cores(
                'scheduler, worker reports',
                'report/s',
                (20, 60, 200),
                _REPORT_LOAD,
                role='scheduler',
            ),
            bench.measure_cores(
                'gateway, live requests', 'request/s', (20, 60, 200), _LIVE_LOAD
            ),
            bench.measure_cores(
                'gateway, submissions', 'job/s', (20, 60, 200), _SUBMIT_LOAD
            ),
            bench.measure_cores(
                'scheduler, submissions',
                'job/s',
                (20, 60, 200),
                _SUBMIT_LOAD,
                role='scheduler',
            ),
            measure_slope(
                'gateway memory',
                'open connection',
                'MB',
                (10, 100, 1000),
                bench.gateway_memory_mb,
            ),
            *bench.measure_idle(),
        ]


def _apply_configuration(cell: LocalCell) -> None:
    limit = Limit(cores=1e6, memory_gb=1e6)
    configuration = Configuration(
        teams=(Team(name='all', limit=limit),),
        queues=(Queue(name='open', team='all', open=True),),
        services=(Service(name='availability', team='all', open=True),),
    )
    operator = OperatorClient(cell.gateways(), OPERATOR_KEY)
    plain_configuration = json.loads(msgspec.json.encode(configuration))
    operator.apply(plain_configuration, operator.configuration()['version'])
    operator.close()


def _make_report_body(number: int) -> bytes:
    worker = number % 50
    return json.dumps(
        {
            'worker': f'load-{worker}',
            'incarnation': 1,
            'data_centre': 'vienna',
            'sequence': number,
            'capacity': {'cores_m': 1, 'memory_mb': 1},
        }
    ).encode()


def _make_submit_body(number: int) -> bytes:
    return json.dumps(
        {
            'request_id': f'vienna:{time.time_ns()}-{number}',
            'job': {'queue': 'open', 'cores': 0.01, 'memory_gb': 0.01},
        }
    ).encode()


_REPORT_LOAD: typing.Final = RequestLoad(
    'POST', '/v1/workers/report', _make_report_body, WORKER_KEY
)
_LIVE_LOAD: typing.Final = RequestLoad(
    'POST', '/v1/services/availability/', lambda _: b'{"work_s": 0}'
)
_SUBMIT_LOAD: typing.Final = RequestLoad('POST', '/v1/jobs', _make_submit_body)


class _CellMeasurements:
    def __init__(self, cell: LocalCell) -> None:
        self._cell = cell
        self._address = cell.gateways('vienna')[0]
        self._last_request_number = 0
        self._lock = threading.Lock()

    def measure_cores(
        self,
        name: str,
        per: str,
        rates: typing.Sequence[int],
        load: RequestLoad,
        role: str = 'gateway',
    ) -> Slope:
        """Measure the cores that a role uses at several request rates."""

        def measure_rate(rate: int) -> float:
            return self._cores_under_load(role, rate, load)

        return measure_slope(name, per, 'cores', rates, measure_rate)

    def gateway_memory_mb(self, connection_count: int) -> float:
        """Return the memory of all gateways with idle connections to one."""
        host, _, port = self._address.rpartition(':')
        with contextlib.ExitStack() as stack:
            for _ in range(connection_count):
                connection = socket.create_connection((host, int(port)))
                stack.enter_context(connection)
            time.sleep(1.0)
            cost = self._cell.cost_by_role()['gateway']
            return cost.memory_mb

    def measure_idle(self) -> list[Slope]:
        """Measure the processor time of an idle process of each role."""
        slopes = []
        for role in ('gateway', 'scheduler', 'coordinator'):
            count = self._cell.cost_by_role()[role].processes
            slopes.append(
                measure_slope(
                    f'{role}, idle',
                    'second',
                    'core-seconds',
                    (1, 2, 3),
                    functools.partial(
                        self._idle_cpu_s_per_process, role, count
                    ),
                )
            )
        return slopes

    def _cores_under_load(
        self, role: str, rate_per_s: int, load: RequestLoad
    ) -> float:
        before = self._cell.cost_by_role()[role].cpu_s
        started_at = time.monotonic()
        threads = [
            threading.Thread(
                target=self._send_requests,
                args=(rate_per_s / SENDER_THREADS, load),
            )
            for _ in range(SENDER_THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_at
        return (self._cell.cost_by_role()[role].cpu_s - before) / elapsed_s

    def _idle_cpu_s_per_process(
        self, role: str, process_count: int, duration_s: int
    ) -> float:
        return self._idle_cpu_s(role, duration_s) / process_count

    def _idle_cpu_s(self, role: str, duration_s: float) -> float:
        before = self._cell.cost_by_role()[role].cpu_s
        time.sleep(duration_s)
        return self._cell.cost_by_role()[role].cpu_s - before

    def _send_requests(self, rate_per_s: float, load: RequestLoad) -> None:
        http = urllib3.PoolManager(maxsize=1, retries=False)
        headers = {'Authorization': f'Bearer {load.api_key}'}
        started_at = time.monotonic()
        sent_count = 0
        while time.monotonic() - started_at < MEASUREMENT_S:
            due_at = started_at + sent_count / rate_per_s
            time.sleep(max(due_at - time.monotonic(), 0))
            with self._lock:
                self._last_request_number += 1
                number = self._last_request_number
            http.request(
                load.method,
                f'http://{self._address}{load.path}',
                body=load.make_body(number),
                headers=headers,
                timeout=10.0,
            )
            sent_count += 1
        http.clear()
