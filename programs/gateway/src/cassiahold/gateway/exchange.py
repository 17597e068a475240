"""One HTTP exchange, and whether a failed one can have taken effect."""

import typing

import urllib3
from urllib3 import exceptions as http_errors

from cassiahold.core.exceptions import CassiaholdError, ErrorKind

_MIN_READ_S: typing.Final = 0.01


class Peer(typing.NamedTuple):
    """Who is asked: its name for errors, and how long a connect may take."""

    name: str
    address: str
    connect_s: float
    # The kind of a failure before anything was sent.
    unreached: ErrorKind


def exchange(
    pools: urllib3.PoolManager,
    peer: Peer,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    left_s: float,
) -> urllib3.BaseHTTPResponse:
    """Send a request once and return its whole answer.

    Raises ``peer.unreached`` when nothing was sent, ``ANSWER_CUT_SHORT``
    when the answer ended early, and ``TARGET_FAILED`` when it was lost.
    """
    read_s = max(left_s, _MIN_READ_S)
    try:
        return pools.request(
            method,
            f'http://{peer.address}{path}',
            body=body,
            headers=headers,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=min(peer.connect_s, read_s), read=read_s
            ),
        )
    except (
        http_errors.NewConnectionError,
        http_errors.ConnectTimeoutError,
    ) as exc:
        raise CassiaholdError(peer.unreached, f'{peer.name}: {exc}') from exc
    except http_errors.HTTPError as exc:
        raise CassiaholdError(_kind_of(exc), f'{peer.name}: {exc}') from exc


def _kind_of(exc: http_errors.HTTPError) -> ErrorKind:
    if 'IncompleteRead' in repr(exc):
        return ErrorKind.RESPONSE_TRUNCATED
    return ErrorKind.TARGET_FAILED
