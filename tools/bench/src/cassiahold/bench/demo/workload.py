"""The load of the demo: batch, urgent and gang jobs, and live requests."""

import json
import random
import threading
import time
import typing
import uuid

import msgspec

from cassiahold.bench.demo.event_journal import SubmittedJob
from cassiahold.client import CallerClient, Live
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
)
from cassiahold.core.ids import JobId


class JobStream(msgspec.Struct, frozen=True):
    """Jobs of one team submitted at an interval.

    ``cores`` is per task; the run time varies by 30 % around ``run_s``.
    """

    team: str
    queue: str
    kind: str
    task_count: int
    cores: float
    run_s: float
    interval_s: float
    is_idempotent: bool = True
    is_urgent: bool = False


JOB_STREAMS: typing.Final = (
    JobStream('loans', 'bookings', 'batch', 1, 1, 0.2, 0.2, is_urgent=True),
    JobStream('loans', 'bookings', 'batch', 60, 4, 2.0, 1.0),
    JobStream('claims', 'insurer-claims', 'batch', 60, 4, 2.0, 1.0),
    JobStream('claims', 'insurer-claims', 'batch', 5, 1, 0.5, 1.0, False),
    JobStream('fitting', 'fitting-plans', 'batch', 30, 4, 2.0, 1.0),
    JobStream('drivers', 'routes', 'gang', 40, 2, 1.0, 3.0),
    JobStream('workshop', 'repairs', 'batch', 20, 4, 2.0, 1.0),
    JobStream('families', 'questions', 'batch', 1, 0.5, 0.2, 0.5),
)


class RefusedRequest(msgspec.Struct, frozen=True):
    """A refused or failed request and the error that the caller received."""

    kind: ErrorKind
    execution: ExecutionStatus
    request_id: str
    is_job: bool


class CompletedLiveRequest(msgspec.Struct, frozen=True):
    """A live request that got a response.

    ``is_response_complete`` means status 200 with the request repeated.
    """

    request_id: str
    is_idempotent: bool
    latency_s: float
    is_response_complete: bool


class Workload:
    """Caller threads, each with its own client, and their results."""

    def __init__(
        self,
        gateways: list[str],
        key_by_team: dict[str, str],
        centres: list[str],
    ) -> None:
        self.jobs: list[SubmittedJob] = []
        self.refused_requests: list[RefusedRequest] = []
        self.completed_live_requests: list[CompletedLiveRequest] = []
        self.unknown_live_requests: list[RefusedRequest] = []
        self._gateways = gateways
        self._key_by_team = key_by_team
        self._centres = centres
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, live_caller_count: int) -> None:
        """Start a thread for each job stream and each live caller."""
        for number, stream in enumerate(JOB_STREAMS):
            self._start_thread(self._submit_stream, stream, number)
        for number in range(live_caller_count):
            self._start_thread(self._send_live_requests, number)

    def stop(self) -> None:
        """Stop submitting and wait for the calls in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def open_client(
        self, team: str, first_gateway_index: int = 0
    ) -> CallerClient:
        """Return a new client that tries the given gateway first."""
        gateways = (
            self._gateways[first_gateway_index:]
            + self._gateways[:first_gateway_index]
        )
        return CallerClient(gateways, self._key_by_team.get(team, ''))

    def replace_key(self, team: str, key: str) -> None:
        """Use another key for a team from now on."""
        self._key_by_team[team] = key

    def wait_for_jobs(self, timeout_s: float) -> None:
        """Wait for all jobs, up to a common timeout, and record outcomes."""
        deadline = time.monotonic() + timeout_s
        for job in self.jobs:
            client = self.open_client(job.team)
            remaining_s = max(deadline - time.monotonic(), 0.0)
            status = client.wait(JobId(job.job), remaining_s)
            job.outcome = status.outcome.value
            job.done_task_count = sum(
                count
                for state, count in status.count_by_state.items()
                if state.value == 'done'
            )
            client.close()

    def _start_thread(
        self, target: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _submit_stream(self, stream: JobStream, number: int) -> None:
        client = self.open_client(stream.team, number % len(self._gateways))
        generator = random.Random(number)
        while not self._stop.wait(stream.interval_s):
            self._submit_job(client, stream, generator)

    def _submit_job(
        self, client: CallerClient, stream: JobStream, generator: random.Random
    ) -> None:
        centre = generator.choice(self._centres)
        request_id = f'{centre}:{uuid.uuid4().hex}'
        job = {
            'queue': stream.queue,
            'kind': stream.kind,
            'tasks': stream.task_count,
            'cores': stream.cores,
            'memory_gb': stream.cores * 2,
            'idempotent': stream.is_idempotent,
            'urgent': stream.is_urgent,
            'name': f'{stream.queue}-{stream.task_count}',
            'payload': json.dumps(
                {'run_s': stream.run_s * generator.uniform(0.7, 1.3)}
            ),
        }
        sent_at = time.time()
        try:
            accepted = client.submit(job, request_id)
        except CassiaholdError as exc:
            self.refused_requests.append(
                RefusedRequest(
                    exc.kind, exc.response.execution, request_id, is_job=True
                )
            )
            return
        self.jobs.append(
            SubmittedJob(
                accepted.job,
                stream.team,
                stream.kind,
                stream.task_count,
                stream.cores,
                stream.is_idempotent,
                stream.is_urgent,
                sent_at,
            )
        )

    def _send_live_requests(self, number: int) -> None:
        client = self.open_client('', number % len(self._gateways))
        generator = random.Random(1000 + number)
        while not self._stop.wait(generator.uniform(0.01, 0.05)):
            request_id = uuid.uuid4().hex
            is_idempotent = generator.random() < 0.5
            body = json.dumps({'ask': request_id}).encode()
            started_at = time.monotonic()
            try:
                response = client.call(
                    Live(
                        service='availability',
                        body=body,
                        request_id=request_id,
                        is_idempotent=is_idempotent,
                        deadline_s=5.0,
                    )
                )
            except CassiaholdError as exc:
                refusal = RefusedRequest(
                    exc.kind, exc.response.execution, request_id, is_job=False
                )
                self.refused_requests.append(refusal)
                continue
            is_whole = response.status == 200 and (
                json.loads(response.body)['asked']['ask'] == request_id
            )
            self.completed_live_requests.append(
                CompletedLiveRequest(
                    request_id,
                    is_idempotent,
                    time.monotonic() - started_at,
                    is_whole,
                )
            )
