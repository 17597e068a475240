"""Tests of the scheduler service as leader, with a simulated clock."""

import contextlib
import pathlib
import typing
from unittest import mock

from cassiahold.agreement.replica import DeferredReply, Proposal
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
from cassiahold.core.exceptions import ErrorKind
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
from cassiahold.core.states import (
    AttemptOutcome,
    CommandKind,
    JobKind,
    JobOutcome,
)
from cassiahold.core.testing import expect_error, function_tests
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
        result = self.service.handle_request(request, self.now)
        if isinstance(result, Proposal):
            reply = result.make_reply(self.service.apply(result.payload))
            if isinstance(reply, DeferredReply):
                self.advance(reply.due_at - self.now)
                return reply.make_reply()
            return reply
        return result

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
        self,
        worker: str = 'w0',
        running: typing.Sequence[messages.RunningAttempt] = (),
        ended: typing.Sequence[messages.EndedAttempt] = (),
        **fields: typing.Any,
    ) -> messages.WorkerReportReply:
        self.sequence += 1
        return typing.cast(
            messages.WorkerReportReply,
            self.send(
                messages.WorkerReport(
                    **{
                        'worker': WorkerId(worker),
                        'incarnation': 1,
                        'data_centre': CENTRE,
                        'sequence': self.sequence,
                        'capacity': CAPACITY,
                        'running': list(running),
                        'ended': list(ended),
                        **fields,
                    }
                )
            ),
        )

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
    attempt: str, how: AttemptOutcome = AttemptOutcome.DONE
) -> messages.EndedAttempt:
    return messages.EndedAttempt(AttemptId(attempt), how, ran_s=1.0)


def command_kinds(reply: messages.WorkerReportReply) -> list[CommandKind]:
    return [command.command for command in reply.commands]


def test_job_is_placed_started_and_finished() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        reply = driver.report()
        assert command_kinds(reply) == [CommandKind.START]
        attempt = reply.commands[0].attempt
        # The start is repeated until the worker reports the attempt.
        assert command_kinds(driver.report()) == [CommandKind.START]
        assert (
            command_kinds(
                driver.report(running=[running_attempt(attempt, 900)])
            )
            == []
        )
        reply = driver.report(ended=[ended_attempt(attempt)])
        assert reply.confirmed == [attempt]
        assert driver.outcome(job) is JobOutcome.DONE


def test_reply_to_a_result_carries_the_next_start() -> None:
    with running_leader(workers=1) as driver:
        driver.submit(tasks=5)
        driver.advance()
        starts = driver.report().commands
        assert len(starts) == 4
        reply = driver.report(
            running=[running_attempt(start.attempt, 1) for start in starts[1:]],
            ended=[ended_attempt(starts[0].attempt)],
        )
        assert command_kinds(reply) == [CommandKind.START]


def test_silent_worker_is_lost_only_after_its_lease() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(idempotent=False)
        driver.advance()
        driver.report()
        driver.advance(LEASE_BOUND_S - 0.5)
        assert driver.outcome(job) is JobOutcome.STILL_RUNNING
        driver.advance(1.0)
        assert driver.outcome(job) is JobOutcome.MAY_HAVE_RUN


def test_stale_reports_are_refused() -> None:
    with running_leader(workers=1) as driver:
        for fields in (
            {'sequence': 1},
            {'term': 2},
            {'incarnation': 0},
        ):
            expect_error(
                ErrorKind.STALE_TERM,
                lambda fields=fields: driver.report(**fields),
            )


def test_unknown_attempt_is_stopped() -> None:
    with running_leader(workers=1) as driver:
        reply = driver.report(running=[running_attempt('here.9/0/1', 100)])
        assert command_kinds(reply) == [CommandKind.STOP]


def test_attempt_of_a_cancelled_job_is_stopped() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        driver.send(messages.Cancel([job], RED))
        reply = driver.report(running=[running_attempt(attempt, 900)])
        assert command_kinds(reply) == [CommandKind.STOP]
        driver.report(ended=[ended_attempt(attempt, AttemptOutcome.STOPPED)])
        assert driver.outcome(job) is JobOutcome.CANCELLED


