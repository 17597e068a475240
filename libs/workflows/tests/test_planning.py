"""Tests of placement, order and questions under load."""

import time

import msgspec
from state_fixtures import (
    BIG,
    TEAM,
    StateFixture,
    configuration,
    queue,
    run,
    step,
)

from cassiahold.core.ids import QueueName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.advising import Advice, AdviceBook
from cassiahold.workflows.health import HealthBook
from cassiahold.workflows.model import RunEnd
from cassiahold.workflows.planning import Conditions, Plan, Planner


def plan(
    cell: StateFixture,
    advice: AdviceBook | None = None,
    now: float = 0.0,
    unusable: frozenset[WorkerId] = frozenset(),
    health: HealthBook | None = None,
) -> Plan:
    usable = frozenset(cell.state.worker_by_id) - unusable
    planner = Planner(
        cell.state, advice or AdviceBook(), health or HealthBook()
    )
    return planner.plan(Conditions(usable, now, now))


def learn(cell: StateFixture, took_s_by_worker: dict[str, float]) -> None:
    for worker, took_s in took_s_by_worker.items():
        for _ in range(40):
            record = cell.state.worker_by_id[WorkerId(worker)]
            record.speed_estimate.add_sample(1.0, took_s)


def test_a_burst_of_urgent_work_goes_before_older_batch_work() -> None:
    cell = StateFixture(
        'w', config=configuration(queue('batch', 2), queue('live', 0))
    )
    cell.submit('old', step(8), queue='batch', at=0.0)
    cell.submit('new', step(4), queue='live', at=0.5)
    groups = plan(cell, now=0.6).groups
    assert {group[0].run.task.step.job for group in groups} == {'new'}


def test_work_that_can_be_on_time_goes_before_late_work() -> None:
    cell = StateFixture('w')
    cell.submit('late', step(4, expected_s=1.0), at=0.0)
    cell.submit('fresh', step(4, expected_s=1.0), at=4.0)
    groups = plan(cell, now=5.0).groups
    assert {group[0].run.task.step.job for group in groups} == {'fresh'}


def test_no_more_is_placed_than_fits() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step(20))
    groups = plan(cell).groups
    assert len(groups) == 8
    assert {len(group) for group in groups} == {1}


def test_a_gang_starts_whole_or_not_at_all() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('wide', step(9, is_gang=True))
    assert not plan(cell).groups
    cell.submit('fits', step(8, is_gang=True))
    groups = plan(cell).groups
    assert [len(group) for group in groups] == [8]
    assert len({start.run.attempt for start in groups[0]}) == 1


def test_a_limit_of_a_team_is_kept() -> None:
    limit = Resources(cores_m=3500)
    cell = StateFixture('w', 'x', config=configuration(limit=limit))
    cell.submit('j', step(8))
    assert len(plan(cell).groups) == 3
    cell.submit('gang', step(4, is_gang=True), at=-1.0)
    jobs = {group[0].run.task.step.job for group in plan(cell).groups}
    assert jobs == {'j'}


def test_spread_and_labels_are_kept() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step(4, most_per_worker=1))
    workers = [group[0].worker for group in plan(cell).groups]
    assert sorted(workers) == ['w', 'x']
    cell.submit('k', step(needs_label='gpu'), at=-1.0)
    jobs = {group[0].run.task.step.job for group in plan(cell).groups}
    assert 'k' not in jobs


def test_unusable_workers_get_nothing() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step(8))
    groups = plan(cell, unusable=frozenset((WorkerId('w'),))).groups
    assert {group[0].worker for group in groups} == {'x'}


def test_an_advised_step_asks_about_few_workers_then_starts() -> None:
    names = [f'w{number}' for number in range(30)]
    cell = StateFixture(*names, config=configuration(queue(advised=True)))
    cell.submit('j', step(4))
    advice = AdviceBook()
    first = plan(cell, advice)
    assert not first.groups
    (question,) = first.questions
    assert 1 < len(question.workers) < 10
    advice.asked(question.step)
    assert not plan(cell, advice).questions
    allowed = question.workers[0].id
    advice.answered(
        question.step,
        QueueName('plans'),
        question.workers,
        Advice({allowed: 'token'}, 2.0),
        0.0,
    )
    groups = plan(cell, advice, now=0.1).groups
    assert {group[0].worker for group in groups} == {allowed}


