"""Tests of authorization, group routing, HTTP handling and draining.

The scheduler groups are fakes.
"""

import concurrent.futures
import contextlib
import http.client
import io
import json
import resource
import socket
import threading
import time
import typing
from unittest import mock

import msgspec

from cassiahold.config import (
    Configuration,
    Limit,
    Queue,
    Service,
    Team,
    new_key,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind, RetryHint
from cassiahold.core.ids import (
    GroupName,
    JobId,
    KeyId,
    ServiceName,
    TeamName,
)
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.authorization import Authorizer, LeasedConfiguration
from cassiahold.gateway.handlers.callers import CallerHandlers
from cassiahold.gateway.http import (
    Application,
    HttpRequest,
    HttpResponse,
    route,
)
from cassiahold.gateway.http_server import HttpServer, RequestTracker
from cassiahold.gateway.lease_renewal import PeriodicThread
from cassiahold.gateway.router import start_router
from cassiahold.gateway.scheduler_groups import SchedulerGroups
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.retry_after import RefusedCaller
from cassiahold.routing.slots import SlotRequest
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


class FakeSchedulerGroup:
    """Replies like a scheduler group's leader, or raises ``failure``."""

    def __init__(self) -> None:
        self.requests: list[typing.Any] = []
        self.failure: CassiaholdError | None = None

    def call(self, request: typing.Any, *_: typing.Any) -> typing.Any:
        self.requests.append(request)
        if self.failure is not None:
            raise self.failure
        if isinstance(request, messages.Cancel):
            return messages.CancelResults(
                [messages.CancelResult(job, True) for job in request.jobs]
            )
        return messages.Submitted(JobId('p.1'), is_first=True)


class GatewayUnderTest:
    """The HTTP application of a gateway over two fake scheduler groups."""

    def __init__(self, lease_s: float = 60.0) -> None:
        self.groups = {GroupName(name): FakeSchedulerGroup() for name in 'pq'}
        self.authorizer = Authorizer('', '')
        self.authorizer.update(leased(lease_s))
        self.scheduler_groups = SchedulerGroups(
            typing.cast(typing.Any, self.groups),
            election_s=1.0,
            min_rate_per_s=50.0,
        )
        self.request_tracker = RequestTracker()
        handlers = CallerHandlers(
            self.authorizer,
            self.scheduler_groups,
            typing.cast(typing.Any, None),
        )
        self.application = Application(
            [
                self.request_tracker.health_route(),
                *map(self.request_tracker.track, handlers.routes()),
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
        chunks = self.application(
            environ, lambda status, headers: statuses.append(status)
        )
        return int(statuses[0].split()[0]), json.loads(b''.join(chunks))

    def submit(self, queue: str, **options: typing.Any) -> tuple[int, str]:
        job = {'request_id': 'p:1', 'job': {'queue': queue}}
        status, body = self.send('/v1/jobs', job, **options)
        return status, body.get('error', '')


def leased(lease_s: float, version: int = 1) -> LeasedConfiguration:
    return LeasedConfiguration(
        version,
        CONFIGURATION,
        {KeyId('red-1'): RED},
        {KeyId('red-1'): KEY.key},
        time.monotonic() + lease_s,
    )


def test_jobs_are_accepted_only_with_a_key_of_their_team() -> None:
    gateway = GatewayUnderTest()
    assert gateway.submit('locked') == (202, '')
    assert gateway.submit('other') == (403, 'wrong_team')
    assert gateway.submit('locked', key='') == (401, 'unknown_key')
    assert gateway.submit('locked', key='red-1.x') == (401, 'unknown_key')
    assert gateway.submit('open', key='') == (202, '')
    assert gateway.submit('none') == (404, 'not_found')


def sent_headers(gateway: GatewayUnderTest, **headers: str) -> dict[str, str]:
    """Return the headers of the response to a submission."""
    body = json.dumps({'request_id': 'p:1', 'job': {'queue': 'open'}}).encode()
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/v1/jobs',
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
    }
    environ.update(headers)
    received: dict[str, str] = {}
    gateway.application(environ, lambda _, pairs: received.update(pairs))
    return received


def test_callers_of_one_refusal_are_spread() -> None:
    gateway = GatewayUnderTest()
    gateway.groups[GroupName('p')].failure = CassiaholdError(
        ErrorKind.OVERLOADED, 'full', RetryHint(1.0, 100.0)
    )
    pauses_ms = [
        int(sent_headers(gateway)['Cassiahold-Retry-After-Ms'])
        for _ in range(100)
    ]
    assert min(pauses_ms) >= 1000
    assert max(pauses_ms) - min(pauses_ms) >= 500


def test_refusal_says_so_when_no_later_try_is_in_time() -> None:
    gateway = GatewayUnderTest()
    gateway.groups[GroupName('p')].failure = CassiaholdError(
        ErrorKind.OVERLOADED, 'full', RetryHint(1.0, 100.0)
    )
    headers = sent_headers(gateway, HTTP_CASSIAHOLD_DEADLINE_S='0.5')
    assert headers['Cassiahold-Error'] == 'overloaded'
    assert 'Retry-After' not in headers
    assert 'Cassiahold-Retry-After-Ms' not in headers


def test_returns_are_spread_by_team_and_share() -> None:
    """A team must not get earlier returns by using several keys."""
    configuration = msgspec.structs.replace(
        CONFIGURATION, teams=(Team(name='red', share=3, limit=LIMIT),)
    )
    keys = [new_key('red-1'), new_key('red-2')]
    authorizer = Authorizer('', '')
    authorizer.update(
        LeasedConfiguration(
            1,
            configuration,
            {KeyId('red-1'): RED, KeyId('red-2'): RED},
            {KeyId(key.key.id): key.key for key in keys},
            time.monotonic() + 60,
        )
    )
    presented = [key.presented for key in keys]
    described = [
        authorizer.describe_caller(
            HttpRequest(
                {
                    'REQUEST_METHOD': 'GET',
                    'HTTP_AUTHORIZATION': f'Bearer {key}',
                    'HTTP_CASSIAHOLD_DEADLINE_S': '2.5',
                }
            )
        )
        for key in (*presented, 'red-1.guessed')
    ]
    assert described == [
        RefusedCaller(RED, 2.5, weight=3.0),
        RefusedCaller(RED, 2.5, weight=3.0),
        RefusedCaller(TeamName(''), 2.5),
    ]


def test_pause_follows_the_outage_of_a_group() -> None:
    gateway = GatewayUnderTest()
    gateway.groups[GroupName('p')].failure = CassiaholdError(
        ErrorKind.NO_QUORUM, 'no leader'
    )
    headers = sent_headers(gateway)
    assert 1900 <= int(headers['Cassiahold-Retry-After-Ms']) <= 2100


def test_lapsed_lease_refuses_all_but_open_queues() -> None:
    gateway = GatewayUnderTest(lease_s=-1.0)
    assert gateway.submit('locked') == (503, 'configuration_expired')
    assert gateway.submit('open', key='') == (202, '')


def test_older_configuration_is_ignored() -> None:
    gateway = GatewayUnderTest()
    gateway.authorizer.update(leased(60.0, version=0))
    assert gateway.authorizer.leased.version == 1


def test_withdrawn_key_is_refused() -> None:
    gateway = GatewayUnderTest()
    gateway.authorizer.update(
        LeasedConfiguration(2, CONFIGURATION, {}, {}, time.monotonic() + 60)
    )
    assert gateway.submit('locked') == (401, 'unknown_key')


def test_errors_of_invalid_bodies_name_the_field() -> None:
    gateway = GatewayUnderTest()
    status, body = gateway.send('/v1/jobs', {'request_id': 'a'})
    assert (status, body['ran']) == (400, 'not run')
    assert '`job`' in body['detail']
    status, body = gateway.send('/v1/jobs', {}, length=100)
    assert 'bytes; 100 were announced' in body['detail']
    invalid = {'request_id': 'a', 'job': {'queue': 'open', 'tasks': 0}}
    _, body = gateway.send('/v1/jobs', invalid)
    assert '$.job.tasks' in body['detail']


def test_unknown_paths_and_methods_are_refused() -> None:
    gateway = GatewayUnderTest()
    assert gateway.send('/v1/nowhere')[0] == 404
    assert gateway.send('/v1/jobs')[0] == 400


def test_unexpected_exception_is_an_internal_error() -> None:
    gateway = GatewayUnderTest()
    with mock.patch.object(
        SchedulerGroups, 'owning_group', side_effect=KeyError('x')
    ):
        assert gateway.submit('locked') == (500, 'internal')


def test_response_says_that_a_request_may_have_run() -> None:
    gateway = GatewayUnderTest()
    lost = CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'lost')
    for group in gateway.groups.values():
        group.failure = lost
    job = {'request_id': 'p:1', 'job': {'queue': 'locked'}}
    _, body = gateway.send('/v1/jobs', job)
    assert body['ran'] == 'may have run'
    assert body['retry'] == 'resend with the same request id'


def test_every_gateway_chooses_the_same_group() -> None:
    one, two = (
        GatewayUnderTest().scheduler_groups,
        GatewayUnderTest().scheduler_groups,
    )
    assert one.owning_group(RED, 'q:x') == 'q'
    owners = {one.owning_group(RED, str(number)) for number in range(50)}
    assert owners == {'p', 'q'}
    for number in range(50):
        assert one.owning_group(RED, str(number)) == two.owning_group(
            RED, str(number)
        )


def test_results_of_a_large_cancel_keep_the_order() -> None:
    gateway = GatewayUnderTest()
    jobs = [f'{"pq"[number % 2]}.{number}' for number in range(5000)]
    status, body = gateway.send('/v1/cancel', {'jobs': [*jobs, 'z.1']})
    assert status == 200
    assert [cancelled['job'] for cancelled in body['results']] == [
        *jobs,
        'z.1',
    ]
    assert not body['results'][-1]['found']
    assert len(gateway.groups[GroupName('p')].requests) == 3


def test_draining_gateway_fails_its_health_check_then_refuses() -> None:
    gateway = GatewayUnderTest()
    assert gateway.send('/healthz') == (200, {'state': 'ok'})
    idle_server = mock.Mock(is_busy=False)
    with mock.patch('time.sleep'):
        assert gateway.request_tracker.drain(idle_server, 1.0)
    assert gateway.send('/healthz')[0] == 503
    assert gateway.submit('locked') == (503, 'leaving')


def test_error_for_an_unknown_group_names_the_job() -> None:
    error = expect_error(
        ErrorKind.NOT_FOUND,
        lambda: GatewayUnderTest().scheduler_groups.group_of_job(JobId('z.1')),
    )
    assert 'z.1' in error.detail


def test_server_handles_more_than_a_thousand_connections() -> None:
    """Regression: the server stopped at file descriptors above 1023."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (max(soft, min(4096, hard)), hard)
    )
    with contextlib.ExitStack() as stack:
        probe = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        port = probe.getsockname()[1]
        probe.close()
        address = ('127.0.0.1', port)
        server = HttpServer(
            GatewayUnderTest().application, f'127.0.0.1:{port}', 2, 1000
        )
        stack.callback(server.close)
        for _ in range(1100):
            stack.enter_context(socket.create_connection(address, timeout=5))
        last = stack.enter_context(socket.create_connection(address, timeout=5))
        last.sendall(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
        assert last.recv(1000).startswith(b'HTTP/1.1 200')
        assert server.is_alive


def test_server_closes_a_connection_when_the_response_asks_for_it() -> None:
    def respond(request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            503, b'{}', closes_connection=request.path == '/elsewhere'
        )

    with contextlib.ExitStack() as stack:
        probe = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        port = probe.getsockname()[1]
        probe.close()
        server = HttpServer(
            Application([route('GET', '.*', respond)], NullMetrics()),
            f'127.0.0.1:{port}',
            2,
            1000,
        )
        stack.callback(server.close)
        connection = http.client.HTTPConnection('127.0.0.1', port, timeout=5)
        stack.callback(connection.close)
        for path, is_closed in (('/here', False), ('/elsewhere', True)):
            connection.request('GET', path)
            response = connection.getresponse()
            response.read()
            assert response.will_close is is_closed


def test_periodic_thread_survives_a_router_that_is_slow_once() -> None:
    # The renewal of the slot leases ended for good after one time-out.
    called = threading.Event()
    calls: list[None] = []

    def renew() -> None:
        calls.append(None)
        if len(calls) > 1:
            called.set()
            return
        concurrent.futures.Future().result(0.0)

    with mock.patch('threading.excepthook'):
        thread = PeriodicThread('slots', 0.01, renew)
        is_called = called.wait(2.0)
        thread.close()
    assert is_called, len(calls)


def test_periodic_thread_logs_the_kind_of_an_unexpected_error() -> None:
    logged = threading.Event()
    with (
        mock.patch('threading.excepthook'),
        mock.patch(
            'cassiahold.core.logs.info',
            side_effect=lambda *_, **__: logged.set(),
        ) as log,
    ):
        renew = mock.Mock(side_effect=TimeoutError)
        with contextlib.closing(PeriodicThread('slots', 0.01, renew)):
            assert logged.wait(2.0)
    assert log.call_args.kwargs['kind'] == 'TimeoutError'


def test_router_goes_on_after_a_message_that_fails() -> None:
    # The actor ended, and with it the gateway.
    failure = ValueError('unexpected')
    with (
        contextlib.closing(start_router(10)) as router,
        mock.patch.object(Dispatcher, 'submit', side_effect=failure),
    ):
        request = SlotRequest(
            ServiceName('prices'), TeamName('red'), time.monotonic() + 5, 0.0
        )
        try:
            router.acquire(request)
        except ValueError as exc:
            assert exc is failure
        assert router.slot_usage().holdings == []
        assert router.is_alive


load_tests = function_tests(globals())
