"""Tests of the memory of attempts whose worker was lost."""

import msgspec
from state_fixtures import StateFixture, attempt_key, step_spec

from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import PROVEN_RUN_S, CrashEvidence
from cassiahold.workflows.lost_attempts import (
    LOSS_MEMORY_S,
    MAX_LOST_ATTEMPTS,
    LostAttempt,
    LostAttempts,
)
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    IncarnationKey,
    JobState,
)
from cassiahold.workflows.state import WorkflowState

W = WorkerId('w')


def lose_worker(
    cell: StateFixture, attempt: AttemptKey, duration_s: float = 0.0
) -> None:
    """Start an attempt on ``w`` and end it as lost with the worker."""
    cell.start((attempt, 'w'))
    result = commands.AttemptResult(
        attempt,
        W,
        AttemptOutcome.LOST,
        duration_s=duration_s,
        possible_crash=CrashEvidence.ONLY_RECENT,
    )
    cell.apply(commands.EndAttempts([result], 10.0))


def resolve(
    cell: StateFixture, incarnation: int = 2, resolved_at: float = 12.0
) -> list[LostAttempt]:
    key = IncarnationKey(W, incarnation)
    return cell.apply(commands.EndAttempts([], resolved_at, replying=(key,)))


def crash_score(cell: StateFixture) -> int:
    return cell.job('j').steps_by_occurrence[0][0].tasks[0].crash_score


def test_unexplained_loss_counts_once_and_only_after_a_restart() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    lose_worker(cell, attempt_key('j', 0, 0))
    assert not crash_score(cell)
    assert len(resolve(cell)) == 1
    assert not resolve(cell, 3)
    assert crash_score(cell) == CrashEvidence.ONLY_RECENT
    lose_worker(cell, attempt_key('j', 0, 0, 2))
    assert not resolve(cell, 1)
    assert not resolve(cell, 2)


def test_losses_survive_a_snapshot() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    lose_worker(cell, attempt_key('j', 0, 0))
    cell.state.restore(cell.state.snapshot())
    assert cell.state.has_lost_attempts(W)
    resolve(cell)
    assert crash_score(cell) == CrashEvidence.ONLY_RECENT


def test_snapshot_without_losses_is_still_read() -> None:
    # As it was stored before losses were remembered.
    cell = StateFixture('w')
    fields = msgspec.msgpack.decode(cell.state.snapshot())
    copy = WorkflowState()
    copy.restore(msgspec.msgpack.encode(fields[:5]))
    assert W in copy.worker_by_id
    assert not copy.has_lost_attempts(W)


def test_memory_of_losses_is_bounded() -> None:
    memory = LostAttempts()
    attempt = attempt_key('j', 0, 0)
    for number in range(MAX_LOST_ATTEMPTS + 1):
        worker = WorkerId(f'w{number}')
        memory.add(LostAttempt(attempt, worker, 1, CrashEvidence.PRESENT, 5.0))
    assert len(list(memory)) == MAX_LOST_ATTEMPTS
    assert WorkerId('w0') not in memory
    assert not memory.resolve(
        IncarnationKey(WorkerId('w1'), 2), 5.0 + LOSS_MEMORY_S
    )
    assert memory.resolve(IncarnationKey(WorkerId('w2'), 2), 5.0)


def test_worker_that_is_lost_again_and_again_does_not_fill_the_memory() -> None:
    # Its replies to polls never tell its incarnation.
    memory = LostAttempts()
    for number in range(2 * MAX_LOST_ATTEMPTS):
        attempt = attempt_key('j', 0, 0, number)
        memory.add(LostAttempt(attempt, W, 1, CrashEvidence.PRESENT, 5.0))
        assert W in memory
    assert len(list(memory)) == MAX_LOST_ATTEMPTS
    assert len(memory.resolve(IncarnationKey(W, 2), 5.0)) == MAX_LOST_ATTEMPTS
    assert not list(memory)


def test_late_crash_of_finished_work_is_harmless() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec(2))
    lose_worker(cell, attempt_key('j', 0, 0))
    cell.start((attempt_key('j', 0, 0, 2), 'x'))
    cell.end(attempt_key('j', 0, 0, 2), 'x', AttemptOutcome.DONE)
    resolve(cell)
    assert not crash_score(cell)
    lose_worker(cell, attempt_key('j', 0, 1))
    cell.apply(commands.CancelJob(cell.job('j').id, 11.0))
    resolve(cell)
    assert cell.job('j').state is JobState.CANCELLED
    cell.apply(commands.PruneJobs(20.0))
    resolve(cell)


def test_late_crash_marks_the_attempt_that_runs_as_suspect() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec())
    lose_worker(cell, attempt_key('j', 0, 0))
    running = attempt_key('j', 0, 0, 2)
    cell.start((running, 'x'))
    resolve(cell)
    for _ in range(2):
        worker = cell.state.worker_by_id[WorkerId('x')]
        assert worker.suspect_attempts == {running}
        cell.state.restore(cell.state.snapshot())


def test_job_that_is_given_up_late_stops_what_runs() -> None:
    cell = StateFixture('w', 'x')
    cell.submit('j', step_spec())
    for number in range(1, 4):
        lose_worker(cell, attempt_key('j', 0, 0, number))
        if number == 3:
            cell.start((attempt_key('j', 0, 0, 4), 'x'))
        resolve(cell)
    assert cell.job('j').state is JobState.FAILED
    stops = [
        effect.attempt
        for effect in cell.state.drain_effects()
        if isinstance(effect, commands.AttemptStopRequired)
    ]
    assert stops == [attempt_key('j', 0, 0, 4)]


def test_long_run_is_not_remembered_as_a_possible_crash() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec(is_long_running=True))
    lose_worker(cell, attempt_key('j', 0, 0), PROVEN_RUN_S)
    assert not cell.state.has_lost_attempts(W)


load_tests = function_tests(globals())
