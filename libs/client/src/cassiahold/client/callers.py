"""What callers do: submit, follow and cancel jobs, and live requests."""

import time
import typing
import uuid

import msgspec

from cassiahold.client.connection import GatewayConnection, error_in
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import JobId
from cassiahold.core.states import JobKind, JobOutcome, TaskState

_MAX_WAIT_S: typing.Final = 30.0
_RETRY_PAUSE_S: typing.Final = 0.3
_FIRST_ERROR: typing.Final = 400


class Submitted(msgspec.Struct):
    """The job that a request id stands for."""

    job: JobId
    is_first: bool


class JobStatus(msgspec.Struct):
    """What is known about one job."""

    job: JobId
    team: str
    queue: str
    kind: JobKind
    outcome: JobOutcome
    count_by_state: dict[TaskState, int]
    notes: list[str]
    submitted_at: float
    finished_at: float = 0


class CancelResult(msgspec.Struct):
    """What became of one cancellation."""

    job: JobId
    found: bool
    was_finished: bool = False


class _Cancelled(msgspec.Struct):
    results: list[CancelResult]


class Live(msgspec.Struct, frozen=True, kw_only=True):
    """A live request for a service."""

    service: str
    body: bytes = b''
    method: str = 'POST'
    path: str = '/'
    request_id: str = ''
    is_idempotent: bool = False
    deadline_s: float = 10.0


class LiveAnswer(msgspec.Struct, frozen=True):
    """A target's whole answer."""

    status: int
    body: bytes
    target: str


class CallerClient:
    """One caller with its team's key, or without for open queues."""

    def __init__(
        self,
        gateways: typing.Sequence[str],
        key: str = '',
        data_centre: str = '',
    ) -> None:
        self._connection = GatewayConnection(gateways, key)
        self._data_centre = data_centre

    def close(self) -> None:
        """Close every connection."""
        self._connection.close()

    def new_request_id(self) -> str:
        """Return a fresh id whose job lives in the preferred data centre."""
        prefix = f'{self._data_centre}:' if self._data_centre else ''
        return f'{prefix}{uuid.uuid4().hex}'

    def submit(
        self,
        job: typing.Mapping[str, typing.Any],
        request_id: str = '',
        timeout_s: float = 10.0,
    ) -> Submitted:
        """Submit a job, resending until it is answered.

        ``job`` has the fields of the reference page on jobs.  Raises the
        kind of the refusal, which for a refused job is "not run".
        """
        payload = {
            'request_id': request_id or self.new_request_id(),
            'job': dict(job),
        }
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                raw = self._connection.exchange('POST', '/v1/jobs', payload)
            except CassiaholdError as exc:
                late = time.monotonic() + _RETRY_PAUSE_S >= deadline
                if late or exc.response.retry.value == 'do not retry':
                    raise
                time.sleep(_RETRY_PAUSE_S)
            else:
                return msgspec.json.decode(raw, type=Submitted)

    def status(self, job: JobId, wait_s: float = 0) -> JobStatus:
        """Return a job's status, after waiting for its end if asked."""
        raw = self._connection.exchange(
            'GET',
            f'/v1/jobs/{job}?wait_s={min(wait_s, _MAX_WAIT_S):g}',
            timeout_s=wait_s + 5,
        )
        return msgspec.json.decode(raw, type=JobStatus)

    def wait(self, job: JobId, timeout_s: float) -> JobStatus:
        """Return the status once the job has ended or time is up."""
        deadline = time.monotonic() + timeout_s
        while True:
            left = deadline - time.monotonic()
            status = self.status(job, max(min(left, _MAX_WAIT_S), 0))
            if status.outcome is not JobOutcome.STILL_RUNNING or left <= 0:
                return status

    def cancel(self, jobs: typing.Sequence[JobId]) -> list[CancelResult]:
        """Cancel jobs in one call."""
        raw = self._connection.exchange(
            'POST', '/v1/cancel', {'jobs': list(jobs)}, timeout_s=_MAX_WAIT_S
        )
        return msgspec.json.decode(raw, type=_Cancelled).results

    def call(self, live: Live) -> LiveAnswer:
        """Send a live request and return the whole answer.

        A request that is not idempotent is never sent twice.  Raises the
        kind of the refusal or failure; its answer says whether the request
        can have run.
        """
        response = self._connection.send(
            live.method,
            f'/v1/services/{live.service}{live.path}',
            live.body,
            {
                'Cassiahold-Request-Id': live.request_id or uuid.uuid4().hex,
                'Cassiahold-Idempotent': str(live.is_idempotent).lower(),
                'Cassiahold-Deadline-S': f'{live.deadline_s:g}',
            },
            timeout_s=live.deadline_s,
            may_resend=live.is_idempotent,
        )
        target = response.headers.get('Cassiahold-Target', '')
        if response.status >= _FIRST_ERROR and not target:
            raise error_in(response)
        return LiveAnswer(response.status, response.data, target)
