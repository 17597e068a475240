"""Client for callers: submit, follow and cancel jobs, send live requests."""

import random
import time
import typing
import uuid

import msgspec

from cassiahold.client.connection import GatewayConnection, parse_error
from cassiahold.client.retries import Retries
from cassiahold.core.exceptions import CassiaholdError, ExecutionStatus
from cassiahold.core.ids import JobId
from cassiahold.core.states import (
    FailureReason,
    JobKind,
    JobOutcome,
    TaskState,
)

_MAX_WAIT_S: typing.Final = 30.0
_FIRST_ERROR_STATUS: typing.Final = 400


class SubmitResult(msgspec.Struct):
    """The job of a request id; ``is_first`` is False after a resend."""

    job: JobId
    is_first: bool


class JobStatus(msgspec.Struct):
    """The state of one job; times are Unix time in seconds.

    ``finished_at`` is 0 while the job runs; ``reason`` tells why it failed.
    """

    job: JobId
    team: str
    queue: str
    kind: JobKind
    outcome: JobOutcome
    count_by_state: dict[TaskState, int]
    notes: list[str]
    submitted_at: float
    finished_at: float = 0
    reason: FailureReason | None = None


class CancelResult(msgspec.Struct):
    """The result of cancelling one job.

    ``was_finished`` tells that the job had ended before.
    """

    job: JobId
    found: bool
    was_finished: bool = False


class _CancelBody(msgspec.Struct):
    results: list[CancelResult]


class Live(msgspec.Struct, frozen=True, kw_only=True):
    """A live request for a service.

    Without a ``request_id`` a fresh one is sent.
    """

    service: str
    body: bytes = b''
    method: str = 'POST'
    path: str = '/'
    request_id: str = ''
    is_idempotent: bool = False
    deadline_s: float = 10.0


class LiveAnswer(msgspec.Struct, frozen=True):
    """A target's complete response."""

    status: int
    body: bytes
    target: str


class CallerClient:
    """Client for one caller.

    ``key`` is a key of the caller's team; open queues and services need none.
    New jobs belong to ``data_centre`` if one is given.
    """

    def __init__(
        self,
        gateways: typing.Sequence[str],
        key: str = '',
        data_centre: str = '',
    ) -> None:
        self._connection = GatewayConnection(gateways, key)
        self._data_centre = data_centre
        self._rng = random.Random()

    def close(self) -> None:
        """Close every connection."""
        self._connection.close()

    def new_request_id(self) -> str:
        """Return a fresh request id.

        Its prefix names the preferred data centre, which then keeps the job.
        """
        prefix = f'{self._data_centre}:' if self._data_centre else ''
        return f'{prefix}{uuid.uuid4().hex}'

    def submit(
        self,
        job: typing.Mapping[str, typing.Any],
        request_id: str = '',
        timeout_s: float = 10.0,
    ) -> SubmitResult:
        """Submit a job, resending it while the error allows a retry.

        ``job`` has the fields of the reference page on jobs.  Raises
        ``CassiaholdError`` with the kind of the refusal; a refused job is
        not run.  After a try whose response was lost, the kind is
        ``OUTCOME_UNKNOWN`` instead.
        """
        payload = {
            'request_id': request_id or self.new_request_id(),
            'job': dict(job),
        }
        started_at = time.monotonic()
        retries = Retries(started_at + timeout_s, self._rng)
        while True:
            try:
                raw = self._connection.request_json(
                    'POST',
                    '/v1/jobs',
                    payload,
                    headers=_waiting_headers(started_at, timeout_s),
                )
            except CassiaholdError as exc:
                time.sleep(retries.pause_s(exc, time.monotonic()))
            else:
                return msgspec.json.decode(raw, type=SubmitResult)

    def status(self, job: JobId, wait_s: float = 0) -> JobStatus:
        """Return a job's status once it has ended or after ``wait_s``.

        It waits for 30 s at most.
        """
        raw = self._connection.request_json(
            'GET',
            f'/v1/jobs/{job}?wait_s={min(wait_s, _MAX_WAIT_S):g}',
            timeout_s=wait_s + 5,
        )
        return msgspec.json.decode(raw, type=JobStatus)

    def wait(self, job: JobId, timeout_s: float) -> JobStatus:
        """Return a job's status once it has ended or after ``timeout_s``."""
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            status = self.status(job, max(min(remaining_s, _MAX_WAIT_S), 0))
            if (
                status.outcome is not JobOutcome.STILL_RUNNING
                or remaining_s <= 0
            ):
                return status

    def cancel(self, jobs: typing.Sequence[JobId]) -> list[CancelResult]:
        """Cancel jobs with one request."""
        raw = self._connection.request_json(
            'POST',
            '/v1/cancel',
            {'jobs': list(jobs)},
            timeout_s=_MAX_WAIT_S,
        )
        return msgspec.json.decode(raw, type=_CancelBody).results

    def call(self, live: Live) -> LiveAnswer:
        """Send a live request and return the complete response.

        A request that was refused is sent again after the pause that the
        gateway gave.  Otherwise, a request that is not idempotent is never
        sent twice.  Raises ``CassiaholdError`` when no target responded; the
        ``response`` of the error tells whether the request can have run.
        """
        request_id = live.request_id or uuid.uuid4().hex
        started_at = time.monotonic()
        retries = Retries(started_at + live.deadline_s, self._rng)
        while True:
            try:
                return self._call_once(live, request_id, started_at)
            except CassiaholdError as exc:
                if exc.retry_after is None or not _was_refused(exc):
                    raise
                time.sleep(retries.pause_s(exc, time.monotonic()))

    def _call_once(
        self, live: Live, request_id: str, started_at: float
    ) -> LiveAnswer:
        headers = _waiting_headers(started_at, live.deadline_s)
        response = self._connection.send(
            live.method,
            f'/v1/services/{live.service}{live.path}',
            live.body,
            {
                'Cassiahold-Request-Id': request_id,
                'Cassiahold-Idempotent': str(live.is_idempotent).lower(),
                **headers,
            },
            timeout_s=live.deadline_s - (time.monotonic() - started_at),
            may_resend=live.is_idempotent,
        )
        target = response.headers.get('Cassiahold-Target', '')
        if response.status >= _FIRST_ERROR_STATUS and not target:
            raise parse_error(response)
        return LiveAnswer(response.status, response.data, target)


def _waiting_headers(started_at: float, timeout_s: float) -> dict[str, str]:
    """Return the headers for the time waited and the time left."""
    waited_s = time.monotonic() - started_at
    time_left_s = max(timeout_s - waited_s, 0)
    return {
        'Cassiahold-Deadline-S': f'{time_left_s:.3f}',
        'Cassiahold-Waited-S': f'{waited_s:.3f}',
    }


def _was_refused(exc: CassiaholdError) -> bool:
    return exc.response.execution is ExecutionStatus.NOT_RUN
