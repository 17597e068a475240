"""HTTP exchange with whichever gateway answers."""

import typing

import msgspec
import urllib3
from urllib3 import exceptions as http_errors

from cassiahold.core import tracing
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

_CONNECT_TIMEOUT_S: typing.Final = 2.0
_MARGIN_S: typing.Final = 5.0
_FIRST_ERROR: typing.Final = 400
_POOLS: typing.Final = 16
_CONNECTIONS: typing.Final = 64  # kept open to each gateway


class _ErrorBody(msgspec.Struct):
    error: str = ''
    detail: str = ''


class GatewayConnection:
    """Tries the gateways in turn, starting with the last that answered."""

    def __init__(self, gateways: typing.Sequence[str], token: str = '') -> None:
        if not gateways:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST, 'no gateway address was given'
            )
        self._gateways = list(gateways)
        self._preferred = 0
        self._token = token
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS, maxsize=_CONNECTIONS, retries=False
        )

    def close(self) -> None:
        """Close every connection."""
        self._pools.clear()

    def exchange(
        self,
        method: str,
        path: str,
        payload: typing.Any = None,
        *,
        timeout_s: float = 10.0,
        may_resend: bool = True,
    ) -> bytes:
        """Send JSON and return the body of a good answer.

        Raises the kind that the gateway answered with.  When the answer
        was lost the next gateway is tried if ``may_resend``; else
        ``OUTCOME_UNKNOWN`` is raised.
        """
        body = None if payload is None else msgspec.json.encode(payload)
        response = self.send(
            method,
            path,
            body,
            {'Content-Type': 'application/json'},
            timeout_s=timeout_s,
            may_resend=may_resend,
        )
        if response.status >= _FIRST_ERROR:
            raise error_in(response)
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
        """Send a request and return the first answer, good or bad."""
        sent = dict(headers)
        if self._token:
            sent['Authorization'] = f'Bearer {self._token}'
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S, read=timeout_s + _MARGIN_S
        )
        failure: CassiaholdError | None = None
        for _ in self._gateways:
            try:
                return self._send_once(method, path, body, sent, timeout)
            except CassiaholdError as exc:
                if not may_resend and _is_lost(exc):
                    raise
                failure = _graver(failure, exc)
            self._preferred = (self._preferred + 1) % len(self._gateways)
        raise failure or CassiaholdError(ErrorKind.UNREACHABLE, 'no gateway')

    def _send_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        address = self._gateways[self._preferred]
        try:
            with tracing.span(f'caller {method}') as traceparent:
                traced = {'traceparent': traceparent} if traceparent else {}
                response = self._pools.request(
                    method,
                    f'http://{address}{path}',
                    body=body,
                    headers={**headers, **traced},
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
        if response.headers.get('Cassiahold-Error') == ErrorKind.LEAVING.value:
            raise error_in(response)
        return response


def error_in(response: urllib3.BaseHTTPResponse) -> CassiaholdError:
    """Return the error that an answer carries."""
    try:
        body = msgspec.json.decode(response.data, type=_ErrorBody)
        kind = ErrorKind(body.error)
    except (msgspec.DecodeError, ValueError):
        return CassiaholdError(
            ErrorKind.INTERNAL, f'answer with status {response.status}'
        )
    return CassiaholdError(kind, body.detail)


def _graver(
    failure: CassiaholdError | None, exc: CassiaholdError
) -> CassiaholdError:
    return exc if failure is None or _is_lost(exc) else failure


def _is_lost(exc: CassiaholdError) -> bool:
    return exc.kind is ErrorKind.OUTCOME_UNKNOWN
