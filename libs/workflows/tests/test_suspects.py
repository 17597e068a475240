"""Tests of the placement of tasks that may crash their workers."""

import collections

import msgspec
from state_fixtures import (
    BIG,
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
    worker_info,
)

from cassiahold.core.ids import JobId, ServiceName, TeamName, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.crashes import (
    PROVEN_RUN_S,
    RECENT_START_S,
    CrashEvidence,
)
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext
from cassiahold.workflows.suspects import MAX_GROUP_TASKS, MAX_KEPT_WORKERS

NOW_S = 10.0
HALF = Resources(cores_m=2000, memory_mb=2000)
SMALL = Resources(cores_m=100, memory_mb=10)
PLAN_INTERVAL_S = 0.05
# Work that could run and has waited this long counts as lost.
LOST_AFTER_S = 3.0
LONG_RUNNING_LOST_AFTER_S = 9.0  # since the last run ended


def crash(
    cell: StateFixture,
    job: str,
    *tasks: int,
    evidence: CrashEvidence = CrashEvidence.ONLY_RECENT,
    number: int = 1,
) -> None:
    """Let a worker crash just after the same attempt of some tasks."""
    attempts = [attempt_key(job, 0, task, number) for task in tasks]
    for attempt in attempts:
        assert cell.start((attempt, 'crashed'))
    cell.apply(
        commands.EndAttempts(
            [
                commands.AttemptResult(
                    attempt,
                    WorkerId('crashed'),
                    AttemptOutcome.LOST,
                    crash=evidence,
                )
                for attempt in attempts
            ],
            1.0,
        )
    )


def show_running(
    health: HealthTracker, attempt: AttemptKey, worker: str
) -> None:
    """Record a start as long before ``NOW_S`` as a trial takes."""
    health.record_start(WorkerId(worker), attempt, NOW_S - RECENT_START_S)


def plan_starts(
    cell: StateFixture, health: HealthTracker | None = None, silent: str = ''
) -> list[commands.AttemptStart]:
    usable = frozenset(cell.state.worker_by_id) - {WorkerId('crashed')}
    silent_workers = frozenset(WorkerId(name) for name in silent)
    planner = Planner(
        cell.state, AdvisorReplyCache(), health or HealthTracker()
    )
    groups = planner.plan(
        PlanningContext(usable, NOW_S, NOW_S, silent_workers)
    ).start_groups
    return [start for group in groups for start in group]


def test_suspects_start_on_different_workers() -> None:
    # Best fit had started them together again: one of them ended the others
    # with each worker that returned.
    cell = StateFixture('crashed', 'u', 'v', 'w', 'x')
    for job in ('i', 'j'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    starts = plan_starts(cell)
    assert len({start.worker for start in starts}) == 2


def crash_three_jobs(*, is_loaded: bool) -> StateFixture:
    """Return a cell of ten workers with three suspect tasks."""
    names = [f'w{number}' for number in range(10)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(10, resources=HALF))
    if is_loaded:
        for number, name in enumerate(names):
            cell.start((attempt_key('load', 0, number), name))
    else:
        cell.apply(commands.CancelJob(JobId('load'), 1.0))
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    return cell


def test_few_workers_of_a_loaded_cell_have_a_suspect_at_a_time() -> None:
    # Suspects crashed the workers as fast as they returned.
    cell = crash_three_jobs(is_loaded=True)
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    (start,) = plan_starts(cell, health)
    cell.start((start.attempt, start.worker))
    assert not plan_starts(cell, health)
    show_running(health, start.attempt, start.worker)
    assert len(plan_starts(cell, health)) == 1


def test_suspect_does_not_start_beside_a_task_that_has_just_started() -> None:
    # The other task crashed the worker, and the suspect was blamed again.
    cell = StateFixture('crashed', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), other, NOW_S)
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    cell.submit('later', step_spec(), accepted_at=5.0)
    # The worker is kept free of further tasks meanwhile.
    assert not plan_starts(cell, health)
    settled = HealthTracker()
    show_running(settled, other, 'w')
    (start,) = plan_starts(cell, settled)
    assert start.attempt.task.step.job == 'j'


def test_suspect_does_not_start_on_a_worker_that_may_have_crashed() -> None:
    # A worker with silent connections had crashed, and the suspect was blamed.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    (start,) = plan_starts(cell, silent='v')
    assert start.worker == 'w'
    assert not plan_starts(cell, silent='vw')


