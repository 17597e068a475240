"""Tests of the replicated state: jobs, workers and configuration."""

from unittest import mock

import msgspec
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

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands, waiting_steps
from cassiahold.workflows.configuration import QueuePolicy
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    StepRecord,
)
from cassiahold.workflows.state import WorkflowState


def test_job_id_is_accepted_only_once() -> None:
    cell = StateFixture('w')
    assert cell.submit('j', step_spec(2)).is_first
    assert not cell.submit('j', step_spec(2)).is_first
    assert len(cell.state.job_by_id) == 1
    assert cell.state.count_unstarted_jobs(cell.job('j').place) == 1


def test_command_looks_once_at_the_tasks_of_each_step() -> None:
    # Each attempt looked at all tasks of its step, so that a large job took
    # the leader longer than its lease.
    cell = StateFixture('w')
    cell.submit('j', step_spec(4), step_spec(4))
    attempts = [
        attempt_key('j', step, task) for step in (0, 1) for task in (0, 1)
    ]
    with mock.patch.object(
        waiting_steps,
        'has_startable_tasks',
        wraps=waiting_steps.has_startable_tasks,
    ) as look:
        assert cell.start(*((attempt, 'w') for attempt in attempts)) == 4
        assert look.call_count == 2
        look.reset_mock()
        ends = [
            commands.AttemptResult(attempt, WorkerId('w'), AttemptOutcome.DONE)
            for attempt in attempts
        ]
        cell.apply(commands.EndAttempts(ends, 1.0))
        assert look.call_count == 2
    assert len(cell.state.waiting_steps()) == 2


def test_step_waits_for_all_tasks_of_its_dependencies() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(2), step_spec(1, depends_on=(0,)))
    assert [key.step_index for key in cell.state.waiting_steps()] == [0]
    assert cell.start((attempt_key('j', 1, 0), 'w')) == 0
    cell.start((attempt_key('j', 0, 0), 'w'), (attempt_key('j', 0, 1), 'w'))
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.DONE)
    assert cell.start((attempt_key('j', 1, 0), 'w')) == 0
    cell.end(attempt_key('j', 0, 1), 'w', AttemptOutcome.DONE)
    assert [key.step_index for key in cell.state.waiting_steps()] == [1]
    cell.start((attempt_key('j', 1, 0), 'w'))
    cell.end(attempt_key('j', 1, 0), 'w', AttemptOutcome.DONE)
    assert cell.job('j').state is JobState.COMPLETE


def test_task_with_an_active_attempt_cannot_start_again() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec())
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    assert cell.start((attempt_key('j', 0, 0, 2), 'x')) == 0


def test_attempt_number_is_never_reused() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    cell.start((attempt_key('j', 0, 0), 'w'))
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.LOST)
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 0
    assert cell.start((attempt_key('j', 0, 0, 2), 'w')) == 1


def test_resources_stay_allocated_until_the_end_is_recorded() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(3, resources=BIG))
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    assert cell.start((attempt_key('j', 0, 1), 'w')) == 0
    cell.apply(commands.CancelJob(cell.job('j').id, 1.0))
    assert not cell.state.worker_by_id[WorkerId('w')].free_resources.cores_m
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.STOPPED)
    assert cell.state.worker_by_id[WorkerId('w')].free_resources == BIG


def test_job_fails_with_the_last_attempt_of_a_task() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    for attempt_number in (1, 2):
        assert cell.job('j').is_open
        cell.start((attempt_key('j', 0, 0, attempt_number), 'w'))
        cell.end(
            attempt_key('j', 0, 0, attempt_number), 'w', AttemptOutcome.FAILED
        )
    assert cell.job('j').state is JobState.FAILED


def test_only_failures_count_against_the_attempt_limit() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    other_outcomes = set(AttemptOutcome) - {
        AttemptOutcome.FAILED,
        AttemptOutcome.DONE,
    }
    for attempt_number, outcome in enumerate(
        sorted(other_outcomes, key=str), 1
    ):
        cell.start((attempt_key('j', 0, 0, attempt_number), 'w'))
        cell.end(attempt_key('j', 0, 0, attempt_number), 'w', outcome)
    assert cell.job('j').is_open


def start_gang(cell: StateFixture, attempt_number: int) -> list[AttemptKey]:
    members = [attempt_key('j', 0, index, attempt_number) for index in (0, 1)]
    assert cell.start(*((member, 'w') for member in members)) == 2
    return members


def test_members_that_fail_in_one_run_are_one_failure_of_the_gang() -> None:
    # Each member counted, so a gang of two was given up after one run.
    cell = StateFixture('w')
    cell.submit('j', step_spec(2, is_gang=True))
    for attempt_number in (1, 2):
        assert cell.job('j').is_open
        for member in start_gang(cell, attempt_number):
            cell.end(member, 'w', AttemptOutcome.FAILED)
    assert cell.job('j').state is JobState.FAILED


