"""A small deployment on loopback and stand-ins for its surroundings.

The system's own processes run with the command of the deploy file.  Minions,
the advisor and clients are stand-ins that follow the users' protocol pages.
Everything that is sent, answered and run goes into a record with its time.
"""

import contextlib
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-m', 'cassiahold.platform.main')
NETWORKS = range(131, 230)
PEER_PORT = 7420
CONTROL_PORT = 8180
FRONTEND_PORT = 8183
READINESS_PORT = 8184
MAX_LEASE_MS = 6000
HEARTBEAT_S = 1.5
START_DEADLINE_S = 40.0
CUT_CALL_S = 3.0  # a call into a cut ends without an answer
MAX_TRIES = 4  # of a client
KEY = 'key-1'
HOST = 'desk.example'
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def configuration(
    version: int = 1, *, attempts: int = 3, advisor: bool = False
) -> dict:
    """Return a complete configuration with one queue and one tenant."""
    route: dict[str, typing.Any] = {
        'name': 'r-desk',
        'host': HOST,
        'prefix': '/desk/',
        'kind': 'mutating',
        'timeout_ms': 3000,
        'target_latency_ms': 250,
        'priority': 0,
        'service': 'desk',
        'attempts': attempts,
        'slack_factor': 2.0,
        'public': False,
    }
    if advisor:
        route['advisor'] = {
            'decision_ms': 440.0,
            'per_worker_ms': 6.3,
            'validity_ms': 1500,
        }
    return {
        'version': version,
        'routes': [route],
        'services': [
            {
                'name': 'desk',
                'health_path': '/healthz',
                'max_conns': 64,
                'protocol': 'h1',
                'tls': False,
                'enforces_capacity': False,
                'standby': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'ward',
                'api_keys': [KEY],
                'priority': 1,
                'weight': 14,
                'cap': {'cpu': 0, 'mem_mb': 0, 'gpu': 0},
            }
        ],
    }


