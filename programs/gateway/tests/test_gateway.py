"""Tests of keys, homes and the HTTP entry, with a fake scheduler group."""

import contextlib
import io
import json
import resource
import socket
import time
import typing
from unittest import mock

from cassiahold.config import (
    Configuration,
    Limit,
    Queue,
    Service,
    Team,
    new_key,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, JobId, KeyId, TeamName
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.access import Access, HeldConfiguration
from cassiahold.gateway.handlers.callers import CallerHandlers
from cassiahold.gateway.homes import Homes
from cassiahold.gateway.http import Application
from cassiahold.gateway.http_server import HttpServer, RequestTracker
from cassiahold.wire import messages

RED = TeamName('red')
KEY = new_key('red-1')
LIMIT = Limit(cores=10, memory_gb=10)
CONFIGURATION = Configuration(
    teams=(Team(name='red', limit=LIMIT), Team(name='blue', limit=LIMIT)),
    queues=(
        Queue(name='locked', team='red'),
        Queue(name='other', team='blue'),
        Queue(name='open', team='red', open=True),
    ),
    services=(Service(name='prices', team='red'),),
)


class FakeGroup:
    """Answers like a scheduler group's leader, or fails as told."""

    def __init__(self) -> None:
        self.asked: list[typing.Any] = []
        self.failure: CassiaholdError | None = None

    def call(self, request: typing.Any, *_: typing.Any) -> typing.Any:
        self.asked.append(request)
        if self.failure is not None:
            raise self.failure
        if isinstance(request, messages.Cancel):
            return messages.CancelResults(
                [messages.CancelResult(job, True) for job in request.jobs]
            )
        return messages.Submitted(JobId('p.1'), is_first=True)


class Front:
    """A gateway's HTTP entry over two fake groups."""

    def __init__(self, lease_s: float = 60.0) -> None:
        self.groups = {GroupName(name): FakeGroup() for name in 'pq'}
        self.access = Access('', '')
        self.access.take(held(lease_s))
        self.homes = Homes(typing.cast(typing.Any, self.groups))
        self.progress = RequestTracker()
        handlers = CallerHandlers(
            self.access, self.homes, typing.cast(typing.Any, None)
        )
        self.application = Application(
            [
                self.progress.health_route(),
                *map(self.progress.track, handlers.routes()),
            ],
            NullMetrics(),
        )

    def send(
        self,
        path: str,
        payload: typing.Any = None,
        key: str = KEY.presented,
        length: int | None = None,
    ) -> tuple[int, dict[str, typing.Any]]:
        body = json.dumps(payload).encode()
        environ = {
            'REQUEST_METHOD': 'GET' if payload is None else 'POST',
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(body) if length is None else length),
            'wsgi.input': io.BytesIO(body),
            'HTTP_AUTHORIZATION': f'Bearer {key}' if key else '',
        }
        statuses: list[str] = []
        answer = self.application(
            environ, lambda status, headers: statuses.append(status)
        )
        return int(statuses[0].split()[0]), json.loads(b''.join(answer))

    def submit(self, queue: str, **rest: typing.Any) -> tuple[int, str]:
        job = {'request_id': 'p:1', 'job': {'queue': queue}}
        status, body = self.send('/v1/jobs', job, **rest)
        return status, body.get('error', '')


def held(lease_s: float, version: int = 1) -> HeldConfiguration:
    return HeldConfiguration(
        version,
        CONFIGURATION,
        {KeyId('red-1'): RED},
        {KeyId('red-1'): KEY.key},
        time.monotonic() + lease_s,
    )


def test_work_is_accepted_for_the_keys_team_only() -> None:
    front = Front()
    assert front.submit('locked') == (202, '')
    assert front.submit('other') == (403, 'wrong_team')
    assert front.submit('locked', key='') == (401, 'unknown_key')
    assert front.submit('locked', key='red-1.x') == (401, 'unknown_key')
    assert front.submit('open', key='') == (202, '')
    assert front.submit('none') == (404, 'not_found')