def test_runs_in_which_different_members_fail_count_against_the_gang() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(2, is_gang=True))
    first, second = start_gang(cell, 1)
    cell.end(first, 'w', AttemptOutcome.FAILED)
    cell.end(second, 'w', AttemptOutcome.GANG_MEMBER_ENDED)
    assert cell.job('j').is_open
    first, second = start_gang(cell, 2)
    cell.end(second, 'w', AttemptOutcome.FAILED)
    assert cell.job('j').state is JobState.FAILED


def test_late_failure_of_a_member_is_part_of_the_run_that_failed() -> None:
    # The member was given up as lost; its run has been counted, a later run
    # has started, and the state was restored in between.
    cell = StateFixture('w')
    cell.submit('j', step_spec(2, is_gang=True))
    first, second = start_gang(cell, 1)
    cell.end(first, 'w', AttemptOutcome.FAILED)
    cell.end(second, 'w', AttemptOutcome.LOST)
    cell.state.restore(cell.state.snapshot())
    start_gang(cell, 2)
    cell.apply(
        commands.EndAttempts(
            [],
            5.0,
            late_results=(
                commands.AttemptResult(
                    second, WorkerId('w'), AttemptOutcome.FAILED
                ),
            ),
        )
    )
    assert cell.job('j').is_open


def test_snapshot_without_the_failed_runs_of_gangs_is_read() -> None:
    # Of release 0.7: the fields of a step up to ``only_recent_crashes``.
    step = msgspec.convert([[], 0, 1, 0], StepRecord)
    assert step.gang_failures == 1
    assert not step.failed_gang_attempt_numbers


def test_gang_is_done_when_one_member_is_done() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(2, is_gang=True))
    cell.start((attempt_key('j', 0, 0), 'w'), (attempt_key('j', 0, 1), 'w'))
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.DONE)
    assert cell.job('j').state is JobState.COMPLETE
    assert cell.state.worker_by_id[WorkerId('w')].allocated == CORES


def test_starts_planned_on_an_outdated_state_respect_limits() -> None:
    limit = CORES + CORES
    cell = StateFixture('w', 'x', config=configuration(limit=limit))
    cell.submit('j', step_spec(3, max_tasks_per_worker=1))
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    # A second pass may run before the first one's starts are in the log.
    assert cell.start((attempt_key('j', 0, 1), 'w')) == 0
    assert cell.start((attempt_key('j', 0, 1), 'x')) == 1
    cell.submit('k', step_spec(1))
    assert cell.start((attempt_key('k', 0, 0), 'w')) == 0


def test_lost_gang_member_stops_the_others_before_a_restart() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(2, is_gang=True))
    cell.start((attempt_key('j', 0, 0), 'w'), (attempt_key('j', 0, 1), 'w'))
    cell.state.drain_effects()
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.LOST, 'point')
    stops = [
        effect
        for effect in cell.state.drain_effects()
        if isinstance(effect, commands.AttemptStopRequired)
    ]
    assert [stop.attempt for stop in stops] == [attempt_key('j', 0, 1)]
    assert not cell.state.should_continue(attempt_key('j', 0, 1))
    assert not cell.state.waiting_steps()
    cell.end(attempt_key('j', 0, 1), 'w', AttemptOutcome.STOPPED)
    assert cell.state.waiting_steps()
    assert {
        task.checkpoint
        for task in cell.job('j').steps_by_occurrence[0][0].tasks
    } == {'point'}


def test_older_incarnation_is_ignored() -> None:
    cell = StateFixture()
    cell.apply(commands.RegisterWorker(worker_info('w', incarnation=5)))
    assert not cell.apply(
        commands.RegisterWorker(worker_info('w', incarnation=4))
    )
    assert cell.state.worker_by_id[WorkerId('w')].info.incarnation == 5


def test_tasks_of_a_removed_worker_wait_again() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    cell.start((attempt_key('j', 0, 0), 'w'))
    cell.apply(commands.RemoveWorker(WorkerId('w'), 1, 2.0))
    assert cell.state.waiting_steps()
    assert not cell.state.usage_of(cell.job('j').team).cores_m


def test_only_a_higher_configuration_version_is_adopted() -> None:
    cell = StateFixture()
    for version, adopted in ((1, False), (0, False), (3, True), (2, False)):
        put = commands.PutConfiguration(
            configuration(version=version), str(version).encode()
        )
        assert cell.apply(put) is adopted
    assert cell.state.configuration_source == b'3'


def test_snapshot_restores_the_whole_state() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(2), step_spec(1, depends_on=(0,)))
    cell.submit('k', step_spec())
    cell.start((attempt_key('j', 0, 0), 'w'))
    cell.apply(commands.CancelJob(cell.job('k').id, 1.0))
    copy = WorkflowState()
    copy.restore(cell.state.snapshot())
    assert copy.job_by_id == cell.state.job_by_id
    assert copy.worker_by_id == cell.state.worker_by_id
    assert copy.waiting_steps() == cell.state.waiting_steps()
    team = cell.job('j').team
    assert copy.usage_of(team) == cell.state.usage_of(team) == CORES
    assert copy.configuration_source == b'source'


