"""Tests of the leader's sessions with workers, without I/O."""

import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.ports import (
    Answer,
    LookOrder,
    OrderReply,
    StartOrder,
    StopOrder,
)
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import CellSettings
from cassiahold.core.clock import steady
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import (
    DataCentre,
    HostName,
    QueueName,
    ServiceName,
    TeamName,
    WorkerId,
)
from cassiahold.core.metrics import SilentMetrics
from cassiahold.core.resources import Resources
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.workflows.configuration import (
    CellConfiguration,
    QueuePolicy,
    ServicePolicy,
    TeamPolicy,
)
from cassiahold.workflows.model import (
    JobState,
    RunEnd,
    StepSpec,
    WorkerInfo,
    WorkSpec,
)
from cassiahold.workflows.planning import Question
from cassiahold.workflows.sessions import (
    EndedRow,
    RunningRow,
    WorkerView,
)

CONFIGURATION = CellConfiguration(
    1,
    (QueuePolicy(QueueName('q'), 'h', '/q/', ServiceName('s'), attempts=2),),
    (ServicePolicy(ServiceName('s')),),
    (TeamPolicy(TeamName('t'), ('key',)),),
)
SPEC = WorkSpec('payload', (StepSpec(1, Resources(1000, 10)),))


class Recorder:
    """An outlet that keeps the orders."""

    def __init__(self) -> None:
        self.fence_by_worker: dict[WorkerId, int] = {}
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []

    def start_polling(self, worker: WorkerInfo, fence: int) -> None:
        self.fence_by_worker[worker.id] = fence

    def send_start(self, request: StartOrder) -> None:
        self.starts.append(request)

    def send_stop(self, request: StopOrder) -> None:
        self.stops.append(request)

    def query_advisor(self, query: Question) -> None:
        raise AssertionError('no queue has an advisor')


class Leader:
    """A service that leads alone: what it proposes is applied at once."""

    def __init__(self) -> None:
        self.outlet = Recorder()
        settings = CellSettings(HostName('a'), DataCentre('z'), 'a:1', ())
        self.service = CellService(settings, self.outlet, SilentMetrics())
        self.term = 0
        self.lead()

    def lead(self) -> None:
        self.service.follow()
        self.term += 1
        self.service.lead(self.term, steady())

    def ask(self, request: typing.Any) -> typing.Any:
        reply = self.service.handle(request, steady())
        if isinstance(reply, Proposal):
            return reply.reply(self.service.apply(reply.payload))
        return reply

    def work(self, now: float | None = None) -> None:
        for payload in self.service.work(steady() if now is None else now):
            self.service.apply(payload)

    def look(
        self,
        name: str,
        running: tuple[RunningRow, ...] = (),
        ended: tuple[EndedRow, ...] = (),
        born: int = 1,
    ) -> typing.Any:
        worker = WorkerId(name)
        view = WorkerView(born, 1000, running, ended)
        fence = self.outlet.fence_by_worker[worker]
        return self.ask(local.PollDone(worker, fence, view, steady()))

    def beat(self, name: str, born: int = 1, sequence: int = 1) -> None:
        info = WorkerInfo(
            WorkerId(name),
            born,
            f'{name}:1',
            's',
            DataCentre('z'),
            Resources(2000, 100),
        )
        self.ask(requests.WorkerBeat(info, sequence))

    def state(self, path: str) -> typing.Any:
        return self.ask(requests.GetWork('h', path, 'key')).state


def leader(*names: str) -> Leader:
    made = Leader()
    made.ask(requests.PutCellConfiguration(CONFIGURATION, b'source'))
    for name in names:
        made.beat(name)
        made.look(name)
    return made


def submit(made: Leader, path: str, key: str = 'key') -> None:
    made.ask(requests.SubmitWork('h', path, key, SPEC))
    made.work()


def test_a_job_is_started_ended_and_shown_complete() -> None:
    made = leader('w')
    submit(made, '/q/1')
    (start,) = made.outlet.starts
    assert made.state('/q/1') is JobState.ACTIVE
    order = made.look('w', ended=(EndedRow(4, start.run, RunEnd.DONE, ''),))
    assert isinstance(order, LookOrder)
    # Only an end that is stored may be forgotten by the worker.
    assert order.last_seen == 4
    assert made.state('/q/1') is JobState.COMPLETE


