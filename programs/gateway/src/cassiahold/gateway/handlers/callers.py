"""HTTP handlers for callers: jobs and live requests."""

import hashlib
import time
import typing

import msgspec

from cassiahold.cellstate.jobs import JobSpec
from cassiahold.core import tracing
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId, RequestId, TeamName
from cassiahold.core.states import JobOutcome
from cassiahold.gateway.authorization import Authorizer
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
from cassiahold.gateway.scheduler_groups import SchedulerGroups
from cassiahold.wire import messages

MAX_STATUS_WAIT_S: typing.Final = 60.0
MAX_LIVE_DEADLINE_S: typing.Final = 30.0
DEFAULT_LIVE_DEADLINE_S: typing.Final = 10.0
MAX_JOBS_PER_CANCEL: typing.Final = 20_000
MAX_REQUEST_ID_LENGTH: typing.Final = 128  # characters
_ACCEPTED: typing.Final = 202
_CALL_TIMEOUT_S: typing.Final = 5.0
_MIN_POLL_INTERVAL_S: typing.Final = 0.1
_MAX_POLL_INTERVAL_S: typing.Final = 1.0
_RequestIdText = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID_LENGTH)
]


class SubmitBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a submission; a resend must repeat it unchanged."""

    request_id: _RequestIdText
    job: JobSpec


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a cancellation of up to ``MAX_JOBS_PER_CANCEL`` jobs."""

    jobs: typing.Annotated[
        list[JobId], msgspec.Meta(min_length=1, max_length=MAX_JOBS_PER_CANCEL)
    ]


class CallerHandlers:
    """Handles jobs in the scheduler group that owns them, and live requests."""

    def __init__(
        self,
        authorizer: Authorizer,
        scheduler_groups: SchedulerGroups,
        live_service: LiveService,
    ) -> None:
        self._authorizer = authorizer
        self._scheduler_groups = scheduler_groups
        self._live_service = live_service

    def routes(self) -> list[Route]:
        """Return the routes of callers."""
        return [
            route('POST', '/v1/jobs', self.submit_job),
            route('GET', '/v1/jobs/([^/]+)', self.get_status),
            route('GET', '/v1/jobs/([^/]+)/why', self.explain),
            route('POST', '/v1/cancel', self.cancel_jobs),
            route('*', '/v1/services/([^/]+)(/.*)?', self.serve_live),
        ]

    def submit_job(self, request: HttpRequest) -> HttpResponse:
        """Submit a job to the group that owns it, on behalf of its team."""
        body = request.decode_json(SubmitBody)
        queue = self._authorizer.get_queue(body.job.queue)
        team = self._authorizer.authorize_work(
            request.header('Authorization'), queue
        )
        _check_queue_allows(body.job, queue)
        group = self._scheduler_groups.owning_group(team, body.request_id)
        with tracing.span('gateway submit') as traceparent:
            reply = self._scheduler_groups.call(
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

    def get_status(self, request: HttpRequest) -> HttpResponse:
        """Respond with a job's status.

        With ``wait_s`` in the query, wait that long for the job to finish.
        """
        wait_s = request.query_seconds('wait_s', MAX_STATUS_WAIT_S)
        deadline = time.monotonic() + wait_s
        pause_s = _MIN_POLL_INTERVAL_S
        while True:
            status = self._read_status(request)
            remaining_s = deadline - time.monotonic()
            if (
                status.outcome is not JobOutcome.STILL_RUNNING
                or remaining_s <= 0
            ):
                return json_response(status)
            time.sleep(min(pause_s, remaining_s))
            pause_s = min(2 * pause_s, _MAX_POLL_INTERVAL_S)

    def explain(self, request: HttpRequest) -> HttpResponse:
        """Respond with the reasons why a job is waiting."""
        team = self._authorizer.authorize_read(request.header('Authorization'))
        job = JobId(request.path_arguments[0])
        reply = self._scheduler_groups.call(
            self._scheduler_groups.group_of_job(job),
            messages.Why(job, team),
            _CALL_TIMEOUT_S,
        )
        return json_response(reply)

    def cancel_jobs(self, request: HttpRequest) -> HttpResponse:
        """Cancel jobs; respond with one result for each, in order."""
        team = self._authorizer.authorize_change(
            request.header('Authorization')
        )
        body = request.decode_json(CancelBody)
        return json_response(
            messages.CancelResults(
                self._scheduler_groups.cancel_jobs(body.jobs, team)
            )
        )

    def serve_live(self, request: HttpRequest) -> HttpResponse:
        """Send a live request to a target and relay the response.

        Headers give the deadline, the request id, and whether the request
        is idempotent.
        """
        service = self._authorizer.get_service(request.path_arguments[0])
        team = self._authorizer.authorize_work(
            request.header('Authorization'), service
        )
        deadline_s = DEFAULT_LIVE_DEADLINE_S
        if request.header('Cassiahold-Deadline-S'):
            deadline_s = parse_seconds(
                request.header('Cassiahold-Deadline-S'),
                'Cassiahold-Deadline-S',
                MAX_LIVE_DEADLINE_S,
            )
        return self._live_service.serve(
            LiveRequest(
                service.name,  # type: ignore[arg-type]
                team,
                request.method,
                _upstream_path(request),
                request.body(),
                request.header('Content-Type') or 'application/octet-stream',
                request.header('Cassiahold-Request-Id'),
                _is_idempotent(request),
                time.monotonic() + deadline_s,
            ),
            request.header('Authorization'),
            is_forwarded=bool(request.header('Cassiahold-Forwarded')),
        )

    def _read_status(self, request: HttpRequest) -> messages.JobStatus:
        header = request.header('Authorization')
        team: TeamName | None = None
        if header:
            team = self._authorizer.authorize_read(header)
        job = JobId(request.path_arguments[0])
        reply = self._scheduler_groups.call(
            self._scheduler_groups.group_of_job(job),
            messages.GetJob(job, team),
            _CALL_TIMEOUT_S,
        )
        if not isinstance(reply, messages.JobStatus):
            raise CassiaholdError(
                ErrorKind.INTERNAL,
                'the scheduler group sent an unexpected reply',
            )
        if not header and not self._authorizer.get_queue(reply.queue).open:
            # Without a key, only jobs of open queues are visible.
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'job {job!r} does not exist'
            )
        return reply


def _check_queue_allows(spec: JobSpec, queue: typing.Any) -> None:
    if spec.kind not in queue.kinds:
        allowed = ', '.join(kind.value for kind in queue.kinds)
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'queue {queue.name!r} accepts jobs of kind {allowed}, not '
            f'{spec.kind.value}',
        )
    if spec.urgent and not queue.may_be_urgent:
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            f'queue {queue.name!r} accepts no urgent jobs',
        )
    if not (spec.cores or spec.memory_gb or spec.accelerators):
        raise CassiaholdError(
            ErrorKind.BAD_REQUEST,
            'a task must request cores, memory or accelerators',
        )


def _fingerprint(spec: JobSpec) -> str:
    return hashlib.sha256(msgspec.json.encode(spec)).hexdigest()


def _upstream_path(request: HttpRequest) -> str:
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
