"""Tests of crashes of workers that are counted in the replicated state."""

import msgspec
from group_state import (
    RED,
    SIZE,
    W1,
    W2,
    configured_state,
    end,
    lose,
    outcome,
    register_worker,
    start,
    submit,
)

from cassiahold.cellstate import effects
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import (
    JobRecord,
    TaskRecord,
    WorkerRecord,
)
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.cellstate.worker_crashes import (
    MAX_CRASHES_KEPT,
    AttemptEvidence,
)
from cassiahold.core.crashes import MAX_CRASH_SCORE, CrashEvidence
from cassiahold.core.ids import AttemptId, DataCentre, JobId, WorkerId
from cassiahold.core.states import (
    AttemptOutcome,
    FailureReason,
    JobKind,
    JobOutcome,
    TaskState,
)
from cassiahold.core.testing import function_tests

Evidence = dict[AttemptId, AttemptEvidence]


def evidence(
    state: SchedulerState,
    worker: WorkerId,
    crash_evidence: CrashEvidence = CrashEvidence.ONLY_RECENT,
    *,
    is_proven: bool = False,
) -> Evidence:
    return {
        attempt: AttemptEvidence(crash_evidence, is_proven)
        for attempt in state.worker_by_id[worker].allocation_by_attempt
    }


def return_worker(
    state: SchedulerState,
    worker: WorkerId = W1,
    evidence_by_attempt: Evidence | None = None,
) -> None:
    """Register the next incarnation of a worker."""
    incarnation = state.worker_by_id[worker].incarnation + 1
    register(state, worker, incarnation, evidence_by_attempt)


def register(
    state: SchedulerState,
    worker: WorkerId,
    incarnation: int,
    evidence_by_attempt: Evidence | None = None,
) -> None:
    command = commands.RegisterWorker(
        worker, incarnation, SIZE, '', 'r', 1.0, 300.0, evidence_by_attempt
    )
    state.apply(commands.encode_command(command))


def crash(state: SchedulerState, worker: WorkerId = W1) -> None:
    return_worker(state, worker, evidence(state, worker))


def lose_unexplained(state: SchedulerState, worker: WorkerId = W1) -> None:
    command = commands.MarkWorkersLost(
        [worker], 250.0, False, evidence(state, worker)
    )
    state.apply(commands.encode_command(command))


def score(state: SchedulerState, job: JobId, index: int = 0) -> int:
    return state.job_by_id[job].tasks[index].crash_score


def test_a_crash_counts_for_the_tasks_that_ran_there() -> None:
    state = configured_state()
    job = submit(state, tasks=2)
    start(state, job, 0, W1)
    start(state, job, 1, W2)
    crash(state, W1)
    assert score(state, job, 0) == CrashEvidence.ONLY_RECENT
    assert score(state, job, 1) == 0


def test_the_same_crash_told_twice_counts_once() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    told = evidence(state, W1)
    register(state, W1, 2, told)
    register(state, W1, 2, told)
    register(state, W1, 3, told)
    assert score(state, job) == CrashEvidence.ONLY_RECENT
    assert len(state.job_by_id[job].crashes) == 1


def test_a_lapsed_lease_is_charged_once_when_the_worker_returns() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    lose_unexplained(state)
    assert score(state, job) == 0
    return_worker(state, W1, {})
    assert score(state, job) == CrashEvidence.ONLY_RECENT
    return_worker(state, W1, {})
    assert score(state, job) == CrashEvidence.ONLY_RECENT


def test_a_worker_that_was_only_cut_off_has_not_crashed() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    lose_unexplained(state)
    register(state, W1, 1, {})
    return_worker(state, W1, {})
    assert score(state, job) == 0


def test_a_drained_worker_has_not_crashed() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    state.apply_command(commands.DrainWorker(W1, is_draining=True))
    crash(state)
    assert score(state, job) == 0


def test_a_deregistered_worker_has_not_crashed() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    state.apply_command(
        commands.MarkWorkersLost([W1], 250.0, True, evidence(state, W1))
    )
    register(state, W1, 2, {})
    assert score(state, job) == 0


def test_a_start_that_was_never_sent_is_not_charged() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    return_worker(state, W1, evidence(state, W1, CrashEvidence.NONE))
    assert score(state, job) == 0
    assert not state.job_by_id[job].crashes


def test_a_job_given_up_releases_what_it_holds() -> None:
    state = configured_state()
    job = submit(state, tasks=3)
    start(state, job, 1, W2)
    while not state.job_by_id[job].is_given_up:
        start(state, job, 0, W1)
        crash(state)
    tasks = state.job_by_id[job].tasks
    assert tasks[0].state is TaskState.FAILED
    assert tasks[2].state is TaskState.CANCELLED
    assert not any(task.state is TaskState.WAITING for task in tasks)
    assert state.team_usage(RED).tasks == 1
    end(state, job, AttemptOutcome.STOPPED, 1)
    assert tasks[1].state is TaskState.CANCELLED
    assert state.team_usage(RED) == ResourceTotals()
    assert outcome(state, job) is JobOutcome.FAILED
    assert state.job_by_id[job].failure_reason is FailureReason.CRASHES