def test_suspects_do_not_wait_while_most_of_the_capacity_is_free() -> None:
    starts = plan_starts(crash_three_jobs(is_loaded=False))
    assert len({start.worker for start in starts}) == 3


def test_load_of_one_service_does_not_hold_back_suspects_of_another() -> None:
    # The other service had most of its capacity free, and its suspects waited
    # for the trials of the full one.
    idle_queue = msgspec.structs.replace(
        queue_policy('idle'), service=ServiceName('idle')
    )
    config = configuration(queue_policy(), idle_queue)
    cell = StateFixture('crashed', 'v', 'w', 'x', config=config)
    for name in ('y', 'z'):
        info = msgspec.structs.replace(worker_info(name), service='idle')
        cell.apply(commands.RegisterWorker(info))
    health = HealthTracker()
    cell.submit('load', step_spec(5, resources=HALF))
    for task, worker in enumerate('vvwwx'):
        attempt = attempt_key('load', 0, task)
        cell.start((attempt, worker))
        show_running(health, attempt, worker)
    cell.submit('busy', step_spec())
    crash(cell, 'busy', 0)
    cell.submit('i', step_spec(), queue='idle', accepted_at=1.0)
    cell.start((attempt_key('i', 0, 0), 'crashed'))
    crash_of_idle = commands.AttemptResult(
        attempt_key('i', 0, 0),
        WorkerId('crashed'),
        AttemptOutcome.LOST,
        crash=CrashEvidence.ONLY_RECENT,
    )
    cell.apply(commands.EndAttempts([crash_of_idle], 1.0))
    starts = plan_starts(cell, health)
    assert {start.attempt.task.step.job for start in starts} >= {'busy', 'i'}


def test_suspect_starts_where_the_fewest_tasks_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('sound', step_spec())
    cell.start((attempt_key('sound', 0, 0), 'v'))
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    (start,) = plan_starts(cell)
    assert start.worker == 'w'


def test_other_tasks_avoid_a_worker_with_a_suspect() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    cell.start((attempt_key('j', 0, 0, 2), 'v'))
    cell.submit('sound', step_spec(5))
    workers = [start.worker for start in plan_starts(cell)]
    assert workers == ['w', 'w', 'w', 'w']


def test_suspect_that_has_survived_is_no_danger_to_others() -> None:
    cell = StateFixture('crashed', 'w', 'x')
    cell.submit('j', step_spec())
    crash(cell, 'j', 0)
    attempt = attempt_key('j', 0, 0, 2)
    cell.start((attempt, 'w'))
    cell.submit('sound', step_spec())
    health = HealthTracker()
    assert plan_starts(cell, health)[0].worker == 'x'
    show_running(health, attempt, 'w')
    # Best fit again.
    assert plan_starts(cell, health)[0].worker == 'w'


def test_gang_with_a_suspect_starts_where_the_fewest_tasks_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('sound', step_spec())
    cell.start((attempt_key('sound', 0, 0), 'v'))
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    assert [start.worker for start in plan_starts(cell)] == ['w', 'w']


def crash_often(cell: StateFixture, job: str, crashes: int = 2) -> AttemptKey:
    """Let a task crash its workers; return its next attempt."""
    for number in range(1, crashes + 1):
        attempt = attempt_key(job, 0, 0, number)
        assert cell.start((attempt, 'crashed'))
        result = commands.AttemptResult(
            attempt,
            WorkerId('crashed'),
            AttemptOutcome.LOST,
            crash=CrashEvidence.ONLY_RECENT,
        )
        cell.apply(commands.EndAttempts([result], 1.0))
    return attempt_key(job, 0, 0, crashes + 1)


def start_last(
    cell: StateFixture, health: HealthTracker, job: str, worker: str
) -> None:
    """Start a task that one more crash ends; it survives its trial."""
    attempt = crash_often(cell, job)
    assert cell.start((attempt, worker))
    show_running(health, attempt, worker)


def test_nothing_starts_beside_a_task_that_one_more_crash_ends() -> None:
    # Trials of others crashed its worker: a sound job was given up.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec())
    health = HealthTracker()
    start_last(cell, health, 'j', 'w')
    cell.submit('sound', step_spec(5))
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v'}
    cell.state.restore(cell.state.snapshot())
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v'}
    cell.end(attempt_key('j', 0, 0, 3), 'w', AttemptOutcome.DONE)
    workers = {start.worker for start in plan_starts(cell, health)}
    assert workers == {'v', 'w'}


