"""Tests of workers whose capacity shrinks and grows while they run."""

import typing

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from state_fixtures import (
    BIG,
    CORES,
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
    worker_info,
)

from cassiahold.core.ids import JobId, QueueName, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReply, AdvisorReplyCache
from cassiahold.workflows.available_workers import count_fitting
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import Plan, PlanningContext
from cassiahold.workflows.state import WorkflowState

ONLY_CORES = Resources(cores_m=1000)
LITTLE_MEMORY = Resources(cores_m=4000, memory_mb=50)


def report(
    cell: StateFixture,
    name: str,
    capacity: Resources,
    incarnation: int = 1,
    sequence: int | None = None,
) -> typing.Any:
    info = worker_info(name, incarnation, capacity=capacity)
    return cell.apply(commands.RegisterWorker(info, sequence))


def plan(
    cell: StateFixture, advisor_replies: AdvisorReplyCache | None = None
) -> Plan:
    planner = Planner(
        cell.state, advisor_replies or AdvisorReplyCache(), HealthTracker()
    )
    usable = frozenset(cell.state.worker_by_id)
    return planner.plan(PlanningContext(usable, 0.1, 0.1))


def allow_workers(cell: StateFixture, queue: str) -> AdvisorReplyCache:
    """Return a cache with tickets of the first waiting step for all workers."""
    advisor_replies = AdvisorReplyCache()
    key = cell.state.waiting_steps()[0]
    workers = [each.info for each in cell.state.worker_by_id.values()]
    tokens = {info.id: 'token' for info in workers}
    advisor_replies.record_query(key)
    advisor_replies.record_reply(
        key, QueueName(queue), workers, AdvisorReply(tokens, 2.0), 0.0
    )
    return advisor_replies


def test_worker_below_its_allocations_gets_no_start() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(3))
    cell.start((attempt_key('j', 0, 0), 'w'), (attempt_key('j', 0, 1), 'w'))
    report(cell, 'w', CORES)
    assert not plan(cell).start_groups
    assert not cell.start((attempt_key('j', 0, 2), 'w'))
    # One of the two fits again, but leaves nothing for a third.
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.LOST)
    assert not plan(cell).start_groups
    cell.end(attempt_key('j', 0, 1), 'w', AttemptOutcome.LOST)
    assert len(plan(cell).start_groups) == 1


def test_attempts_being_stopped_leave_no_room_on_a_shrunk_worker() -> None:
    cell = StateFixture('w')
    cell.submit('old', step_spec(2))
    cell.submit('new', step_spec(1))
    cell.start((attempt_key('old', 0, 0), 'w'), (attempt_key('old', 0, 1), 'w'))
    report(cell, 'w', CORES + CORES)
    cell.apply(commands.CancelJob(cell.job('old').id, 1.0))
    assert not plan(cell).start_groups
    assert not cell.start((attempt_key('new', 0, 0), 'w'))
    cell.end(attempt_key('old', 0, 0), 'w', AttemptOutcome.STOPPED)
    assert cell.start((attempt_key('new', 0, 0), 'w'))


def test_lack_of_one_resource_counts_for_a_step_that_needs_none() -> None:
    cell = StateFixture('w')
    cell.submit('old', step_spec(1))
    cell.submit('cores', step_spec(1, resources=ONLY_CORES))
    cell.submit('nothing', step_spec(1, resources=NO_RESOURCES))
    cell.start((attempt_key('old', 0, 0), 'w'))
    report(cell, 'w', LITTLE_MEMORY)
    assert not plan(cell).start_groups
    assert not cell.start((attempt_key('cores', 0, 0), 'w'))
    assert not cell.start((attempt_key('nothing', 0, 0), 'w'))
    lacking = cell.state.worker_by_id[WorkerId('w')].free_resources
    assert lacking.memory_mb < 0
    for required in (ONLY_CORES, NO_RESOURCES, CORES):
        assert not count_fitting(required, lacking)


