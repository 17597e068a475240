"""Cost slopes of the scheduler, the log and the coordinator, in one process.

Memory is in MB and bytes are those of encoded messages or log entries.
"""

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
from cassiahold.bench.capacity.slopes import (
    Slope,
    cpu_us_per_call,
    measure_slope,
)
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

DATA_CENTRE: typing.Final = DataCentre('here')
TASKS_PER_WORKER: typing.Final = 8
WORKER_CAPACITY: typing.Final = Resources(64_000, 128_000, 0)
UNLIMITED: typing.Final = Resources(10**9, 10**9, 10**6)
LEADER, FOLLOWER_B, FOLLOWER_C = (ReplicaId(name) for name in 'abc')


def all_slopes() -> list[Slope]:
    """Measure every slope of this module."""
    return [
        measure_slope(
            'scheduler, one report',
            'running task of the worker',
            'us',
            (1, 10, 100),
            _report_cpu_us,
        ),
        measure_slope(
            'report and answer on the wire',
            'running task of the worker',
            'bytes',
            (1, 10, 100),
            _report_bytes,
        ),
        measure_slope(
            'scheduler memory',
            'running task',
            'MB',
            (640, 6400, 64_000),
            _state_memory_mb,
        ),
        measure_slope(
            'new leader ready',
            'running task',
            's',
            (640, 6400, 64_000),
            _leader_start_s,
        ),
        measure_slope(
            'restart from snapshot',
            'running task',
            's',
            (640, 6400, 64_000),
            _snapshot_restore_s,
        ),
        measure_slope(
            'restart from log',
            'change behind',
            's',
            (100, 1000, 10_000),
            _log_replay_s,
        ),
        measure_slope(
            'agreement, batches of 64',
            'entry',
            'us',
            (640, 3200, 6400),
            _consensus_cpu_us,
        ),
        measure_slope(
            'log, synced in batches of 64',
            'entry',
            's',
            (640, 3200, 6400),
            _log_write_s,
        ),
        measure_slope(
            'scheduler, start and end',
            'task',
            'us',
            (100, 1000, 5000),
            _start_and_end_cpu_us,
        ),
        measure_slope(
            'log bytes, start and end',
            'task',
            'bytes',
            (1, 10, 100),
            _log_bytes,
        ),
        measure_slope(
            'configuration on the wire',
            'team',
            'bytes',
            (30, 100, 300),
            _configuration_bytes,
        ),
        measure_slope(
            'coordinator, one change',
            'team',
            'us',
            (30, 100, 300),
            _change_cpu_us,
        ),
    ]


class LoadedScheduler(msgspec.Struct):
    """A scheduler service with running tasks, without replication."""

    service: SchedulerService
    worker_count: int
    job_count: int


def _create_settings() -> Settings:
    host = HostEntry(HostName('h'), DATA_CENTRE, '127.0.0.1:1', '127.0.0.1:2')
    group = GroupEntry(GroupName('here'), [host.name])
    return Settings(
        HostSettings(host.name, '', ''),
        CellSettings('capacity', [host], [group], group),
        host,
        pathlib.Path(),
    )


def create_configuration(team_count: int) -> Configuration:
    """Return a configuration with a number of teams and a queue for each."""
    limit = Limit(cores=1e6, memory_gb=1e6)
    return Configuration(
        teams=tuple(
            Team(name=f'team-{number}', limit=limit)
            for number in range(team_count)
        ),
        queues=tuple(
            Queue(name=f'queue-{number}', team=f'team-{number}')
            for number in range(team_count)
        ),
    )