def test_overuse_is_throttled_then_checkpointed_then_stopped() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        escalation = [
            command_kinds(
                driver.report(running=[running_attempt(attempt, 9000)])
            )[0]
            for _ in range(8)
        ]
        assert escalation[0] is CommandKind.THROTTLE
        assert CommandKind.CHECKPOINT in escalation
        assert escalation[-1] is CommandKind.STOP


def test_overuse_leaves_less_for_new_tasks() -> None:
    with running_leader(workers=1) as driver:
        driver.submit()
        driver.advance()
        attempt = driver.report().commands[0].attempt
        driver.report(running=[running_attempt(attempt, 3500)])
        driver.submit('b')
        driver.advance()
        reply = driver.report(running=[running_attempt(attempt, 3500)])
        assert CommandKind.START not in command_kinds(reply)


def test_job_that_can_never_run_is_refused_at_once() -> None:
    with running_leader() as driver:
        error = expect_error(
            ErrorKind.NEVER_FITS, lambda: driver.submit(cores=5)
        )
        assert '5 cores' in error.detail
        expect_error(
            ErrorKind.NEVER_FITS,
            lambda: driver.submit(kind=JobKind.GANG, tasks=101),
        )


def test_waiting_job_expires_at_its_deadline() -> None:
    with running_leader(workers=1) as driver:
        driver.report('w0', leaving=True)
        job = driver.submit(deadline_s=2.0)
        driver.advance(3.0)
        assert driver.outcome(job) is JobOutcome.REFUSED


def test_reported_failures_quarantine_a_worker() -> None:
    with running_leader(workers=2) as driver:
        driver.submit('good', name='work')
        driver.advance()
        started = [
            (worker, command.attempt)
            for worker in ('w0', 'w1')
            for command in driver.report(worker).commands
        ]
        healthy_worker, attempt = started[0]
        driver.report(healthy_worker, ended=[ended_attempt(attempt)])
        failing_worker = 'w1' if healthy_worker == 'w0' else 'w0'
        driver.submit('more', tasks=8, name='work')
        driver.advance()
        failure_count = 0
        for _ in range(20):
            reply = driver.report(failing_worker)
            for command in reply.commands:
                failure_count += 1
                driver.report(
                    failing_worker,
                    ended=[
                        ended_attempt(command.attempt, AttemptOutcome.FAILED)
                    ],
                )
            driver.advance()
        status = driver.send(messages.GetStatus())
        state_by_worker = {
            worker.worker: worker.state for worker in status.workers
        }
        assert state_by_worker[WorkerId(failing_worker)] == 'quarantined'
        assert failure_count <= 5


def test_new_leader_keeps_running_attempts() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(tasks=2)
        driver.advance()
        attempts = [start.attempt for start in driver.report().commands]
        driver.service.stop_leading()
        driver.service.start_leading(2, driver.now)
        driver.sequence = 0
        reply = driver.report(
            running=[running_attempt(attempt, 1) for attempt in attempts]
        )
        assert not reply.commands
        assert reply.term == 2
        driver.report(ended=[ended_attempt(attempt) for attempt in attempts])
        assert driver.outcome(job) is JobOutcome.DONE


def test_waiting_reasons_give_task_counts_and_free_resources() -> None:
    with running_leader(workers=1) as driver:
        job = driver.submit(tasks=6)
        driver.advance()
        reasons = driver.send(messages.Why(job, RED)).reasons
        assert reasons[0] == '2 of 6 tasks wait'
        assert any(
            'no worker has 1 cores, 1 GB free' in reason for reason in reasons
        )


def test_job_of_another_team_is_not_found() -> None:
    with running_leader() as driver:
        job = driver.submit()
        expect_error(
            ErrorKind.NOT_FOUND,
            lambda: driver.send(messages.GetJob(job, TeamName('blue'))),
        )


load_tests = function_tests(globals())
