"""Tests of the evidence against tasks that may crash their workers."""

import msgspec
from state_fixtures import StateFixture, attempt_key, step_spec

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import (
    PROVEN_RUN_S,
    RECENT_START_S,
    CrashEvidence,
    is_last_start,
    is_suspect,
    weigh_crash,
)
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    JobState,
    StepRecord,
    TaskRecord,
)

# A sixth start is one too many.
MAX_STARTS = 5


def crash(
    cell: StateFixture,
    attempt: AttemptKey,
    evidence: CrashEvidence,
    duration_s: float = 0.0,
) -> commands.EndAttempts:
    cell.start((attempt, 'w'))
    command = commands.EndAttempts(
        [
            commands.AttemptResult(
                attempt,
                WorkerId('w'),
                AttemptOutcome.LOST,
                duration_s=duration_s,
                crash=evidence,
            )
        ],
        1.0,
    )
    cell.apply(command)
    return command


def test_recent_starts_weigh_more_than_earlier_ones() -> None:
    recent, earlier, unknown = (
        attempt_key('j', 0, index) for index in range(3)
    )
    other = attempt_key('other', 0, 0)
    evidence_by_attempt = weigh_crash(
        (recent, other, earlier, unknown),
        {recent: 9.9, other: 9.8, earlier: 5.0},
        10.0,
    )
    assert evidence_by_attempt == {
        recent: CrashEvidence.RECENT,
        other: CrashEvidence.RECENT,
        earlier: CrashEvidence.PRESENT,
        unknown: CrashEvidence.PRESENT,
    }


def test_start_after_the_last_reply_counts_as_recent() -> None:
    # The worker crashed with silent connections, which was noticed late.
    sole = attempt_key('j', 0, 0)
    evidence_by_attempt = weigh_crash((sole,), {sole: 10.2}, 10.0)
    assert evidence_by_attempt[sole] is CrashEvidence.ONLY_RECENT


def test_only_job_with_recent_starts_is_the_most_likely_cause() -> None:
    first, sibling = attempt_key('j', 0, 0), attempt_key('j', 0, 1)
    sent_at_by_attempt = {first: 9.9, sibling: 9.8}
    evidence_by_attempt = weigh_crash(
        (first, sibling), sent_at_by_attempt, 10.0
    )
    assert set(evidence_by_attempt.values()) == {CrashEvidence.ONLY_RECENT}


def test_crash_that_is_told_twice_counts_once() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    command = crash(cell, attempt_key('j', 0, 0), CrashEvidence.ONLY_RECENT)
    cell.apply(command)
    assert (
        cell.job('j').steps_by_occurrence[0][0].tasks[0].crash_score
        == CrashEvidence.ONLY_RECENT
    )


def test_task_without_recent_starts_is_given_up_in_the_end() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    for number in range(1, MAX_STARTS + 1):
        assert cell.job('j').is_open
        crash(cell, attempt_key('j', 0, 0, number), CrashEvidence.PRESENT)
    assert cell.job('j').state is JobState.FAILED
    (finished,) = [
        effect
        for effect in cell.state.drain_effects()
        if isinstance(effect, commands.JobFinished)
    ]
    assert finished.reason is commands.FailureReason.CRASHES


def test_two_crashes_end_no_task_and_a_second_trial_does() -> None:
    # Workers that crash by themselves may take a sound task with them twice.
    for evidence in (CrashEvidence.RECENT, CrashEvidence.ONLY_RECENT):
        cell = StateFixture('w')
        cell.submit('j', step_spec())
        crash(cell, attempt_key('j', 0, 0), evidence)
        crash(cell, attempt_key('j', 0, 0, 2), CrashEvidence.TRIAL)
        assert cell.job('j').is_open
        crash(cell, attempt_key('j', 0, 0, 3), CrashEvidence.TRIAL)
        assert cell.job('j').state is JobState.FAILED


def test_only_the_single_recent_start_of_a_suspect_counts_as_a_trial() -> None:
    first, second = attempt_key('i', 0, 0), attempt_key('j', 0, 0)
    sent_at = {first: 10.0, second: 10.0}
    suspects = {first, second}
    assert weigh_crash([first], sent_at, 10.0, suspects) == {
        first: CrashEvidence.TRIAL
    }
    assert weigh_crash([first], sent_at, 10.0) == {
        first: CrashEvidence.ONLY_RECENT
    }
    assert weigh_crash([first, second], sent_at, 10.0, suspects) == {
        first: CrashEvidence.RECENT,
        second: CrashEvidence.RECENT,
    }


def test_other_tasks_of_a_given_up_job_are_stopped() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(2))
    cell.start((attempt_key('j', 0, 1), 'x'))
    for number in range(1, 4):
        crash(cell, attempt_key('j', 0, 0, number), CrashEvidence.ONLY_RECENT)
    stops = [
        effect.attempt
        for effect in cell.state.drain_effects()
        if isinstance(effect, commands.AttemptStopRequired)
    ]
    assert stops == [attempt_key('j', 0, 1)]
    assert not cell.state.waiting_steps()


