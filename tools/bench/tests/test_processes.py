"""Real processes on loopback: kills, drains, cut requests, TLS."""

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

from cassiahold.bench.demo.evidence import Evidence
from cassiahold.bench.demo.local_cell import LocalCell
from cassiahold.bench.demo.scenario import OPERATOR_KEY
from cassiahold.cli.main import main as command_line
from cassiahold.client import CallerClient, Live, OperatorClient
from cassiahold.config import Configuration, Limit, Queue, Service, Team
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.states import JobOutcome
from cassiahold.core.testing import expect_error, function_tests

ROOT: typing.Final = pathlib.Path(__file__).parents[3]
EXAMPLE: typing.Final = ROOT / 'examples/bulletin'
PATIENCE_S: typing.Final = 60.0
HOME: typing.Final = 'dublin'


class RunningCell:
    """The bulletin example with an open and a keyed queue."""

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
        eventually(lambda: not operator.configuration()['waiting_for'])
        operator.close()

    def caller(self, *gateways: str, key: str = '') -> CallerClient:
        """Return a client, of the given gateways or of all."""
        return CallerClient(gateways or self.cell.gateways(), key, HOME)


def _encode(configuration: Configuration) -> bytes:
    import msgspec

    return msgspec.json.encode(configuration)


def eventually(condition: typing.Callable[[], bool]) -> None:
    """Wait for a condition with patience that no machine exceeds."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, 'it never came true'
        time.sleep(0.1)


@contextlib.contextmanager
def running_cell(
    prepare: typing.Callable[[pathlib.Path], None] = lambda _: None,
) -> typing.Iterator[RunningCell]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cell = LocalCell(EXAMPLE, pathlib.Path(folder) / 'cell')
        prepare(cell.folder)
        stack.callback(cell.close)
        cell.start_all()
        cell.wait_until_ready()
        yield RunningCell(cell)


def raw_exchange(address: str, request: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request)
        connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(TimeoutError, ConnectionError):
            return connection.recv(65536)
    return b''


def check_bad_requests(running: RunningCell) -> None:
    address = running.cell.gateways(HOME)[0]
    half = (
        b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"req'
    )
    assert b'202' not in raw_exchange(address, half)
    caller = running.caller(address)
    for job, kind in (
        ({'queue': 'locked'}, ErrorKind.UNKNOWN_KEY),
        ({'queue': 'nowhere'}, ErrorKind.NOT_FOUND),
        ({'queue': 'open', 'cores': 'many'}, ErrorKind.BAD_REQUEST),
        ({'queue': 'open', 'cores': 10_000}, ErrorKind.NEVER_FITS),
        ({'queue': 'open', 'urgent': True}, ErrorKind.BAD_REQUEST),
    ):
        expect_error(kind, lambda job=job: caller.submit(job))
    forged = running.caller(address, key='keyed-1.wrong')
    expect_error(
        ErrorKind.UNKNOWN_KEY, lambda: forged.submit({'queue': 'locked'})
    )


def check_resend(running: RunningCell) -> None:
    first, second = running.cell.gateways()[0], running.cell.gateways()[-1]
    job = {'queue': 'open', 'name': 'twice'}
    one = running.caller(first).submit(job, f'{HOME}:same')
    two = running.caller(second).submit(job, f'{HOME}:same')
    assert (one.job, one.is_first) == (two.job, True)
    assert not two.is_first


def check_cut_answer(running: RunningCell) -> None:
    caller = running.caller()
    eventually(lambda: _answers(caller))
    cut = Live(service='prices', body=b'{"cut": 1}')
    expect_error(ErrorKind.RESPONSE_TRUNCATED, lambda: caller.call(cut))


def _answers(caller: CallerClient) -> bool:
    try:
        caller.call(Live(service='prices', body=b'{}', is_idempotent=True))
    except CassiaholdError:
        return False
    return True


def check_drain_cuts_nothing(running: RunningCell) -> None:
    """Property 9: requests in progress at SIGTERM get their answers."""
    host = running.cell.hosts[0]
    caller = running.caller(host.gateway)
    answers: list[int] = []

    def call() -> None:
        slow = Live(service='prices', body=b'{"work_s": 1.5}')
        answers.append(caller.call(slow).status)

    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    status = running.cell.stop('gateway', host.name)
    for thread in threads:
        thread.join()
    assert answers == [200] * 4
    assert status == 0
    running.cell.start('gateway', host.name)


def check_kills(running: RunningCell) -> None:
    """Each program is killed in turn; nothing is lost or doubled."""
    cell = running.cell
    caller = running.caller()
    jobs = []
    victims = [
        ('gateway', cell.hosts[1].name),
        ('scheduler', cell.leader_of(HOME)),
        ('coordinator', cell.leader_of('coordinator', 'coordinator')),
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
                    timeout_s=PATIENCE_S,
                )
            )
        cell.kill(program, host)
        jobs.append(caller.submit({'queue': 'open'}, timeout_s=PATIENCE_S))
        cell.start(program, host)
    outcomes = [caller.wait(job.job, PATIENCE_S).outcome for job in jobs]
    assert set(outcomes) == {JobOutcome.DONE}, outcomes


def check_frozen_leader(running: RunningCell) -> None:
    """A leader that sleeps longer than its lease must not start anything."""
    cell = running.cell
    eventually(lambda: bool(cell.leader_of(HOME)))
    host = cell.leader_of(HOME)
    cell.freeze('scheduler', host)
    caller = running.caller()
    job = caller.submit({'queue': 'open'}, timeout_s=PATIENCE_S)
    cell.thaw('scheduler', host)
    assert caller.wait(job.job, PATIENCE_S).outcome is JobOutcome.DONE


def test_a_cell_survives_what_happens_to_it() -> None:
    with running_cell() as running:
        check_bad_requests(running)
        check_resend(running)
        check_cut_answer(running)
        check_drain_cuts_nothing(running)
        check_kills(running)
        check_frozen_leader(running)
        evidence = Evidence(running.cell.journal)
        assert not evidence.broken_by_stand_ins()
        assert not evidence.running_twice()


def test_connections_between_hosts_are_protected() -> None:
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

    with running_cell(use_tls) as running:
        caller = running.caller()
        job = caller.submit({'queue': 'open'}, timeout_s=PATIENCE_S)
        assert caller.wait(job.job, PATIENCE_S).outcome is JobOutcome.DONE
        # Without a certificate nobody is heard.
        assert not running.cell.leader_of(HOME)


load_tests = function_tests(globals())
