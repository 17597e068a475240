"""Live requests, here or through a gateway of another data centre."""

import time
import typing

import urllib3

from cassiahold.core import tracing
from cassiahold.core.conf.settings import HostEntry, Settings
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.gateway.exchange import Peer, exchange
from cassiahold.gateway.http import (
    KIND_HEADER,
    RAN_HEADER,
    HttpResponse,
)
from cassiahold.gateway.proxy import REQUEST_ID_HEADER, LiveRequest, Proxy

_CONNECT_TIMEOUT_S: typing.Final = 0.5
_POOLS: typing.Final = 32
_RELAYED: typing.Final = (
    'Cassiahold-Target',
    REQUEST_ID_HEADER,
    KIND_HEADER,
    RAN_HEADER,
)


class LiveService:
    """Serves from this data centre first, then from the others."""

    def __init__(self, settings: Settings, proxy: Proxy) -> None:
        self._proxy = proxy
        own = settings.own_host
        self._others = [
            host
            for host in settings.cell.hosts
            if host.gateway and host.data_centre != own.data_centre
        ]
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS, maxsize=_POOLS, retries=False
        )

    def close(self) -> None:
        """Close every connection."""
        self._pools.clear()

    def serve(
        self, request: LiveRequest, authorization: str, *, is_forwarded: bool
    ) -> HttpResponse:
        """Return the whole answer, or raise what happened."""
        try:
            return self._proxy.serve(request)
        except CassiaholdError as exc:
            if is_forwarded or exc.kind is not ErrorKind.NO_TARGET:
                raise
            return self._forward(request, authorization, exc)

    def _forward(
        self,
        request: LiveRequest,
        authorization: str,
        failure: CassiaholdError,
    ) -> HttpResponse:
        unreachable: list[str] = []
        for host in self._others:
            if time.monotonic() >= request.deadline:
                break
            try:
                answer = self._send(request, authorization, host)
            except CassiaholdError as exc:
                if exc.response.execution is ExecutionStatus.MAY_HAVE_RUN:
                    raise
                unreachable.append(host.name)
                continue
            if _header(answer, KIND_HEADER) != ErrorKind.NO_TARGET.value:
                return answer
        if unreachable:
            raise CassiaholdError(
                ErrorKind.UNREACHABLE,
                f'{failure.detail}; cannot reach gateways '
                f'{", ".join(unreachable)}',
            )
        raise failure

    def _send(
        self, request: LiveRequest, authorization: str, host: HostEntry
    ) -> HttpResponse:
        left = request.deadline - time.monotonic()
        with tracing.span('gateway forward') as traceparent:
            headers = {
                'Content-Type': request.content_type,
                'Cassiahold-Forwarded': '1',
                'Cassiahold-Deadline-S': f'{left:.3f}',
                'Cassiahold-Idempotent': str(request.is_idempotent).lower(),
                REQUEST_ID_HEADER: request.request_id,
            }
            if authorization:
                headers['Authorization'] = authorization
            if traceparent:
                headers['traceparent'] = traceparent
            response = exchange(
                self._pools,
                Peer(
                    f'gateway {host.name!r}',
                    host.gateway,
                    _CONNECT_TIMEOUT_S,
                    ErrorKind.UNREACHABLE,
                ),
                request.method,
                f'/v1/services/{request.service}{request.path}',
                request.body,
                headers,
                left,
            )
        return HttpResponse(
            response.status,
            response.data,
            response.headers.get('Content-Type', 'application/octet-stream'),
            [
                (name, response.headers[name])
                for name in _RELAYED
                if name in response.headers
            ],
        )


def _header(answer: HttpResponse, name: str) -> str:
    return dict(answer.headers).get(name, '')