class Record:
    """The record of a run: one line for each event, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._stream = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        with self._lock:
            elapsed_s = time.monotonic() - self._started_at
            self._stream.write(f'{elapsed_s:8.3f} {text}\n')
            self._stream.flush()


class Process:
    """One process of the system."""

    def __init__(self, cell: 'Cell', number: int, *, is_core: bool) -> None:
        self.cell = cell
        self.is_core = is_core
        self.ip = f'127.{cell.network}.{1 if is_core else 2}.{number}'
        self.name = f'{"core" if is_core else "edge"}-{number}'
        self.folder = cell.root / self.name
        self.folder.mkdir()
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Return the address that is reached from outside."""
        port = CONTROL_PORT if self.is_core else FRONTEND_PORT
        return f'{self.ip}:{port}'

    def start(self, *, bootstrap: bool = False) -> None:
        settings = self.folder / 'local.toml'
        settings.write_text(self._settings(bootstrap=bootstrap))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['CASSIAHOLD_SETTINGS'] = str(settings)
        with (self.folder / 'log').open('ab') as log:
            self._popen = subprocess.Popen(
                COMMAND,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self._popen is not None and self._popen.poll() is None:
            self.cell.record.write(f'{number.name} to {self.name}')
            self._popen.send_signal(number)

    def status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return None if self._popen is None else self._popen.poll()

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process and return its status."""
        if self._popen is None:
            return None
        with contextlib.suppress(subprocess.TimeoutExpired):
            return self._popen.wait(timeout_s)
        return None

    def close(self) -> None:
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def log_text(self) -> str:
        return (self.folder / 'log').read_text(errors='replace')

    def _settings(self, *, bootstrap: bool) -> str:
        seeds = ','.join(f'"{core}"' for core in self.cell.seeds)
        listen = (
            f'control = "{self.ip}:{CONTROL_PORT}"\n'
            if self.is_core
            else f'frontend = "{self.ip}:{FRONTEND_PORT}"\n'
            f'readiness = "{self.ip}:{READINESS_PORT}"\n'
        )
        data = f'data_dir = "{self.folder}/data"\n' if self.is_core else ''
        advisor = self.cell.advisor_address
        return (
            f'node_name = "{self.name}"\n'
            f'role = "{"cell" if self.is_core else "gateway"}"\n'
            f'machine_class = "{"core" if self.is_core else "edge"}"\n'
            f'ip = "{self.ip}"\nzone = "wien-a"\nregion = "at-east"\n'
            f'port_range = [{PEER_PORT}, {PEER_PORT + 15}]\n'
            f'seeds = [{seeds}]\nbootstrap = {str(bootstrap).lower()}\n'
            'failure_counted = false\ndiscovery = "registry"\n'
            'entry = "vip"\nheartbeat_ms = 1500\ncommands = "rpc"\n'
            'config_mode = "highest"\n'
            f'{data}advisor = "{advisor}"\n'
            f'[listen]\n{listen}'
            '[limits]\ncores = 2\nmemory_mb = 300\nmax_fds = 4096\n'
            '[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n'
            '[bounds]\nseed_lag_s = 3\nstable_window_ms = 3000\n'
            'ack_timeout_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n'
            'loss_slack_ms = 200\nconfig_apply_ms = 2000\n'
            'max_lease_ms = 6000\nkill_timeout_ms = 200\n'
            'gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n'
            'finish_s = 14\nstatus_s = 120\nfencing = false\n'
        )


class Cell:
    """Core and edge processes, stand-ins of the surroundings, the record."""

    def __init__(
        self, record_path: pathlib.Path, *, cores: int = 3, edges: int = 1
    ) -> None:
        self.record = Record(record_path)
        self._stack = contextlib.ExitStack()
        self.network = self._stack.enter_context(reserved_network())
        self.root = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._stack.callback(shutil.rmtree, self.root, ignore_errors=True)
        self.advisor_address = ''
        self._shown: dict[str, str] = {}
        self.seeds = [
            f'127.{self.network}.1.{number}:{CONTROL_PORT}'
            for number in range(1, min(cores, 3) + 1)
        ]
        self.cores = [
            Process(self, number, is_core=True)
            for number in range(1, cores + 1)
        ]
        self.edges = [
            Process(self, number, is_core=False)
            for number in range(1, edges + 1)
        ]

    def __enter__(self) -> 'Cell':
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def start(self) -> None:
        """Start every process for the first time."""
        for process in (*self.cores, *self.edges):
            process.start(bootstrap=True)
            self._stack.callback(process.close)

    def on_close(self, callback: typing.Callable[[], object]) -> None:
        self._stack.callback(callback)

    def configure(self, document: dict) -> None:
        """Send a configuration as the operator does until it is stored."""

        def send() -> bool:
            for core in self.cores:
                status = call(core.address, 'PUT', '/v1/config', document)[0]
                if status == 200:
                    return True
            return False

        wait_until(send)
        self.record.write(f'config {document["version"]} acknowledged')

    def wait_ready(self) -> None:
        """Wait until every edge has served a request."""
        for edge in self.edges:
            wait_until(
                lambda edge=edge: self.call(edge, 'GET', '/desk/')[0] == 200
            )

    def call(
        self,
        edge: Process,
        method: str,
        path: str,
        body: typing.Any = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Send a client's request over a connection of its own."""
        return call(
            edge.address, method, path, body, client_headers(), timeout_s
        )

    def submit(
        self,
        edge: Process,
        job: str,
        work_s: float,
        queue: str = '/desk/',
        **phase: typing.Any,
    ) -> None:
        """Hand a job of one step in; raises ``TimeoutError`` if refused."""
        body = {
            'spec': json.dumps({'work_s': work_s}),
            'phases': [{'mem_mb': 64, **phase}],
        }
        for _ in range(MAX_TRIES):
            status = self.call(edge, 'POST', f'{queue}{job}', body)[0]
            self.record.write(f'POST {queue}{job} {phase} answered {status}')
            if status == 200:
                return
            time.sleep(0.5)
        raise TimeoutError(f'{job} was not accepted')

    def state(self, edge: Process, job: str, queue: str = '/desk/') -> str:
        """Return what a job is shown as, the status if it is not shown."""
        status, answer = self.call(edge, 'GET', f'{queue}{job}')
        state = str(answer.get('state', status))
        if self._shown.get(job) != state:
            self._shown[job] = state
            self.record.write(f'GET {queue}{job} answered {status} {state}')
        return state

    def leader(self) -> Process | None:
        """Return the core process that most recently said that it leads."""
        newest = -1
        found = None
        for core in self.cores:
            for line in core.log_text().splitlines():
                if 'event=leader_changed' not in line:
                    continue
                term = int(field(line, 'term'))
                if field(line, 'leading') == 'True' and term > newest:
                    newest = term
                    found = core
        return found


class Gangs:
    """What the members of gangs learn of each other.

    ``size_by_step`` has the number of members by the name of the step.  The
    members work from the time when all of a run are present.  The end of one
    reaches the others after ``NOTICE_S``.
    """

    NOTICE_S = 0.1
    TIMEOUT_S = 3.0

    def __init__(self, size_by_step: dict[str, int]) -> None:
        self._size_by_step = size_by_step
        self._lock = threading.Lock()
        self._present: dict[tuple[str, int], set[str]] = {}
        self._complete_at: dict[tuple[str, int], float] = {}
        self._ended_at: dict[tuple[str, int], float] = {}

    def is_member(self, task: str) -> bool:
        return task.rpartition('.')[0] in self._size_by_step

    def join(self, task: str, attempt: int) -> None:
        step = task.rpartition('.')[0]
        key = (step, attempt)
        with self._lock:
            present = self._present.setdefault(key, set())
            present.add(task)
            if len(present) == self._size_by_step[step]:
                self._complete_at.setdefault(key, time.monotonic())

    def complete_at(self, task: str, attempt: int) -> float | None:
        """Return since when all members of a run have been present."""
        key = (task.rpartition('.')[0], attempt)
        with self._lock:
            return self._complete_at.get(key)

    def record_end(self, task: str, attempt: int) -> None:
        key = (task.rpartition('.')[0], attempt)
        with self._lock:
            self._ended_at.setdefault(key, time.monotonic())

    def is_broken(self, task: str, attempt: int) -> bool:
        """Tell whether a member knows by now that another one has ended."""
        key = (task.rpartition('.')[0], attempt)
        with self._lock:
            ended_at = self._ended_at.get(key, float('inf'))
        return time.monotonic() >= ended_at + self.NOTICE_S


class Run(typing.NamedTuple):
    """A run of a task on a minion."""

    task: str
    attempt: int
    started_at: float
    work_s: float


Fate = typing.Callable[['Minion', Run], str | None]


def never_fails(_: 'Minion', __: Run) -> str | None:
    """Let every run end by its work alone."""
    return None


class Minion:
    """One life of a minion, with the protocol of the pages.

    ``on_start`` is called after the start of a task with this minion and the
    name of the task.  ``fate`` is asked again and again how a run ends now;
    None lets it work on.  While ``is_unhealthy`` is set, orders are answered
    503 and nothing is done.  While ``is_cut_off`` is set, nothing that the
    system sends arrives, neither its calls nor its acknowledgements.
    """

    def __init__(
        self,
        cell: Cell,
        name: str,
        address: str,
        *,
        capacity_cpu: int = 8000,
        labels: tuple[str, ...] = ('a', 'r1-1'),
        on_start: typing.Callable[['Minion', str], None] | None = None,
        fate: Fate = never_fails,
        gangs: Gangs | None = None,
    ) -> None:
        self.cell = cell
        self.name = name
        self.address = address
        self.labels = labels
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.is_stalled = False
        self.is_unhealthy = False
        self.is_cut_off = False
        self.is_draining = False
        # When a heartbeat that says so was acknowledged.
        self.drained_at: float | None = None
        self._fate = fate
        self._gangs = gangs or Gangs({})
        self._capacity_cpu = capacity_cpu
        self._on_start = on_start
        self._clock_started_at = time.monotonic()
        self._changed = threading.Condition()
        self._fence = 0
        self._lease_until_ms = 0.0
        self._highest: dict[str, int] = {}
        self._running: dict[str, Run] = {}
        self._ended: list[list] = []
        self._end_count = 0
        self._sequence = 0
        self._server = _Server(address, self._handle)
        cell.on_close(self.crash)
        cell.record.write(
            f'minion {name} is up at {address}, labels {",".join(labels)}'
        )
        for target in (self._beat, self._work):
            threading.Thread(target=target, daemon=True).start()

    def crash(self) -> None:
        """End at once: connections are reset, nothing listens any more."""
        with self._changed:
            if self.is_down:
                return
            self.is_down = True
            self._changed.notify_all()
        self.cell.record.write(
            f'minion {self.name} is down, ran {sorted(self._running)}'
        )
        self._server.stop()

    def leave_in_background(self, patience_s: float) -> None:
        """Deregister and end while the caller goes on."""
        threading.Thread(
            target=self.leave, args=(patience_s,), daemon=True
        ).start()

    def leave(self, patience_s: float) -> None:
        """Deregister and end, without an acknowledgement after a while."""
        until = time.monotonic() + patience_s
        turn = 0
        while time.monotonic() < until:
            core = self.cell.cores[turn % len(self.cell.cores)]
            turn += 1
            path = f'/v1/instances/{self.name}'
            status = call(core.address, 'DELETE', path, {'born': self.born})[0]
            is_acknowledged = status == 200 and not self.is_cut_off
            self.cell.record.write(
                f'DELETE {path} at {core.name} answered {status}'
                f'{"" if is_acknowledged else ", no acknowledgement arrives"}'
            )
            if is_acknowledged:
                break
            time.sleep(0.5)
        self.crash()

    def _handle(
        self, path: str, body: dict, headers: typing.Any
    ) -> tuple[int, dict] | None:
        while self.is_stalled and not self.is_down:
            time.sleep(0.01)
        if self.is_cut_off:
            time.sleep(CUT_CALL_S)
            return None
        if self.is_down:
            return None
        if headers.get('X-Expect-Instance', self.name) != self.name:
            return 421, {}
        with self._changed:
            if body.get('fence', 0) < self._fence:
                return 409, self._reply(reason='fence')
            self._fence = body.get('fence', 0)
            if self.is_unhealthy and path != '/v1/hold':
                return 503, self._reply()
            if path == '/v1/run-start':
                return self._start(body)
            if path == '/v1/run-stop':
                return self._stop(body)
            return self._hold(body)

    def _start(self, body: dict) -> tuple[int, dict]:
        task = body['task']
        attempt = body['attempt']
        known = self._running.get(task)
        if known is not None and known.attempt == attempt:
            return 200, self._reply()
        if known is not None or attempt <= self._highest.get(task, 0):
            return 409, self._reply(reason='old')
        if body['deadline_ms'] <= self._clock_ms():
            return 409, self._reply(reason='late')
        self._extend_lease(body['deadline_ms'])
        self._highest[task] = attempt
        work_s = json.loads(body['spec'])['work_s']
        self._running[task] = Run(task, attempt, time.monotonic(), work_s)
        if self._gangs.is_member(task):
            self._gangs.join(task, attempt)
        self.cell.record.write(
            f'minion {self.name} starts {task} run {attempt}'
        )
        if self._on_start is not None:
            threading.Timer(0.02, self._on_start, (self, task)).start()
        return 200, self._reply()

    def _stop(self, body: dict) -> tuple[int, dict]:
        task = body['task']
        attempt = body['attempt']
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        known = self._running.get(task)
        if known is not None and known.attempt <= attempt:
            self._end(task, 'stopped')
        return 200, self._reply()

    def _hold(self, body: dict) -> tuple[int, dict] | None:
        last_seen = body['last_seen']
        self._ended = [end for end in self._ended if end[0] > last_seen]
        if 'deadline_ms' in body:
            self._extend_lease(body['deadline_ms'])
        until = time.monotonic() + body.get('wait_ms', 0) / 1000
        while not self._ended and not self.is_down:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        running = [
            [run.task, run.attempt, '', self._percent(run)]
            for run in self._running.values()
        ]
        if self.is_cut_off:
            return None
        return 200, self._reply(
            running=running, ended=self._ended[:500], born=self.born
        )

    def _reply(self, **fields: typing.Any) -> dict:
        return {'server_time_ms': self._clock_ms(), **fields}

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_started_at) * 1000)

    def _extend_lease(self, until_ms: float) -> None:
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _worked_s(self, run: Run) -> float:
        since: float | None = run.started_at
        if self._gangs.is_member(run.task):
            since = self._gangs.complete_at(run.task, run.attempt)
        return 0.0 if since is None else time.monotonic() - since

    def _percent(self, run: Run) -> int:
        return min(int(self._worked_s(run) / run.work_s * 100), 99)

    def runs(self) -> list[Run]:
        """Return what runs now."""
        with self._changed:
            return [] if self.is_down else list(self._running.values())

    def _end(self, task: str, how: str) -> None:
        attempt = self._running.pop(task).attempt
        if self._gangs.is_member(task):
            self._gangs.record_end(task, attempt)
        self._end_count += 1
        self._ended.append([self._end_count, task, attempt, how, ''])
        self.cell.record.write(
            f'minion {self.name} ends {task} run {attempt}: {how}'
        )
        self._changed.notify_all()

    def _work(self) -> None:
        while not self.is_down:
            time.sleep(0.01)
            if self.is_stalled:
                continue
            with self._changed:
                if self.is_down:
                    return
                for run in list(self._running.values()):
                    how = self._end_of(run)
                    if how is not None:
                        self._end(run.task, how)

    def _end_of(self, run: Run) -> str | None:
        if self._clock_ms() >= self._lease_until_ms:
            return 'lapsed'
        if self._gangs.is_member(run.task):
            if self._gangs.is_broken(run.task, run.attempt):
                return 'broken'
            if self._gangs.complete_at(run.task, run.attempt) is None:
                waited_s = time.monotonic() - run.started_at
                return 'alone' if waited_s >= Gangs.TIMEOUT_S else None
        how = self._fate(self, run)
        if how is None and self._worked_s(run) >= run.work_s:
            return 'done'
        return how

    def _beat(self) -> None:
        target = ''
        turn = 0
        while not self.is_down:
            if self.is_stalled:
                time.sleep(0.05)
                continue
            self._sequence += 1
            turn += 1
            is_draining = self.is_draining
            cores = self.cell.cores
            status, answer = call(
                target or cores[turn % len(cores)].address,
                'PUT',
                f'/v1/instances/{self.name}',
                {
                    'service': 'desk',
                    'addr': self.address,
                    'zone': 'wien-a',
                    'version': 'v1',
                    'slots': 8,
                    'state': 'draining' if is_draining else 'ready',
                    'cold_left_ms': 0,
                    'capacity': {
                        'cpu': self._capacity_cpu,
                        'mem_mb': 32768,
                        'gpu': 0,
                    },
                    'labels': list(self.labels),
                    'seq': self._sequence,
                    'born': self.born,
                    'server_time_ms': self._clock_ms(),
                },
                timeout_s=1.0,
            )
            if self.is_cut_off:
                status = 0
            target = answer.get('heartbeat_addr', '') if status == 200 else ''
            if is_draining and status == 200 and self.drained_at is None:
                self.drained_at = time.monotonic()
                self.cell.record.write(f'minion {self.name} drains')
            time.sleep(HEARTBEAT_S if status == 200 else 0.1)


