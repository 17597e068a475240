"""HTTP requests, responses and routes, and the WSGI application.

Every error of a handler becomes a JSON response whose headers say which
error it was and whether the request can have taken effect.
"""

import math
import re
import time
import typing

import msgspec

from cassiahold.core import logs, tracing
from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.decoding import decode_json
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.core.ids import TeamName
from cassiahold.core.metrics import Metrics
from cassiahold.gateway.refusals import RefusalPolicy, retry_headers
from cassiahold.routing.retry_after import RefusedCaller

_Decoded = typing.TypeVar('_Decoded')
_REASON_BY_STATUS: typing.Final = {
    200: 'OK',
    202: 'Accepted',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
RAN_HEADER: typing.Final = 'Cassiahold-Ran'
ERROR_KIND_HEADER: typing.Final = 'Cassiahold-Error'
DEADLINE_HEADER: typing.Final = 'Cassiahold-Deadline-S'
WAITED_HEADER: typing.Final = 'Cassiahold-Waited-S'
_BEARER_SCHEME: typing.Final = 'Bearer '
# Key of the WSGI environment; when True the server closes the connection after
# the response.  WSGI applications may not set the Connection header.
CLOSE_CONNECTION_KEY: typing.Final = 'cassiahold.close_connection'


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of a failed request.

    ``ran`` says whether the request can have taken effect, ``retry`` what
    the caller should do.
    """

    error: str
    detail: str
    ran: str
    retry: str


class HttpResponse(msgspec.Struct):
    """A complete HTTP response.

    With ``closes_connection`` the client has to open a new connection, for
    which a load balancer may choose another host.
    """

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    closes_connection: bool = False


class HttpRequest:
    """An HTTP request whose body has been received by the server.

    ``path_arguments`` are the groups that the route's pattern captured.
    """

    def __init__(self, environ: dict[str, typing.Any]) -> None:
        self._environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ.get('PATH_INFO', '/')
        self.query: str = environ.get('QUERY_STRING', '')
        self.path_arguments: tuple[str, ...] = ()

    def header(self, name: str) -> str:
        """Return the value of a header, empty when it is absent."""
        key = name.upper().replace('-', '_')
        if key not in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            key = f'HTTP_{key}'
        return str(self._environ.get(key, ''))

    def body(self) -> bytes:
        """Return the body.

        Raises ``BAD_REQUEST`` when it is shorter than its content length.
        """
        length = int(self._environ.get('CONTENT_LENGTH') or 0)
        payload: bytes = self._environ['wsgi.input'].read(length)
        if len(payload) < length:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'body has {len(payload)} bytes; {length} were announced',
            )
        return payload

    def decode_json(self, body_type: type[_Decoded]) -> _Decoded:
        """Return the JSON body as ``body_type``; raises ``BAD_REQUEST``."""
        return decode_json(self.body(), body_type, ErrorKind.BAD_REQUEST)

    def query_seconds(self, name: str, max_s: float) -> float:
        """Return a duration from the query string, 0 when it is absent.

        Raises ``BAD_REQUEST`` for anything but 0 to ``max_s``.
        """
        match = re.search(f'(?:^|&){name}=([^&]*)', self.query)
        if match is None:
            return 0
        return parse_seconds(match.group(1), name, max_s)


def parse_seconds(text: str, name: str, max_s: float) -> float:
    """Return seconds given as text; raises ``BAD_REQUEST``.

    ``name`` is the header or query parameter, for the error message.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if not 0 <= seconds <= max_s:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'{name} is {text!r}; expected seconds from 0 to {max_s:g}',
        )
    return seconds


def json_response(payload: typing.Any, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(payload))


def error_response(exc: CassiaholdError) -> HttpResponse:
    """Return the response for an error, as the table of error kinds says."""
    row = exc.response
    body = ErrorBody(
        exc.kind.value,
        exc.detail,
        row.execution.value,
        exc.retry_advice.value,
    )
    headers = [
        (ERROR_KIND_HEADER, exc.kind.value),
        (RAN_HEADER, row.execution.value),
        *retry_headers(exc),
    ]
    return HttpResponse(
        row.http_status, msgspec.json.encode(body), headers=headers
    )


def describe_caller(request: HttpRequest) -> RefusedCaller:
    """Return who sent a request and how long it waits for the response.

    Callers are told apart by the public part of their key, which is not
    checked here.
    """
    key = request.header('Authorization').removeprefix(_BEARER_SCHEME)
    return RefusedCaller(
        TeamName(key.partition('.')[0]),
        seconds_or_default(request.header(DEADLINE_HEADER), math.inf),
        seconds_or_default(request.header(WAITED_HEADER), 0.0),
    )