def test_a_lapsed_ticket_is_renewed_by_asking_about_allowed_workers() -> None:
    cell = StateFixture('w', 'x', config=configuration(queue(advised=True)))
    cell.submit('j', step(2))
    advice = AdviceBook()
    (question,) = plan(cell, advice).questions
    advice.asked(question.step)
    advice.answered(
        question.step,
        QueueName('plans'),
        question.workers,
        Advice({WorkerId('w'): 'token'}, 2.0),
        0.0,
    )
    later = plan(cell, advice, now=3.0)
    assert not later.groups
    assert [worker.id for worker in later.questions[0].workers] == ['w']


def test_nobody_is_asked_while_there_is_no_room() -> None:
    cell = StateFixture('w', config=configuration(queue(advised=True)))
    cell.submit('j', step(1, resources=BIG + BIG))
    assert not plan(cell).questions


def test_small_work_does_not_starve_a_waiting_gang() -> None:
    settings = configuration(queue('gangs', 1, advised=True), queue('small', 2))
    cell = StateFixture('w', 'x', config=settings)
    cell.submit('gang', step(9, is_gang=True), queue='gangs')
    cell.submit('small', step(8), queue='small')
    advice = AdviceBook()
    key = cell.state.waiting_steps()[0]
    advice.asked(key)
    infos = [each.info for each in cell.state.worker_by_id.values()]
    advice.answered(
        key,
        QueueName('gangs'),
        infos,
        Advice({info.id: 'token' for info in infos}, 2.0),
        0.0,
    )
    assert not plan(cell, advice, now=0.1).groups


def test_only_the_most_urgent_waiting_gang_holds_room_back() -> None:
    settings = configuration(queue('gangs', 1, advised=True), queue('small', 2))
    cell = StateFixture('w', 'x', config=settings)
    cell.submit('first', step(5, is_gang=True), queue='gangs', at=0.0)
    cell.submit('second', step(9, is_gang=True), queue='gangs', at=0.1)
    cell.submit('small', step(8), queue='small', at=0.1)
    advice = AdviceBook()
    first, second, _ = cell.state.waiting_steps()
    infos = [each.info for each in cell.state.worker_by_id.values()]
    for key, allowed in ((first, infos[:1]), (second, infos)):
        advice.asked(key)
        tokens = {info.id: 'token' for info in allowed}
        advice.answered(
            key, QueueName('gangs'), infos, Advice(tokens, 2.0), 0.0
        )
    groups = plan(cell, advice, now=0.1).groups
    assert [group[0].worker for group in groups] == ['x'] * 4


def test_small_work_does_not_starve_a_gang_without_an_advisor() -> None:
    settings = configuration(queue('gangs', 1), queue('small', 2))
    cell = StateFixture('w', 'x', config=settings)
    cell.submit('gang', step(9, is_gang=True), queue='gangs')
    cell.submit('small', step(8), queue='small')
    assert not plan(cell, now=0.1).groups


def test_a_call_names_no_more_workers_than_advisors_take() -> None:
    names = [f'w{number}' for number in range(150)]
    cell = StateFixture(*names, config=configuration(queue(advised=True)))
    cell.submit('gang', step(600, is_gang=True))
    advice = AdviceBook()
    (first,) = plan(cell, advice).questions
    assert len(first.workers) <= 100
    advice.asked(first.step)
    infos = [each.info for each in cell.state.worker_by_id.values()]
    advice.answered(
        first.step,
        QueueName('plans'),
        infos,
        Advice({info.id: 'token' for info in infos}, 0.3),
        0.0,
    )
    (renewal,) = plan(cell, advice, now=5.0).questions
    assert len(renewal.workers) <= 100


def test_a_team_without_room_does_not_hold_back_others() -> None:
    cell = StateFixture('w', config=configuration(limit=Resources(cores_m=1)))
    cell.submit('j', step(4))
    assert not plan(cell).groups
    assert not cell.state.usage_of(TEAM).cores_m


