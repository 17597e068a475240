"""Proxies live requests to targets, with retries where they are safe.

A failed attempt is retried at another target when the request is idempotent
or certainly has not run.  Every error that reaches the caller says whether
the request may have run.
"""

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
from cassiahold.gateway.http import HttpResponse
from cassiahold.gateway.router import RouterRef
from cassiahold.gateway.upstream import Upstream, send_request
from cassiahold.routing.retries import RetryBudget, backoff_s
from cassiahold.routing.slots import Endpoint, SlotRequest

OUTCOME_HEADER: typing.Final = 'Cassiahold-Outcome'
REQUEST_ID_HEADER: typing.Final = 'Cassiahold-Request-Id'
NOT_RUN_OUTCOME: typing.Final = 'not-run'
MAX_ATTEMPTS: typing.Final = 4
_CONNECT_TIMEOUT_S: typing.Final = 1.0
_MAX_REMEMBERED_IDS: typing.Final = 50_000
_FIRST_SERVER_ERROR: typing.Final = 500
_MAX_POOLS: typing.Final = 256  # targets with open connections
_MAX_IDLE_CONNECTIONS: typing.Final = 64  # to each target


class LiveRequest(msgspec.Struct):
    """A caller's request for a service; ``deadline`` is monotonic time."""

    service: ServiceName
    team: TeamName
    method: str
    path: str
    body: bytes
    content_type: str
    request_id: str
    is_idempotent: bool
    deadline: float


