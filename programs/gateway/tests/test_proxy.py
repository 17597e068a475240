"""Tests of the proxy against small targets that misbehave."""

import contextlib
import http.server
import threading
import time
import typing

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.proxy import LiveRequest, Proxy
from cassiahold.routing.dispatcher import Endpoint, SlotRequest

Respond = typing.Callable[[http.server.BaseHTTPRequestHandler], None]


class FakeTarget:
    """Answers as told and counts what it was sent."""

    def __init__(self, respond: Respond) -> None:
        self.requests = 0
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers['Content-Length']))
                target.requests += 1
                respond(self)

            def log_message(self, *_: typing.Any) -> None:
                """Stay silent."""

        self.server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f'127.0.0.1:{self.server.server_address[1]}'

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class FakeRouter:
    """Hands out targets in turn."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = list(addresses)
        self.acquired = 0
        self.failed: list[bool] = []

    def acquire(self, ticket: SlotRequest) -> Endpoint:
        address = self.addresses[self.acquired % len(self.addresses)]
        self.acquired += 1
        return Endpoint(TargetId(address), 1, address, 10)

    def release(
        self, *_: typing.Any, failed: bool = False, **__: typing.Any
    ) -> None:
        self.failed.append(failed)


def answer(
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


def cut(handler: http.server.BaseHTTPRequestHandler) -> None:
    answer(handler, length=500)


def wrong_id(handler: http.server.BaseHTTPRequestHandler) -> None:
    answer(handler, Cassiahold_Request_Id='other')


def not_run(handler: http.server.BaseHTTPRequestHandler) -> None:
    answer(handler, Cassiahold_Outcome='not-run')


def request(*, idempotent: bool = False, name: str = 'r1') -> LiveRequest:
    return LiveRequest(
        ServiceName('prices'),
        TeamName('red'),
        'POST',
        '/',
        b'{}',
        'application/json',
        name,
        idempotent,
        time.monotonic() + 20,
    )


@contextlib.contextmanager
def proxy_to(
    *responds: Respond,
) -> typing.Iterator[tuple[Proxy, FakeRouter, list[FakeTarget]]]:
    with contextlib.ExitStack() as stack:
        targets = [FakeTarget(respond) for respond in responds]
        for target in targets:
            stack.callback(target.close)
        router = FakeRouter(*(target.address for target in targets))
        proxy = Proxy(typing.cast(typing.Any, router), 1000)
        stack.callback(proxy.close)
        yield proxy, router, targets


def test_a_whole_answer_is_relayed() -> None:
    with proxy_to(answer) as (proxy, router, _):
        assert proxy.serve(request()).body == b'whole'
        assert router.failed == [False]


def test_an_answer_to_another_request_is_not_relayed() -> None:
    """Property 5."""
    with proxy_to(wrong_id) as (proxy, _, targets):
        error = expect_error(
            ErrorKind.TARGET_FAILED, lambda: proxy.serve(request())
        )
        assert "'other'" in error.detail
        assert targets[0].requests == 1


def test_a_cut_answer_is_never_a_short_success() -> None:
    with proxy_to(cut) as (proxy, _, targets):
        expect_error(
            ErrorKind.RESPONSE_TRUNCATED, lambda: proxy.serve(request())
        )
        assert targets[0].requests == 1


def test_idempotent_requests_are_tried_elsewhere() -> None:
    with proxy_to(cut, answer) as (proxy, router, targets):
        assert proxy.serve(request(idempotent=True)).body == b'whole'
        assert [target.requests for target in targets] == [1, 1]
        assert router.failed == [True, False]


def test_what_surely_did_not_run_is_tried_elsewhere() -> None:
    with proxy_to(not_run, answer) as (proxy, _, targets):
        assert proxy.serve(request()).body == b'whole'
        assert [target.requests for target in targets] == [1, 1]


def test_a_request_that_is_not_idempotent_is_sent_once() -> None:
    """Property 7, for a resend through the same gateway."""
    with proxy_to(answer) as (proxy, _, targets):
        proxy.serve(request())
        expect_error(ErrorKind.OUTCOME_UNKNOWN, lambda: proxy.serve(request()))
        assert targets[0].requests == 1


def test_a_refusal_that_says_not_run_lets_the_caller_resend() -> None:
    with proxy_to(answer) as (proxy, router, targets):
        working = router.addresses
        router.addresses = ['127.0.0.1:1']
        expect_error(ErrorKind.NO_TARGET, lambda: proxy.serve(request()))
        router.addresses = working
        assert proxy.serve(request()).body == b'whole'
        assert targets[0].requests == 1


def test_retries_stop_with_the_budget() -> None:
    with proxy_to(cut) as (proxy, router, _):
        for number in range(30):
            expect_error(
                ErrorKind.RESPONSE_TRUNCATED,
                lambda number=number: proxy.serve(
                    request(idempotent=True, name=str(number))
                ),
            )
        # Ten retries are saved at the start; each request earns a tenth.
        assert router.acquired <= 30 + 10 + 3


def test_an_answer_that_is_too_large_is_refused() -> None:
    def large(handler: http.server.BaseHTTPRequestHandler) -> None:
        answer(handler, body=bytes(2000))

    with proxy_to(large) as (proxy, _, __):
        expect_error(ErrorKind.TARGET_FAILED, lambda: proxy.serve(request()))


load_tests = function_tests(globals())
