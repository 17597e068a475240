"""Sends one HTTP request upstream: to a target or to another gateway.

A failure is raised as the error kind that says whether the request can have
taken effect.
"""

import typing

import urllib3
from urllib3 import exceptions as http_errors

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

_MIN_TIMEOUT_S: typing.Final = 0.01


class Upstream(typing.NamedTuple):
    """A server that requests are sent to.

    ``name`` is used in error messages.  ``unreachable_kind`` is the error
    kind of a failure before anything was sent.
    """

    name: str
    address: str
    connect_timeout_s: float
    unreachable_kind: ErrorKind


def send_request(
    pool_manager: urllib3.PoolManager,
    upstream: Upstream,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> urllib3.BaseHTTPResponse:
    """Send a request once and return its complete response.

    Raises ``upstream.unreachable_kind`` when nothing was sent,
    ``RESPONSE_TRUNCATED`` when the response ended early, and
    ``TARGET_FAILED`` when there was none.
    """
    read_timeout_s = max(timeout_s, _MIN_TIMEOUT_S)
    try:
        return pool_manager.request(
            method,
            f'http://{upstream.address}{path}',
            body=body,
            headers=headers,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(upstream.connect_timeout_s, read_timeout_s),
                read=read_timeout_s,
            ),
        )
    except (
        http_errors.NewConnectionError,
        http_errors.ConnectTimeoutError,
    ) as exc:
        raise CassiaholdError(
            upstream.unreachable_kind, f'{upstream.name}: {exc}'
        ) from exc
    except http_errors.HTTPError as exc:
        raise CassiaholdError(
            _error_kind(exc), f'{upstream.name}: {exc}'
        ) from exc


def _error_kind(exc: http_errors.HTTPError) -> ErrorKind:
    if 'IncompleteRead' in repr(exc):
        return ErrorKind.RESPONSE_TRUNCATED
    return ErrorKind.TARGET_FAILED
