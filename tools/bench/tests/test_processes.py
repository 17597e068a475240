"""Runs a cell as real processes: kills, drains, truncated requests, TLS."""

import contextlib
import json
import pathlib
import socket
import sys
import tempfile
import threading
import time
import typing

import yaml

from cassiahold.bench.demo.event_journal import EventJournal
from cassiahold.bench.demo.local_cell import LocalCell
from cassiahold.bench.demo.scenario import OPERATOR_KEY
from cassiahold.cli.main import main as command_line
from cassiahold.client import CallerClient, Live, OperatorClient
from cassiahold.config import Configuration, Limit, Queue, Service, Team
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.states import FailureReason, JobOutcome
from cassiahold.core.testing import expect_error, function_tests

ROOT: typing.Final = pathlib.Path(__file__).parents[3]
EXAMPLE: typing.Final = ROOT / 'examples/bulletin'
WAIT_TIMEOUT_S: typing.Final = 60.0
LOCAL_DATA_CENTRE: typing.Final = 'dublin'
RESERVATION_ADDRESS: typing.Final = ('127.20.0.1', 9463)
RESERVATION_TIMEOUT_S: typing.Final = 300.0


class ConfiguredCell:
    """A running cell, configured with an open and a keyed queue."""

    def __init__(self, cell: LocalCell) -> None:
        self.cell = cell
        limit = Limit(cores=1000, memory_gb=2000)
        configuration = Configuration(
            teams=(
                Team(name='all', limit=limit),
                Team(name='keyed', limit=limit),
            ),
            queues=(
                Queue(name='open', team='all', open=True),
                Queue(name='locked', team='keyed'),
            ),
            services=(Service(name='prices', team='all', open=True),),
        )
        operator = OperatorClient(cell.gateways(), OPERATOR_KEY)
        operator.apply(json.loads(_encode(configuration)), 0)
        wait_until(lambda: not operator.configuration()['waiting_for'])
        operator.close()

    def open_caller(self, *gateways: str, key: str = '') -> CallerClient:
        """Return a client of the given gateways, by default of all."""
        return CallerClient(
            gateways or self.cell.gateways(), key, LOCAL_DATA_CENTRE
        )


def _encode(configuration: Configuration) -> bytes:
    import msgspec

    return msgspec.json.encode(configuration)


def wait_until(condition: typing.Callable[[], bool]) -> None:
    """Wait for a condition; the timeout allows for a slow machine."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, 'the condition was not met in time'
        time.sleep(0.1)


@contextlib.contextmanager
def reserved_addresses() -> typing.Iterator[None]:
    """Wait until no other run of these tests uses the example's addresses."""
    deadline = time.monotonic() + RESERVATION_TIMEOUT_S
    with socket.socket() as reservation:
        while True:
            try:
                reservation.bind(RESERVATION_ADDRESS)
            except OSError:
                assert time.monotonic() < deadline, 'another run goes on'
                time.sleep(0.1)
            else:
                break
        yield


@contextlib.contextmanager
def start_cell(
    prepare: typing.Callable[[pathlib.Path], None] = lambda _: None,
) -> typing.Iterator[ConfiguredCell]:
    with contextlib.ExitStack() as stack:
        stack.enter_context(reserved_addresses())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cell = LocalCell(EXAMPLE, pathlib.Path(folder) / 'cell')
        prepare(cell.folder)
        stack.callback(cell.close)
        cell.start_all()
        cell.wait_until_ready()
        yield ConfiguredCell(cell)


