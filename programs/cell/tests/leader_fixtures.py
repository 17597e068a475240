"""Shared fixtures: a leading service with a sender that records requests."""

import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.clients import (
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import CellSettings
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import (
    DataCentre,
    HostName,
    QueueName,
    ServiceName,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.resources import Resources
from cassiahold.workflows.configuration import (
    CellConfiguration,
    QueuePolicy,
    ServicePolicy,
    TeamPolicy,
)
from cassiahold.workflows.model import (
    AttemptKey,
    StepSpec,
    WorkerInfo,
    WorkflowSpec,
)
from cassiahold.workflows.plans import AdvisorQuery
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

CONFIGURATION = CellConfiguration(
    1,
    (
        QueuePolicy(
            QueueName('q'), 'h', '/q/', ServiceName('s'), max_attempts=2
        ),
    ),
    (ServicePolicy(ServiceName('s')),),
    (TeamPolicy(TeamName('t'), ('key',)),),
)
# After this time without a reply every lease of a worker has expired.
LEASE_S = 8
# The same for a worker that drained for as long as its longest lease.
LEAVING_LEASE_S = 3.5
SPEC = WorkflowSpec('payload', (StepSpec(1, Resources(1000, 10)),))


class RecordingSender:
    """A ``RequestSender`` that records the requests."""

    def __init__(self) -> None:
        self.fence_by_worker: dict[WorkerId, int] = {}
        self.starts: list[StartRequest] = []
        self.stops: list[StopRequest] = []
        self.stopped_leading_count = 0
        self.withdrawn_attempts: list[AttemptKey] = []
        self.withdrawn_fences: list[int] = []

    def start_polling(self, worker: WorkerInfo, fence: int) -> None:
        self.fence_by_worker[worker.id] = fence

    def send_start(self, request: StartRequest) -> None:
        self.starts.append(request)

    def withdraw_start(self, attempt: AttemptKey) -> None:
        self.withdrawn_attempts.append(attempt)

    def withdraw_starts(self, fence: int) -> None:
        self.withdrawn_fences.append(fence)

    def send_stop(self, request: StopRequest) -> None:
        self.stops.append(request)

    def stop_leading(self) -> None:
        self.stopped_leading_count += 1

    def query_advisor(self, query: AdvisorQuery) -> None:
        raise AssertionError('no queue has an advisor')


class LeaderFixture:
    """A leading service; commands that it proposes are applied at once."""

    def __init__(self) -> None:
        self.sender = RecordingSender()
        settings = CellSettings(HostName('a'), DataCentre('z'), 'a:1', ())
        self.service = CellService(settings, self.sender, NullMetrics())
        self.term = 0
        self.start_next_term()

    def start_next_term(self) -> None:
        self.service.stop_leading()
        self.term += 1
        self.service.start_leading(self.term, boottime_s())

    def handle(self, request: typing.Any) -> typing.Any:
        reply = self.service.handle_request(request, boottime_s())
        if isinstance(reply, Proposal):
            return reply.make_reply(self.service.apply(reply.payload))
        return reply

    def apply_due_commands(self, now: float | None = None) -> None:
        for payload in self.service.due_commands(
            boottime_s() if now is None else now
        ):
            self.service.apply(payload)

    def reply_to_poll(
        self,
        name: str,
        running: tuple[RunningAttempt, ...] = (),
        ended: tuple[EndedAttempt, ...] = (),
        incarnation: int = 1,
    ) -> typing.Any:
        worker = WorkerId(name)
        reply = PollReply(incarnation, 1000, running, ended)
        fence = self.sender.fence_by_worker[worker]
        return self.handle(local.PollDone(worker, fence, reply, boottime_s()))

    def fail_poll(self, name: str) -> None:
        """Let a poll get no reply, whatever ended its connection."""
        worker = WorkerId(name)
        fence = self.sender.fence_by_worker[worker]
        self.handle(local.PollDone(worker, fence, None, boottime_s()))

    def reply_to_poll_at(
        self,
        name: str,
        now: float,
        incarnation: int = 1,
        running: tuple[RunningAttempt, ...] = (),
    ) -> None:
        """Let a worker reply at a later time, mostly that it runs nothing."""
        worker = WorkerId(name)
        fence = self.sender.fence_by_worker[worker]
        reply = PollReply(incarnation, 1000, running, ())
        self.service.handle_request(
            local.PollDone(worker, fence, reply, now), now
        )

    def send_heartbeat(
        self,
        name: str,
        incarnation: int = 1,
        sequence: int = 1,
        *,
        is_draining: bool = False,
    ) -> None:
        info = WorkerInfo(
            WorkerId(name),
            incarnation,
            f'{name}:1',
            's',
            DataCentre('z'),
            Resources(2000, 100),
            is_draining=is_draining,
        )
        self.handle(requests.WorkerBeat(info, sequence))

    def job_state(self, path: str) -> typing.Any:
        return self.handle(requests.GetWork('h', path, 'key')).state


def make_leader(*names: str) -> LeaderFixture:
    leader = LeaderFixture()
    leader.handle(requests.PutCellConfiguration(CONFIGURATION, b'source'))
    for name in names:
        leader.send_heartbeat(name)
        leader.reply_to_poll(name)
    return leader


def submit(leader: LeaderFixture, path: str, key: str = 'key') -> None:
    leader.handle(requests.SubmitWork('h', path, key, SPEC))
    leader.apply_due_commands()


def confirm(leader: LeaderFixture, start: StartRequest) -> None:
    leader.handle(
        local.StartDone(
            start.worker.id,
            start.fence,
            start.attempt,
            WorkerReply(ReplyStatus.DONE, 1000),
        )
    )


def crash_evidence(leader: LeaderFixture, start: StartRequest) -> int:
    """Return the sum of the evidence against the only task of a job."""
    (task,) = (
        leader.service.state.job_by_id[start.attempt.task.step.job]
        .steps_by_occurrence[0][0]
        .tasks
    )
    return task.suspect_score


def expire_lease(leader: LeaderFixture) -> None:
    leader.apply_due_commands(boottime_s() + LEASE_S)
    assert WorkerId('w') not in leader.service.state.worker_by_id


def start_on_lost_worker(leader: LeaderFixture) -> StartRequest:
    """Start a task on ``w``, of which nothing is heard until its lease ends."""
    submit(leader, '/q/1')
    start = leader.sender.starts[-1]
    confirm(leader, start)
    expire_lease(leader)
    return start


def return_as(leader: LeaderFixture, incarnation: int) -> None:
    leader.send_heartbeat('w', incarnation=incarnation)
    leader.reply_to_poll('w', incarnation=incarnation)