def test_isolated_tasks_leave_half_of_the_workers_to_others() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    health = HealthTracker()
    for worker in 'uvw':
        cell.submit(f'j-{worker}', step_spec())
        start_last(cell, health, f'j-{worker}', worker)
    cell.submit('sound', step_spec(3))
    assert len({start.worker for start in plan_starts(cell, health)}) == 1


def test_isolated_task_holds_nothing_back_that_fits_nowhere_else() -> None:
    # Work that needs a label waited although the only worker had room.
    cell = StateFixture('crashed', 'v')
    cell.apply(commands.RegisterWorker(worker_info('w', labels=('gpu',))))
    health = HealthTracker()
    cell.submit('j', step_spec())
    start_last(cell, health, 'j', 'w')
    cell.submit('sound', step_spec(required_label='gpu'))
    assert [start.worker for start in plan_starts(cell, health)] == ['w']


def test_long_running_task_is_not_isolated_after_a_long_run() -> None:
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(is_long_running=True))
    attempt = crash_often(cell, 'j')
    assert cell.start((attempt, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), attempt, NOW_S - PROVEN_RUN_S)
    cell.submit('sound', step_spec())
    # Best fit again.
    assert plan_starts(cell, health)[0].worker == 'w'


def test_gang_that_one_more_crash_ends_starts_on_settled_workers() -> None:
    # A task that had just started beside it crashed its worker.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'v'))
    cell.submit('j', step_spec(5, is_gang=True))
    crash_often(cell, 'j')
    assert not plan_starts(cell)
    health = HealthTracker()
    show_running(health, other, 'v')
    assert len(plan_starts(cell, health)) == 5


def test_task_that_has_crashed_often_does_not_wait_for_newer_suspects() -> None:
    # It waited for as long as others were suspected for their first crash.
    cell = StateFixture('crashed', 'w')
    cell.submit('crashing', step_spec())
    crash_often(cell, 'crashing')
    cell.submit('blamed', step_spec(), accepted_at=5.0)
    crash(cell, 'blamed', 0)
    (start,) = plan_starts(cell)
    assert start.attempt.task.step.job == 'crashing'


def test_many_suspects_leave_most_of_a_large_cell_to_other_work() -> None:
    # A pass over a lightly loaded cell ranked its workers for each suspect.
    names = [f'w{number:03}' for number in range(200)]
    cell = StateFixture('crashed', *names)
    for number in range(30):
        cell.submit(f'j{number}', step_spec())
        crash(cell, f'j{number}', 0)
    cell.submit('sound', step_spec(200, resources=BIG), accepted_at=5.0)
    jobs = collections.Counter(
        start.attempt.task.step.job for start in plan_starts(cell)
    )
    assert jobs.pop(JobId('sound')) == 200 - MAX_KEPT_WORKERS
    assert len(jobs) == MAX_KEPT_WORKERS


def test_few_tasks_of_a_step_start_after_one_has_crashed_its_worker() -> None:
    # Each task of a job crashed three workers.
    cell = StateFixture('crashed', 'u', 'v', 'w', 'x')
    cell.submit('j', step_spec(12))
    crash(cell, 'j', 3)
    starts = plan_starts(cell)
    assert {start.attempt.task.task_index for start in starts} == {3, 11}
    assert len({start.worker for start in starts}) == 2
    for start in starts:
        cell.start((start.attempt, start.worker))
    assert not plan_starts(cell)
    # Others stay away from both, since either may crash its worker.
    cell.submit('sound', step_spec())
    (sound_start,) = plan_starts(cell)
    assert sound_start.worker not in {start.worker for start in starts}


def test_step_is_doubted_until_one_of_its_tasks_runs_on() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    crash(cell, 'j', 0)
    health = HealthTracker()
    cell.start((attempt_key('j', 0, 8), 'w'))
    assert len(plan_starts(cell, health)) == 1
    show_running(health, attempt_key('j', 0, 8), 'w')
    assert len(plan_starts(cell, health)) == 8


def test_task_on_a_worker_that_is_down_does_not_clear_its_step() -> None:
    # It had crashed its worker, which had not returned yet.
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    health = HealthTracker()
    for task in (0, 8):
        cell.start((attempt_key('j', 0, task), 'crashed'))
        show_running(health, attempt_key('j', 0, task), 'crashed')
    lost = commands.AttemptResult(
        attempt_key('j', 0, 0),
        WorkerId('crashed'),
        AttemptOutcome.LOST,
        crash=CrashEvidence.ONLY_RECENT,
    )
    cell.apply(commands.EndAttempts([lost], 1.0))
    assert len(plan_starts(cell, health)) == 1