def exchange_raw(address: str, request: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(TimeoutError, ConnectionError):
            return connection.recv(65536)
    return b''


def check_bad_requests(running: ConfiguredCell) -> None:
    address = running.cell.gateways(LOCAL_DATA_CENTRE)[0]
    half = (
        b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"req'
    )
    assert b'202' not in exchange_raw(address, half)
    caller = running.open_caller(address)
    for job, kind in (
        ({'queue': 'locked'}, ErrorKind.UNKNOWN_KEY),
        ({'queue': 'nowhere'}, ErrorKind.NOT_FOUND),
        ({'queue': 'open', 'cores': 'many'}, ErrorKind.BAD_REQUEST),
        ({'queue': 'open', 'cores': 10_000}, ErrorKind.NEVER_FITS),
        ({'queue': 'open', 'urgent': True}, ErrorKind.BAD_REQUEST),
    ):
        expect_error(kind, lambda job=job: caller.submit(job))
    forged = running.open_caller(address, key='keyed-1.wrong')
    expect_error(
        ErrorKind.UNKNOWN_KEY, lambda: forged.submit({'queue': 'locked'})
    )


def check_resend(running: ConfiguredCell) -> None:
    first, second = running.cell.gateways()[0], running.cell.gateways()[-1]
    job = {'queue': 'open', 'name': 'twice'}
    one = running.open_caller(first).submit(job, f'{LOCAL_DATA_CENTRE}:same')
    two = running.open_caller(second).submit(job, f'{LOCAL_DATA_CENTRE}:same')
    assert (one.job, one.is_first) == (two.job, True)
    assert not two.is_first


def check_truncated_response(running: ConfiguredCell) -> None:
    caller = running.open_caller()
    wait_until(lambda: _is_service_available(caller))
    cut = Live(service='prices', body=b'{"cut": 1}')
    expect_error(ErrorKind.RESPONSE_TRUNCATED, lambda: caller.call(cut))


def _is_service_available(caller: CallerClient) -> bool:
    try:
        caller.call(Live(service='prices', body=b'{}', is_idempotent=True))
    except CassiaholdError:
        return False
    return True


def check_drain_completes_requests(running: ConfiguredCell) -> None:
    """Property 9: requests in progress at SIGTERM get their responses."""
    host = running.cell.hosts[0]
    caller = running.open_caller(host.gateway)
    statuses: list[int] = []

    def call() -> None:
        slow = Live(service='prices', body=b'{"work_s": 1.5}')
        statuses.append(caller.call(slow).status)

    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    exit_code = running.cell.stop('gateway', host.name)
    for thread in threads:
        thread.join()
    assert statuses == [200] * 4
    assert exit_code == 0
    running.cell.start('gateway', host.name)


def check_kills(running: ConfiguredCell) -> None:
    """Each program is killed in turn; no job is lost or run twice."""
    cell = running.cell
    caller = running.open_caller()
    jobs = []
    victims = [
        ('gateway', cell.hosts[1].name),
        ('scheduler', cell.find_leader(LOCAL_DATA_CENTRE)),
        ('coordinator', cell.find_leader('coordinator', 'coordinator')),
    ]
    for program, host in victims:
        assert host, program
        for number in range(3):
            jobs.append(
                caller.submit(
                    {
                        'queue': 'open',
                        'tasks': 4,
                        'idempotent': number > 0,
                        'name': 'kills',
                        'payload': '{"run_s": 1.0}',
                    },
                    timeout_s=WAIT_TIMEOUT_S,
                )
            )
        cell.kill(program, host)
        jobs.append(caller.submit({'queue': 'open'}, timeout_s=WAIT_TIMEOUT_S))
        cell.start(program, host)
    outcomes = [caller.wait(job.job, WAIT_TIMEOUT_S).outcome for job in jobs]
    assert set(outcomes) == {JobOutcome.DONE}, outcomes


def check_suspended_leader(running: ConfiguredCell) -> None:
    """A leader suspended beyond its lease must not start any task."""
    cell = running.cell
    wait_until(lambda: bool(cell.find_leader(LOCAL_DATA_CENTRE)))
    host = cell.find_leader(LOCAL_DATA_CENTRE)
    cell.suspend('scheduler', host)
    caller = running.open_caller()
    job = caller.submit({'queue': 'open'}, timeout_s=WAIT_TIMEOUT_S)
    cell.resume('scheduler', host)
    assert caller.wait(job.job, WAIT_TIMEOUT_S).outcome is JobOutcome.DONE


def check_crashing_job(running: ConfiguredCell) -> None:
    """A task that crashes each worker that starts it is given up."""
    caller = running.open_caller()
    payload = json.dumps({'run_s': 0.05, 'crashes_worker': True})
    job = caller.submit(
        {'queue': 'open', 'name': 'crashes', 'payload': payload},
        timeout_s=WAIT_TIMEOUT_S,
    )
    status = caller.wait(job.job, WAIT_TIMEOUT_S)
    assert status.outcome is JobOutcome.FAILED, status
    assert status.reason is FailureReason.CRASHES
    journal = EventJournal(running.cell.journal_folder)
    starts = journal.starts_by_task()[f'{job.job}/0']
    assert 3 <= len(starts) <= 5, starts
    operator = OperatorClient(running.cell.gateways(), OPERATOR_KEY)
    reasons = operator.why(job.job)['reasons']
    operator.close()
    for start in starts:
        assert any(f'{start.worker!r} crashed' in line for line in reasons)


def test_cell_survives_bad_requests_drains_kills_and_suspension() -> None:
    with start_cell() as running:
        check_bad_requests(running)
        check_resend(running)
        check_truncated_response(running)
        check_drain_completes_requests(running)
        check_kills(running)
        check_suspended_leader(running)
        check_crashing_job(running)
        journal = EventJournal(running.cell.journal_folder)
        assert not journal.violations_seen_by_fakes()
        assert not journal.concurrent_task_runs()


def test_hosts_reject_connections_without_certificate() -> None:
    def use_tls(folder: pathlib.Path) -> None:
        arguments = ['certificates', '--cell', str(folder / 'cell.yaml')]
        with contextlib.redirect_stdout(sys.stderr):
            assert (
                command_line([*arguments, '--folder', str(folder / 'tls')]) == 0
            )
        for path in (folder / 'hosts').iterdir():
            settings = yaml.safe_load(path.read_text())
            settings['tls'] = {
                'mode': 'mutual',
                'ca_file': '../tls/ca.pem',
                'certificate_file': f'../tls/{path.stem}.pem',
                'key_file': f'../tls/{path.stem}.key',
            }
            path.write_text(yaml.safe_dump(settings))

    with start_cell(use_tls) as running:
        caller = running.open_caller()
        job = caller.submit({'queue': 'open'}, timeout_s=WAIT_TIMEOUT_S)
        assert caller.wait(job.job, WAIT_TIMEOUT_S).outcome is JobOutcome.DONE
        # Hosts reject a client without a certificate.
        assert not running.cell.find_leader(LOCAL_DATA_CENTRE)


load_tests = function_tests(globals())