def test_nothing_of_a_job_given_up_starts_again() -> None:
    state = configured_state()
    job = submit(state, tasks=2)
    start(state, job, 1, W2)
    while not state.job_by_id[job].is_given_up:
        start(state, job, 0, W1)
        crash(state)
    lose(state, W2)
    assert state.job_by_id[job].is_finished
    assert not start(state, job, 0, W1)
    assert not start(state, job, 1, W1)
    assert outcome(state, job) is JobOutcome.FAILED


def test_a_late_charge_stops_the_task_that_runs_elsewhere() -> None:
    state = configured_state()
    job = submit(state)
    while score(state, job) + CrashEvidence.ONLY_RECENT < MAX_CRASH_SCORE:
        start(state, job)
        crash(state)
    start(state, job)
    lose_unexplained(state)
    start(state, job, 0, W2)
    return_worker(state, W1, {})
    assert state.job_by_id[job].is_given_up
    assert not state.job_by_id[job].is_finished
    end(state, job, AttemptOutcome.STOPPED)
    assert outcome(state, job) is JobOutcome.FAILED


def test_work_that_is_not_idempotent_may_have_run() -> None:
    state = configured_state()
    job = submit(state, idempotent=False)
    start(state, job)
    crash(state)
    assert outcome(state, job) is JobOutcome.MAY_HAVE_RUN
    assert not start(state, job, 0, W2)


def test_a_gang_whose_member_crashes_workers_is_given_up_whole() -> None:
    state = configured_state()
    job = submit(state, tasks=2, kind=JobKind.GANG)
    for _ in range(MAX_CRASH_SCORE):
        start(state, job, 0, W1)
        start(state, job, 1, W2)
        crash(state, W1)
        end(state, job, AttemptOutcome.STOPPED, 1)
    assert outcome(state, job) is JobOutcome.FAILED
    assert state.team_usage(RED) == ResourceTotals()


def test_a_service_that_ran_for_long_starts_its_count_anew() -> None:
    state = configured_state()
    job = submit(state, kind=JobKind.SERVICE)
    for _ in range(MAX_CRASH_SCORE):
        start(state, job)
        crash(state)
        start(state, job)
        return_worker(state, W1, evidence(state, W1, is_proven=True))
    assert score(state, job) == 0
    assert not state.job_by_id[job].is_given_up


def test_crashes_are_part_of_a_snapshot() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    crash(state)
    start(state, job)
    lose_unexplained(state)
    copy = SchedulerState(DataCentre('p'))
    copy.restore(state.snapshot())
    for one in (state, copy):
        return_worker(one, W1, {})
    assert score(copy, job) == 2 * CrashEvidence.ONLY_RECENT
    decode = msgspec.msgpack.decode
    assert decode(copy.snapshot()) == decode(state.snapshot())


def test_the_list_of_crashes_is_bounded() -> None:
    state = configured_state()
    job = submit(state, kind=JobKind.SERVICE)
    for _ in range(2 * MAX_CRASHES_KEPT):
        start(state, job)
        return_worker(state, W1, evidence(state, W1, is_proven=True))
    crashes = state.job_by_id[job].crashes
    assert len(crashes) == MAX_CRASHES_KEPT
    assert crashes[-1].incarnation == 2 * MAX_CRASHES_KEPT


def test_commands_and_records_from_before_still_load() -> None:
    state = configured_state()
    job = submit(state)
    start(state, job)
    register_worker(state, W1, 2)
    assert score(state, job) == 0
    encode = msgspec.msgpack.encode
    old_task = encode(['waiting', 1, None, 0, True, ''])
    assert msgspec.msgpack.decode(old_task, type=TaskRecord).crash_score == 0
    old_worker = encode(['w', 1, {}, '', '', 1.0, False, False])
    worker = msgspec.msgpack.decode(old_worker, type=WorkerRecord)
    assert not worker.unexplained_losses
    old_job = msgspec.msgpack.decode(encode(state.job_by_id[job]))[:12]
    record = msgspec.msgpack.decode(encode(old_job), type=JobRecord)
    assert (record.failure_reason, record.crashes) == (None, [])
    old_loss = commands.decode_command(encode(['lose', ['w1'], 1.0]))
    assert isinstance(old_loss, commands.MarkWorkersLost)
    assert old_loss.evidence_by_attempt is None


def test_a_leader_is_told_of_each_crash_and_each_job_given_up() -> None:
    state = configured_state()
    job = submit(state)
    told: list[effects.Effect] = []
    while not state.job_by_id[job].is_given_up:
        start(state, job)
        crash(state)
        told.extend(state.pop_effects())
    crashes = [e for e in told if isinstance(e, effects.WorkerCrashed)]
    assert [crash.incarnation for crash in crashes] == [1, 2, 3]
    assert effects.JobGivenUp(job) in told


load_tests = function_tests(globals())