def test_step_is_not_doubted_once_one_of_its_tasks_has_ended_well() -> None:
    cell = StateFixture('crashed', 'u', 'v', 'w')
    cell.submit('j', step_spec(9))
    cell.start((attempt_key('j', 0, 8), 'w'))
    cell.end(attempt_key('j', 0, 8), 'w', AttemptOutcome.DONE)
    crash(cell, 'j', 0)
    assert len(plan_starts(cell)) == 8


def loaded_cell(health: HealthTracker) -> StateFixture:
    """Return a cell of 20 workers half of whose capacity is allocated."""
    names = [f'w{number:02}' for number in range(20)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(20, resources=HALF))
    for number, name in enumerate(names):
        cell.start((attempt_key('load', 0, number), name))
        show_running(health, attempt_key('load', 0, number), name)
    return cell


def test_workers_that_a_team_has_lost_count_against_its_trials() -> None:
    # It crashed further ones as soon as others were noticed.
    health = HealthTracker()
    cell = loaded_cell(health)
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    assert len(plan_starts(cell, health)) == 2
    cell.start((attempt_key('i', 0, 0, 2), 'crashed'))
    show_running(health, attempt_key('i', 0, 0, 2), 'crashed')
    assert len(plan_starts(cell, health)) == 1


def test_suspects_of_one_team_do_not_hold_back_those_of_another() -> None:
    # The one team had every trial.
    health = HealthTracker()
    cell = loaded_cell(health)
    for job in ('i', 'j', 'k'):
        cell.submit(job, step_spec())
        crash(cell, job, 0)
    cell.submit('other', step_spec(), team=TeamName('other'), accepted_at=5.0)
    crash(cell, 'other', 0)
    jobs = [start.attempt.task.step.job for start in plan_starts(cell, health)]
    assert jobs == ['i', 'j', 'other']


def test_tasks_that_a_crash_has_only_blamed_share_a_trial() -> None:
    # Each had a worker of its own for half a second, and most of them waited.
    cell = StateFixture('crashed', 'w')
    jobs = [f'j{number}' for number in range(MAX_GROUP_TASKS + 1)]
    for job in jobs:
        cell.submit(job, step_spec(resources=SMALL))
        crash(cell, job, 0, evidence=CrashEvidence.RECENT)
    starts = plan_starts(cell)
    assert len(starts) == MAX_GROUP_TASKS
    # One that is suspected for a second crash is tried alone.
    crash(cell, jobs[0], 0, evidence=CrashEvidence.RECENT, number=2)
    (start,) = plan_starts(cell)
    assert start.attempt.task.step.job == jobs[0]


def waiting_time_s(cell: StateFixture, job: str, limit_s: float) -> float:
    """Return how long the planner takes to start the last task of a job.

    Every start is confirmed at once and its task runs on; no worker is silent.
    """
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset(cell.state.worker_by_id) - {WorkerId('crashed')}
    steps = int(limit_s / PLAN_INTERVAL_S)
    for passed_s in (step * PLAN_INTERVAL_S for step in range(steps)):
        now = NOW_S + passed_s
        for (start,) in planner.plan(
            PlanningContext(usable, now, now)
        ).start_groups:
            assert cell.start((start.attempt, start.worker))
            health.record_start(start.worker, start.attempt, now)
        tasks = cell.job(job).steps_by_occurrence[0][0].tasks
        if all(task.active_attempt is not None for task in tasks):
            return passed_s
    return limit_s


def crash_many_tasks() -> StateFixture:
    """Return a nearly idle cell and a job whose 20 tasks a crash has ended."""
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(20, resources=SMALL))
    crash(cell, 'j', *range(20))
    return cell


def test_sound_work_does_not_wait_for_seconds_in_an_idle_cell() -> None:
    # Each pass kept every worker free for suspects of the one crash.
    cell = crash_many_tasks()
    cell.submit('sound', step_spec(resources=SMALL), accepted_at=5.0)
    waited_s = waiting_time_s(cell, 'sound', 20.0)
    assert waited_s < LOST_AFTER_S, waited_s


def test_tasks_of_one_crash_do_not_wait_for_seconds_in_an_idle_cell() -> None:
    waited_s = waiting_time_s(crash_many_tasks(), 'j', 20.0)
    assert waited_s < LOST_AFTER_S, waited_s


