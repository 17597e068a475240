"""What callers may ask: jobs and live requests."""

import hashlib
import time
import typing

import msgspec

from cassiahold.cellstate.jobs import JobSpec
from cassiahold.core import tracing
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId, RequestId, TeamName
from cassiahold.core.states import JobOutcome
from cassiahold.gateway.access import Access
from cassiahold.gateway.homes import Homes
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    parse_seconds,
    route,
)
from cassiahold.gateway.live import LiveService
from cassiahold.gateway.proxy import LiveRequest
from cassiahold.wire import messages

MAX_WAIT_S: typing.Final = 60.0
MAX_LIVE_S: typing.Final = 30.0
DEFAULT_LIVE_S: typing.Final = 10.0
MAX_CANCELLED: typing.Final = 20_000
MAX_REQUEST_ID: typing.Final = 128  # characters
_ACCEPTED: typing.Final = 202
_CALL_TIMEOUT_S: typing.Final = 5.0
_FIRST_PAUSE_S: typing.Final = 0.1
_LAST_PAUSE_S: typing.Final = 1.0
_RequestText = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID)
]


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission; a resend must repeat it."""

    request_id: _RequestText
    job: JobSpec


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a cancellation of one job or of thousands."""

    jobs: typing.Annotated[
        list[JobId], msgspec.Meta(min_length=1, max_length=MAX_CANCELLED)
    ]


class CallerHandlers:
    """Routes for callers."""

    def __init__(self, access: Access, homes: Homes, live: LiveService) -> None:
        self._access = access
        self._homes = homes
        self._live = live

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            route('POST', '/v1/jobs', self.submit),
            route('GET', '/v1/jobs/([^/]+)', self.status),
            route('GET', '/v1/jobs/([^/]+)/why', self.why),
            route('POST', '/v1/cancel', self.cancel),
            route('*', '/v1/services/([^/]+)(/.*)?', self.live),
        ]

    def submit(self, request: HttpRequest) -> HttpResponse:
        """Accept a job for the team whose key came with it."""
        body = request.decode(SubmitBody)
        queue = self._access.queue(body.job.queue)
        team = self._access.check_work(request.header('Authorization'), queue)
        _check_queue_allows(body.job, queue)
        group = self._homes.home_of(team, body.request_id)
        with tracing.span('gateway submit') as traceparent:
            reply = self._homes.call(
                group,
                messages.Submit(
                    team,
                    RequestId(body.request_id),
                    _fingerprint(body.job),
                    body.job,
                    traceparent,
                ),
                _CALL_TIMEOUT_S,
                traceparent,
            )
        return json_response(reply, _ACCEPTED)

    def status(self, request: HttpRequest) -> HttpResponse:
        """Return a job's status, after a wait if one is asked for."""
        wait_s = request.query_seconds('wait_s', MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        pause_s = _FIRST_PAUSE_S
        while True:
            status = self._read(request)
            left = deadline - time.monotonic()
            if status.outcome is not JobOutcome.STILL_RUNNING or left <= 0:
                return json_response(status)
            time.sleep(min(pause_s, left))
            pause_s = min(2 * pause_s, _LAST_PAUSE_S)

    def why(self, request: HttpRequest) -> HttpResponse:
        """Say why a job waits."""
        team = self._access.check_read(request.header('Authorization'))
        job = JobId(request.path_arguments[0])
        reply = self._homes.call(
            self._homes.group_of(job),
            messages.Why(job, team),
            _CALL_TIMEOUT_S,
        )
        return json_response(reply)

    def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel jobs; the answer has one result for each."""
        team = self._access.check_change(request.header('Authorization'))
        body = request.decode(CancelBody)
        return json_response(
            messages.CancelResults(self._homes.cancel(body.jobs, team))
        )

    def live(self, request: HttpRequest) -> HttpResponse:
        """Send a live request to a target of the service."""
        service = self._access.service(request.path_arguments[0])
        team = self._access.check_work(request.header('Authorization'), service)
        deadline_s = DEFAULT_LIVE_S
        if request.header('Cassiahold-Deadline-S'):
            deadline_s = parse_seconds(
                request.header('Cassiahold-Deadline-S'),
                'Cassiahold-Deadline-S',
                MAX_LIVE_S,
            )
        return self._live.serve(
            LiveRequest(
                service.name,  # type: ignore[arg-type]
                team,
                request.method,
                _target_path(request),
                request.body(),
                request.header('Content-Type') or 'application/octet-stream',
                request.header('Cassiahold-Request-Id'),
                _is_idempotent(request),
                time.monotonic() + deadline_s,
            ),
            request.header('Authorization'),
            is_forwarded=bool(request.header('Cassiahold-Forwarded')),
        )

    def _read(self, request: HttpRequest) -> messages.JobStatus:
        header = request.header('Authorization')
        team: TeamName | None = None
        if header:
            team = self._access.check_read(header)
        job = JobId(request.path_arguments[0])
        reply = self._homes.call(
            self._homes.group_of(job),
            messages.GetJob(job, team),
            _CALL_TIMEOUT_S,
        )
        if not isinstance(reply, messages.JobStatus):
            raise CassiaholdError(ErrorKind.INTERNAL, 'unexpected reply')
        if not header and not self._access.queue(reply.queue).open:
            # Without a key only work of open queues may be seen.
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return reply


def _check_queue_allows(spec: JobSpec, queue: typing.Any) -> None:
    if spec.kind not in queue.kinds:
        allowed = ', '.join(kind.value for kind in queue.kinds)
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'queue {queue.name!r} takes {allowed}, not {spec.kind.value}',
        )
    if spec.urgent and not queue.may_be_urgent:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST, f'queue {queue.name!r} takes no urgent jobs'
        )
    if not (spec.cores or spec.memory_gb or spec.accelerators):
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST, 'a task must ask for some resources'
        )


def _fingerprint(spec: JobSpec) -> str:
    return hashlib.sha256(msgspec.json.encode(spec)).hexdigest()


def _target_path(request: HttpRequest) -> str:
    path = request.path_arguments[1] or '/'
    return f'{path}?{request.query}' if request.query else path


def _is_idempotent(request: HttpRequest) -> bool:
    text = request.header('Cassiahold-Idempotent').lower()
    if text in {'true', 'false'}:
        return text == 'true'
    if text:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'Cassiahold-Idempotent is {text!r}; expected true or false',
        )
    return request.method in {'GET', 'HEAD'}
