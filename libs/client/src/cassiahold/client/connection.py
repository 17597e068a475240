"""HTTP connection to a cell with failover between its gateways."""

import time
import types
import typing

import msgspec
import urllib3
from urllib3 import exceptions as http_errors

from cassiahold.client.retries import parse_retry_after, unknown_outcome_error
from cassiahold.core import tracing
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
    RetryAdvice,
)

_CONNECT_TIMEOUT_S: typing.Final = 2.0
_READ_MARGIN_S: typing.Final = 5.0
_FIRST_ERROR_STATUS: typing.Final = 400
_MAX_POOLS: typing.Final = 16
_ERROR_HEADER: typing.Final = 'Cassiahold-Error'
_RAN_HEADER: typing.Final = 'Cassiahold-Ran'
_NOT_RUN: typing.Final = ExecutionStatus.NOT_RUN.value
_SAFE_METHODS: typing.Final = frozenset(('GET', 'HEAD'))
_NO_HEADERS: typing.Final = types.MappingProxyType[str, str]({})
_CONNECTIONS_PER_GATEWAY: typing.Final = 64  # kept open when idle


class _ErrorBody(msgspec.Struct):
    error: str = ''
    detail: str = ''
    retry: str = ''


class GatewayConnection:
    """Sends requests to the gateways in turn.

    Each request starts with the gateway that responded last.
    """

    def __init__(self, gateways: typing.Sequence[str], token: str = '') -> None:
        if not gateways:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST, 'no gateway address was given'
            )
        self._gateways = list(gateways)
        self._preferred_index = 0
        self._token = token
        self._pool_manager = urllib3.PoolManager(
            num_pools=_MAX_POOLS,
            maxsize=_CONNECTIONS_PER_GATEWAY,
            retries=False,
        )

    def close(self) -> None:
        """Close every connection."""
        self._pool_manager.clear()

    def request_json(
        self,
        method: str,
        path: str,
        payload: typing.Any = None,
        *,
        timeout_s: float = 10.0,
        may_resend: bool = True,
        headers: typing.Mapping[str, str] = _NO_HEADERS,
    ) -> bytes:
        """Send JSON and return the body of a successful response.

        Raises the error that the gateway responded with.  When a response
        is lost the next gateway is tried if ``may_resend``; otherwise
        ``OUTCOME_UNKNOWN`` is raised.
        """
        body = None if payload is None else msgspec.json.encode(payload)
        response = self.send(
            method,
            path,
            body,
            {'Content-Type': 'application/json', **headers},
            timeout_s=timeout_s,
            may_resend=may_resend,
        )
        if response.status >= _FIRST_ERROR_STATUS:
            raise parse_error(response)
        return response.data

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        *,
        timeout_s: float,
        may_resend: bool,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the first response of any status.

        Raises ``OUTCOME_UNKNOWN`` when a gateway refuses what an earlier one
        may have carried out.  When every gateway failed, raises
        ``OUTCOME_UNKNOWN`` if a response was lost, otherwise the error of the
        first gateway that was tried.
        """
        all_headers = dict(headers)
        if self._token:
            all_headers['Authorization'] = f'Bearer {self._token}'
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S, read=timeout_s + _READ_MARGIN_S
        )
        failure: CassiaholdError | None = None
        for _ in self._gateways:
            try:
                response = self._send_once(
                    method, path, body, all_headers, timeout
                )
            except CassiaholdError as exc:
                if not may_resend and _is_outcome_unknown(exc):
                    raise
                failure = _more_severe(failure, exc)
            else:
                return _conclude(method, response, failure)
            self._preferred_index = (self._preferred_index + 1) % len(
                self._gateways
            )
        raise failure or CassiaholdError(
            ErrorKind.UNREACHABLE, 'no gateway responded'
        )

    def _send_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        address = self._gateways[self._preferred_index]
        try:
            with tracing.span(f'caller {method}') as traceparent:
                trace_headers = (
                    {'traceparent': traceparent} if traceparent else {}
                )
                response = self._pool_manager.request(
                    method,
                    f'http://{address}{path}',
                    body=body,
                    headers={**headers, **trace_headers},
                    redirect=False,
                    timeout=timeout,
                )
        except (
            http_errors.NewConnectionError,
            http_errors.ConnectTimeoutError,
        ) as exc:
            raise CassiaholdError(
                ErrorKind.UNREACHABLE, f'gateway {address}: {exc}'
            ) from exc
        except http_errors.HTTPError as exc:
            raise CassiaholdError(
                ErrorKind.OUTCOME_UNKNOWN, f'gateway {address}: {exc}'
            ) from exc
        if response.headers.get(_ERROR_HEADER) == ErrorKind.LEAVING.value:
            raise parse_error(response)
        return response


def parse_error(response: urllib3.BaseHTTPResponse) -> CassiaholdError:
    """Return the error in a response, ``INTERNAL`` if it has none."""
    try:
        body = msgspec.json.decode(response.data, type=_ErrorBody)
        kind = ErrorKind(body.error)
    except (ValueError, RecursionError):
        return CassiaholdError(
            ErrorKind.INTERNAL,
            f'malformed error response with status {response.status}',
        )
    error = CassiaholdError(kind, body.detail)
    error.retry_after = parse_retry_after(
        response.headers.get('Cassiahold-Retry-After-Ms', ''),
        response.headers.get('Retry-After', ''),
        time.time(),
    )
    if body.retry == RetryAdvice.DO_NOT_RETRY.value:
        error.retry_advice = RetryAdvice.DO_NOT_RETRY
    return error


def _conclude(
    method: str,
    response: urllib3.BaseHTTPResponse,
    failure: CassiaholdError | None,
) -> urllib3.BaseHTTPResponse:
    """Return a response that came after the failures of other gateways.

    Raises ``OUTCOME_UNKNOWN`` for a refusal after a lost response.
    """
    was_lost = failure is not None and _is_outcome_unknown(failure)
    is_refusal = response.headers.get(_RAN_HEADER) == _NOT_RUN
    if was_lost and is_refusal and method not in _SAFE_METHODS:
        raise unknown_outcome_error(parse_error(response))
    return response


def _more_severe(
    failure: CassiaholdError | None, exc: CassiaholdError
) -> CassiaholdError:
    return exc if failure is None or _is_outcome_unknown(exc) else failure


def _is_outcome_unknown(exc: CassiaholdError) -> bool:
    return exc.kind is ErrorKind.OUTCOME_UNKNOWN