def create_loaded_scheduler(
    task_count: int, team_count: int = 30
) -> LoadedScheduler:
    """Return a leading scheduler whose workers run eight tasks each."""
    service = SchedulerService(DATA_CENTRE, _create_settings(), NullMetrics())
    state = service.state
    config = create_configuration(team_count)
    state.apply_command(commands.AdoptConfiguration(1, config))
    totals = ResourceTotals(UNLIMITED, 10**9)
    offer = QuotaOffer(1, dict.fromkeys(config.team_by_name, totals))
    state.apply_command(commands.AdoptQuotaOffer(offer))
    workers = max(task_count // TASKS_PER_WORKER, 1)
    for number in range(workers):
        state.apply_command(
            commands.RegisterWorker(
                WorkerId(f'w{number}'),
                1,
                WORKER_CAPACITY,
                '',
                f'r{number // 6}',
                1.0,
                0.0,
            )
        )
    jobs = 0
    for first in range(0, task_count, TASKS_PER_WORKER):
        count = min(TASKS_PER_WORKER, task_count - first)
        number = first // TASKS_PER_WORKER
        start_job(service, jobs, count, WorkerId(f'w{number}'), team_count)
        jobs += 1
    service.start_leading(1, time.monotonic())
    return LoadedScheduler(service, workers, jobs)


def start_job(
    service: SchedulerService,
    number: int,
    task_count: int,
    worker: WorkerId,
    team_count: int = 30,
) -> None:
    """Submit a job and start all its tasks on one worker."""
    team = TeamName(f'team-{number % team_count}')
    spec = JobSpec(
        queue=f'queue-{number % team_count}',
        tasks=task_count,
        cores=0.5,
        name='work',
    )
    service.state.apply_command(
        commands.SubmitJob(team, RequestId(str(number)), 'f', spec, 0.0)
    )
    job = JobId(f'{DATA_CENTRE}.{number + 1}')
    service.state.apply_command(
        commands.StartTasks(
            [
                [commands.AttemptStart(job, index, 1, worker, spec.resources)]
                for index in range(task_count)
            ]
        )
    )


def _create_worker_report(
    service: SchedulerService, worker: WorkerId, sequence: int
) -> messages.WorkerReport:
    record = service.state.worker_by_id[worker]
    return messages.WorkerReport(
        worker=worker,
        incarnation=1,
        data_centre=DATA_CENTRE,
        sequence=sequence,
        capacity=WORKER_CAPACITY,
        rack=record.rack,
        running=[
            messages.RunningAttempt(AttemptId(attempt), 480, 900)
            for attempt in record.allocation_by_attempt
        ],
    )


def _create_scheduler_with_one_worker(task_count: int) -> SchedulerService:
    cell = create_loaded_scheduler(0)
    cell.service.state.apply_command(
        commands.RegisterWorker(
            WorkerId('w0'), 1, WORKER_CAPACITY, '', 'r0', 1.0, 0.0
        )
    )
    start_job(cell.service, 0, task_count, WorkerId('w0'))
    cell.service.start_leading(1, time.monotonic())
    return cell.service


def _report_cpu_us(task_count: int) -> float:
    service = _create_scheduler_with_one_worker(task_count)
    template = _create_worker_report(service, WorkerId('w0'), 0)
    sequence = iter(range(1, 10**9))

    def handle() -> None:
        report = msgspec.structs.replace(template, sequence=next(sequence))
        payload = msgspec.msgpack.encode(report)
        decoded = msgspec.msgpack.decode(payload, type=messages.WorkerReport)
        reply = service.handle_request(decoded, time.monotonic())
        msgspec.msgpack.encode(reply)

    return cpu_us_per_call(handle, 500)


def _report_bytes(task_count: int) -> float:
    service = _create_scheduler_with_one_worker(task_count)
    report = _create_worker_report(service, WorkerId('w0'), 1)
    reply = service.handle_request(report, time.monotonic())
    header_bytes = 420  # of an HTTP request and its response, as measured
    return (
        len(msgspec.json.encode(report))
        + len(msgspec.json.encode(reply))
        + header_bytes
    )


def _state_memory_mb(task_count: int) -> float:
    tracemalloc.start()
    cell = create_loaded_scheduler(task_count)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / 1e6 if cell.job_count or not task_count else 0.0


def _leader_start_s(task_count: int) -> float:
    cell = create_loaded_scheduler(task_count)
    cell.service.stop_leading()
    started_at = time.perf_counter()
    cell.service.start_leading(2, time.monotonic())
    return time.perf_counter() - started_at


def _snapshot_restore_s(task_count: int) -> float:
    snapshot = create_loaded_scheduler(task_count).service.snapshot()
    new_results = SchedulerService(
        DATA_CENTRE, _create_settings(), NullMetrics()
    )
    started_at = time.perf_counter()
    new_results.restore(snapshot)
    return time.perf_counter() - started_at


def _log_replay_s(change_count: int) -> float:
    state = CoordinatorState([DATA_CENTRE])
    payloads = [
        msgspec.msgpack.encode(
            ApplyConfiguration(
                ChangeId(str(number)), number, create_configuration(30)
            )
        )
        for number in range(change_count)
    ]
    started_at = time.perf_counter()
    for payload in payloads:
        state.apply(payload)
    return time.perf_counter() - started_at


def _create_elected_node(members: Membership) -> RaftNode:
    log = ReplicatedLog(Snapshot(0, 0, members), [])
    node = RaftNode(LEADER, log, HardState(), RaftTiming(0.1, 1.0), 0.0, seed=1)
    node.tick(3.0)
    node.step(VoteReply(1, FOLLOWER_B, granted=True, is_pre_vote=True), 3.0)
    node.step(VoteReply(1, FOLLOWER_B, granted=True), 3.0)
    _process_ready(node)
    return node


def _process_ready(node: RaftNode) -> None:
    ready = node.ready()
    while ready is not None:
        msgspec.msgpack.encode([sent.message for sent in ready.messages])
        node.advance(ready)
        ready = node.ready()


def _consensus_cpu_us(entry_count: int) -> float:
    """Return the leader's processor time to commit all entries."""
    node = _create_elected_node(Membership((LEADER, FOLLOWER_B, FOLLOWER_C)))
    payload = bytes(120)
    started_at = time.process_time()
    for _ in range(entry_count // 64):
        node.propose([payload] * 64, 3.1)
        _process_ready(node)
        last = node.log.last_index
        for follower in (FOLLOWER_B, FOLLOWER_C):
            node.step(AppendReply(1, follower, True, last, 3.1), 3.1)
        _process_ready(node)
    return (time.process_time() - started_at) * 1e6


def _log_write_s(entry_count: int) -> float:
    node = _create_elected_node(Membership((LEADER, FOLLOWER_B, FOLLOWER_C)))
    payload = bytes(120)
    with tempfile.TemporaryDirectory() as folder:
        storage = ReplicaStorage(Journal(pathlib.Path(folder)))
        storage.recover(Membership((LEADER, FOLLOWER_B, FOLLOWER_C)))
        started_at = time.perf_counter()
        for _ in range(entry_count // 64):
            node.propose([payload] * 64, 3.1)
            ready = node.ready()
            if ready is not None:
                storage.save(ready.hard_state, ready.entries)
                node.advance(ready)
        elapsed_s = time.perf_counter() - started_at
        storage.close()
    return elapsed_s


def _start_and_end_cpu_us(task_count: int) -> float:
    """Return the processor time for all tasks, from waiting to done."""
    cell = create_loaded_scheduler(TASKS_PER_WORKER * 200)
    service = cell.service
    spec = JobSpec(
        queue='queue-0', tasks=task_count, cores=0.05, memory_gb=0.01
    )
    started_at = time.process_time()
    payload = commands.encode_command(
        commands.SubmitJob(
            TeamName('team-0'), RequestId('big'), 'f', spec, time.time()
        )
    )
    service.apply(payload)
    job = JobId(f'{DATA_CENTRE}.{cell.job_count + 1}')
    now = time.monotonic()
    started = 0
    for _ in range(task_count):
        if started >= task_count:
            break
        now += MIN_PLAN_INTERVAL_S
        for entry in service.due_commands(now):
            service.apply(entry)
        record = service.state.job_by_id[job]
        new_results = [
            commands.AttemptResult(job, index, task.attempt, _DONE)
            for index, task in enumerate(record.tasks)
            if task.state.value == 'running'
        ]
        if not new_results:
            continue
        started += len(new_results)
        service.apply(
            commands.encode_command(commands.EndTasks(new_results, time.time()))
        )
    if started < task_count:
        raise RuntimeError(f'{started} of {task_count} tasks were started')
    return (time.process_time() - started_at) * 1e6


def _log_bytes(task_count: int) -> float:
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
            for index in range(task_count)
        ]
    )
    ends = commands.EndTasks(
        [
            commands.AttemptResult(job, index, 1, _DONE)
            for index in range(task_count)
        ],
        1e9,
    )
    return float(
        len(commands.encode_command(starts))
        + len(commands.encode_command(ends))
    )


def _configuration_bytes(team_count: int) -> float:
    return float(len(msgspec.msgpack.encode(create_configuration(team_count))))


def _change_cpu_us(team_count: int) -> float:
    state = CoordinatorState([DataCentre(f'c{number}') for number in range(9)])
    wanted = create_configuration(team_count)
    versions = iter(range(10**6))

    def change() -> None:
        version = next(versions)
        state.apply(
            msgspec.msgpack.encode(
                ApplyConfiguration(ChangeId(str(version)), version, wanted)
            )
        )

    return cpu_us_per_call(change, 20)


_DONE: typing.Final = AttemptOutcome.DONE
