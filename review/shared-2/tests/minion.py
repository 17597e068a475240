"""Stand-in minions that follow the protocol page.

A minion registers by heartbeats, starts, stops and lists runs, keeps the
highest fence and the lease, and has one life between two crashes.  The ``spec``
of a job tells how long a task works: ``{"work_s": 1.5}``, or
``{"lasting": true}`` for a task that runs until it is stopped.
"""

import http.client
import http.server
import json
import math
import random
import socket
import struct
import threading
import time

from cell import HEARTBEAT_MS, SERVICE, call

MAX_LEASE_MS = 6000
MAX_LISTED_ENDS = 500
STEP_S = 0.02


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def do_POST(self):
        length = int(self.headers.get('Content-Length') or 0)
        body = json.loads(self.rfile.read(length) or b'{}')
        reply = self.server.life.handle(self.path, body, self.headers)
        if reply is None:
            self.close_connection = True
            return
        status, document = reply
        payload = json.dumps(document).encode()
        try:
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)
        except OSError:
            self.close_connection = True

    def log_message(self, *_):
        """Write no access log."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.open_sockets = set()

    def process_request(self, request, address):
        self.open_sockets.add(request)
        super().process_request(request, address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, *_):
        """Ignore errors: callers may disconnect."""


class _Run:
    def __init__(self, task, attempt, work_s):
        self.task = task
        self.attempt = attempt
        self.work_s = work_s
        self.started_at = time.monotonic()

    @property
    def ends_at(self):
        return self.started_at + self.work_s

    @property
    def percent(self):
        if math.isinf(self.work_s):
            return 100
        share = (time.monotonic() - self.started_at) / self.work_s
        return min(int(share * 100), 99)


class Minion:
    """A minion with its lives; ``log`` is shared by all minions of a case."""

    def __init__(self, number, cell, log, labels, cpu=8000, mem_mb=16000):
        self.id = f'i-{number:04x}{random.getrandbits(32):08x}'
        self.address = cell.minion_address(number)
        self.labels = labels
        self.capacity = {'cpu': cpu, 'mem_mb': mem_mb, 'gpu': 0}
        self.zone = cell.cores[(number - 1) % 4].zone
        self.controls = cell.controls
        self.record = cell.record
        self.log = log
        # While True, starts get 503 and nothing is done.
        self.is_unhealthy = False
        self.state = 'ready'
        # Called in a thread when a task begins whose spec says ``deadly``.
        self.on_deadly = None
        self.life = _Life(self)

    def crash(self):
        """End this life at once; connections end with its process."""
        self.life.end()

    def start(self):
        """Begin the next life under the same id."""
        self.life = _Life(self)

    def drain(self):
        """Say that this minion drains until that is acknowledged."""
        self.state = 'draining'
        while not self.life.send_beat(random.choice(self.controls)):
            time.sleep(0.2)
        self.record.write(f'{self.id} drains, acknowledged')

    def leave(self, *, is_cut):
        """Send the DELETE of a planned end.

        With ``is_cut`` what is sent to this minion is refused from now on, so
        that the DELETE arrives on an open connection and its answer is lost.
        Returns whether the DELETE is acknowledged.
        """
        return self.life.deregister(is_cut=is_cut)

    def used_cpu(self, cpu_by_job):
        """Return what runs here, in thousandths of a core."""
        return sum(
            cpu_by_job.get(task.split('.')[0], 0) for task in self.life.tasks()
        )


class RunLog:
    """Begins and ends of runs at all minions."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.begun_by_job = {}
        self.running = {}
        self.last_end_by_job = {}
        # Tasks that began on a minion while they ran on another one.
        self.overlaps = []

    def begin(self, minion, task, attempt):
        """Note the begin of a run."""
        job = task.split('.')[0]
        with self.lock:
            self.begun_by_job.setdefault(job, []).append(time.monotonic())
            self.overlaps.extend(
                (task, other, minion.id)
                for other_task, _, other in self.running.get(job, ())
                if other_task == task and other != minion.id
            )
            self.running.setdefault(job, set()).add((task, attempt, minion.id))
        self.record.write(f'{minion.id} begins {task} run {attempt}')

    def end(self, minion, task, attempt, how):
        """Note the end of a run."""
        job = task.split('.')[0]
        with self.lock:
            self.running.get(job, set()).discard((task, attempt, minion.id))
            self.last_end_by_job[job] = time.monotonic()
        self.record.write(f'{minion.id} ends {task} run {attempt}: {how}')

    def has_begun(self, job):
        """Tell whether a task of a job has ever begun."""
        return bool(self.begun_by_job.get(job))

    def is_running(self, job):
        """Tell whether a task of a job is running."""
        return bool(self.running.get(job))