def seconds_or_default(text: str, default_s: float) -> float:
    """Return a duration of a header, the default if it is not valid."""
    try:
        seconds = float(text)
    except ValueError:
        return default_s
    return seconds if seconds >= 0 else default_s


Handler = typing.Callable[[HttpRequest], HttpResponse]
CallerDescriber = typing.Callable[[HttpRequest], RefusedCaller]
ErrorFormatter = typing.Callable[[CassiaholdError], HttpResponse]


class Route(msgspec.Struct, frozen=True):
    """Maps a method and a path pattern to a handler; ``*`` is any method."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, pattern: str, handler: Handler) -> Route:
    """Return a route whose pattern must match the whole path.

    Its captured groups are passed in the request.
    """
    return Route(method, re.compile(pattern), handler)


class Application:
    """The WSGI application: routes requests and formats every error.

    ``format_error`` turns an error into its response; ``caller_of`` describes
    the sender of a request that was refused.
    """

    def __init__(
        self,
        routes: list[Route],
        metrics: Metrics,
        format_error: ErrorFormatter = error_response,
        caller_of: CallerDescriber = describe_caller,
        refusal_policy: RefusalPolicy | None = None,
    ) -> None:
        self._routes = routes
        self._format_error = format_error
        self._caller_of = caller_of
        self._metrics = metrics
        self._refusal_policy = refusal_policy or RefusalPolicy(
            RetrySettings(), metrics
        )

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        """Handle one request (WSGI)."""
        started_at = time.monotonic()
        request = HttpRequest(environ)
        response = self._respond(request, started_at)
        self._metrics.timing('http', (time.monotonic() - started_at) * 1000)
        received_bytes = int(environ.get('CONTENT_LENGTH') or 0)
        self._metrics.incr('http_bytes', received_bytes + len(response.body))
        environ[CLOSE_CONNECTION_KEY] = response.closes_connection
        reason = _REASON_BY_STATUS.get(response.status, 'Unknown')
        start_response(
            f'{response.status} {reason}',
            [
                ('Content-Type', response.content_type),
                ('Content-Length', str(len(response.body))),
                *response.headers,
            ],
        )
        return [response.body]

    def _respond(self, request: HttpRequest, started_at: float) -> HttpResponse:
        try:
            return self._dispatch(request)
        except CassiaholdError as exc:
            self._metrics.incr(f'error.{exc.kind.value}')
            self._set_pause(exc, request, started_at)
            _log_error(exc, request)
            return self._format_error(exc)
        except Exception as exc:  # noqa: BLE001
            logs.error('handler_fault', path=request.path, error=repr(exc))
            return self._format_error(
                CassiaholdError(ErrorKind.INTERNAL, type(exc).__name__)
            )

    def _set_pause(
        self, exc: CassiaholdError, request: HttpRequest, started_at: float
    ) -> None:
        now = time.monotonic()
        caller = self._caller_of(request)
        elapsed_s = now - started_at
        self._refusal_policy.apply(
            exc,
            msgspec.structs.replace(
                caller,
                time_left_s=caller.time_left_s - elapsed_s,
                waited_s=caller.waited_s + elapsed_s,
            ),
            now,
        )

    def _dispatch(self, request: HttpRequest) -> HttpResponse:
        is_known_path = False
        for candidate in self._routes:
            match = candidate.pattern.fullmatch(request.path)
            if match is None:
                continue
            is_known_path = True
            if candidate.method in {request.method, '*'}:
                request.path_arguments = tuple(match.groups())
                name = f'gateway {request.method} {candidate.pattern.pattern}'
                with tracing.span(name, request.header('traceparent')):
                    return candidate.handler(request)
        if is_known_path:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'path {request.path!r} does not allow method {request.method}',
            )
        raise CassiaholdError(
            ErrorKind.NOT_FOUND, f'path {request.path!r} does not exist'
        )


def _log_error(exc: CassiaholdError, request: HttpRequest) -> None:
    may_have_run = exc.response.execution is ExecutionStatus.MAY_HAVE_RUN
    log = logs.warning if may_have_run else logs.info
    pause: dict[str, float] = {}
    if exc.retry_after is not None:
        pause['retry_after_s'] = exc.retry_after.delay_s
    log(
        'request_failed' if may_have_run else 'request_refused',
        method=request.method,
        path=request.path,
        kind=exc.kind.value,
        detail=exc.detail,
        **pause,
    )
