"""Sends live requests to targets and tells truthfully what happened."""

import collections
import random
import threading
import time
import typing

import msgspec
import urllib3

from cassiahold.core import tracing
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.gateway.exchange import Peer, exchange
from cassiahold.gateway.http import HttpResponse
from cassiahold.gateway.router import RouterRef
from cassiahold.routing.dispatcher import Endpoint, SlotRequest
from cassiahold.routing.retries import RetryBudget, pause_before

OUTCOME_HEADER: typing.Final = 'Cassiahold-Outcome'
REQUEST_ID_HEADER: typing.Final = 'Cassiahold-Request-Id'
NOT_RUN: typing.Final = 'not-run'
MAX_TRIES: typing.Final = 4
_CONNECT_TIMEOUT_S: typing.Final = 1.0
_MAX_REMEMBERED_IDS: typing.Final = 50_000
_FIRST_SERVER_ERROR: typing.Final = 500
_POOLS: typing.Final = 256  # targets with open connections
_CONNECTIONS: typing.Final = 64  # kept open to each target


class LiveRequest(msgspec.Struct):
    """A request for a service."""

    service: ServiceName
    team: TeamName
    method: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    is_idempotent: bool
    deadline: float


class _Failure(Exception):
    """An attempt that failed; ``kind`` says whether it can have run."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.error = CassiaholdError(kind, detail)

    @property
    def surely_not_run(self) -> bool:
        return self.error.response.execution is ExecutionStatus.NOT_RUN


class Proxy:
    """Routes live requests to targets of this data centre."""

    def __init__(self, router: RouterRef, max_body_bytes: int) -> None:
        self._router = router
        self._max_body_bytes = max_body_bytes
        self._budget = RetryBudget()
        self._budget_lock = threading.Lock()
        self._random = random.Random()
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS, maxsize=_CONNECTIONS, block=False, retries=False
        )
        self._sent_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def close(self) -> None:
        """Close every connection."""
        self._pools.clear()

    def serve(self, request: LiveRequest) -> HttpResponse:
        """Return the target's whole answer, or raise what happened."""
        with self._budget_lock:
            self._budget.earn()
        avoid: frozenset[TargetId] = frozenset()
        tries = 0
        while True:
            route = self._router.acquire(
                SlotRequest(
                    request.service,
                    request.team,
                    request.deadline,
                    time.monotonic(),
                    avoid,
                )
            )
            try:
                return self._attempt(request, route)
            except _Failure as failure:
                tries += 1
                if not self._may_retry(request, failure, tries):
                    raise failure.error from failure
            avoid = avoid | {route.target}
            time.sleep(pause_before(tries, self._random))
            if tries >= 2:
                # Any target will do once the others have been tried.
                avoid = frozenset()

    def _claim(self, request: LiveRequest) -> bool:
        """Remember that a request is sent; False when it was before."""
        if request.is_idempotent or not request.request_id:
            return True
        with self._budget_lock:
            if request.request_id in self._sent_ids:
                return False
            self._sent_ids[request.request_id] = None
            if len(self._sent_ids) > _MAX_REMEMBERED_IDS:
                self._sent_ids.popitem(last=False)
        return True

    def _unclaim(self, request: LiveRequest) -> None:
        with self._budget_lock:
            self._sent_ids.pop(request.request_id, None)

    def _may_retry(
        self, request: LiveRequest, failure: _Failure, tries: int
    ) -> bool:
        if tries >= MAX_TRIES or time.monotonic() >= request.deadline:
            return False
        if not (request.is_idempotent or failure.surely_not_run):
            return False
        with self._budget_lock:
            return self._budget.spend()

    def _attempt(self, request: LiveRequest, route: Endpoint) -> HttpResponse:
        began = time.monotonic()
        if not self._claim(request):
            self._router.release(request.service, route)
            raise CassiaholdError(
                ErrorKind.OUTCOME_UNKNOWN,
                f'request {request.request_id!r} is not idempotent and was '
                'sent before',
            )
        failed = True
        try:
            answer = self._send(request, route)
            failed = answer.status >= _FIRST_SERVER_ERROR
        except _Failure as failure:
            if failure.surely_not_run:
                self._unclaim(request)
            raise
        finally:
            self._router.release(
                request.service,
                route,
                latency_s=time.monotonic() - began,
                failed=failed,
            )
        return answer

    def _send(self, request: LiveRequest, route: Endpoint) -> HttpResponse:
        left = request.deadline - time.monotonic()
        with tracing.span(f'gateway send {request.service}') as traceparent:
            headers = {
                'Content-Type': request.content_type,
                'Cassiahold-Team': request.team,
                'Cassiahold-Deadline-S': f'{left:.3f}',
                REQUEST_ID_HEADER: request.request_id,
            }
            if traceparent:
                headers['traceparent'] = traceparent
            try:
                response = exchange(
                    self._pools,
                    Peer(
                        f'target {route.target!r}',
                        route.address,
                        _CONNECT_TIMEOUT_S,
                        ErrorKind.NO_TARGET,
                    ),
                    request.method,
                    request.path,
                    request.body,
                    headers,
                    left,
                )
            except CassiaholdError as exc:
                raise _Failure(exc.kind, exc.detail) from exc
        return self._checked(request, route, response)

    def _checked(
        self,
        request: LiveRequest,
        route: Endpoint,
        response: urllib3.BaseHTTPResponse,
    ) -> HttpResponse:
        if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
            raise _Failure(
                ErrorKind.NO_TARGET, f'target {route.target!r} did not run it'
            )
        echoed = response.headers.get(REQUEST_ID_HEADER, request.request_id)
        if echoed != request.request_id:
            raise _Failure(
                ErrorKind.TARGET_FAILED,
                f'target {route.target!r} answered request {echoed!r}',
            )
        if len(response.data) > self._max_body_bytes:
            raise _Failure(
                ErrorKind.TARGET_FAILED,
                f'answer of {len(response.data)} bytes; at most '
                f'{self._max_body_bytes} are relayed',
            )
        return HttpResponse(
            response.status,
            response.data,
            response.headers.get('Content-Type', 'application/octet-stream'),
            [
                ('Cassiahold-Target', route.target),
                (REQUEST_ID_HEADER, request.request_id),
            ],
        )
