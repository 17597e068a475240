"""Tests of order, placement, gangs, reservations and preemption."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from planner_fixtures import (
    BLUE,
    ONE_CORE,
    RED,
    SIZE,
    end_task,
    new_planner,
    started_jobs,
    submit,
)

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import JobId, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind
from cassiahold.core.testing import function_tests
from cassiahold.policy.capacity_index import grid_level
from cassiahold.policy.planner import Planner
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.shares import Claim, entitlements
from cassiahold.policy.teams import TeamLimits
from cassiahold.policy.worker_pool import PlacementPreference, WorkerPool
from cassiahold.policy.workers import Worker, WorkerState


def test_a_task_is_placed_where_it_fits_tightest() -> None:
    planner = new_planner()
    planner.worker_pool.allocate(
        planner.worker_pool.worker_by_id[WorkerId('w1')],
        'x',
        Resources(2000, 2000),
    )
    submit(planner, 'a')
    assert planner.plan(0.0).start_groups[0][0].worker == 'w1'


def test_overallocating_a_worker_raises_an_invariant_error() -> None:
    planner = new_planner()
    worker = planner.worker_pool.worker_by_id[WorkerId('w0')]
    try:
        planner.worker_pool.allocate(worker, 'x', SIZE + Resources(1))
    except InvariantError as exc:
        assert exc.property_number == 1
    else:
        raise AssertionError('property 1 is not asserted')


def test_teams_get_starts_by_weight() -> None:
    planner = new_planner(workers=6, red=2.0, blue=1.0)
    submit(planner, 'r', 100)
    submit(planner, 'b', 100, BLUE)
    names = started_jobs(planner.plan(0.0))
    assert (names.count('r'), names.count('b')) == (16, 8)


def test_a_team_limit_applies_when_workers_are_free() -> None:
    planner = new_planner()
    planner.limits_by_team[RED] = TeamLimits(1.0, SIZE, 3)
    submit(planner, 'r', 8)
    assert len(started_jobs(planner.plan(0.0))) == 3


def test_a_lowered_limit_stops_the_youngest_tasks() -> None:
    planner = new_planner()
    submit(planner, 'r', 6)
    planner.plan(0.0)
    planner.limits_by_team[RED] = TeamLimits(1.0, SIZE, 4)
    planner.must_check_limits = True
    planner.plan(1.0)
    stopping = [
        task.index for task in planner.task_by_key.values() if task.is_stopping
    ]
    assert stopping == [4, 5]


def test_urgent_work_goes_first_within_its_budget() -> None:
    planner = new_planner(workers=2)
    planner.urgent_budget = 0.25
    submit(planner, 'batch', 20, waiting_since=0.0)
    submit(planner, 'now', 20, BLUE, waiting_since=5.0, is_urgent=True)
    names = started_jobs(planner.plan(10.0))
    assert names[:2] == ['now', 'now']
    assert names.count('batch') >= 3


def test_a_gang_starts_whole_or_not_at_all() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'big', 9, kind=JobKind.GANG)
    assert not planner.plan(0.0).start_groups
    assert planner.worker_pool.allocated_resources() == Resources()
    planner = new_planner(workers=2)
    submit(planner, 'gang', 8, kind=JobKind.GANG)
    assert len(planner.plan(0.0).start_groups[0]) == 8


def test_a_waiting_gang_gets_a_reservation_and_starts() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'small', 8)
    planner.plan(0.0)
    submit(planner, 'gang', 8, BLUE, waiting_since=0.0, kind=JobKind.GANG)
    for index in range(8, 40):
        submit(planner, f'more{index}', 1, waiting_since=1.0)
    planner.plan(11.0)
    assert list(planner.reservations.reservation_by_job) == ['gang']
    for index in range(8):
        end_task(planner, 'small', index)
        assert 'gang' in started_jobs(planner.plan(12.0)) or index < 7
    assert not planner.reservations.reservation_by_job


def test_a_gang_does_not_wait_for_a_reserved_worker_that_is_gone() -> None:
    name = JobId('gang')
    for state in (WorkerState.LOST, WorkerState.DRAINING, None):
        planner = new_planner(workers=3)
        submit(planner, 'small', 12)
        planner.plan(0.0)
        submit(planner, name, 8, BLUE, waiting_since=0.0, kind=JobKind.GANG)
        planner.plan(11.0)
        gone = planner.reservations.reservation_by_job[name].workers[0]
        worker = planner.worker_pool.worker_by_id[gone]
        if state is None:
            planner.worker_pool.remove(gone)
        else:
            worker.state = state
            planner.worker_pool.reindex(worker)
        planner.plan(12.0)
        reserved = planner.reservations.reservation_by_job[name]
        assert gone not in reserved.workers
        assert len(reserved.workers) == 2
        assert worker.reserved_for == '' or state is None


def test_two_gangs_never_have_a_reservation_each() -> None:
    planner = new_planner(workers=2)
    submit(planner, 'small', 8)
    planner.plan(0.0)
    for name in ('g1', 'g2'):
        submit(planner, name, 8, BLUE, kind=JobKind.GANG)
    planner.plan(11.0)
    assert len(planner.reservations.reservation_by_job) == 1


def test_a_short_job_may_backfill_a_reservation() -> None:
    planner = new_planner(workers=1)
    planner.estimator.record_finished_task(RED, 'long', Resources(1, 1), 100.0)
    for _ in range(20):
        planner.estimator.record_finished_task(
            RED, 'long', Resources(1, 1), 100.0
        )
    submit(planner, 'long', 2, name='long')
    planner.plan(0.0)
    submit(planner, 'gang', 4, BLUE, kind=JobKind.GANG)
    planner.plan(11.0)
    submit(planner, 'short', 1, expected_run_s=5.0)
    submit(planner, 'endless', 1, expected_run_s=5000.0)
    assert started_jobs(planner.plan(12.0)) == ['short']


def test_a_large_task_of_a_starved_team_gets_a_reservation() -> None:
    """Regression: small tasks took all capacity that became free."""
    planner = new_planner(workers=2)
    submit(planner, 'small', 8)
    planner.plan(0.0)
    submit(planner, 'large', 1, BLUE, shape=TaskShape(3000, 3000))
    planner.plan(1.0)
    planner.plan(7.0)
    assert list(planner.reservations.reservation_by_job) == ['large']


def test_urgent_work_evicts_the_cheapest_batch_task() -> None:
    planner = new_planner(workers=1)
    submit(planner, 'old', 3, name='x')
    planner.plan(0.0)
    submit(planner, 'young', 1)
    planner.plan(50.0)
    submit(planner, 'now', 1, BLUE, is_urgent=True)
    evictions = planner.plan(60.0).evictions
    assert [task.job for task in evictions[0].victims] == ['young']


def test_tasks_that_are_not_idempotent_are_never_evicted() -> None:
    planner = new_planner(workers=1)
    submit(planner, 'once', 4, is_idempotent=False)
    planner.plan(0.0)
    submit(planner, 'now', 1, BLUE, is_urgent=True)
    assert not planner.plan(60.0).evictions


def test_a_worker_that_is_not_eligible_gets_no_tasks() -> None:
    for state in (
        WorkerState.DRAINING,
        WorkerState.LOST,
        WorkerState.QUARANTINED,
    ):
        planner = new_planner(workers=1)
        worker = planner.worker_pool.worker_by_id[WorkerId('w0')]
        worker.state = state
        planner.worker_pool.reindex(worker)
        submit(planner, 'a')
        assert not planner.plan(0.0).start_groups


def test_the_least_used_rack_is_preferred() -> None:
    pool = WorkerPool()
    for number in range(4):
        pool.add(Worker(WorkerId(f'w{number}'), SIZE, rack=f'r{number % 2}'))
    worker = pool.find_worker(
        ONE_CORE, PlacementPreference(task_count_by_rack={'r0': 1})
    )
    assert worker is not None
    assert worker.rack == 'r1'


def test_worker_classes_are_required_or_avoided() -> None:
    pool = WorkerPool()
    pool.add(Worker(WorkerId('a'), SIZE, 'fast', speed=2.0))
    pool.add(Worker(WorkerId('b'), SIZE, 'slow'))
    fast = pool.find_worker(TaskShape(1000, 1000, worker_class='fast'))
    other = pool.find_worker(TaskShape(1000, 1000, avoid_class='fast'))
    quick = pool.find_worker(ONE_CORE, PlacementPreference(prefers_speed=True))
    assert fast and other and quick
    assert [fast.id, other.id, quick.id] == ['a', 'b', 'a']
    assert pool.find_worker(TaskShape(1000, 1000, worker_class='none')) is None


def test_shapes_larger_than_every_worker_are_detected() -> None:
    pool = new_planner().worker_pool
    assert pool.has_worker_large_enough(TaskShape(4000, 8000))
    assert not pool.has_worker_large_enough(TaskShape(4001, 1))
    assert not pool.has_worker_large_enough(TaskShape(1, 1, accelerators=1))


def test_an_unused_share_goes_to_the_other_teams() -> None:
    claims = {
        TeamName('a'): Claim(1.0, 0.1),
        TeamName('b'): Claim(1.0, 1.0),
        TeamName('c'): Claim(2.0, 1.0),
    }
    split = entitlements(claims)
    assert [round(split[TeamName(team)], 3) for team in 'abc'] == [
        0.1,
        0.3,
        0.6,
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 200_000), st.integers(0, 300_000))))
def test_levels_never_fall(amounts: list[tuple[int, int]]) -> None:
    for first, second in amounts:
        if first <= second:
            assert grid_level(first) <= grid_level(second)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10_000))
def test_the_index_agrees_with_a_plain_scan(seed: int) -> None:
    """Guards against an index that misses workers or returns unfit ones.

    Compares it with a scan of all workers after random allocations.
    """
    generator = random.Random(seed)
    pool = WorkerPool()
    for number in range(20):
        pool.add(Worker(WorkerId(f'w{number}'), SIZE))
    for step in range(60):
        shape = TaskShape(
            generator.choice((100, 900, 2500)), generator.randrange(1, 5000)
        )
        found = pool.find_worker(shape)
        fitting = [
            worker
            for worker in pool.worker_by_id.values()
            if worker.fits(shape)
        ]
        assert found is None or found in fitting
        if found is None:
            assert not fitting
        else:
            pool.allocate(found, str(step), shape.resources)
        if step % 3 == 0:
            for worker in pool.worker_by_id.values():
                if worker.allocation_by_key:
                    pool.release(worker, next(iter(worker.allocation_by_key)))
                    break


def gang_with_a_reservation(workers: int, tasks: int) -> Planner:
    """Return a planner whose workers are all reserved for a gang at 11.0."""
    planner = new_planner(workers)
    submit(planner, 'small', 4 * workers)
    planner.plan(0.0)
    submit(planner, 'gang', tasks, BLUE, waiting_since=0.0, kind=JobKind.GANG)
    planner.plan(11.0)
    assert list(planner.reservations.reservation_by_job) == ['gang']
    return planner


def test_gang_that_fits_no_more_does_not_keep_its_workers() -> None:
    # One of the reserved workers had left; the other one stayed idle.
    planner = gang_with_a_reservation(workers=2, tasks=8)
    planner.worker_pool.remove(WorkerId('w1'))
    for index in range(8):
        end_task(planner, 'small', index)
    submit(planner, 'waiting', 1, waiting_since=12.0)
    names = [
        name
        for now in range(12, 60)
        for name in started_jobs(planner.plan(float(now)))
    ]
    assert names == ['waiting'], names


def test_gang_whose_reserved_workers_drain_reserves_others() -> None:
    # It waited for its reservation to expire, 600 s in all.
    planner = gang_with_a_reservation(workers=1, tasks=4)
    draining = planner.worker_pool.worker_by_id[WorkerId('w0')]
    draining.state = WorkerState.DRAINING
    planner.worker_pool.reindex(draining)
    other = Worker(WorkerId('w9'), SIZE)
    planner.worker_pool.add(other)
    for index in range(3):
        planner.worker_pool.allocate(other, f'x{index}', Resources(1000, 1000))
    assert not started_jobs(planner.plan(12.0))
    assert other.reserved_for == 'gang'
    for index in range(3):
        planner.worker_pool.release(other, f'x{index}')
    assert started_jobs(planner.plan(13.0)) == ['gang'] * 4


def test_reserved_worker_that_was_removed_and_returns_is_reserved_anew() -> (
    None
):
    planner = gang_with_a_reservation(workers=2, tasks=8)
    planner.worker_pool.remove(WorkerId('w1'))
    returned = Worker(WorkerId('w1'), SIZE)
    planner.worker_pool.add(returned)
    planner.plan(12.0)
    assert returned.reserved_for == 'gang'


def test_gang_reserves_no_worker_that_takes_too_few_tasks_at_once() -> None:
    # The worker was idle for 600 s, for the gang never fitted.
    planner = new_planner(workers=1)
    worker = planner.worker_pool.worker_by_id[WorkerId('w0')]
    worker.concurrency_limit = 3
    submit(planner, 'small', 2)
    planner.plan(0.0)
    submit(planner, 'gang', 4, BLUE, kind=JobKind.GANG)
    planner.plan(11.0)
    for index in range(2):
        end_task(planner, 'small', index)
    submit(planner, 'waiting', 1, waiting_since=12.0)
    assert started_jobs(planner.plan(13.0)) == ['waiting']


def test_reserved_worker_is_found_beside_one_of_another_job() -> None:
    # Both were idle and alike; the search took one of them for both.
    planner = new_planner(workers=2)
    first, second = planner.worker_pool.worker_by_id.values()
    for worker, job in ((first, 'a'), (second, 'b')):
        worker.reserved_for = JobId(job)
        planner.worker_pool.reindex(worker)
    found = [
        planner.worker_pool.find_worker(
            ONE_CORE, PlacementPreference(reservation_job=JobId(job))
        )
        for job in ('a', 'b')
    ]
    assert found == [first, second], found


load_tests = function_tests(globals())