def test_start_decided_on_the_earlier_capacity_is_not_applied() -> None:
    cell = StateFixture('v', 'w')
    cell.submit('j', step_spec(4))
    groups = plan(cell).start_groups
    report(cell, groups[0][0].worker, CORES)
    assert cell.apply(commands.StartAttempts(1, groups)) == 1


def test_gang_does_not_start_partly_after_a_worker_shrinks() -> None:
    cell = StateFixture('v', 'w')
    cell.submit('gang', step_spec(8, is_gang=True))
    groups = plan(cell).start_groups
    assert len(groups) == 1
    report(cell, 'w', BIG - CORES)
    assert not cell.apply(commands.StartAttempts(1, groups))
    assert not plan(cell).start_groups
    report(cell, 'w', BIG)
    assert cell.apply(commands.StartAttempts(1, plan(cell).start_groups)) == 8


def test_waiting_gang_does_not_count_on_capacity_that_is_gone() -> None:
    # The worker lacks memory, of which the gang needs none.
    for has_advisor in (False, True):
        config = configuration(
            queue_policy('gangs', 1, has_advisor=has_advisor),
            queue_policy('small', 2),
        )
        cell = StateFixture('u', 'v', 'w', config=config)
        cell.submit('old', step_spec(5), queue='small')
        for task, worker in enumerate('wuuuu'):
            assert cell.start((attempt_key('old', 0, task), worker))
        gang = step_spec(10, is_gang=True, resources=ONLY_CORES)
        cell.submit('gang', gang, queue='gangs')
        cell.submit('small', step_spec(4), queue='small')
        advisor_replies = allow_workers(cell, 'gangs')
        # With the three cores left on w the gang would have half of its needs.
        assert not plan(cell, advisor_replies).start_groups
        report(cell, 'w', LITTLE_MEMORY)
        groups = plan(cell, advisor_replies).start_groups
        assert [group[0].worker for group in groups] == ['v'] * 4


def test_gang_lets_its_reservation_go_when_its_worker_shrinks() -> None:
    config = configuration(
        queue_policy('gangs', 1, has_advisor=True), queue_policy('small', 2)
    )
    cell = StateFixture('v', 'w', config=config)
    cell.submit('old', step_spec(), queue='small')
    assert cell.start((attempt_key('old', 0, 0), 'v'))
    cell.submit('gang', step_spec(8, is_gang=True), queue='gangs')
    cell.submit('small', step_spec(8), queue='small')
    advisor_replies = allow_workers(cell, 'gangs')
    assert not plan(cell, advisor_replies).start_groups
    report(cell, 'w', NO_RESOURCES)
    groups = plan(cell, advisor_replies).start_groups
    assert [group[0].worker for group in groups] == ['v'] * 3


def test_older_report_of_an_incarnation_does_not_change_a_worker() -> None:
    cell = StateFixture()
    for sequence, capacity in ((3, BIG), (5, CORES)):
        assert report(cell, 'w', capacity, sequence=sequence)
    restored = WorkflowState()
    restored.restore(cell.state.snapshot())
    cell.state = restored
    assert not report(cell, 'w', BIG, sequence=4)
    assert restored.worker_by_id[WorkerId('w')].info.capacity == CORES
    # The counts of a new incarnation start anew.
    assert report(cell, 'w', BIG, incarnation=2, sequence=1)
    assert not report(cell, 'w', CORES, incarnation=1, sequence=6)
    assert report(cell, 'w', CORES, incarnation=2, sequence=2)


def test_newer_sequence_of_an_unchanged_worker_is_kept() -> None:
    cell = StateFixture()
    report(cell, 'w', CORES, sequence=1)
    cell.state.drain_effects()
    assert report(cell, 'w', CORES, sequence=7)
    assert not cell.state.drain_effects()
    assert not report(cell, 'w', BIG, sequence=6)


def test_registration_stored_without_a_sequence_is_still_read() -> None:
    cell = StateFixture()
    registration = msgspec.msgpack.decode(
        commands.encode_command(commands.RegisterWorker(worker_info('w')))
    )
    registration.pop('seq')
    assert cell.state.apply(msgspec.msgpack.encode(registration))
    assert report(cell, 'w', CORES, sequence=2)
    # Written by a leader of the earlier version.
    assert cell.state.apply(msgspec.msgpack.encode(registration))
    assert not report(cell, 'w', CORES, sequence=1)


