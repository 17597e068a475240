"""Requests and answers as the handlers see them, and the WSGI entry."""

import re
import time
import typing

import msgspec

from cassiahold.core import logs, tracing
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.core.metrics import Metrics

_Decoded = typing.TypeVar('_Decoded')
_STATUS_TEXT: typing.Final = {
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
KIND_HEADER: typing.Final = 'Cassiahold-Error'


class ErrorBody(msgspec.Struct, frozen=True):
    """What a caller reads when its request failed."""

    error: str
    detail: str
    ran: str
    retry: str


class HttpResponse(msgspec.Struct):
    """A whole answer."""

    status: int
    body: bytes
    content_type: str = 'application/json'
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)


class HttpRequest:
    """One request whose body has arrived whole."""

    def __init__(self, environ: dict[str, typing.Any]) -> None:
        self._environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ.get('PATH_INFO', '/')
        self.query: str = environ.get('QUERY_STRING', '')
        self.path_arguments: tuple[str, ...] = ()

    def header(self, name: str) -> str:
        """Return a header's text, empty when it is absent."""
        key = name.upper().replace('-', '_')
        if key not in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            key = f'HTTP_{key}'
        return str(self._environ.get(key, ''))

    def body(self) -> bytes:
        """Return the body.

        Raises ``BAD_REQUEST`` when it is shorter than announced.
        """
        length = int(self._environ.get('CONTENT_LENGTH') or 0)
        payload: bytes = self._environ['wsgi.input'].read(length)
        if len(payload) < length:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'body has {len(payload)} bytes; {length} were announced',
            )
        return payload

    def decode(self, kind: type[_Decoded]) -> _Decoded:
        """Return the JSON body as ``kind``; raises ``BAD_REQUEST``."""
        try:
            return msgspec.json.decode(self.body(), type=kind)
        except msgspec.DecodeError as exc:
            raise CassiaholdError(ErrorKind.BAD_REQUEST, str(exc)) from exc

    def query_seconds(self, name: str, most: float) -> float:
        """Return a duration from the query string, 0 when absent."""
        match = re.search(f'(?:^|&){name}=([^&]*)', self.query)
        if match is None:
            return 0
        return parse_seconds(match.group(1), name, most)


def parse_seconds(text: str, name: str, most: float) -> float:
    """Return a number of seconds; raises ``BAD_REQUEST``."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if not 0 <= seconds <= most:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'{name} is {text!r}; expected seconds from 0 to {most:g}',
        )
    return seconds


def json_response(payload: typing.Any, status: int = 200) -> HttpResponse:
    """Return a JSON answer."""
    return HttpResponse(status, msgspec.json.encode(payload))


def error_answer(exc: CassiaholdError) -> HttpResponse:
    """Return the answer that the table gives for an error."""
    row = exc.response
    body = ErrorBody(
        exc.kind.value, exc.detail, row.execution.value, row.retry.value
    )
    headers = [(KIND_HEADER, exc.kind.value), (RAN_HEADER, row.execution.value)]
    if row.http_status in {429, 503}:
        headers.append(('Retry-After', '1'))
    return HttpResponse(
        row.http_status, msgspec.json.encode(body), headers=headers
    )


Handler = typing.Callable[[HttpRequest], HttpResponse]
ErrorAnswer = typing.Callable[[CassiaholdError], HttpResponse]


class Route(msgspec.Struct, frozen=True):
    """A method, a pattern of the path and its handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, pattern: str, handler: Handler) -> Route:
    """Return a route; groups of the pattern become ``request.parts``."""
    return Route(method, re.compile(f'^{pattern}$'), handler)


class Application:
    """The WSGI entry: finds the handler and answers every error."""

    def __init__(
        self,
        routes: list[Route],
        metrics: Metrics,
        answer_error: ErrorAnswer = error_answer,
    ) -> None:
        self._routes = routes
        self._answer_error = answer_error
        self._metrics = metrics

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> list[bytes]:
        """Answer one request."""
        began = time.monotonic()
        request = HttpRequest(environ)
        answer = self._answer(request)
        self._metrics.timing('http', (time.monotonic() - began) * 1000)
        received = int(environ.get('CONTENT_LENGTH') or 0)
        self._metrics.incr('http_bytes', received + len(answer.body))
        text = _STATUS_TEXT.get(answer.status, 'Unknown')
        start_response(
            f'{answer.status} {text}',
            [
                ('Content-Type', answer.content_type),
                ('Content-Length', str(len(answer.body))),
                *answer.headers,
            ],
        )
        return [answer.body]

    def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return self._dispatch(request)
        except CassiaholdError as exc:
            self._metrics.incr(f'error.{exc.kind.value}')
            unsure = exc.response.execution is ExecutionStatus.MAY_HAVE_RUN
            log = logs.warning if unsure else logs.info
            log(
                'request_failed' if unsure else 'request_refused',
                method=request.method,
                path=request.path,
                kind=exc.kind.value,
                detail=exc.detail,
            )
            return self._answer_error(exc)
        except Exception as exc:  # noqa: BLE001
            logs.error('handler_fault', path=request.path, error=repr(exc))
            return self._answer_error(
                CassiaholdError(ErrorKind.INTERNAL, type(exc).__name__)
            )

    def _dispatch(self, request: HttpRequest) -> HttpResponse:
        known_path = False
        for candidate in self._routes:
            match = candidate.pattern.match(request.path)
            if match is None:
                continue
            known_path = True
            if candidate.method in {request.method, '*'}:
                request.path_arguments = tuple(match.groups())
                name = f'gateway {request.method} {candidate.pattern.pattern}'
                with tracing.span(name, request.header('traceparent')):
                    return candidate.handler(request)
        if known_path:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'{request.path!r} does not take {request.method}',
            )
        raise CassiaholdError(
            ErrorKind.NOT_FOUND, f'no such path: {request.path!r}'
        )