def test_fast_workers_are_left_for_work_with_little_slack() -> None:
    tight = msgspec.structs.replace(queue('tight', 0), slack=1.5)
    loose = msgspec.structs.replace(queue('loose', 2), slack=4.0)
    cell = StateFixture('fast', 'slow', config=configuration(tight, loose))
    cell.submit('batch', step(1), queue='loose')
    cell.submit('live', step(1), queue='tight')
    learn(cell, {'fast': 0.8, 'slow': 2.0})
    groups = plan(cell).groups
    placed = {group[0].run.task.step.job: group[0].worker for group in groups}
    assert placed == {'live': 'fast', 'batch': 'slow'}


def test_workers_of_unknown_speed_are_tried_with_work_that_has_slack() -> None:
    tight = msgspec.structs.replace(queue('tight', 0), slack=1.5)
    loose = msgspec.structs.replace(queue('loose', 2), slack=4.0)
    cell = StateFixture('new', 'known', config=configuration(tight, loose))
    learn(cell, {'known': 1.0})
    cell.submit('batch', step(1), queue='loose')
    cell.submit('live', step(1), queue='tight')
    groups = plan(cell).groups
    placed = {group[0].run.task.step.job: group[0].worker for group in groups}
    assert placed == {'live': 'known', 'batch': 'new'}


def test_a_pass_over_a_full_cell_is_cheap() -> None:
    cell = StateFixture(*(f'w{number}' for number in range(24)))
    for number in range(24):
        cell.submit(f'full{number}', step(1, resources=BIG))
    cell.start(*((run(f'full{n}', 0, 0), f'w{n}') for n in range(24)))
    for number in range(400):
        cell.submit(f'j{number}', step(30))
    planner = Planner(cell.state, AdviceBook(), HealthBook())
    usable = frozenset(cell.state.worker_by_id)
    began = time.process_time()
    for _ in range(10):
        assert not planner.plan(Conditions(usable, 0.0, 0.0)).groups
    # A tenth of a core at fifty passes a second.
    assert (time.process_time() - began) / 10 < 0.1 / 50 * 10


def test_a_pass_costs_little_while_steps_wait_for_advice() -> None:
    names = [f'w{number}' for number in range(175)]
    cell = StateFixture(*names, config=configuration(queue(advised=True)))
    advice = AdviceBook()
    planner = Planner(cell.state, advice, HealthBook())
    for number in range(60):
        cell.submit(f'j{number}', step(20))
    usable = frozenset(cell.state.worker_by_id)
    for question in planner.plan(Conditions(usable, 0.0, 0.0)).questions:
        advice.asked(question.step)
    began = time.process_time()
    for _ in range(20):
        assert not planner.plan(Conditions(usable, 0.0, 0.0)).groups
    # A twentieth of a core at fifty passes a second.
    assert (time.process_time() - began) / 20 < 0.05 / 50


def test_work_short_of_time_takes_the_fastest_worker() -> None:
    cell = StateFixture('fast', 'slow')
    cell.submit('fresh', step(1, expected_s=2.0), at=0.0)
    learn(cell, {'fast': 0.8, 'slow': 1.6})
    early = plan(cell, now=0.1).groups
    assert [group[0].worker for group in early] == ['slow']
    late = plan(cell, now=2.5).groups
    assert [group[0].worker for group in late] == ['fast']


def test_a_retry_keeps_off_the_worker_that_failed_it() -> None:
    cell = StateFixture('bad', 'good')
    cell.submit('j', step(1))
    cell.start((run('j', 0, 0), 'bad'))
    cell.end(run('j', 0, 0), 'bad', RunEnd.FAILED)
    health = HealthBook()
    health.ended(WorkerId('bad'), run('j', 0, 0), RunEnd.FAILED, 0.0)
    groups = plan(cell, health=health, now=0.1).groups
    assert [group[0].worker for group in groups] == ['good']
    only_bad = frozenset((WorkerId('good'),))
    assert not plan(cell, health=health, now=0.1, unusable=only_bad).groups
    assert plan(cell, health=health, now=9.0, unusable=only_bad).groups


load_tests = function_tests(globals())
