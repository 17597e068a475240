"""Tests of placement, order and advisor queries in planning passes."""

import time

import msgspec
from state_fixtures import (
    BIG,
    QUEUE,
    TEAM,
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
)

from cassiahold.core.ids import JobId, QueueName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReply, AdvisorReplyCache
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import Plan, PlanningContext

VALIDITY_S = 9.0


def plan(
    cell: StateFixture,
    advisor_replies: AdvisorReplyCache | None = None,
    now: float = 0.0,
    unusable_workers: frozenset[WorkerId] = frozenset(),
    health: HealthTracker | None = None,
) -> Plan:
    usable = frozenset(cell.state.worker_by_id) - unusable_workers
    planner = Planner(
        cell.state,
        advisor_replies or AdvisorReplyCache(),
        health or HealthTracker(),
    )
    return planner.plan(PlanningContext(usable, now, now))


def add_speed_samples(
    cell: StateFixture, duration_s_by_worker: dict[str, float]
) -> None:
    for worker, duration_s in duration_s_by_worker.items():
        for _ in range(40):
            record = cell.state.worker_by_id[WorkerId(worker)]
            record.speed_estimate.add_sample(1.0, duration_s)


def test_urgent_burst_is_placed_before_older_batch_work() -> None:
    cell = StateFixture(
        'w',
        config=configuration(queue_policy('batch', 2), queue_policy('live', 0)),
    )
    cell.submit('old', step_spec(8), queue='batch', accepted_at=0.0)
    cell.submit('new', step_spec(4), queue='live', accepted_at=0.5)
    groups = plan(cell, now=0.6).start_groups
    assert {group[0].attempt.task.step.job for group in groups} == {'new'}


def test_job_that_can_be_on_time_is_placed_before_late_one() -> None:
    cell = StateFixture('w')
    cell.submit('late', step_spec(4, expected_s=1.0), accepted_at=0.0)
    cell.submit('fresh', step_spec(4, expected_s=1.0), accepted_at=4.0)
    groups = plan(cell, now=5.0).start_groups
    assert {group[0].attempt.task.step.job for group in groups} == {'fresh'}


def test_no_more_tasks_start_than_fit() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(20))
    groups = plan(cell).start_groups
    assert len(groups) == 8
    assert {len(group) for group in groups} == {1}


def test_gang_starts_as_a_whole_or_not_at_all() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('wide', step_spec(9, is_gang=True))
    assert not plan(cell).start_groups
    cell.submit('fits', step_spec(8, is_gang=True))
    groups = plan(cell).start_groups
    assert [len(group) for group in groups] == [8]
    assert len({start.attempt.attempt_number for start in groups[0]}) == 1


def test_team_limit_is_not_exceeded() -> None:
    limit = Resources(cores_m=3500)
    cell = StateFixture('w', 'x', config=configuration(limit=limit))
    cell.submit('j', step_spec(8))
    assert len(plan(cell).start_groups) == 3
    cell.submit('gang', step_spec(4, is_gang=True), accepted_at=-1.0)
    jobs = {group[0].attempt.task.step.job for group in plan(cell).start_groups}
    assert jobs == {'j'}


def test_task_spread_and_required_label_are_respected() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(4, max_tasks_per_worker=1))
    workers = [group[0].worker for group in plan(cell).start_groups]
    assert sorted(workers) == ['w', 'x']
    cell.submit('k', step_spec(required_label='gpu'), accepted_at=-1.0)
    jobs = {group[0].attempt.task.step.job for group in plan(cell).start_groups}
    assert 'k' not in jobs


def test_unusable_workers_get_no_tasks() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(8))
    groups = plan(
        cell, unusable_workers=frozenset((WorkerId('w'),))
    ).start_groups
    assert {group[0].worker for group in groups} == {'x'}


