"""Tests of a scheduler group's leader, its clock paused and moved by hand."""

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
SIZE = Resources(4000, 8000, 0)
LEASE_BOUND_S = 10 * 1.02


class Leader:
    """A leading service whose log is applied at once."""

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
        plenty = ResourceTotals(Resources(100_000, 100_000), 100)
        self.state.apply_command(
            commands.AdoptQuotaOffer(QuotaOffer(1, {RED: plenty}))
        )
        self.service.start_leading(1, self.now)
        for number in range(workers):
            self.report(f'w{number}')

    def ask(self, request: typing.Any) -> typing.Any:
        answer = self.service.handle_request(request, self.now)
        if isinstance(answer, Proposal):
            reply = answer.make_reply(self.service.apply(answer.payload))
            if isinstance(reply, DeferredReply):
                self.work(reply.due_at - self.now)
                return reply.make_reply()
            return reply
        return answer

    def work(self, seconds: float = 1.0) -> None:
        for _ in range(max(round(seconds * 10), 1)):
            self.now += 0.1
            for payload in self.service.due_commands(self.now):
                self.service.apply(payload)

    def submit(self, request: str = 'a', **fields: typing.Any) -> JobId:
        spec = JobSpec(queue='jobs', **fields)
        found = self.ask(
            messages.Submit(RED, RequestId(request), request, spec)
        )
        return typing.cast(JobId, found.job)

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
            self.ask(
                messages.WorkerReport(
                    **{
                        'worker': WorkerId(worker),
                        'incarnation': 1,
                        'data_centre': CENTRE,
                        'sequence': self.sequence,
                        'capacity': SIZE,
                        'running': list(running),
                        'ended': list(ended),
                        **fields,
                    }
                )
            ),
        )

    def outcome(self, job: JobId) -> JobOutcome:
        return typing.cast(
            JobOutcome, self.ask(messages.GetJob(job, RED)).outcome
        )


@contextlib.contextmanager
def leader(workers: int = 2) -> typing.Iterator[Leader]:
    holder: list[Leader] = []

    def clock() -> float:
        return holder[0].now if holder else 1000.0

    with (
        mock.patch('time.monotonic', clock),
        mock.patch('time.time', clock),
    ):
        holder.append(Leader(workers))
        yield holder[0]


def using(attempt: str, cores_m: int) -> messages.RunningAttempt:
    return messages.RunningAttempt(AttemptId(attempt), cores_m, 100)


def ended(
    attempt: str, how: AttemptOutcome = AttemptOutcome.DONE
) -> messages.EndedAttempt:
    return messages.EndedAttempt(AttemptId(attempt), how, ran_s=1.0)


def kinds(orders: messages.WorkerReportReply) -> list[CommandKind]:
    return [command.command for command in orders.commands]


def test_a_job_is_placed_run_and_done() -> None:
    with leader(workers=1) as cell:
        job = cell.submit()
        cell.work()
        orders = cell.report()
        assert kinds(orders) == [CommandKind.START]
        attempt = orders.commands[0].attempt
        # Until the worker confirms, the start is sent again.
        assert kinds(cell.report()) == [CommandKind.START]
        assert kinds(cell.report(running=[using(attempt, 900)])) == []
        orders = cell.report(ended=[ended(attempt)])
        assert orders.confirmed == [attempt]
        assert cell.outcome(job) is JobOutcome.DONE


def test_the_answer_to_an_end_carries_the_next_start() -> None:
    with leader(workers=1) as cell:
        cell.submit(tasks=5)
        cell.work()
        first = cell.report().commands
        assert len(first) == 4
        orders = cell.report(
            running=[using(found.attempt, 1) for found in first[1:]],
            ended=[ended(first[0].attempt)],
        )
        assert kinds(orders) == [CommandKind.START]


def test_a_silent_worker_is_lost_only_after_its_bound() -> None:
    with leader(workers=1) as cell:
        job = cell.submit(idempotent=False)
        cell.work()
        cell.report()
        cell.work(LEASE_BOUND_S - 0.5)
        assert cell.outcome(job) is JobOutcome.STILL_RUNNING
        cell.work(1.0)
        assert cell.outcome(job) is JobOutcome.MAY_HAVE_RUN


def test_stale_reports_are_refused() -> None:
    with leader(workers=1) as cell:
        for fields in (
            {'sequence': 1},
            {'term': 2},
            {'incarnation': 0},
        ):
            expect_error(
                ErrorKind.STALE_TERM,
                lambda fields=fields: cell.report(**fields),
            )