class _AttemptError(Exception):
    """A failed attempt; its error kind says whether it may have run."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.error = CassiaholdError(kind, detail)

    @property
    def has_not_run(self) -> bool:
        return self.error.response.execution is ExecutionStatus.NOT_RUN


class Proxy:
    """Sends live requests to targets of this data centre.

    Request ids of sent requests that are not idempotent are remembered, so
    that a caller's resend through the same gateway does not run again.
    """

    def __init__(self, router: RouterRef, max_body_bytes: int) -> None:
        self._router = router
        self._max_body_bytes = max_body_bytes
        self._retry_budget = RetryBudget()
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._pool_manager = urllib3.PoolManager(
            num_pools=_MAX_POOLS,
            maxsize=_MAX_IDLE_CONNECTIONS,
            block=False,
            retries=False,
        )
        self._sent_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def close(self) -> None:
        """Close all connections to targets."""
        self._pool_manager.clear()

    def serve(self, request: LiveRequest) -> HttpResponse:
        """Return the target's complete response, after retries if needed.

        Raises an error whose kind says whether the request may have run in
        any of the attempts.
        """
        with self._lock:
            self._retry_budget.deposit()
        failures: list[CassiaholdError] = []
        try:
            return self._serve_with_retries(request, failures)
        except CassiaholdError as exc:
            raise _error_to_report(failures, exc) from exc

    def _serve_with_retries(
        self, request: LiveRequest, failures: list[CassiaholdError]
    ) -> HttpResponse:
        excluded_targets: frozenset[TargetId] = frozenset()
        while True:
            endpoint = self._acquire(request, excluded_targets)
            try:
                return self._attempt(request, endpoint)
            except _AttemptError as failure:
                failures.append(failure.error)
                if not self._may_retry(request, failure, len(failures)):
                    raise failure.error from failure
            excluded_targets = excluded_targets | {endpoint.target}
            time.sleep(backoff_s(len(failures), self._rng))
            if len(failures) >= 2:
                # After two failures, targets that failed are used again.
                excluded_targets = frozenset()

    def _acquire(
        self, request: LiveRequest, excluded_targets: frozenset[TargetId]
    ) -> Endpoint:
        return self._router.acquire(
            SlotRequest(
                request.service,
                request.team,
                request.deadline,
                time.monotonic(),
                excluded_targets,
            )
        )

    def _claim_request_id(self, request: LiveRequest) -> bool:
        """Record that a request is sent; return False when it was before."""
        if request.is_idempotent or not request.request_id:
            return True
        with self._lock:
            if request.request_id in self._sent_ids:
                return False
            self._sent_ids[request.request_id] = None
            if len(self._sent_ids) > _MAX_REMEMBERED_IDS:
                self._sent_ids.popitem(last=False)
        return True

    def _release_request_id(self, request: LiveRequest) -> None:
        with self._lock:
            self._sent_ids.pop(request.request_id, None)

    def _may_retry(
        self, request: LiveRequest, failure: _AttemptError, attempts: int
    ) -> bool:
        if attempts >= MAX_ATTEMPTS or time.monotonic() >= request.deadline:
            return False
        if not (request.is_idempotent or failure.has_not_run):
            return False
        with self._lock:
            return self._retry_budget.try_withdraw()

    def _attempt(
        self, request: LiveRequest, endpoint: Endpoint
    ) -> HttpResponse:
        started_at = time.monotonic()
        if not self._claim_request_id(request):
            self._router.release(request.service, endpoint)
            raise CassiaholdError(
                ErrorKind.OUTCOME_UNKNOWN,
                f'request {request.request_id!r} is not idempotent and was '
                'sent before by this gateway',
            )
        has_failed = True
        try:
            response = self._send(request, endpoint)
            has_failed = response.status >= _FIRST_SERVER_ERROR
        except _AttemptError as failure:
            if failure.has_not_run:
                self._release_request_id(request)
            raise
        finally:
            self._router.release(
                request.service,
                endpoint,
                latency_s=time.monotonic() - started_at,
                has_failed=has_failed,
            )
        return response

    def _send(self, request: LiveRequest, endpoint: Endpoint) -> HttpResponse:
        remaining_s = request.deadline - time.monotonic()
        with tracing.span(f'gateway send {request.service}') as traceparent:
            headers = {
                'Content-Type': request.content_type,
                'Cassiahold-Team': request.team,
                'Cassiahold-Deadline-S': f'{remaining_s:.3f}',
                REQUEST_ID_HEADER: request.request_id,
            }
            if traceparent:
                headers['traceparent'] = traceparent
            try:
                response = send_request(
                    self._pool_manager,
                    Upstream(
                        f'target {endpoint.target!r}',
                        endpoint.address,
                        _CONNECT_TIMEOUT_S,
                        ErrorKind.NO_TARGET,
                    ),
                    request.method,
                    request.path,
                    request.body,
                    headers,
                    remaining_s,
                )
            except CassiaholdError as exc:
                raise _AttemptError(exc.kind, exc.detail) from exc
        return self._validated_response(request, endpoint, response)

    def _validated_response(
        self,
        request: LiveRequest,
        endpoint: Endpoint,
        response: urllib3.BaseHTTPResponse,
    ) -> HttpResponse:
        if response.headers.get(OUTCOME_HEADER) == NOT_RUN_OUTCOME:
            raise _AttemptError(
                ErrorKind.NO_TARGET,
                f'target {endpoint.target!r} reports that it did not run the '
                'request',
            )
        echoed_id = response.headers.get(REQUEST_ID_HEADER, request.request_id)
        if echoed_id != request.request_id:
            raise _AttemptError(
                ErrorKind.TARGET_FAILED,
                f'target {endpoint.target!r} responded to request '
                f'{echoed_id!r} instead of {request.request_id!r}',
            )
        if len(response.data) > self._max_body_bytes:
            raise _AttemptError(
                ErrorKind.TARGET_FAILED,
                f'response of target {endpoint.target!r} has '
                f'{len(response.data)} bytes; the limit is '
                f'{self._max_body_bytes}',
            )
        return HttpResponse(
            response.status,
            response.data,
            response.headers.get('Content-Type', 'application/octet-stream'),
            [
                ('Cassiahold-Target', endpoint.target),
                (REQUEST_ID_HEADER, request.request_id),
            ],
        )


def _error_to_report(
    failures: list[CassiaholdError], last_error: CassiaholdError
) -> CassiaholdError:
    """Return the last attempt's error that may have run, else the last."""
    for error in reversed(failures):
        if error.response.execution is ExecutionStatus.MAY_HAVE_RUN:
            return error
    return last_error