class Advisor:
    """The advisor: allows every worker after its stated time."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        cell.advisor_address = f'127.{cell.network}.9.1:8182'
        self._lock_by_caller: dict[str, threading.Lock] = {}
        server = _Server(cell.advisor_address, self._handle)
        cell.on_close(server.stop)

    def _handle(
        self, _: str, body: dict, __: typing.Any
    ) -> tuple[int, dict] | None:
        time.sleep(0.44 + 0.0063 * len(body['workers']))
        return 200, {
            'allowed': [[name, f't-{name}'] for name in body['workers']],
            'validity_ms': 1500,
        }


Handler = typing.Callable[[str, dict, typing.Any], tuple[int, dict] | None]


class _RequestHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def do_POST(self) -> None:
        length = int(self.headers.get('Content-Length') or 0)
        body = json.loads(self.rfile.read(length) or b'{}')
        answer = self.server.handler(  # type: ignore[attr-defined]
            self.path, body, self.headers
        )
        if answer is None:
            self.close_connection = True
            return
        payload = json.dumps(answer[1]).encode()
        with contextlib.suppress(OSError):
            self.send_response(answer[0])
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)

    def log_message(self, *_: object) -> None:
        """Write no access log."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(':')
        super().__init__((host, int(port)), _RequestHandler)
        self.handler = handler
        self._open: set[socket.socket] = set()
        threading.Thread(
            target=self.serve_forever, args=(0.05,), daemon=True
        ).start()

    def process_request(self, request: typing.Any, address: typing.Any) -> None:
        self._open.add(request)
        super().process_request(request, address)

    def shutdown_request(self, request: typing.Any) -> None:
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, *_: object) -> None:
        """Ignore errors: callers may disconnect."""

    def stop(self) -> None:
        """Stop to listen and end every open connection."""
        self.shutdown()
        self.server_close()
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def client_headers(deadline_ms: int = 3000) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        'Content-Type': 'application/json',
        'X-Deadline-Ms': str(deadline_ms),
    }


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, dict]:
    """Return status and JSON body of a request; status 0 without a response."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        payload = None if body is None else json.dumps(body).encode()
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        content = response.read()
        return response.status, json.loads(content) if content else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def field(line: str, name: str) -> str:
    """Return a field of a log line."""
    return line.partition(f' {name}=')[2].split(' ')[0]


def wait_until(
    check: typing.Callable[[], typing.Any],
    timeout_s: float = START_DEADLINE_S,
) -> typing.Any:
    """Return the first true value of a check; raises ``TimeoutError``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        outcome = check()
        if outcome:
            return outcome
        time.sleep(0.05)
    raise TimeoutError(f'not reached within {timeout_s} s')


