"""Tests of crashes that are told after the worker's lease, without I/O."""

import contextlib
import time
import typing
from unittest import mock

from leader_fixtures import (
    LEASE_S,
    SPEC,
    LeaderFixture,
    confirm,
    crash_evidence,
    expire_lease,
    make_leader,
    return_as,
    start_on_lost_worker,
    submit,
)

from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.model import AttemptOutcome, JobState
from cassiahold.workflows.sessions import EndedAttempt

MAX_STARTS = 5
# A worker that has started long after every lease that the tests let expire.
LATE_INCARNATION = int((time.time() + 3600) * 1000)


def test_crash_that_is_told_after_the_lease_is_counted() -> None:
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    return_as(leader, 2)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_restart_after_the_lease_counts_as_weaker_evidence() -> None:
    # The leases may have ended what ran there before the worker crashed.
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    return_as(leader, LATE_INCARNATION)
    assert crash_evidence(leader, start) == CrashEvidence.RECENT


def test_worker_that_was_only_cut_off_has_not_crashed() -> None:
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    return_as(leader, 1)
    assert not crash_evidence(leader, start)
    # Nothing ran there any more when it crashed later.
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_late_heartbeat_does_not_hide_a_crash() -> None:
    # It was delayed by a cut; only the reply to a poll tells who lives there.
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    leader.send_heartbeat('w', incarnation=1, sequence=9)
    leader.reply_to_poll('w', incarnation=2)
    leader.reply_to_poll('w', incarnation=2)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_late_crash_is_counted_once() -> None:
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    for _ in range(2):
        return_as(leader, 2)
    leader.start_next_term()
    return_as(leader, 2)
    expire_lease(leader)
    return_as(leader, 3)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_next_leader_counts_a_late_crash() -> None:
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    return_as(leader, 2)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_leader_that_saw_no_start_counts_a_late_crash() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    expire_lease(leader)
    return_as(leader, 2)
    assert crash_evidence(leader, start) == CrashEvidence.PRESENT


def test_late_crash_is_counted_when_the_removal_was_not_stored() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    # The leader fails after the ends of the attempts were stored.
    ends, *_ = leader.service.due_commands(boottime_s() + LEASE_S)
    leader.service.apply(ends)
    leader.start_next_term()
    return_as(leader, 2)
    assert crash_evidence(leader, start) == CrashEvidence.ONLY_RECENT


def test_late_crash_of_a_draining_worker_is_not_counted() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    expire_lease(leader)
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_draining_that_is_told_late_explains_the_end_of_a_worker() -> None:
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_worker_that_left_has_not_crashed() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    leader.handle(requests.WorkerLeft(WorkerId('w'), 1))
    expire_lease(leader)
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_late_crash_does_not_change_a_finished_job() -> None:
    leader = make_leader('w')
    start_on_lost_worker(leader)
    leader.send_heartbeat('v')
    later = boottime_s() + LEASE_S + 1
    leader.reply_to_poll_at('v', later)
    leader.apply_due_commands(later)
    repeated = leader.sender.starts[-1]
    assert repeated.worker.id == 'v'
    done = EndedAttempt(1, repeated.attempt, AttemptOutcome.DONE, '')
    leader.reply_to_poll('v', ended=(done,))
    return_as(leader, 2)
    assert leader.job_state('/q/1') is JobState.COMPLETE


class Clock:
    """A steady clock for all modules that read it."""

    def __init__(self) -> None:
        self.now = boottime_s()

    def read(self) -> float:
        return self.now

    def advance(self, duration_s: float) -> float:
        self.now += duration_s
        return self.now


@contextlib.contextmanager
def simulated_clock() -> typing.Iterator[Clock]:
    clock = Clock()
    with contextlib.ExitStack() as stack:
        for module in ('service', 'worker_polls', 'attempt_ends'):
            name = f'cassiahold.cell.{module}.boottime_s'
            stack.enter_context(mock.patch(name, clock.read))
        name = 'leader_fixtures.boottime_s'
        stack.enter_context(mock.patch(name, clock.read))
        yield clock


def wait_for_start(
    leader: LeaderFixture, clock: Clock, worker: str, incarnation: int
) -> None:
    """Let time pass until a task starts on the only worker that replies."""
    start_count = len(leader.sender.starts)
    expires_at = clock.now + LEASE_S
    while len(leader.sender.starts) == start_count:
        assert clock.advance(0.3) < expires_at
        leader.reply_to_poll(worker, incarnation=incarnation)
        leader.apply_due_commands()
        clock.advance(0.1)
        leader.apply_due_commands()


def count_starts_until_given_up(first_incarnation: int) -> int:
    """Crash ``v`` and ``w`` in turn, each back after the next start."""
    with simulated_clock() as clock:
        leader = make_leader('v', 'w')
        submit(leader, '/q/1')
        worker = leader.sender.starts[0].worker.id
        other = 'v' if worker == 'w' else 'w'
        incarnation_by_worker = {worker: 1, other: 1}
        for crash_count in range(1, MAX_STARTS + 1):
            confirm(leader, leader.sender.starts[-1])
            wait_for_start(leader, clock, other, incarnation_by_worker[other])
            incarnation = first_incarnation + crash_count
            incarnation_by_worker[worker] = incarnation
            leader.send_heartbeat(worker, incarnation)
            leader.reply_to_poll(worker, incarnation=incarnation)
            leader.reply_to_poll(worker, incarnation=incarnation)
            if leader.job_state('/q/1') is JobState.FAILED:
                break
            worker, other = other, worker
        return len(leader.sender.starts)


def test_task_is_given_up_in_time_when_crashes_are_told_a_start_late() -> None:
    # Once with workers that restart before their leases expire, once after.
    assert count_starts_until_given_up(1) == MAX_STARTS - 1
    assert count_starts_until_given_up(LATE_INCARNATION) == MAX_STARTS - 1


def test_start_that_was_never_sent_is_not_blamed_for_a_late_crash() -> None:
    # The worker began to fail while its start was being stored in the log.
    leader = make_leader('w')
    leader.handle(requests.SubmitWork('h', '/q/1', 'key', SPEC))
    payloads = leader.service.due_commands(boottime_s())
    fence = leader.sender.fence_by_worker[WorkerId('w')]
    leader.handle(local.PollDone(WorkerId('w'), fence, None, boottime_s()))
    for payload in payloads:
        leader.service.apply(payload)
    assert not leader.sender.starts
    expire_lease(leader)
    return_as(leader, 2)
    (record,) = leader.service.state.job_by_id.values()
    (task,) = record.steps_by_occurrence[0][0].tasks
    assert not task.crash_score


load_tests = function_tests(globals())
