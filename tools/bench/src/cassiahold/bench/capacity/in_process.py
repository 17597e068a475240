"""Slopes of the scheduler, the log and the coordinator, in one process."""

import pathlib
import tempfile
import time
import tracemalloc
import typing

import msgspec

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.messages import (
    AppendReply,
    HardState,
    Membership,
    Snapshot,
    VoteReply,
)
from cassiahold.agreement.node import RaftNode, RaftTiming
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.bench.capacity.slopes import Slope, cpu_us, measure
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.coordinator_state import (
    ApplyConfiguration,
    CoordinatorState,
)
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.config import Configuration, Limit, Queue, Team
from cassiahold.core.conf.settings import (
    CellSettings,
    GroupEntry,
    HostEntry,
    HostSettings,
    Settings,
)
from cassiahold.core.ids import (
    AttemptId,
    ChangeId,
    DataCentre,
    GroupName,
    HostName,
    JobId,
    ReplicaId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome
from cassiahold.journal import Journal
from cassiahold.scheduler.control_loop import MIN_PLAN_INTERVAL_S
from cassiahold.scheduler.service import SchedulerService
from cassiahold.wire import messages

CENTRE: typing.Final = DataCentre('here')
TASKS_ON_WORKER: typing.Final = 8
SIZE: typing.Final = Resources(64_000, 128_000, 0)
PLENTY: typing.Final = Resources(10**9, 10**9, 10**6)
HOME, SECOND, THIRD = (ReplicaId(name) for name in 'abc')


def all_slopes() -> list[Slope]:
    """Measure every slope of this module."""
    return [
        measure(
            'scheduler, one report',
            'running task of the worker',
            'us',
            (1, 10, 100),
            _report_cost,
        ),
        measure(
            'report and answer on the wire',
            'running task of the worker',
            'bytes',
            (1, 10, 100),
            _report_bytes,
        ),
        measure(
            'scheduler memory',
            'running task',
            'MB',
            (640, 6400, 64_000),
            _state_memory,
        ),
        measure(
            'new leader ready',
            'running task',
            's',
            (640, 6400, 64_000),
            _lead_time,
        ),
        measure(
            'restart from snapshot',
            'running task',
            's',
            (640, 6400, 64_000),
            _restore_time,
        ),
        measure(
            'restart from log',
            'change behind',
            's',
            (100, 1000, 10_000),
            _replay_time,
        ),
        measure(
            'agreement, batches of 64',
            'entry',
            'us',
            (640, 3200, 6400),
            _agreement_cost,
        ),
        measure(
            'log, synced in batches of 64',
            'entry',
            's',
            (640, 3200, 6400),
            _log_time,
        ),
        measure(
            'scheduler, start and end',
            'task',
            'us',
            (100, 1000, 5000),
            _start_and_end_cost,
        ),
        measure(
            'log bytes, start and end',
            'task',
            'bytes',
            (1, 10, 100),
            _log_bytes,
        ),
        measure(
            'configuration on the wire',
            'team',
            'bytes',
            (30, 100, 300),
            _configuration_bytes,
        ),
        measure(
            'coordinator, one change',
            'team',
            'us',
            (30, 100, 300),
            _change_cost,
        ),
    ]


class StandInCell(msgspec.Struct):
    """A scheduler group with running tasks, without agreement around it."""

    service: SchedulerService
    workers: int
    jobs: int


def _settings() -> Settings:
    host = HostEntry(HostName('h'), CENTRE, '127.0.0.1:1', '127.0.0.1:2')
    group = GroupEntry(GroupName('here'), [host.name])
    return Settings(
        HostSettings(host.name, '', ''),
        CellSettings('capacity', [host], [group], group),
        host,
        pathlib.Path(),
    )


def configuration(teams: int) -> Configuration:
    """Return a configuration with a number of teams."""
    limit = Limit(cores=1e6, memory_gb=1e6)
    return Configuration(
        teams=tuple(
            Team(name=f'team-{number}', limit=limit) for number in range(teams)
        ),
        queues=tuple(
            Queue(name=f'queue-{number}', team=f'team-{number}')
            for number in range(teams)
        ),
    )


def running_cell(tasks: int, teams: int = 30) -> StandInCell:
    """Return a leader with that many running tasks, eight to a worker."""
    service = SchedulerService(CENTRE, _settings(), NullMetrics())
    state = service.state
    config = configuration(teams)
    state.apply_command(commands.AdoptConfiguration(1, config))
    allowance = ResourceTotals(PLENTY, 10**9)
    offer = QuotaOffer(1, dict.fromkeys(config.team_by_name, allowance))
    state.apply_command(commands.AdoptQuotaOffer(offer))
    workers = max(tasks // TASKS_ON_WORKER, 1)
    for number in range(workers):
        state.apply_command(
            commands.RegisterWorker(
                WorkerId(f'w{number}'), 1, SIZE, '', f'r{number // 6}', 1.0, 0.0
            )
        )
    jobs = 0
    for first in range(0, tasks, TASKS_ON_WORKER):
        count = min(TASKS_ON_WORKER, tasks - first)
        number = first // TASKS_ON_WORKER
        start_job(service, jobs, count, WorkerId(f'w{number}'), teams)
        jobs += 1
    service.start_leading(1, time.monotonic())
    return StandInCell(service, workers, jobs)


def start_job(
    service: SchedulerService,
    number: int,
    tasks: int,
    worker: WorkerId,
    teams: int = 30,
) -> None:
    """Submit a job and start all its tasks on one worker."""
    team = TeamName(f'team-{number % teams}')
    spec = JobSpec(
        queue=f'queue-{number % teams}', tasks=tasks, cores=0.5, name='work'
    )
    service.state.apply_command(
        commands.SubmitJob(team, RequestId(str(number)), 'f', spec, 0.0)
    )
    job = JobId(f'{CENTRE}.{number + 1}')
    service.state.apply_command(
        commands.StartTasks(
            [
                [commands.AttemptStart(job, index, 1, worker, spec.resources)]
                for index in range(tasks)
            ]
        )
    )


def _report(
    service: SchedulerService, worker: WorkerId, sequence: int
) -> messages.WorkerReport:
    record = service.state.worker_by_id[worker]
    return messages.WorkerReport(
        worker=worker,
        incarnation=1,
        data_centre=CENTRE,
        sequence=sequence,
        capacity=SIZE,
        rack=record.rack,
        running=[
            messages.RunningAttempt(AttemptId(attempt), 480, 900)
            for attempt in record.allocation_by_attempt
        ],
    )


def _one_worker(tasks: int) -> SchedulerService:
    cell = running_cell(0)
    cell.service.state.apply_command(
        commands.RegisterWorker(WorkerId('w0'), 1, SIZE, '', 'r0', 1.0, 0.0)
    )
    start_job(cell.service, 0, tasks, WorkerId('w0'))
    cell.service.start_leading(1, time.monotonic())
    return cell.service


def _report_cost(tasks: int) -> float:
    service = _one_worker(tasks)
    template = _report(service, WorkerId('w0'), 0)
    sequence = iter(range(1, 10**9))

    def handle() -> None:
        report = msgspec.structs.replace(template, sequence=next(sequence))
        payload = msgspec.msgpack.encode(report)
        decoded = msgspec.msgpack.decode(payload, type=messages.WorkerReport)
        orders = service.handle_request(decoded, time.monotonic())
        msgspec.msgpack.encode(orders)

    return cpu_us(handle, 500)


def _report_bytes(tasks: int) -> float:
    service = _one_worker(tasks)
    report = _report(service, WorkerId('w0'), 1)
    orders = service.handle_request(report, time.monotonic())
    headers = 420  # of an HTTP request and its answer, counted on the wire
    return (
        len(msgspec.json.encode(report))
        + len(msgspec.json.encode(orders))
        + headers
    )


def _state_memory(tasks: int) -> float:
    tracemalloc.start()
    cell = running_cell(tasks)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 1e6 if cell.jobs or not tasks else 0.0


def _lead_time(tasks: int) -> float:
    cell = running_cell(tasks)
    cell.service.stop_leading()
    began = time.perf_counter()
    cell.service.start_leading(2, time.monotonic())
    return time.perf_counter() - began


def _restore_time(tasks: int) -> float:
    snapshot = running_cell(tasks).service.snapshot()
    fresh = SchedulerService(CENTRE, _settings(), NullMetrics())
    began = time.perf_counter()
    fresh.restore(snapshot)
    return time.perf_counter() - began


def _replay_time(changes: int) -> float:
    state = CoordinatorState([CENTRE])
    payloads = [
        msgspec.msgpack.encode(
            ApplyConfiguration(ChangeId(str(number)), number, configuration(30))
        )
        for number in range(changes)
    ]
    began = time.perf_counter()
    for payload in payloads:
        state.apply(payload)
    return time.perf_counter() - began


def _elected(members: Membership) -> RaftNode:
    log = ReplicatedLog(Snapshot(0, 0, members), [])
    node = RaftNode(HOME, log, HardState(), RaftTiming(0.1, 1.0), 0.0, seed=1)
    node.tick(3.0)
    node.step(VoteReply(1, SECOND, granted=True, is_pre_vote=True), 3.0)
    node.step(VoteReply(1, SECOND, granted=True), 3.0)
    _drive(node)
    return node


def _drive(node: RaftNode) -> None:
    ready = node.ready()
    while ready is not None:
        msgspec.msgpack.encode([sent.message for sent in ready.messages])
        node.advance(ready)
        ready = node.ready()


def _agreement_cost(entries: int) -> float:
    """Return the leader's whole processor time for the entries."""
    node = _elected(Membership((HOME, SECOND, THIRD)))
    payload = bytes(120)
    began = time.process_time()
    for _ in range(entries // 64):
        node.propose([payload] * 64, 3.1)
        _drive(node)
        last = node.log.last_index
        for follower in (SECOND, THIRD):
            node.step(AppendReply(1, follower, True, last, 3.1), 3.1)
        _drive(node)
    return (time.process_time() - began) * 1e6


def _log_time(entries: int) -> float:
    node = _elected(Membership((HOME, SECOND, THIRD)))
    payload = bytes(120)
    with tempfile.TemporaryDirectory() as folder:
        storage = ReplicaStorage(Journal(pathlib.Path(folder)))
        storage.recover(Membership((HOME, SECOND, THIRD)))
        began = time.perf_counter()
        for _ in range(entries // 64):
            node.propose([payload] * 64, 3.1)
            ready = node.ready()
            if ready is not None:
                storage.save(ready.hard_state, ready.entries)
                node.advance(ready)
        took = time.perf_counter() - began
        storage.close()
    return took


def _start_and_end_cost(tasks: int) -> float:
    """Return microseconds for all tasks, from waiting to done."""
    cell = running_cell(TASKS_ON_WORKER * 200)
    service = cell.service
    spec = JobSpec(queue='queue-0', tasks=tasks, cores=0.05, memory_gb=0.01)
    began = time.process_time()
    payload = commands.encode_command(
        commands.SubmitJob(
            TeamName('team-0'), RequestId('big'), 'f', spec, time.time()
        )
    )
    service.apply(payload)
    job = JobId(f'{CENTRE}.{cell.jobs + 1}')
    now = time.monotonic()
    started = 0
    for _ in range(tasks):
        if started >= tasks:
            break
        now += MIN_PLAN_INTERVAL_S
        for entry in service.due_commands(now):
            service.apply(entry)
        record = service.state.job_by_id[job]
        fresh = [
            commands.AttemptResult(job, index, task.attempt, _DONE)
            for index, task in enumerate(record.tasks)
            if task.state.value == 'running'
        ]
        if not fresh:
            continue
        started += len(fresh)
        service.apply(
            commands.encode_command(commands.EndTasks(fresh, time.time()))
        )
    if started < tasks:
        raise RuntimeError(f'{started} of {tasks} tasks were started')
    return (time.process_time() - began) * 1e6


def _log_bytes(tasks: int) -> float:
    job = JobId('here.123456')
    starts = commands.StartTasks(
        [
            [
                commands.AttemptStart(
                    job,
                    index,
                    1,
                    WorkerId('worker-1234'),
                    Resources(1000, 1000),
                )
            ]
            for index in range(tasks)
        ]
    )
    ends = commands.EndTasks(
        [
            commands.AttemptResult(job, index, 1, _DONE)
            for index in range(tasks)
        ],
        1e9,
    )
    return float(
        len(commands.encode_command(starts))
        + len(commands.encode_command(ends))
    )


def _configuration_bytes(teams: int) -> float:
    return float(len(msgspec.msgpack.encode(configuration(teams))))


def _change_cost(teams: int) -> float:
    state = CoordinatorState([DataCentre(f'c{number}') for number in range(9)])
    wanted = configuration(teams)
    versions = iter(range(10**6))

    def change() -> None:
        version = next(versions)
        state.apply(
            msgspec.msgpack.encode(
                ApplyConfiguration(ChangeId(str(version)), version, wanted)
            )
        )

    return cpu_us(change, 20)


_DONE: typing.Final = AttemptOutcome.DONE