@contextlib.contextmanager
def reserved_network() -> typing.Iterator[int]:
    """Yield a loopback network that no other run on this machine uses."""
    for network in NETWORKS:
        with contextlib.closing(socket.socket()) as reservation:
            try:
                reservation.bind((f'127.{network}.0.1', PEER_PORT))
            except OSError:
                continue
            if _has_listeners(network):
                continue
            yield network
            return
    raise OSError('every network is in use')


def _has_listeners(network: int) -> bool:
    for address in (
        (f'127.{network}.1.1', CONTROL_PORT),
        (f'127.{network}.2.1', FRONTEND_PORT),
    ):
        with contextlib.closing(socket.socket()) as probe:
            probe.settimeout(1.0)
            if not probe.connect_ex(address):
                return True
    return False


def has_trouble() -> bool:
    """Tell whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    folder: pathlib.Path, case: typing.Callable[[pathlib.Path], bool]
) -> typing.NoReturn:
    """Run a case and exit; ``case`` tells whether the rule held."""
    # A run that is told to stop still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = case(folder / 'record.txt')
    except (OSError, KeyboardInterrupt) as exc:
        sys.stdout.write(f'could not run: {exc!r}\n')
        sys.stdout.flush()
        os._exit(EXIT_NOT_RUN)
    sys.stdout.write('the rule held\n' if held else 'the rule was broken\n')
    sys.stdout.flush()
    os._exit(EXIT_HELD if held else EXIT_BROKEN)