class _Life:
    """One life of a minion."""

    def __init__(self, minion):
        self._minion = minion
        self._born = int(time.time() * 1000)
        self._clock_started_at = time.monotonic()
        self._fence = 0
        self._lease_until_ms = 0.0
        self._seq = 0
        self._end_count = 0
        self._ended = []
        self._run_by_task = {}
        self._highest_by_task = {}
        self._has_ended = False
        self._lost_connection = None
        self._changed = threading.Condition()
        host, _, port = minion.address.rpartition(':')
        self._server = _Server((host, int(port)), _Handler)
        self._server.life = self
        for target in (self._serve, self._beat, self._work):
            threading.Thread(target=target, daemon=True).start()
        minion.record.write(f'{minion.id} is up at {minion.address}')

    def tasks(self):
        """Return the names of the tasks that run."""
        with self._changed:
            return list(self._run_by_task)

    def end(self):
        """Crash: close every socket and run nothing."""
        with self._changed:
            self._has_ended = True
            for run in list(self._run_by_task.values()):
                self._minion.log.end(
                    self._minion, run.task, run.attempt, 'gone'
                )
            self._run_by_task.clear()
            self._changed.notify_all()
        self._minion.record.write(f'{self._minion.id} is down')
        self._server.shutdown()
        self._server.server_close()
        for connection in tuple(self._server.open_sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle(self, path, body, headers):
        """Return status and document for a call, None for no response."""
        if self._has_ended:
            return None
        if headers.get('X-Expect-Instance') not in {None, self._minion.id}:
            return 421, {}
        with self._changed:
            if path == '/v1/run-start' and self._minion.is_unhealthy:
                self._minion.record.write(
                    f'{self._minion.id} answers 503 to the start of '
                    f'{body["task"]} run {body["attempt"]}'
                )
                return 503, self._reply()
            if body.get('fence', 0) < self._fence:
                return 409, self._reply(reason='fence')
            self._fence = body.get('fence', 0)
            if path == '/v1/run-start':
                reply = self._start(body)
            elif path == '/v1/run-stop':
                reply = self._stop(body)
            else:
                reply = self._hold(body)
        return None if self._has_ended else reply

    def _start(self, body):
        task, attempt = body['task'], body['attempt']
        run = self._run_by_task.get(task)
        if run is not None and run.attempt == attempt:
            return 200, self._reply()
        if attempt <= self._highest_by_task.get(task, 0):
            self._extend_lease(body['deadline_ms'])
            return 409, self._reply(reason='old')
        if body['deadline_ms'] <= self._clock_ms():
            return 409, self._reply(reason='late')
        self._extend_lease(body['deadline_ms'])
        spec = json.loads(body['spec'])
        work_s = math.inf if spec.get('lasting') else spec['work_s']
        self._highest_by_task[task] = attempt
        self._run_by_task[task] = _Run(task, attempt, work_s)
        self._minion.log.begin(self._minion, task, attempt)
        if spec.get('deadly') and self._minion.on_deadly is not None:
            threading.Thread(
                target=self._minion.on_deadly,
                args=(self._minion,),
                daemon=True,
            ).start()
        return 200, self._reply()

    def _stop(self, body):
        task, attempt = body['task'], body['attempt']
        self._highest_by_task[task] = max(
            self._highest_by_task.get(task, 0), attempt
        )
        run = self._run_by_task.get(task)
        if run is not None and run.attempt <= attempt:
            self._finish(run, 'stopped')
        return 200, self._reply()

    def _hold(self, body):
        if 'deadline_ms' in body:
            self._extend_lease(body['deadline_ms'])
        last_seen = body.get('last_seen', 0)
        self._ended = [end for end in self._ended if end[0] > last_seen]
        until = time.monotonic() + min(body.get('wait_ms', 0), 2000) / 1000
        while not self._ended and not self._has_ended:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        running = [
            [run.task, run.attempt, '', run.percent, 0]
            for run in self._run_by_task.values()
        ]
        return 200, self._reply(
            born=self._born,
            running=running,
            ended=self._ended[:MAX_LISTED_ENDS],
        )

    def _reply(self, **fields):
        return {'server_time_ms': self._clock_ms(), **fields}

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_started_at) * 1000)

    def _extend_lease(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _finish(self, run, how):
        self._run_by_task.pop(run.task)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.attempt, how, ''])
        self._minion.log.end(self._minion, run.task, run.attempt, how)
        self._changed.notify_all()

    def _serve(self):
        self._server.serve_forever(STEP_S)

    def _work(self):
        while not self._has_ended:
            time.sleep(STEP_S)
            with self._changed:
                if self._has_ended:
                    return
                has_lapsed = self._clock_ms() >= self._lease_until_ms
                for run in list(self._run_by_task.values()):
                    if has_lapsed:
                        self._finish(run, 'lapsed')
                    elif time.monotonic() >= run.ends_at:
                        self._finish(run, 'done')

    def deregister(self, *, is_cut):
        """Send the DELETE; return whether it is acknowledged."""
        host, _, port = random.choice(self._minion.controls).rpartition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        connection.connect()
        if is_cut:
            self._refuse_connections()
        path = f'/v1/instances/{self._minion.id}'
        body = json.dumps({'born': self._born}).encode()
        self._minion.record.write(f'{self._minion.id} sends its DELETE')
        connection.request(
            'DELETE', path, body, {'Content-Type': 'application/json'}
        )
        if is_cut:
            # The answer doesn't arrive.  The connection stays open.
            self._lost_connection = connection
            return False
        status = connection.getresponse().status
        connection.close()
        self._minion.record.write(f'{self._minion.id} is told {status}')
        return status == 200

    def _refuse_connections(self):
        """Refuse new connections and reset the open ones."""
        self._minion.record.write(
            f'{self._minion.id} is cut off: what is sent to it is refused'
        )
        self._server.shutdown()
        self._server.server_close()
        for connection in tuple(self._server.open_sockets):
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                continue

    def send_beat(self, address):
        """Send one heartbeat; return the next address, empty without one."""
        self._seq += 1
        status, document = call(
            address,
            'PUT',
            f'/v1/instances/{self._minion.id}',
            {
                'service': SERVICE,
                'addr': self._minion.address,
                'zone': self._minion.zone,
                'version': 'v1',
                'slots': 8,
                'state': self._minion.state,
                'cold_left_ms': 0,
                'capacity': self._minion.capacity,
                'labels': self._minion.labels,
                'server_time_ms': self._clock_ms(),
                'seq': self._seq,
                'born': self._born,
            },
            timeout_s=1.0,
        )
        if status != 200:
            return ''
        return document.get('heartbeat_addr', address)

    def _beat(self):
        address = ''
        while not self._has_ended:
            address = self.send_beat(
                address or random.choice(self._minion.controls)
            )
            time.sleep(HEARTBEAT_MS / 1000 if address else 0.2)