def test_a_lapsed_lease_refuses_keyed_work_and_goes_on_with_open() -> None:
    front = Front(lease_s=-1.0)
    assert front.submit('locked') == (503, 'configuration_expired')
    assert front.submit('open', key='') == (202, '')


def test_configuration_never_reverts() -> None:
    front = Front()
    front.access.take(held(60.0, version=0))
    assert front.access.held.version == 1


def test_a_withdrawn_key_stops() -> None:
    front = Front()
    front.access.take(
        HeldConfiguration(2, CONFIGURATION, {}, {}, time.monotonic() + 60)
    )
    assert front.submit('locked') == (401, 'unknown_key')


def test_bad_bodies_are_answered_with_path_and_value() -> None:
    front = Front()
    status, body = front.send('/v1/jobs', {'request_id': 'a'})
    assert (status, body['ran']) == (400, 'not run')
    assert '`job`' in body['detail']
    status, body = front.send('/v1/jobs', {}, length=100)
    assert 'bytes; 100 were announced' in body['detail']
    wrong = {'request_id': 'a', 'job': {'queue': 'open', 'tasks': 0}}
    _, body = front.send('/v1/jobs', wrong)
    assert '$.job.tasks' in body['detail']


def test_unknown_paths_and_methods() -> None:
    front = Front()
    assert front.send('/v1/nowhere')[0] == 404
    assert front.send('/v1/jobs')[0] == 400


def test_a_fault_is_answered_as_one() -> None:
    front = Front()
    with mock.patch.object(Homes, 'home_of', side_effect=KeyError('x')):
        assert front.submit('locked') == (500, 'internal')


def test_what_may_have_run_says_so() -> None:
    front = Front()
    lost = CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'lost')
    for group in front.groups.values():
        group.failure = lost
    job = {'request_id': 'p:1', 'job': {'queue': 'locked'}}
    _, body = front.send('/v1/jobs', job)
    assert body['ran'] == 'may have run'
    assert body['retry'] == 'resend with the same request id'


def test_every_gateway_finds_the_same_home() -> None:
    one, two = Front().homes, Front().homes
    assert one.home_of(RED, 'q:x') == 'q'
    homes = {one.home_of(RED, str(number)) for number in range(50)}
    assert homes == {'p', 'q'}
    for number in range(50):
        assert one.home_of(RED, str(number)) == two.home_of(RED, str(number))


def test_thousands_are_cancelled_in_order() -> None:
    front = Front()
    jobs = [f'{"pq"[number % 2]}.{number}' for number in range(5000)]
    status, body = front.send('/v1/cancel', {'jobs': [*jobs, 'z.1']})
    assert status == 200
    assert [found['job'] for found in body['results']] == [*jobs, 'z.1']
    assert not body['results'][-1]['found']
    assert len(front.groups[GroupName('p')].asked) == 3


def test_a_leaving_gateway_says_so_and_refuses() -> None:
    front = Front()
    assert front.send('/healthz') == (200, {'state': 'ok'})
    quiet = mock.Mock(is_busy=False)
    with mock.patch('time.sleep'):
        assert front.progress.drain(quiet, 1.0)
    assert front.send('/healthz')[0] == 503
    assert front.submit('locked') == (503, 'leaving')


def test_a_group_that_does_not_exist_is_named() -> None:
    error = expect_error(
        ErrorKind.NOT_FOUND, lambda: Front().homes.group_of(JobId('z.1'))
    )
    assert 'z.1' in error.detail


def test_more_than_a_thousand_connections_are_served() -> None:
    """Regression: the server stopped once a descriptor was above 1023."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (max(soft, min(4096, hard)), hard)
    )
    with contextlib.ExitStack() as stack:
        probe = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        port = probe.getsockname()[1]
        probe.close()
        address = ('127.0.0.1', port)
        server = HttpServer(Front().application, f'127.0.0.1:{port}', 2, 1000)
        stack.callback(server.close)
        for _ in range(1100):
            stack.enter_context(socket.create_connection(address, timeout=5))
        last = stack.enter_context(socket.create_connection(address, timeout=5))
        last.sendall(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
        assert last.recv(1000).startswith(b'HTTP/1.1 200')
        assert server.is_alive


load_tests = function_tests(globals())