def test_step_with_advisor_queries_few_workers_then_starts() -> None:
    names = [f'w{number}' for number in range(30)]
    cell = StateFixture(
        *names, config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('j', step_spec(4))
    advisor_replies = AdvisorReplyCache()
    first_plan = plan(cell, advisor_replies)
    assert not first_plan.start_groups
    (query,) = first_plan.advisor_queries
    assert 1 < len(query.workers) < 10
    advisor_replies.record_query(query.step)
    assert not plan(cell, advisor_replies).advisor_queries
    allowed = query.workers[0].id
    advisor_replies.record_reply(
        query.step,
        QueueName('plans'),
        query.workers,
        AdvisorReply({allowed: 'token'}, 2.0),
        0.0,
    )
    groups = plan(cell, advisor_replies, now=0.1).start_groups
    assert {group[0].worker for group in groups} == {allowed}


def test_expired_ticket_is_renewed_by_querying_allowed_workers() -> None:
    cell = StateFixture(
        'w', 'x', config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('j', step_spec(2))
    advisor_replies = AdvisorReplyCache()
    (query,) = plan(cell, advisor_replies).advisor_queries
    advisor_replies.record_query(query.step)
    advisor_replies.record_reply(
        query.step,
        QueueName('plans'),
        query.workers,
        AdvisorReply({WorkerId('w'): 'token'}, 2.0),
        0.0,
    )
    second_plan = plan(cell, advisor_replies, now=3.0)
    assert not second_plan.start_groups
    assert [worker.id for worker in second_plan.advisor_queries[0].workers] == [
        'w'
    ]


def test_no_query_is_sent_without_free_resources() -> None:
    cell = StateFixture(
        'w', config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('j', step_spec(1, resources=BIG + BIG))
    assert not plan(cell).advisor_queries


def occupy_core(cell: StateFixture, worker: str) -> None:
    cell.submit('old', step_spec(), queue='small')
    assert cell.start((attempt_key('old', 0, 0), worker))


def test_small_tasks_do_not_starve_a_waiting_gang() -> None:
    config = configuration(
        queue_policy('gangs', 1, has_advisor=True), queue_policy('small', 2)
    )
    cell = StateFixture('w', 'x', config=config)
    occupy_core(cell, 'w')
    cell.submit('gang', step_spec(8, is_gang=True), queue='gangs')
    cell.submit('small', step_spec(8), queue='small')
    advisor_replies = AdvisorReplyCache()
    key = cell.state.waiting_steps()[0]
    advisor_replies.record_query(key)
    workers = [each.info for each in cell.state.worker_by_id.values()]
    advisor_replies.record_reply(
        key,
        QueueName('gangs'),
        workers,
        AdvisorReply({info.id: 'token' for info in workers}, 2.0),
        0.0,
    )
    assert not plan(cell, advisor_replies, now=0.1).start_groups


def test_only_the_most_urgent_waiting_gang_reserves_resources() -> None:
    config = configuration(
        queue_policy('gangs', 1, has_advisor=True), queue_policy('small', 2)
    )
    cell = StateFixture('w', 'x', config=config)
    occupy_core(cell, 'w')
    cell.submit(
        'first', step_spec(4, is_gang=True), queue='gangs', accepted_at=0.0
    )
    cell.submit(
        'second', step_spec(8, is_gang=True), queue='gangs', accepted_at=0.1
    )
    cell.submit('small', step_spec(8), queue='small', accepted_at=0.1)
    advisor_replies = AdvisorReplyCache()
    first_step, second_step, _ = cell.state.waiting_steps()
    workers = [each.info for each in cell.state.worker_by_id.values()]
    for key, allowed in ((first_step, workers[:1]), (second_step, workers)):
        advisor_replies.record_query(key)
        tokens = {info.id: 'token' for info in allowed}
        advisor_replies.record_reply(
            key, QueueName('gangs'), workers, AdvisorReply(tokens, 2.0), 0.0
        )
    groups = plan(cell, advisor_replies, now=0.1).start_groups
    assert [group[0].worker for group in groups] == ['x'] * 4


def test_small_tasks_do_not_starve_a_gang_without_an_advisor() -> None:
    config = configuration(queue_policy('gangs', 1), queue_policy('small', 2))
    cell = StateFixture('w', 'x', config=config)
    occupy_core(cell, 'w')
    cell.submit('gang', step_spec(8, is_gang=True), queue='gangs')
    cell.submit('small', step_spec(8), queue='small')
    assert not plan(cell, now=0.1).start_groups


def test_gang_that_can_never_fit_reserves_nothing() -> None:
    # It kept the workers free for itself, and less urgent work did not run.
    two_cores = Resources(2000, 200)
    for gang in (
        step_spec(9, is_gang=True),
        step_spec(3, is_gang=True, max_tasks_per_worker=1, resources=two_cores),
    ):
        cell = StateFixture('w', 'x')
        cell.submit('gang', gang)
        cell.submit('small', step_spec(8), accepted_at=0.5)
        assert len(plan(cell, now=0.6).start_groups) == 8


def test_gang_that_waits_for_long_running_tasks_reserves_nothing() -> None:
    # It kept the other workers idle for good.
    for is_cancelled in (False, True):
        cell = StateFixture('w', 'x')
        cell.submit('service', step_spec(1, is_long_running=True))
        cell.start((attempt_key('service', 0, 0), 'w'))
        cell.submit('gang', step_spec(8, is_gang=True))
        cell.submit('small', step_spec(2), accepted_at=0.5)
        if is_cancelled:
            # Its room becomes free.
            cell.apply(commands.CancelJob(JobId('service'), 0.5))
        starts = plan(cell, now=0.6).start_groups
        assert len(starts) == (0 if is_cancelled else 2)


def test_gang_without_enough_allowed_workers_reserves_nothing() -> None:
    config = configuration(
        queue_policy('gangs', 1, has_advisor=True), queue_policy('small', 2)
    )
    cell = StateFixture('w', 'x', config=config)
    cell.submit('gang', step_spec(5, is_gang=True), queue='gangs')
    cell.submit('small', step_spec(8), queue='small')
    advisor_replies = AdvisorReplyCache()
    key = cell.state.waiting_steps()[0]
    workers = [each.info for each in cell.state.worker_by_id.values()]
    advisor_replies.record_query(key)
    reply = AdvisorReply({workers[0].id: 'token'}, 2.0)
    advisor_replies.record_reply(key, QueueName('gangs'), workers, reply, 0.0)
    assert len(plan(cell, advisor_replies, now=0.1).start_groups) == 8


def test_gang_that_waits_for_a_worker_that_is_down_reserves_the_others() -> (
    None
):
    cell = StateFixture('w', 'x')
    cell.submit('gang', step_spec(8, is_gang=True))
    cell.submit('small', step_spec(2), accepted_at=0.5)
    unusable = frozenset((WorkerId('x'),))
    assert not plan(cell, now=0.6, unusable_workers=unusable).start_groups


def test_query_has_no_more_workers_than_advisors_accept() -> None:
    names = [f'w{number}' for number in range(150)]
    cell = StateFixture(
        *names, config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('gang', step_spec(600, is_gang=True))
    advisor_replies = AdvisorReplyCache()
    (first_query,) = plan(cell, advisor_replies).advisor_queries
    assert len(first_query.workers) <= 100
    advisor_replies.record_query(first_query.step)
    workers = [each.info for each in cell.state.worker_by_id.values()]
    advisor_replies.record_reply(
        first_query.step,
        QueueName('plans'),
        workers,
        AdvisorReply({info.id: 'token' for info in workers}, 0.3),
        0.0,
    )
    (renewal,) = plan(cell, advisor_replies, now=5.0).advisor_queries
    assert len(renewal.workers) <= 100


def test_team_whose_limit_is_too_small_starts_nothing() -> None:
    cell = StateFixture('w', config=configuration(limit=Resources(cores_m=1)))
    cell.submit('j', step_spec(4))
    assert not plan(cell).start_groups
    assert not cell.state.usage_of(TEAM).cores_m


def test_fast_workers_stay_free_for_work_with_little_slack() -> None:
    tight_queue = msgspec.structs.replace(
        queue_policy('tight', 0), slack_factor=1.5
    )
    loose_queue = msgspec.structs.replace(
        queue_policy('loose', 2), slack_factor=4.0
    )
    cell = StateFixture(
        'fast', 'slow', config=configuration(tight_queue, loose_queue)
    )
    cell.submit('batch', step_spec(1), queue='loose')
    cell.submit('live', step_spec(1), queue='tight')
    add_speed_samples(cell, {'fast': 0.8, 'slow': 2.0})
    groups = plan(cell).start_groups
    placed = {
        group[0].attempt.task.step.job: group[0].worker for group in groups
    }
    assert placed == {'live': 'fast', 'batch': 'slow'}


def test_workers_of_unknown_speed_get_work_with_slack() -> None:
    tight_queue = msgspec.structs.replace(
        queue_policy('tight', 0), slack_factor=1.5
    )
    loose_queue = msgspec.structs.replace(
        queue_policy('loose', 2), slack_factor=4.0
    )
    cell = StateFixture(
        'new', 'known', config=configuration(tight_queue, loose_queue)
    )
    add_speed_samples(cell, {'known': 1.0})
    cell.submit('batch', step_spec(1), queue='loose')
    cell.submit('live', step_spec(1), queue='tight')
    groups = plan(cell).start_groups
    placed = {
        group[0].attempt.task.step.job: group[0].worker for group in groups
    }
    assert placed == {'live': 'known', 'batch': 'new'}


def test_pass_over_a_full_cell_stays_within_its_cpu_budget() -> None:
    cell = StateFixture(*(f'w{number}' for number in range(24)))
    for number in range(24):
        cell.submit(f'full{number}', step_spec(1, resources=BIG))
    cell.start(*((attempt_key(f'full{n}', 0, 0), f'w{n}') for n in range(24)))
    for number in range(400):
        cell.submit(f'j{number}', step_spec(30))
    planner = Planner(cell.state, AdvisorReplyCache(), HealthTracker())
    usable = frozenset(cell.state.worker_by_id)
    started_at = time.process_time()
    for _ in range(10):
        assert not planner.plan(PlanningContext(usable, 0.0, 0.0)).start_groups
    # Budget: a tenth of a core at fifty passes per second.
    assert (time.process_time() - started_at) / 10 < 0.1 / 50 * 10


def test_pass_with_pending_queries_stays_within_its_cpu_budget() -> None:
    names = [f'w{number}' for number in range(175)]
    cell = StateFixture(
        *names, config=configuration(queue_policy(has_advisor=True))
    )
    advisor_replies = AdvisorReplyCache()
    planner = Planner(cell.state, advisor_replies, HealthTracker())
    for number in range(60):
        cell.submit(f'j{number}', step_spec(20))
    usable = frozenset(cell.state.worker_by_id)
    for query in planner.plan(
        PlanningContext(usable, 0.0, 0.0)
    ).advisor_queries:
        advisor_replies.record_query(query.step)
    started_at = time.process_time()
    for _ in range(20):
        assert not planner.plan(PlanningContext(usable, 0.0, 0.0)).start_groups
    # Budget: a twentieth of a core at fifty passes per second.
    assert (time.process_time() - started_at) / 20 < 0.05 / 50


def test_job_short_of_time_gets_the_fastest_worker() -> None:
    cell = StateFixture('fast', 'slow')
    cell.submit('fresh', step_spec(1, expected_s=2.0), accepted_at=0.0)
    add_speed_samples(cell, {'fast': 0.8, 'slow': 1.6})
    early = plan(cell, now=0.1).start_groups
    assert [group[0].worker for group in early] == ['slow']
    late = plan(cell, now=2.5).start_groups
    assert [group[0].worker for group in late] == ['fast']


def test_retry_avoids_the_worker_on_which_it_failed() -> None:
    cell = StateFixture('bad', 'good')
    cell.submit('j', step_spec(1))
    cell.start((attempt_key('j', 0, 0), 'bad'))
    cell.end(attempt_key('j', 0, 0), 'bad', AttemptOutcome.FAILED)
    health = HealthTracker()
    health.record_outcome(
        WorkerId('bad'), attempt_key('j', 0, 0), AttemptOutcome.FAILED, 0.0
    )
    groups = plan(cell, health=health, now=0.1).start_groups
    assert [group[0].worker for group in groups] == ['good']
    unusable = frozenset((WorkerId('good'),))
    assert not plan(
        cell, health=health, now=0.1, unusable_workers=unusable
    ).start_groups
    assert plan(
        cell, health=health, now=9.0, unusable_workers=unusable
    ).start_groups


def fail_task(cell: StateFixture, worker: str) -> HealthTracker:
    """Let the first attempt of the only task of a job fail at time 0."""
    attempt = attempt_key('j', 0, 0)
    cell.start((attempt, worker))
    cell.end(attempt, worker, AttemptOutcome.FAILED)
    health = HealthTracker()
    health.record_outcome(WorkerId(worker), attempt, AttemptOutcome.FAILED, 0.0)
    return health


def test_failed_task_does_not_wait_while_other_workers_have_no_room() -> None:
    cell = StateFixture('bad', 'full')
    cell.submit('other', step_spec(resources=BIG))
    cell.start((attempt_key('other', 0, 0), 'full'))
    cell.submit('j', step_spec())
    health = fail_task(cell, 'bad')
    # Another worker may become free during the pause.
    assert not plan(cell, health=health, now=0.9).start_groups
    groups = plan(cell, health=health, now=1.1).start_groups
    assert [group[0].worker for group in groups] == ['bad']
    cell.end(attempt_key('other', 0, 0), 'full', AttemptOutcome.DONE)
    groups = plan(cell, health=health, now=1.1).start_groups
    assert [group[0].worker for group in groups] == ['full']


def record_advisor_reply(
    cell: StateFixture,
    replies: AdvisorReplyCache,
    token_by_worker: dict[WorkerId, str],
    worker: str,
) -> None:
    step = attempt_key('j', 0, 0).task.step
    replies.record_query(step)
    replies.record_reply(
        step,
        QueueName('plans'),
        [cell.state.worker_by_id[WorkerId(worker)].info],
        AdvisorReply(token_by_worker, VALIDITY_S),
        0.0,
    )


def test_retry_starts_where_it_failed_only_after_a_query_about_others() -> None:
    cell = StateFixture(
        'bad', 'good', config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('j', step_spec())
    health = fail_task(cell, 'bad')
    replies = AdvisorReplyCache()
    record_advisor_reply(cell, replies, {WorkerId('bad'): 'ticket'}, 'bad')
    planned = plan(cell, replies, health=health, now=1.1)
    assert not planned.start_groups
    (query,) = planned.advisor_queries
    assert [info.id for info in query.workers] == ['good']
    record_advisor_reply(cell, replies, {}, 'good')
    groups = plan(cell, replies, health=health, now=1.1).start_groups
    assert [group[0].worker for group in groups] == ['bad']


def test_stalled_gang_does_not_wait_when_it_fits_nowhere_else() -> None:
    cell = StateFixture('v', 'w', 'x')
    cell.submit('j', step_spec(2, resources=BIG, is_gang=True))
    health = HealthTracker()
    for worker in ('v', 'w'):
        health.record_stalled_gang(
            WorkerId(worker), attempt_key('j', 0, 0), 0.0
        )
    assert not plan(cell, health=health, now=0.9).start_groups
    (group,) = plan(cell, health=health, now=1.1).start_groups
    assert len(group) == 2


def test_worker_that_is_not_allowed_any_more_does_not_hold_its_step() -> None:
    # The worker had returned as another kind of machine under its id; it was
    # asked about again and again, and the other worker never.
    cell = StateFixture(
        'w', 'x', config=configuration(queue_policy(has_advisor=True))
    )
    cell.submit('j', step_spec())
    advisor_replies = AdvisorReplyCache()
    asked: list[str] = []
    w = (cell.state.worker_by_id[WorkerId('w')].info,)
    key = attempt_key('j', 0, 0).task.step
    advisor_replies.record_query(key, w)
    advisor_replies.record_reply(
        key, QUEUE, w, AdvisorReply({WorkerId('w'): 'token'}, 2.0), 0.0
    )
    for now in (3.0, 4.0, 5.0):
        for query in plan(cell, advisor_replies, now).advisor_queries:
            asked.extend(worker.id for worker in query.workers)
            advisor_replies.record_query(query.step, query.workers)
            tokens = {WorkerId('x'): 'token'}
            advisor_replies.record_reply(
                query.step,
                query.queue.name,
                query.workers,
                AdvisorReply(tokens, 2.0),
                now,
            )
    assert 'x' in asked, asked


load_tests = function_tests(globals())
