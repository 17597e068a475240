"""Live requests: served by this data centre, else forwarded to another."""

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
from cassiahold.gateway.http import (
    ERROR_KIND_HEADER,
    RAN_HEADER,
    HttpResponse,
)
from cassiahold.gateway.proxy import REQUEST_ID_HEADER, LiveRequest, Proxy
from cassiahold.gateway.refusals import (
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
)
from cassiahold.gateway.upstream import Upstream, send_request

_CONNECT_TIMEOUT_S: typing.Final = 0.5  # to a gateway elsewhere
_MAX_POOLS: typing.Final = 32  # gateways, and idle connections to each
_RELAYED_HEADERS: typing.Final = (
    'Cassiahold-Target',
    REQUEST_ID_HEADER,
    ERROR_KIND_HEADER,
    RAN_HEADER,
    RETRY_AFTER_HEADER,
    RETRY_AFTER_MS_HEADER,
)


class LiveService:
    """Serves live requests by targets of any data centre.

    Targets of this data centre come first.  When it has none, the request
    is forwarded to the gateways of the other data centres one by one.
    """

    def __init__(self, settings: Settings, proxy: Proxy) -> None:
        self._proxy = proxy
        own = settings.own_host
        self._remote_hosts = [
            host
            for host in settings.cell.hosts
            if host.gateway and host.data_centre != own.data_centre
        ]
        self._pool_manager = urllib3.PoolManager(
            num_pools=_MAX_POOLS, maxsize=_MAX_POOLS, retries=False
        )

    def close(self) -> None:
        """Close all connections to other gateways."""
        self._pool_manager.clear()

    def serve(
        self, request: LiveRequest, authorization: str, *, is_forwarded: bool
    ) -> HttpResponse:
        """Return the target's complete response.

        A request that was forwarded to this gateway is not forwarded again.
        Raises an error whose kind says whether the request may have run.
        """
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
        for host in self._remote_hosts:
            if time.monotonic() >= request.deadline:
                break
            try:
                response = self._send_to_gateway(request, authorization, host)
            except CassiaholdError as exc:
                if exc.response.execution is ExecutionStatus.MAY_HAVE_RUN:
                    raise
                unreachable.append(host.name)
                continue
            if (
                _get_header(response, ERROR_KIND_HEADER)
                != ErrorKind.NO_TARGET.value
            ):
                return response
        if unreachable:
            raise CassiaholdError(
                ErrorKind.UNREACHABLE,
                f'{failure.detail}; cannot reach the gateways '
                f'{", ".join(unreachable)}',
            )
        raise failure

    def _send_to_gateway(
        self, request: LiveRequest, authorization: str, host: HostEntry
    ) -> HttpResponse:
        remaining_s = request.deadline - time.monotonic()
        with tracing.span('gateway forward') as traceparent:
            headers = {
                'Content-Type': request.content_type,
                'Cassiahold-Forwarded': '1',
                'Cassiahold-Deadline-S': f'{remaining_s:.3f}',
                'Cassiahold-Idempotent': str(request.is_idempotent).lower(),
                REQUEST_ID_HEADER: request.request_id,
            }
            if authorization:
                headers['Authorization'] = authorization
            if traceparent:
                headers['traceparent'] = traceparent
            response = send_request(
                self._pool_manager,
                Upstream(
                    f'gateway {host.name!r}',
                    host.gateway,
                    _CONNECT_TIMEOUT_S,
                    ErrorKind.UNREACHABLE,
                ),
                request.method,
                f'/v1/services/{request.service}{request.path}',
                request.body,
                headers,
                remaining_s,
            )
        return HttpResponse(
            response.status,
            response.data,
            response.headers.get('Content-Type', 'application/octet-stream'),
            [
                (name, response.headers[name])
                for name in _RELAYED_HEADERS
                if name in response.headers
            ],
        )


def _get_header(response: HttpResponse, name: str) -> str:
    return dict(response.headers).get(name, '')
