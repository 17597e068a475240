"""A fake worker: it holds each attempt for a time instead of running it.

The payload of a task is a small JSON object: ``run_s`` is how long it
takes, ``fails`` makes it fail, ``crashes_worker`` ends its worker with all
attempts when that time is over, ``cores_m`` and ``memory_mb`` are the usage
that the worker reports for it.  A payload that is not JSON runs for
``_DEFAULT_RUN_S``, a tenth of a second.
"""

import json
import random
import threading
import time
import typing

import msgspec
import urllib3

from cassiahold.core import tracing
from cassiahold.core.states import AttemptOutcome, CommandKind

_DEFAULT_RUN_S: typing.Final = 0.1
_READ_TIMEOUT_S: typing.Final = 5.0
_DOWN_POLL_S: typing.Final = 0.1


class WorkerPlan(msgspec.Struct, frozen=True):
    """The identity, capacity and behaviour of a fake worker.

    ``speed`` divides the run time of every task; after a crash the worker is
    back after ``restart_s``, in a new incarnation.
    """

    worker: str
    data_centre: str
    rack: str
    cores: float
    memory_gb: float
    accelerators: int = 0
    worker_class: str = ''
    speed: float = 1.0
    fails_everything: bool = False
    restart_s: float = 3.0


class AttemptCommand(msgspec.Struct):
    """A command of the scheduler group about one attempt."""

    command: CommandKind
    attempt: str
    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    payload: str = ''
    checkpoint: str = ''
    traceparent: str = ''


class ReportReply(msgspec.Struct):
    """The reply to a report: the renewed lease, commands and confirmations.

    ``report_in_s`` is the time until the next report is due.
    """

    term: int
    lease_s: float
    report_in_s: float
    commands: list[AttemptCommand]
    confirmed: list[str]


class FakeAttempt(msgspec.Struct):
    """An attempt in progress, with its allocation and reported usage.

    Times are of the monotonic clock, in seconds.
    """

    id: str
    started_at: float
    ends_at: float
    will_fail: bool
    used_cores_m: int
    used_memory_mb: int
    allocated_cores_m: int
    allocated_memory_mb: int
    allocated_accelerators: int
    crashes_worker: bool = False


class JournalEvent(msgspec.Struct):
    """One line of the journal from which the demo checks its properties.

    ``worker`` is the worker or target, ``attempt`` the attempt or the live
    request.  ``kind`` is ``start``, ``end <outcome>``, ``serve`` or
    ``serve late``; in a ``broken`` event ``attempt`` holds the violation.
    """

    unix_time_s: float = msgspec.field(name='at')
    worker: str
    attempt: str
    kind: str = msgspec.field(name='what')


class _EndedAttempt(msgspec.Struct):
    attempt: str
    outcome: AttemptOutcome = msgspec.field(name='how')
    note: str
    ran_s: float


JournalWriter = typing.Callable[[JournalEvent], None]