def test_gang_with_a_suspect_does_not_start_on_a_silent_worker() -> None:
    # As for a single task: the worker may have crashed unnoticed.
    cell = StateFixture('crashed', 'v', 'w')
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    starts = plan_starts(cell, silent='v')
    assert {start.worker for start in starts} == {'w'}, starts
    assert not plan_starts(cell, silent='vw'), 'started on silent workers'


def test_gang_with_a_suspect_does_not_start_beside_a_recent_start() -> None:
    # The crash would be held against the other job as well.
    cell = StateFixture('crashed', 'w')
    cell.submit('other', step_spec())
    other = attempt_key('other', 0, 0)
    cell.start((other, 'w'))
    health = HealthTracker()
    health.record_start(WorkerId('w'), other, NOW_S)
    cell.submit('j', step_spec(2, is_gang=True))
    crash(cell, 'j', 0)
    starts = plan_starts(cell, health)
    assert not starts, starts


def test_trial_that_has_crashed_its_worker_still_counts() -> None:
    # The worker's poll had failed, so it was no longer usable, and the next
    # suspect crashed the next worker within a few passes.
    cell = crash_three_jobs(is_loaded=True)
    health = HealthTracker()
    for worker in cell.state.worker_by_id.values():
        for attempt in worker.resources_by_attempt:
            show_running(health, attempt, worker.info.id)
    (start,) = plan_starts(cell, health)
    cell.start((start.attempt, start.worker))
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset(cell.state.worker_by_id) - {
        WorkerId('crashed'),
        start.worker,
    }
    context = PlanningContext(usable, NOW_S, NOW_S)
    groups = planner.plan(context).start_groups
    assert not groups, groups


def test_suspect_that_cannot_start_does_not_hold_back_the_others() -> None:
    # Urgent work kept starting on the only worker that the first suspect may
    # use; its reservation there counted as the one trial of the service.
    config = configuration(queue_policy(), queue_policy('urgent', -1))
    cell = StateFixture('crashed', 'w', config=config)
    label = worker_info('v', labels=('gpu',))
    cell.apply(commands.RegisterWorker(label))
    health = HealthTracker()
    cell.submit('load', step_spec(2, resources=HALF))
    for task, worker in enumerate('vw'):
        attempt = attempt_key('load', 0, task)
        cell.start((attempt, worker))
        show_running(health, attempt, worker)
    for name, options in (('j', {'required_label': 'gpu'}), ('k', {})):
        cell.submit(name, step_spec(resources=SMALL, **options))
        attempt = attempt_key(name, 0, 0)
        # Both were on a labelled worker that crashed.
        cell.start((attempt, 'crashed'))
        lost = commands.AttemptResult(
            attempt,
            WorkerId('crashed'),
            AttemptOutcome.LOST,
            crash=CrashEvidence.ONLY_RECENT,
        )
        cell.apply(commands.EndAttempts([lost], 1.0))
    planner = Planner(cell.state, AdvisorReplyCache(), health)
    usable = frozenset((WorkerId('v'), WorkerId('w')))
    started: list[str] = []
    for second in range(1, 11):
        for part in range(4):
            now = NOW_S + second + part / 4
            urgent = f'urgent{now}'
            cell.submit(
                urgent,
                step_spec(resources=SMALL, required_label='gpu'),
                queue='urgent',
                accepted_at=now,
            )
            for (start,) in planner.plan(
                PlanningContext(usable, now, now)
            ).start_groups:
                cell.start((start.attempt, start.worker))
                health.record_start(start.worker, start.attempt, now)
                started.append(start.attempt.task.step.job)
            cell.end(attempt_key(urgent, 0, 0), 'v', AttemptOutcome.DONE)
            health.record_outcome(
                WorkerId('v'),
                attempt_key(urgent, 0, 0),
                AttemptOutcome.DONE,
                now,
            )
    assert 'k' in started, started


def test_long_running_tasks_of_one_crash_are_back_soon_in_a_full_cell() -> None:
    # Rule LOST holds for them however full the service is.
    names = [f'w{number}' for number in range(10)]
    cell = StateFixture('crashed', *names)
    cell.submit('load', step_spec(10, resources=HALF))
    for number, name in enumerate(names):
        cell.start((attempt_key('load', 0, number), name))
    step = step_spec(24, resources=SMALL, is_long_running=True)
    cell.submit('j', step)
    crash(cell, 'j', *range(24))
    waited_s = waiting_time_s(cell, 'j', 30.0)
    assert waited_s < LONG_RUNNING_LOST_AFTER_S, waited_s


load_tests = function_tests(globals())
