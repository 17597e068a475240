"""The HTTP server and the graceful shutdown of a process that serves HTTP."""

import contextlib
import threading
import time
import typing

from waitress import create_server
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.gateway.http import (
    CLOSE_CONNECTION_KEY,
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)

# Time for the external load balancer to see the failing health check, before
# requests are refused.
LEAVING_NOTICE_S: typing.Final = 1.0
_POLL_INTERVAL_S: typing.Final = 0.02
_SERVICE_UNAVAILABLE: typing.Final = 503
DEFAULT_MAX_CONNECTIONS: typing.Final = 2000
_IDLE_TIMEOUT_S: typing.Final = 120

WsgiApplication = typing.Callable[..., typing.Any]


class RequestTracker:
    """Counts requests in progress and refuses new ones during a shutdown."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_progress = 0
        self._is_leaving = False
        self._is_refusing = False

    @property
    def in_progress(self) -> int:
        """Return the number of requests without a response yet."""
        return self._in_progress

    def start_leaving(self) -> None:
        """Close each connection after its next response.

        Clients then connect to another host while this one still answers.
        """
        self._is_leaving = True

    def track(self, original: Route) -> Route:
        """Return the route with requests counted, or refused if leaving."""

        def handle(request: HttpRequest) -> HttpResponse:
            if self._is_refusing:
                raise CassiaholdError(
                    ErrorKind.LEAVING, 'this gateway is shutting down'
                )
            with self._lock:
                self._in_progress += 1
            try:
                response = original.handler(request)
            finally:
                with self._lock:
                    self._in_progress -= 1
            if self._is_leaving:
                response.closes_connection = True
            return response

        return Route(original.method, original.pattern, handle)

    def health_route(self) -> Route:
        """Return the health check of the external load balancer.

        It fails as soon as a drain begins, before requests are refused.
        """
        return route('GET', '/healthz', self._health)

    def drain(self, server: 'HttpServer', timeout_s: float) -> bool:
        """Fail the health check, then refuse requests, then wait.

        Return whether all requests in progress ended within ``timeout_s``.
        """
        self.start_leaving()
        time.sleep(LEAVING_NOTICE_S)
        self._is_refusing = True
        deadline = time.monotonic() + timeout_s
        while not self._is_idle(server):
            if time.monotonic() >= deadline:
                return False
            time.sleep(_POLL_INTERVAL_S)
        return True

    def _is_idle(self, server: 'HttpServer') -> bool:
        return not self._in_progress and not server.is_busy

    def _health(self, _: HttpRequest) -> HttpResponse:
        if self._is_leaving:
            return json_response({'state': 'leaving'}, _SERVICE_UNAVAILABLE)
        return json_response({'state': 'ok'})


class _Task(WSGITask):  # type: ignore[misc]
    """Closes the connection after a response when the application asks."""

    def build_response_header(self) -> bytes:
        """Return the encoded status line and headers."""
        if self.get_environment().get(CLOSE_CONNECTION_KEY):
            self.set_close_on_finish()
        return typing.cast(bytes, super().build_response_header())


class _Channel(HTTPChannel):  # type: ignore[misc]
    """A client's connection."""

    task_class = _Task


class HttpServer:
    """A waitress server that runs in its own thread.

    Raises ``CANNOT_BIND`` when it cannot listen on ``address``.
    """

    def __init__(
        self,
        application: WsgiApplication,
        address: str,
        threads: int,
        max_body_bytes: int,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._is_closing = False
        host, _, port = address.rpartition(':')
        try:
            self._server = create_server(
                application,
                host=host,
                port=int(port),
                threads=threads,
                max_request_body_size=max_body_bytes,
                connection_limit=max_connections,
                channel_timeout=_IDLE_TIMEOUT_S,
                clear_untrusted_proxy_headers=False,
                # select() fails for file descriptors above 1023.
                asyncore_use_poll=True,
                ident='cassiahold',
            )
            self._server.channel_class = _Channel
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
        """Tell whether the server is running."""
        return self._thread.is_alive()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being received or a response sent."""
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
        # Closing the listening socket ends the loop with one of these errors.
        try:
            self._server.run()
        except Exception as exc:  # noqa: BLE001
            if not self._is_closing:
                logs.error('http_server_failed', error=repr(exc))