class FakeWorker:
    """A worker whose thread reports to the gateways and executes commands.

    ``violations`` lists each time its allocations exceeded its capacity;
    ``crash_count`` tells how often it has crashed.
    """

    def __init__(
        self,
        plan: WorkerPlan,
        gateways: typing.Sequence[str],
        token: str,
        write_event: JournalWriter,
    ) -> None:
        self.plan = plan
        self._gateway_addresses = list(gateways)
        self._token = token
        self._write_event = write_event
        self._pools = urllib3.PoolManager(num_pools=4, retries=False)
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._term = 0
        self._lease_expires_at = float('-inf')
        self._attempt_by_id: dict[str, FakeAttempt] = {}
        self._ended_by_id: dict[str, _EndedAttempt] = {}
        self._known_attempts: set[str] = set()
        self._random = random.Random(plan.worker)
        self._stopped = threading.Event()
        self._back_at = float('-inf')
        self.crash_count = 0
        self.is_leaving = False
        self.violations: list[str] = []
        self._thread = threading.Thread(
            target=self._run, name=plan.worker, daemon=True
        )

    def start(self) -> None:
        """Start the reporting thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop reporting without deregistering; the lease expires later."""
        self._stopped.set()

    def crash(self, now: float) -> None:
        """End without a report, and with all attempts, as a process does.

        The worker then reports in a new incarnation that knows of none.
        """
        for attempt in self._attempt_by_id:
            self._write_event(
                JournalEvent(
                    time.time(), self.plan.worker, attempt, 'end crashed'
                )
            )
        self._attempt_by_id.clear()
        self._ended_by_id.clear()
        self._known_attempts.clear()
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._term = 0
        self._lease_expires_at = float('-inf')
        self._back_at = now + self.plan.restart_s
        self.crash_count += 1

    def is_down(self, now: float) -> bool:
        """Tell whether the worker has crashed and is not back yet."""
        return now < self._back_at

    @property
    def running_count(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._attempt_by_id)

    def _run(self) -> None:
        pause_s = self._random.random()
        while not self._stopped.wait(pause_s):
            self._end_due_attempts(time.monotonic())
            if self.is_down(time.monotonic()):
                pause_s = _DOWN_POLL_S
                continue
            pause_s = self._send_report()
            self._stop_if_lease_expired(time.monotonic())

    def _send_report(self) -> float:
        self._sequence += 1
        sent_at = time.monotonic()
        reply = self._exchange_report()
        if reply is None:
            return 0.3
        if reply.term < self._term:
            return 0.3
        self._term = reply.term
        self._lease_expires_at = sent_at + reply.lease_s
        for attempt in reply.confirmed:
            self._ended_by_id.pop(attempt, None)
        for command in reply.commands:
            self._execute_command(command, time.monotonic())
        return min(reply.report_in_s, self._time_to_next_end_s())

    def _time_to_next_end_s(self) -> float:
        now = time.monotonic()
        ends = [attempt.ends_at for attempt in self._attempt_by_id.values()]
        return max(min(ends, default=now + 1.0) - now, 0.05)

    def _exchange_report(self) -> ReportReply | None:
        plan = self.plan
        report = {
            'worker': plan.worker,
            'incarnation': self._incarnation,
            'data_centre': plan.data_centre,
            'sequence': self._sequence,
            'term': self._term,
            'capacity': {
                'cores_m': int(plan.cores * 1000),
                'memory_mb': int(plan.memory_gb * 1000),
                'accelerators': plan.accelerators,
            },
            'worker_class': plan.worker_class,
            'rack': plan.rack,
            'speed': plan.speed,
            'running': [
                {
                    'attempt': attempt.id,
                    'cores_m': attempt.used_cores_m,
                    'memory_mb': attempt.used_memory_mb,
                }
                for attempt in self._attempt_by_id.values()
            ],
            'ended': list(self._ended_by_id.values()),
            'leaving': self.is_leaving,
        }
        address = self._gateway_addresses[
            self._sequence % len(self._gateway_addresses)
        ]
        try:
            response = self._pools.request(
                'POST',
                f'http://{address}/v1/workers/report',
                body=msgspec.json.encode(report),
                headers={'Authorization': f'Bearer {self._token}'},
                timeout=urllib3.Timeout(connect=1.0, read=_READ_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError:
            return None
        if response.status != 200:
            return None
        return msgspec.json.decode(response.data, type=ReportReply)

    def _execute_command(self, command: AttemptCommand, now: float) -> None:
        if command.command is CommandKind.START:
            self._start_attempt(command, now)
        elif command.command is CommandKind.STOP:
            self._end_attempt(command.attempt, AttemptOutcome.STOPPED, now)
        elif command.command is CommandKind.CHECKPOINT:
            self._end_attempt(command.attempt, AttemptOutcome.CHECKPOINTED, now)
        elif command.command is CommandKind.THROTTLE:
            attempt = self._attempt_by_id.get(command.attempt)
            if attempt is not None:
                attempt.used_cores_m = min(
                    attempt.used_cores_m, attempt.allocated_cores_m
                )
                attempt.used_memory_mb = min(
                    attempt.used_memory_mb, attempt.allocated_memory_mb
                )

    def _start_attempt(self, command: AttemptCommand, now: float) -> None:
        if command.attempt in self._known_attempts:
            return
        self._known_attempts.add(command.attempt)
        task = _parse_payload(command.payload)
        run_s = float(task.get('run_s', _DEFAULT_RUN_S)) / self.plan.speed
        if self.plan.fails_everything:
            run_s = 0.05
        with tracing.span('worker start', command.traceparent):
            self._attempt_by_id[command.attempt] = FakeAttempt(
                command.attempt,
                now,
                now + run_s,
                bool(task.get('fails')) or self.plan.fails_everything,
                int(task.get('cores_m', command.cores_m)),
                int(task.get('memory_mb', command.memory_mb)),
                command.cores_m,
                command.memory_mb,
                command.accelerators,
                crashes_worker=bool(task.get('crashes_worker')),
            )
        self._write_event(
            JournalEvent(
                time.time(), self.plan.worker, command.attempt, 'start'
            )
        )
        self._check_capacity()

    def _check_capacity(self) -> None:
        attempts = list(self._attempt_by_id.values())
        cores_m = sum(attempt.allocated_cores_m for attempt in attempts)
        memory_mb = sum(attempt.allocated_memory_mb for attempt in attempts)
        accelerators = sum(
            attempt.allocated_accelerators for attempt in attempts
        )
        if (
            cores_m > self.plan.cores * 1000
            or memory_mb > self.plan.memory_gb * 1000
            or accelerators > self.plan.accelerators
        ):
            self.violations.append(
                f'property 1: {self.plan.worker} was given {cores_m} '
                f'millicores and {memory_mb} MB'
            )

    def _end_due_attempts(self, now: float) -> None:
        for attempt in list(self._attempt_by_id.values()):
            if now >= attempt.ends_at and attempt.crashes_worker:
                self.crash(now)
                return
            if now >= attempt.ends_at:
                outcome = (
                    AttemptOutcome.FAILED
                    if attempt.will_fail
                    else AttemptOutcome.DONE
                )
                self._end_attempt(attempt.id, outcome, now)

    def _end_attempt(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> None:
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return
        self._write_event(
            JournalEvent(
                time.time(),
                self.plan.worker,
                attempt_id,
                f'end {outcome.value}',
            )
        )
        self._ended_by_id[attempt_id] = _EndedAttempt(
            attempt_id,
            outcome,
            'the fake worker failed the attempt'
            if outcome is AttemptOutcome.FAILED
            else '',
            now - attempt.started_at,
        )

    def _stop_if_lease_expired(self, now: float) -> None:
        if now < self._lease_expires_at or not self._attempt_by_id:
            return
        # After the lease expires, another worker may run these tasks.
        for attempt in list(self._attempt_by_id.values()):
            self._write_event(
                JournalEvent(
                    time.time(), self.plan.worker, attempt.id, 'end lapsed'
                )
            )
        self._attempt_by_id.clear()


def _parse_payload(payload: str) -> dict[str, typing.Any]:
    try:
        task = json.loads(payload or '{}')
    except ValueError:
        return {}
    return task if isinstance(task, dict) else {}