def test_gang_with_a_member_that_crashes_its_workers_is_given_up() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(2, is_gang=True))
    for number in range(1, 4):
        member = attempt_key('j', 0, 1, number)
        cell.start((member, 'x'))
        crash(cell, attempt_key('j', 0, 0, number), CrashEvidence.ONLY_RECENT)
        cell.end(member, 'x', AttemptOutcome.GANG_MEMBER_ENDED)
    assert cell.job('j').state is JobState.FAILED


def test_long_running_task_is_cleared_by_a_long_run() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(is_long_running=True))
    durations_s = (0.1, 0.1, PROVEN_RUN_S, 0.1, 0.1)
    for number, duration_s in enumerate(durations_s, start=1):
        crash(
            cell,
            attempt_key('j', 0, 0, number),
            CrashEvidence.ONLY_RECENT,
            duration_s,
        )
    assert cell.job('j').is_open
    crash(cell, attempt_key('j', 0, 0, 6), CrashEvidence.ONLY_RECENT, 0.1)
    assert cell.job('j').state is JobState.FAILED


def test_task_that_has_run_for_a_while_is_no_suspect_any_more() -> None:
    # A sound task was tried apart after each crash that it had only met.
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    crash(cell, attempt_key('j', 0, 0), CrashEvidence.RECENT)
    task = cell.job('j').steps_by_occurrence[0][0].tasks[0]
    assert is_suspect(task)
    crash(cell, attempt_key('j', 0, 0, 2), CrashEvidence.PRESENT)
    assert is_suspect(task)
    for number in (3, 4):
        crash(
            cell,
            attempt_key('j', 0, 0, number),
            CrashEvidence.PRESENT,
            RECENT_START_S,
        )
    # Its crashes still count: one more may be the last.
    assert task.suspect_score == 0
    assert is_last_start(task)


def test_task_that_crashes_workers_late_starts_five_times_at_most() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    for number in range(1, MAX_STARTS + 1):
        assert cell.job('j').is_open
        crash(cell, attempt_key('j', 0, 0, number), CrashEvidence.PRESENT, 10.0)
    assert cell.job('j').state is JobState.FAILED


def test_crash_score_survives_a_snapshot() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    crash(cell, attempt_key('j', 0, 0), CrashEvidence.ONLY_RECENT)
    cell.state.restore(cell.state.snapshot())
    assert cell.job('j').steps_by_occurrence[0][0].is_doubted
    cell.start((attempt_key('j', 0, 0, 2), 'w'))
    worker = cell.state.worker_by_id[WorkerId('w')]
    assert worker.suspect_attempts == {attempt_key('j', 0, 0, 2)}
    cell.state.restore(cell.state.snapshot())
    worker = cell.state.worker_by_id[WorkerId('w')]
    assert worker.suspect_attempts == {attempt_key('j', 0, 0, 2)}


def test_records_without_crashes_are_still_read() -> None:
    # As they were stored before crashes were counted.
    task = msgspec.msgpack.encode([False, 3, 1, '', None])
    assert msgspec.msgpack.decode(task, type=TaskRecord).crash_score == 0
    # As they were stored before suspects could be cleared.
    task = msgspec.msgpack.encode([False, 3, 1, '', None, 8])
    assert is_last_start(msgspec.msgpack.decode(task, type=TaskRecord))
    step = msgspec.msgpack.encode([[[False, 3, 1, '', None]], 1, 1])
    assert not msgspec.msgpack.decode(step, type=StepRecord).is_doubted
    attempt = attempt_key('j', 0, 0)
    result = msgspec.msgpack.encode([attempt, 'w', 'lost', '', 0.5])
    decoded = msgspec.msgpack.decode(result, type=commands.AttemptResult)
    assert decoded.crash is CrashEvidence.NONE


def test_long_run_clears_a_task_however_it_ends() -> None:
    # Ten minutes of sound work ended with a stop, as its worker left.
    cell = StateFixture('w')
    cell.submit('j', step_spec(is_long_running=True))
    for number in (1, 2):
        crash(cell, attempt_key('j', 0, 0, number), CrashEvidence.ONLY_RECENT)
    attempt = attempt_key('j', 0, 0, 3)
    cell.start((attempt, 'w'))
    stopped = commands.AttemptResult(
        attempt,
        WorkerId('w'),
        AttemptOutcome.STOPPED,
        duration_s=20 * PROVEN_RUN_S,
    )
    cell.apply(commands.EndAttempts([stopped], 1.0))
    (task,) = cell.job('j').steps_by_occurrence[0][0].tasks
    assert not task.crash_score, task.crash_score


load_tests = function_tests(globals())
