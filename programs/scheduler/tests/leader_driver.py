"""A leading scheduler service for tests, with a simulated clock."""

import contextlib
import pathlib
import typing
from unittest import mock

from cassiahold.agreement.deferred_replies import DeferredReply
from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.config import Configuration, Limit, Queue, Team
from cassiahold.core.conf.settings import (
    CellSettings,
    GroupEntry,
    HostEntry,
    HostSettings,
    Settings,
)
from cassiahold.core.ids import (
    AttemptId,
    DataCentre,
    GroupName,
    HostName,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome, CommandKind, JobOutcome
from cassiahold.scheduler.service import SchedulerService
from cassiahold.wire import messages

CENTRE = DataCentre('here')
RED = TeamName('red')
CAPACITY = Resources(4000, 8000, 0)
LEASE_BOUND_S = 10 * 1.02


class LeaderDriver:
    """A leading service whose proposals are committed at once."""

    def __init__(self, workers: int = 2) -> None:
        host = HostEntry(HostName('h'), CENTRE, '127.0.0.1:1', '127.0.0.1:2')
        group = GroupEntry(GroupName('here'), [host.name])
        settings = Settings(
            HostSettings(host.name, '', ''),
            CellSettings('test', [host], [group], group),
            host,
            pathlib.Path(),
        )
        self.service = SchedulerService(CENTRE, settings, NullMetrics())
        self.state = self.service.state
        self.now = 1000.0
        self.sequence = 0
        self.incarnation_by_worker: dict[str, int] = {}
        limit = Limit(cores=100, memory_gb=100)
        self.state.apply_command(
            commands.AdoptConfiguration(
                1,
                Configuration(
                    teams=(Team(name='red', limit=limit),),
                    queues=(Queue(name='jobs', team='red'),),
                ),
            )
        )
        quota = ResourceTotals(Resources(100_000, 100_000), 100)
        self.state.apply_command(
            commands.AdoptQuotaOffer(QuotaOffer(1, {RED: quota}))
        )
        self.service.start_leading(1, self.now)
        for number in range(workers):
            self.report(f'w{number}')

    def send(self, request: typing.Any) -> typing.Any:
        return self.finish(self.service.handle_request(request, self.now))

    def finish(self, result: typing.Any) -> typing.Any:
        """Commit a proposal; return its reply, or that of other requests."""
        if not isinstance(result, Proposal):
            return result
        reply = result.make_reply(self.service.apply(result.payload))
        if isinstance(reply, DeferredReply):
            self.advance(reply.due_at - self.now)
            return reply.make_reply()
        return reply

    def advance(self, seconds: float = 1.0) -> None:
        for _ in range(max(round(seconds * 10), 1)):
            self.now += 0.1
            for payload in self.service.due_commands(self.now):
                self.service.apply(payload)

    def submit(self, request_id: str = 'a', **fields: typing.Any) -> JobId:
        spec = JobSpec(queue='jobs', **fields)
        submitted = self.send(
            messages.Submit(RED, RequestId(request_id), request_id, spec)
        )
        return typing.cast(JobId, submitted.job)

    def report(
        self, worker: str = 'w0', **fields: typing.Any
    ) -> messages.WorkerReportReply:
        return typing.cast(
            messages.WorkerReportReply,
            self.finish(self.handle_report(worker, **fields)),
        )

    def handle_report(
        self, worker: str = 'w0', **fields: typing.Any
    ) -> typing.Any:
        """Return the reply to a report, or its proposal, not committed."""
        self.sequence += 1
        report = {
            'worker': WorkerId(worker),
            'incarnation': self.incarnation_by_worker.get(worker, 1),
            'data_centre': CENTRE,
            'sequence': self.sequence,
            'capacity': CAPACITY,
            **fields,
        }
        return self.service.handle_request(
            messages.WorkerReport(**report), self.now
        )

    def crash(self, worker: str = 'w0') -> messages.WorkerReportReply:
        self.incarnation_by_worker[worker] = (
            self.incarnation_by_worker.get(worker, 1) + 1
        )
        return self.report(worker)

    def change_leader(self, term: int = 2) -> None:
        self.service.stop_leading()
        self.service.start_leading(term, self.now)

    def outcome(self, job: JobId) -> JobOutcome:
        return typing.cast(
            JobOutcome, self.send(messages.GetJob(job, RED)).outcome
        )


@contextlib.contextmanager
def running_leader(workers: int = 2) -> typing.Iterator[LeaderDriver]:
    drivers: list[LeaderDriver] = []

    def clock() -> float:
        return drivers[0].now if drivers else 1000.0

    with (
        mock.patch('time.monotonic', clock),
        mock.patch('time.time', clock),
    ):
        drivers.append(LeaderDriver(workers))
        yield drivers[0]


def running_attempt(attempt: str, cores_m: int) -> messages.RunningAttempt:
    return messages.RunningAttempt(AttemptId(attempt), cores_m, 100)


def ended_attempt(
    attempt: str, outcome: AttemptOutcome = AttemptOutcome.DONE
) -> messages.EndedAttempt:
    return messages.EndedAttempt(AttemptId(attempt), outcome, ran_s=1.0)


def command_kinds(reply: messages.WorkerReportReply) -> list[CommandKind]:
    return [command.command for command in reply.commands]
