"""The HTTP server and its graceful end."""

import contextlib
import threading
import time
import typing

import waitress

from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)

# The balancer gets this long to notice that the gateway is leaving.
NOTICE_S: typing.Final = 1.0
_POLL_S: typing.Final = 0.02
_UNAVAILABLE: typing.Final = 503
_MAX_CONNECTIONS: typing.Final = 2000
_IDLE_S: typing.Final = 120

Application = typing.Callable[..., typing.Any]


class RequestTracker:
    """Counts requests in progress and refuses new ones when leaving."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_progress = 0
        self._is_leaving = False
        self._refuses = False

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have no answer yet."""
        return self._in_progress

    def track(self, known: Route) -> Route:
        """Return a route whose requests are counted, or refused."""

        def handle(request: HttpRequest) -> HttpResponse:
            if self._refuses:
                raise CassiaholdError(
                    ErrorKind.LEAVING, 'this gateway is shutting down'
                )
            with self._lock:
                self._in_progress += 1
            try:
                return known.handler(request)
            finally:
                with self._lock:
                    self._in_progress -= 1

        return Route(known.method, known.pattern, handle)

    def health_route(self) -> Route:
        """Return the balancer's page, which says leaving first."""
        return route('GET', '/healthz', self._health)

    def drain(self, server: 'HttpServer', longest_s: float) -> bool:
        """Say leaving, refuse, and wait; True when nothing was cut off."""
        self._is_leaving = True
        time.sleep(NOTICE_S)
        self._refuses = True
        deadline = time.monotonic() + longest_s
        while not self._is_quiet(server):
            if time.monotonic() >= deadline:
                return False
            time.sleep(_POLL_S)
        return True

    def _is_quiet(self, server: 'HttpServer') -> bool:
        return not self._in_progress and not server.is_busy

    def _health(self, _: HttpRequest) -> HttpResponse:
        if self._is_leaving:
            return json_response({'state': 'leaving'}, _UNAVAILABLE)
        return json_response({'state': 'ok'})


class HttpServer:
    """A waitress server in a thread of its own."""

    def __init__(
        self,
        application: Application,
        address: str,
        threads: int,
        max_body_bytes: int,
    ) -> None:
        self._is_closing = False
        host, _, port = address.rpartition(':')
        try:
            self._server = waitress.create_server(
                application,
                host=host,
                port=int(port),
                threads=threads,
                max_request_body_size=max_body_bytes,
                connection_limit=_MAX_CONNECTIONS,
                channel_timeout=_IDLE_S,
                clear_untrusted_proxy_headers=False,
                # select() fails once a descriptor is above 1023.
                asyncore_use_poll=True,
                ident='cassiahold',
            )
        except OSError as exc:
            raise CassiaholdError(
                ErrorKind.CANNOT_BIND,
                f'cannot listen on {address}: {exc.strerror or exc}',
            ) from exc
        self._thread = threading.Thread(
            target=self._run, name='http', daemon=True
        )
        self._thread.start()

    @property
    def is_alive(self) -> bool:
        """Tell whether the server runs."""
        return self._thread.is_alive()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is arriving or an answer leaving."""
        return any(
            channel.request is not None
            or channel.requests
            or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def close(self) -> None:
        """Stop listening."""
        self._is_closing = True
        with contextlib.suppress(OSError):
            self._server.close()

    def _run(self) -> None:
        # Closing the listening socket ends the loop with one of these.
        try:
            self._server.run()
        except (OSError, ValueError) as exc:
            if not self._is_closing:
                logs.error('http_server_failed', error=repr(exc))
