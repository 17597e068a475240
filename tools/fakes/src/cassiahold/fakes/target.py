"""A fake target: a service instance that serves requests in its slots.

The JSON body of a request may set ``work_s`` (how long it takes), ``cut``
(the response ends early) and ``fail`` (status 500).  The response repeats
the body under ``asked``.
"""

import http.server
import json
import threading
import time
import typing

import msgspec
import urllib3

from cassiahold.core import tracing
from cassiahold.fakes.worker import JournalEvent, JournalWriter

_READ_TIMEOUT_S: typing.Final = 5.0


class TargetPlan(msgspec.Struct, frozen=True):
    """The identity, capacity and default request duration of a fake target.

    ``connections`` is the most connections that gateways may open to it.
    """

    target: str
    data_centre: str
    service: str
    address: str
    slots: int = 8
    connections: int = 60
    work_s: float = 0.005


def _discard_event(_: JournalEvent) -> None:
    """Drop an event when no journal is kept."""


class FakeTarget:
    """A target that serves HTTP requests and reports to the gateways.

    ``violations`` lists each time more requests ran than it has slots.
    """

    def __init__(
        self,
        plan: TargetPlan,
        gateways: typing.Sequence[str],
        token: str,
        write_event: JournalWriter = _discard_event,
    ) -> None:
        self.plan = plan
        self.violations: list[str] = []
        self.is_leaving = False
        self.leaving_since = 0.0
        self._gateway_addresses = list(gateways)
        self._write_event = write_event
        self._token = token
        self._incarnation = time.time_ns()
        self._lock = threading.Lock()
        self._used_slots = 0
        self._stopped = threading.Event()
        self._pools = urllib3.PoolManager(num_pools=4, retries=False)
        host, _, port = plan.address.rpartition(':')
        handler = _make_handler(self)
        self._server = http.server.ThreadingHTTPServer(
            (host, int(port)), handler
        )
        self._server.daemon_threads = True
        self._threads = (
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._report_until_closed, daemon=True),
        )

    def start(self) -> None:
        """Start serving and reporting to the gateways."""
        for thread in self._threads:
            thread.start()

    def leave(self) -> None:
        """Report from now on that this target is leaving."""
        self.leaving_since = time.time()
        self.is_leaving = True

    def close(self) -> None:
        """Stop serving and reporting."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def start_request(self, request_id: str) -> None:
        """Take a slot; journal ``serve``, or ``serve late`` once leaving."""
        kind = 'serve late' if self.is_leaving else 'serve'
        self._write_event(
            JournalEvent(time.time(), self.plan.target, request_id, kind)
        )
        with self._lock:
            self._used_slots += 1
            if self._used_slots > self.plan.slots:
                self.violations.append(
                    f'property 1: {self.plan.target} has {self._used_slots} '
                    f'requests in {self.plan.slots} slots'
                )

    def end_request(self) -> None:
        """Release the slot of a request."""
        with self._lock:
            self._used_slots -= 1

    def _report_until_closed(self) -> None:
        sequence = 0
        while not self._stopped.is_set():
            sequence += 1
            address = self._gateway_addresses[
                sequence % len(self._gateway_addresses)
            ]
            self._stopped.wait(self._send_report(address))

    def _send_report(self, gateway_address: str) -> float:
        plan = self.plan
        report = {
            'target': plan.target,
            'incarnation': self._incarnation,
            'data_centre': plan.data_centre,
            'service': plan.service,
            'address': plan.address,
            'slots': plan.slots,
            'connections': plan.connections,
            'leaving': self.is_leaving,
        }
        try:
            response = self._pools.request(
                'POST',
                f'http://{gateway_address}/v1/targets/report',
                body=msgspec.json.encode(report),
                headers={'Authorization': f'Bearer {self._token}'},
                timeout=urllib3.Timeout(connect=1.0, read=_READ_TIMEOUT_S),
            )
        except urllib3.exceptions.HTTPError:
            return 0.3
        return 0.3 if response.status != 200 or self.is_leaving else 1.0


def _make_handler(
    target: FakeTarget,
) -> type[http.server.BaseHTTPRequestHandler]:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_POST(self) -> None:  # noqa: N802
            """Hold a slot for ``work_s`` and respond."""
            length = int(self.headers.get('Content-Length') or 0)
            options = _parse_body(self.rfile.read(length))
            request_id = self.headers.get('Cassiahold-Request-Id', '')
            target.start_request(request_id)
            try:
                with tracing.span(
                    'target serve', self.headers.get('traceparent', '')
                ):
                    time.sleep(float(options.get('work_s', target.plan.work_s)))
                self._respond(options, request_id)
            finally:
                target.end_request()

        do_GET = do_POST  # noqa: N815

        def _respond(
            self, options: dict[str, typing.Any], request_id: str
        ) -> None:
            body = json.dumps(
                {'target': target.plan.target, 'asked': options}
            ).encode()
            status = 500 if options.get('fail') else 200
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(body)))
            self.send_header('Cassiahold-Request-Id', request_id)
            self.end_headers()
            if options.get('cut'):
                self.wfile.write(body[: len(body) // 2])
                self.close_connection = True
                return
            self.wfile.write(body)

        def log_message(self, *_: typing.Any) -> None:
            """Suppress the access log of the base class."""

    return Handler


def _parse_body(body: bytes) -> dict[str, typing.Any]:
    try:
        options = json.loads(body or b'{}')
    except ValueError:
        return {}
    return options if isinstance(options, dict) else {}
