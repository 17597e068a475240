"""Tests of the proxy against local targets that misbehave."""

import contextlib
import http.server
import threading
import time
import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.proxy import LiveRequest, Proxy
from cassiahold.routing.slots import Endpoint, SlotRequest

Respond = typing.Callable[[http.server.BaseHTTPRequestHandler], None]


class FakeTarget:
    """An HTTP server that responds through a function and counts requests."""

    def __init__(self, respond: Respond) -> None:
        self.request_count = 0
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers['Content-Length']))
                target.request_count += 1
                respond(self)

            def log_message(self, *_: typing.Any) -> None:
                """Log nothing."""

        self.server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f'127.0.0.1:{self.server.server_address[1]}'

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class FakeRouter:
    """Assigns the given targets round robin and records releases."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = list(addresses)
        self.acquire_count = 0
        self.failure_flags: list[bool] = []

    def acquire(self, request: SlotRequest) -> Endpoint:
        address = self.addresses[self.acquire_count % len(self.addresses)]
        self.acquire_count += 1
        return Endpoint(TargetId(address), 1, address, 10)

    def release(
        self, *_: typing.Any, has_failed: bool = False, **__: typing.Any
    ) -> None:
        self.failure_flags.append(has_failed)


def respond_whole(
    handler: http.server.BaseHTTPRequestHandler,
    body: bytes = b'whole',
    length: int | None = None,
    **headers: str,
) -> None:
    handler.send_response(200)
    handler.send_header('Content-Length', str(length or len(body)))
    for name, text in headers.items():
        handler.send_header(name.replace('_', '-'), text)
    handler.end_headers()
    handler.wfile.write(body)
    handler.close_connection = length is not None


def respond_cut_short(handler: http.server.BaseHTTPRequestHandler) -> None:
    respond_whole(handler, length=500)


def respond_with_other_id(handler: http.server.BaseHTTPRequestHandler) -> None:
    respond_whole(handler, Cassiahold_Request_Id='other')


def respond_not_run(handler: http.server.BaseHTTPRequestHandler) -> None:
    respond_whole(handler, Cassiahold_Outcome='not-run')


def live_request(
    *, is_idempotent: bool = False, request_id: str = 'r1'
) -> LiveRequest:
    return LiveRequest(
        ServiceName('prices'),
        TeamName('red'),
        'POST',
        '/',
        b'{}',
        'application/json',
        request_id,
        is_idempotent,
        time.monotonic() + 20,
    )


@contextlib.contextmanager
def proxy_to(
    *respond_functions: Respond,
) -> typing.Iterator[tuple[Proxy, FakeRouter, list[FakeTarget]]]:
    with contextlib.ExitStack() as stack:
        targets = [FakeTarget(respond) for respond in respond_functions]
        for target in targets:
            stack.callback(target.close)
        router = FakeRouter(*(target.address for target in targets))
        proxy = Proxy(typing.cast(typing.Any, router), 1000)
        stack.callback(proxy.close)
        yield proxy, router, targets


def test_complete_response_is_relayed() -> None:
    with proxy_to(respond_whole) as (proxy, router, _):
        assert proxy.serve(live_request()).body == b'whole'
        assert router.failure_flags == [False]


def test_response_to_another_request_is_not_relayed() -> None:
    """Guards property 5: responses are matched to requests by id."""
    with proxy_to(respond_with_other_id) as (proxy, _, targets):
        error = expect_error(
            ErrorKind.TARGET_FAILED, lambda: proxy.serve(live_request())
        )
        assert "'other'" in error.detail
        assert targets[0].request_count == 1


def test_truncated_response_is_an_error() -> None:
    with proxy_to(respond_cut_short) as (proxy, _, targets):
        expect_error(
            ErrorKind.RESPONSE_TRUNCATED, lambda: proxy.serve(live_request())
        )
        assert targets[0].request_count == 1


def test_idempotent_request_is_retried_at_another_target() -> None:
    with proxy_to(respond_cut_short, respond_whole) as (proxy, router, targets):
        assert proxy.serve(live_request(is_idempotent=True)).body == b'whole'
        assert [target.request_count for target in targets] == [1, 1]
        assert router.failure_flags == [True, False]


def test_request_that_has_not_run_is_retried_at_another_target() -> None:
    with proxy_to(respond_not_run, respond_whole) as (proxy, _, targets):
        assert proxy.serve(live_request()).body == b'whole'
        assert [target.request_count for target in targets] == [1, 1]


def test_refused_retry_does_not_deny_the_first_attempt() -> None:
    """The first target may have carried the request out."""
    with proxy_to(respond_cut_short) as (proxy, router, _):
        acquire = router.acquire

        def acquire_once(request: SlotRequest) -> Endpoint:
            if router.acquire_count:
                raise CassiaholdError(ErrorKind.OVERLOADED, 'queue is full')
            return acquire(request)

        router.acquire = acquire_once  # type: ignore[method-assign]
        expect_error(
            ErrorKind.RESPONSE_TRUNCATED,
            lambda: proxy.serve(live_request(is_idempotent=True)),
        )


def test_later_targets_do_not_deny_the_first_attempt() -> None:
    later = (respond_not_run,) * 3
    with proxy_to(respond_cut_short, *later) as (proxy, router, _):
        expect_error(
            ErrorKind.RESPONSE_TRUNCATED,
            lambda: proxy.serve(live_request(is_idempotent=True)),
        )
        assert router.acquire_count == 4


def test_request_that_is_not_idempotent_is_sent_once() -> None:
    """Guards property 7 for a resend through the same gateway."""
    with proxy_to(respond_whole) as (proxy, _, targets):
        proxy.serve(live_request())
        expect_error(
            ErrorKind.OUTCOME_UNKNOWN, lambda: proxy.serve(live_request())
        )
        assert targets[0].request_count == 1


def test_caller_may_resend_a_request_that_was_not_run() -> None:
    with proxy_to(respond_whole) as (proxy, router, targets):
        reachable = router.addresses
        router.addresses = ['127.0.0.1:1']
        expect_error(ErrorKind.NO_TARGET, lambda: proxy.serve(live_request()))
        router.addresses = reachable
        assert proxy.serve(live_request()).body == b'whole'
        assert targets[0].request_count == 1


def test_retries_stop_when_the_budget_is_spent() -> None:
    with proxy_to(respond_cut_short) as (proxy, router, _):
        for number in range(30):
            expect_error(
                ErrorKind.RESPONSE_TRUNCATED,
                lambda number=number: proxy.serve(
                    live_request(is_idempotent=True, request_id=str(number))
                ),
            )
        # The budget starts with 10 retries; each request adds a tenth.
        assert router.acquire_count <= 30 + 10 + 3


def test_too_large_response_is_an_error() -> None:
    def respond_large(handler: http.server.BaseHTTPRequestHandler) -> None:
        respond_whole(handler, body=bytes(2000))

    with proxy_to(respond_large) as (proxy, _, __):
        expect_error(
            ErrorKind.TARGET_FAILED, lambda: proxy.serve(live_request())
        )


load_tests = function_tests(globals())