def test_a_new_leader_starts_nothing_before_a_look_under_its_fence() -> None:
    made = leader('w')
    before = made.outlet.fence_by_worker[WorkerId('w')]
    made.lead()
    assert made.outlet.fence_by_worker[WorkerId('w')] > before
    submit(made, '/q/1')
    assert not made.outlet.starts
    made.look('w')
    made.work()
    made.work(steady() + 1)
    assert len(made.outlet.starts) == 1


def test_a_start_that_never_arrived_is_given_again_by_a_new_leader() -> None:
    made = leader('w')
    submit(made, '/q/1')
    made.lead()
    made.look('w')
    made.work(steady() + 1)
    assert [start.run.attempt for start in made.outlet.starts] == [1, 2]


def test_a_run_that_a_reborn_worker_took_over_goes_on() -> None:
    made = leader('w')
    submit(made, '/q/1')
    (start,) = made.outlet.starts
    made.beat('w', born=2)
    made.look('w', running=(RunningRow(start.run, '', 5),), born=2)
    made.work(steady() + 1)
    assert len(made.outlet.starts) == 1
    assert not made.outlet.stops


def test_a_heartbeat_from_before_a_crash_changes_nothing() -> None:
    made = leader('w')
    made.beat('w', born=5)
    fence = made.outlet.fence_by_worker[WorkerId('w')]
    made.beat('w', born=1, sequence=99)
    assert made.outlet.fence_by_worker[WorkerId('w')] == fence


def test_an_unanswered_start_is_stopped_until_that_is_confirmed() -> None:
    made = leader('w')
    submit(made, '/q/1')
    (start,) = made.outlet.starts
    made.ask(local.StartDone(WorkerId('w'), start.fence, start.run, None))
    made.ask(local.StopDone(WorkerId('w'), start.fence, start.run, None))
    made.look('w')
    assert len(made.outlet.stops) == 2
    reply = OrderReply(Answer.DONE)
    made.ask(local.StopDone(WorkerId('w'), start.fence, start.run, reply))
    made.look('w')
    made.work(steady() + 1)
    assert [each.run.attempt for each in made.outlet.starts] == [1, 2]


def test_a_cancelled_job_is_stopped() -> None:
    made = leader('w')
    submit(made, '/q/1')
    made.ask(requests.CancelWork('h', '/q/1', 'key'))
    assert [stop.run.task.step.job for stop in made.outlet.stops] == ['1']
    assert made.state('/q/1') is JobState.CANCELLED


def test_a_silent_worker_is_given_up_only_after_its_lease() -> None:
    made = leader('w')
    submit(made, '/q/1')
    now = steady()
    made.work(now + 4)
    assert WorkerId('w') in made.service.state.worker_by_id
    made.work(now + 8)
    assert WorkerId('w') not in made.service.state.worker_by_id


def test_a_worker_whose_address_another_one_holds_gets_no_more_work() -> None:
    made = leader('w')
    submit(made, '/q/1')
    (start,) = made.outlet.starts
    gone = OrderReply(Answer.GONE)
    made.ask(local.StartDone(WorkerId('w'), start.fence, start.run, gone))
    made.work(steady() + 1)
    assert len(made.outlet.starts) == 1
    assert WorkerId('w') not in made.service.state.worker_by_id


def test_keys_and_places_are_checked_by_the_version_in_force() -> None:
    made = leader('w')
    expect_error(ErrorKind.UNKNOWN_KEY, lambda: submit(made, '/q/1', 'none'))
    expect_error(ErrorKind.NOT_FOUND, lambda: submit(made, '/none/1'))
    expect_error(ErrorKind.JOB_UNKNOWN, lambda: made.state('/q/9'))
    without = CellConfiguration(2, CONFIGURATION.queues, CONFIGURATION.services)
    made.ask(requests.PutCellConfiguration(without, b'second'))
    expect_error(ErrorKind.UNKNOWN_KEY, lambda: submit(made, '/q/1'))
    # A lower version is acknowledged and changes nothing.
    made.ask(requests.PutCellConfiguration(CONFIGURATION, b'source'))
    source = made.ask(requests.GetCellConfiguration()).source
    assert source == b'second'


load_tests = function_tests(globals())