def test_an_attempt_that_nobody_knows_is_stopped() -> None:
    with leader(workers=1) as cell:
        orders = cell.report(running=[using('here.9/0/1', 100)])
        assert kinds(orders) == [CommandKind.STOP]


def test_a_cancelled_task_is_stopped() -> None:
    with leader(workers=1) as cell:
        job = cell.submit()
        cell.work()
        attempt = cell.report().commands[0].attempt
        cell.ask(messages.Cancel([job], RED))
        orders = cell.report(running=[using(attempt, 900)])
        assert kinds(orders) == [CommandKind.STOP]
        cell.report(ended=[ended(attempt, AttemptOutcome.STOPPED)])
        assert cell.outcome(job) is JobOutcome.CANCELLED


def test_over_use_is_throttled_then_checkpointed_then_stopped() -> None:
    with leader(workers=1) as cell:
        cell.submit()
        cell.work()
        attempt = cell.report().commands[0].attempt
        steps = [
            kinds(cell.report(running=[using(attempt, 9000)]))[0]
            for _ in range(8)
        ]
        assert steps[0] is CommandKind.THROTTLE
        assert CommandKind.CHECKPOINT in steps
        assert steps[-1] is CommandKind.STOP


def test_over_use_takes_room_from_new_tasks() -> None:
    with leader(workers=1) as cell:
        cell.submit()
        cell.work()
        attempt = cell.report().commands[0].attempt
        cell.report(running=[using(attempt, 3500)])
        cell.submit('b')
        cell.work()
        orders = cell.report(running=[using(attempt, 3500)])
        assert CommandKind.START not in kinds(orders)


def test_what_can_never_run_is_refused_at_once() -> None:
    with leader() as cell:
        error = expect_error(ErrorKind.NEVER_FITS, lambda: cell.submit(cores=5))
        assert '5 cores' in error.detail
        expect_error(
            ErrorKind.NEVER_FITS,
            lambda: cell.submit(kind=JobKind.GANG, tasks=101),
        )


def test_work_past_its_deadline_was_not_run() -> None:
    with leader(workers=1) as cell:
        cell.report('w0', leaving=True)
        job = cell.submit(deadline_s=2.0)
        cell.work(3.0)
        assert cell.outcome(job) is JobOutcome.REFUSED


def test_a_failing_worker_is_quarantined_through_its_reports() -> None:
    with leader(workers=2) as cell:
        cell.submit('good', name='work')
        cell.work()
        done = [
            (worker, command.attempt)
            for worker in ('w0', 'w1')
            for command in cell.report(worker).commands
        ]
        worker, attempt = done[0]
        cell.report(worker, ended=[ended(attempt)])
        bad = 'w1' if worker == 'w0' else 'w0'
        cell.submit('more', tasks=8, name='work')
        cell.work()
        failed = 0
        for _ in range(20):
            orders = cell.report(bad)
            for command in orders.commands:
                failed += 1
                cell.report(
                    bad, ended=[ended(command.attempt, AttemptOutcome.FAILED)]
                )
            cell.work()
        status = cell.ask(messages.GetStatus())
        states = {found.worker: found.state for found in status.workers}
        assert states[WorkerId(bad)] == 'quarantined'
        assert failed <= 5


def test_a_new_leader_knows_what_runs() -> None:
    with leader(workers=1) as cell:
        job = cell.submit(tasks=2)
        cell.work()
        attempts = [found.attempt for found in cell.report().commands]
        cell.service.stop_leading()
        cell.service.start_leading(2, cell.now)
        cell.sequence = 0
        orders = cell.report(running=[using(found, 1) for found in attempts])
        assert not orders.commands
        assert orders.term == 2
        cell.report(ended=[ended(found) for found in attempts])
        assert cell.outcome(job) is JobOutcome.DONE


def test_reasons_are_given_in_words_and_figures() -> None:
    with leader(workers=1) as cell:
        job = cell.submit(tasks=6)
        cell.work()
        reasons = cell.ask(messages.Why(job, RED)).reasons
        assert reasons[0] == '2 of 6 tasks wait'
        assert any('no worker has 1 cores, 1 GB free' in why for why in reasons)


def test_another_teams_job_is_not_shown() -> None:
    with leader() as cell:
        job = cell.submit()
        expect_error(
            ErrorKind.NOT_FOUND,
            lambda: cell.ask(messages.GetJob(job, TeamName('blue'))),
        )


load_tests = function_tests(globals())