def test_only_old_finished_jobs_are_pruned() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    cell.apply(commands.CancelJob(cell.job('j').id, 1.0))
    assert cell.apply(commands.PruneJobs(1.0)) == 0
    assert cell.apply(commands.PruneJobs(1.5)) == 1


def test_snapshot_keeps_estimated_speeds() -> None:
    cell = StateFixture('w')
    for number in range(4):
        cell.submit(f'j{number}', step_spec(1, expected_s=1.0))
        cell.start((attempt_key(f'j{number}', 0, 0), 'w'))
        end = commands.AttemptResult(
            attempt_key(f'j{number}', 0, 0),
            WorkerId('w'),
            AttemptOutcome.DONE,
            '',
            2.0,
        )
        cell.apply(commands.EndAttempts([end], 1.0))
    speed = cell.state.worker_by_id[WorkerId('w')].speed_estimate
    assert 0.5 < speed.speed < 0.65
    other = WorkflowState()
    other.restore(cell.state.snapshot())
    assert other.worker_by_id[WorkerId('w')].speed_estimate == speed
    cell.apply(commands.RegisterWorker(worker_info('w', incarnation=2)))
    assert not cell.state.worker_by_id[
        WorkerId('w')
    ].speed_estimate.sample_count


def test_gang_gives_no_speed_sample() -> None:
    cell = StateFixture('fast', 'slow')
    cell.submit('j', step_spec(2, expected_s=1.0, is_gang=True))
    cell.start(
        (attempt_key('j', 0, 0), 'fast'), (attempt_key('j', 0, 1), 'slow')
    )
    end = commands.AttemptResult(
        attempt_key('j', 0, 0), WorkerId('fast'), AttemptOutcome.DONE, '', 4.0
    )
    cell.apply(commands.EndAttempts([end], 1.0))
    assert not cell.state.worker_by_id[
        WorkerId('fast')
    ].speed_estimate.sample_count


def fail_without_queue(*, is_gang: bool) -> StateFixture:
    """Return a cell whose queue was removed before the second failure."""
    cell = StateFixture('w')
    cell.submit('j', step_spec(is_gang=is_gang))
    for attempt_number in (1, 2):
        cell.start((attempt_key('j', 0, 0, attempt_number), 'w'))
        if attempt_number == 2:
            other = configuration(queue_policy('other'), version=2)
            cell.apply(commands.PutConfiguration(other, b'', 7.0))
        cell.end(
            attempt_key('j', 0, 0, attempt_number), 'w', AttemptOutcome.FAILED
        )
    return cell


def test_failures_in_a_removed_queue_count_against_its_last_limit() -> None:
    for is_gang in (False, True):
        cell = fail_without_queue(is_gang=is_gang)
        assert not cell.state.waiting_steps()
        assert cell.start((attempt_key('j', 0, 0, 3), 'w')) == 0
        assert cell.job('j').state is JobState.FAILED
        (finished,) = (
            effect
            for effect in cell.state.drain_effects()
            if isinstance(effect, commands.JobFinished)
        )
        assert finished.reason is commands.FailureReason.ATTEMPTS


def test_failures_count_against_a_lower_limit_of_attempts() -> None:
    for is_gang in (False, True):
        cell = fail_under_limit(3, is_gang=is_gang)
        lower = configuration(attempts_policy(2), version=3)
        cell.apply(commands.PutConfiguration(lower, b'', 9.0))
        assert not cell.state.waiting_steps()
        assert cell.start((attempt_key('j', 0, 0, 3), 'w')) == 0
        assert cell.job('j').state is JobState.FAILED
        assert cell.job('j').finished_at == 9.0
        (finished,) = (
            effect
            for effect in cell.state.drain_effects()
            if isinstance(effect, commands.JobFinished)
        )
        assert finished.reason is commands.FailureReason.ATTEMPTS


def test_failures_above_a_lower_limit_count_when_an_attempt_is_lost() -> None:
    cell = fail_under_limit(3, is_gang=False)
    assert cell.start((attempt_key('j', 0, 0, 3), 'w')) == 1
    lower = configuration(attempts_policy(2), version=3)
    cell.apply(commands.PutConfiguration(lower, b'', 9.0))
    assert cell.job('j').is_open
    cell.end(attempt_key('j', 0, 0, 3), 'w', AttemptOutcome.LOST)
    assert cell.job('j').state is JobState.FAILED


def attempts_policy(max_attempts: int) -> QueuePolicy:
    return msgspec.structs.replace(queue_policy(), max_attempts=max_attempts)


def fail_under_limit(max_attempts: int, *, is_gang: bool) -> StateFixture:
    """Return a cell in which the task of a job has failed twice."""
    policy = attempts_policy(max_attempts)
    cell = StateFixture('w', config=configuration(policy, version=2))
    cell.submit('j', step_spec(is_gang=is_gang))
    for number in (1, 2):
        cell.start((attempt_key('j', 0, 0, number), 'w'))
        cell.end(attempt_key('j', 0, 0, number), 'w', AttemptOutcome.FAILED)
    assert cell.job('j').is_open
    return cell


load_tests = function_tests(globals())