def test_snapshot_without_sequences_is_still_read() -> None:
    cell = StateFixture('w')
    snapshot = msgspec.msgpack.decode(cell.state.snapshot())
    for registration in snapshot[3]:
        registration.pop('seq')
    restored = WorkflowState()
    restored.restore(msgspec.msgpack.encode(snapshot))
    assert restored.worker_by_id == cell.state.worker_by_id
    cell.state = restored
    assert report(cell, 'w', CORES, sequence=1)


class _Orders:
    """Plays events on one state; keeps the newest report of each worker."""

    def __init__(self) -> None:
        self.cell = StateFixture()
        self.newest_by_worker: dict[str, tuple[int, Resources]] = {}
        self.planned: list[commands.StartAttempts] = []
        for name in ('v', 'w'):
            self.report(name, 1, BIG)
        self.cell.submit('small', step_spec(5))
        self.cell.submit('gang', step_spec(3, is_gang=True))
        self.cell.submit('cores', step_spec(3, resources=ONLY_CORES))

    def report(self, name: str, sequence: int, capacity: Resources) -> None:
        report(self.cell, name, capacity, sequence=sequence)
        newest = self.newest_by_worker.get(name, (0, BIG))
        if sequence > newest[0]:
            self.newest_by_worker[name] = (sequence, capacity)

    def report_new(self, name: str, lag: int, capacity: Resources) -> None:
        # A late report is older than the newest; its sequence is not reused.
        newest, _ = self.newest_by_worker[name]
        sequence = newest - lag if lag else newest + 9
        self.report(name, sequence, capacity)

    def plan(self) -> None:
        groups = plan(self.cell).start_groups
        self.planned.append(commands.StartAttempts(1, groups))

    def start_planned(self) -> None:
        if not self.planned:
            return
        workers = self.cell.state.worker_by_id
        earlier = {key: each.allocated for key, each in workers.items()}
        self.cell.apply(self.planned.pop(0))
        for key, worker in workers.items():
            if worker.allocated != earlier[key]:
                _, capacity = self.newest_by_worker[key]
                assert worker.allocated.fits_in(capacity)
        gang_tasks = self.cell.job('gang').steps_by_occurrence[0][0].tasks
        numbers = {task.last_attempt_number for task in gang_tasks}
        assert len(numbers) == 1

    def end_one(self, name: str) -> None:
        attempts = self.cell.state.worker_by_id[WorkerId(name)]
        for attempt in list(attempts.resources_by_attempt)[:1]:
            self.cell.end(attempt, name, AttemptOutcome.LOST)

    def cancel(self, job: str) -> None:
        self.cell.apply(commands.CancelJob(JobId(job), 1.0))

    def change_leader(self) -> None:
        state = WorkflowState()
        state.restore(self.cell.state.snapshot())
        self.cell.state = state


_NAMES = st.sampled_from(('v', 'w'))
_EVENTS = st.one_of(
    st.tuples(
        st.just('report_new'),
        _NAMES,
        st.sampled_from((0, 0, 1, 8)),
        st.sampled_from((NO_RESOURCES, CORES, LITTLE_MEMORY, BIG)),
    ),
    st.tuples(st.just('plan')),
    st.tuples(st.just('start_planned')),
    st.tuples(st.just('end_one'), _NAMES),
    st.tuples(st.just('cancel'), st.sampled_from(('small', 'gang', 'cores'))),
    st.tuples(st.just('change_leader')),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_EVENTS, max_size=30))
def test_no_order_of_reports_brings_a_worker_over_the_newest(
    events: list[tuple[typing.Any, ...]],
) -> None:
    orders = _Orders()
    for name, *arguments in events:
        getattr(orders, name)(*arguments)
    orders.plan()
    while orders.planned:
        orders.start_planned()


load_tests = function_tests(globals())
