"""Tests of workers that drain and leave, across leaders, without I/O."""

import typing

import msgspec
from leader_fixtures import (
    LEASE_S,
    LEAVING_LEASE_S,
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
from cassiahold.cell.clients import ReplyStatus, StartRequest, WorkerReply
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.sessions import PollReply, RunningAttempt

W = WorkerId('w')
TAGS_OF_RELEASE_0_5 = frozenset(
    (
        'accept',
        'cancel',
        'start',
        'end',
        'worker',
        'forget',
        'configure',
        'prune',
    )
)


def start_on_worker(leader: LeaderFixture) -> StartRequest:
    submit(leader, '/q/1')
    start = leader.sender.starts[-1]
    confirm(leader, start)
    return start


def change_leader(leader: LeaderFixture) -> None:
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()


def test_next_leader_knows_that_a_worker_has_left() -> None:
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.handle(requests.WorkerLeft(W, 1))
    change_leader(leader)
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_next_leader_knows_of_a_departure_after_the_lease() -> None:
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.handle(requests.WorkerLeft(W, 1))
    change_leader(leader)
    expire_lease(leader)
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_next_leader_knows_that_an_earlier_incarnation_was_draining() -> None:
    # The worker returned under the earlier leader, but was not polled by it.
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    leader.send_heartbeat('w', incarnation=2)
    change_leader(leader)
    leader.reply_to_poll('w', incarnation=2)
    assert not crash_evidence(leader, start)


def test_departure_that_is_told_after_the_lease_is_no_crash() -> None:
    # The worker was cut off when it left; its order is repeated elsewhere.
    leader = make_leader('w')
    start = start_on_lost_worker(leader)
    leader.handle(requests.WorkerLeft(W, 1))
    return_as(leader, 2)
    assert not crash_evidence(leader, start)


def test_departure_that_is_told_after_the_return_is_no_crash() -> None:
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.send_heartbeat('w', incarnation=2)
    leader.handle(requests.WorkerLeft(W, 1))
    leader.reply_to_poll('w', incarnation=2)
    assert not crash_evidence(leader, start)


def test_departure_does_not_hide_a_crash_of_the_next_incarnation() -> None:
    leader = make_leader('w')
    leader.handle(requests.WorkerLeft(W, 1))
    return_as(leader, 2)
    start = start_on_worker(leader)
    # The departure of the first incarnation is repeated.
    leader.handle(requests.WorkerLeft(W, 1))
    change_leader(leader)
    return_as(leader, 3)
    assert crash_evidence(leader, start) == CrashEvidence.PRESENT


def test_worker_that_restarted_after_draining_gets_work_again() -> None:
    # A poll met the new incarnation before its first heartbeat arrived.
    leader = make_leader('w')
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    leader.reply_to_poll('w', incarnation=2)
    return_as(leader, 2)
    submit(leader, '/q/1')
    assert len(leader.sender.starts) == 1


def test_late_departure_without_an_incarnation_removes_no_worker() -> None:
    # It was sent by the incarnation before and delayed by a cut.
    leader = make_leader('w')
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    return_as(leader, 2)
    start = start_on_worker(leader)
    leader.handle(requests.WorkerLeft(W, 0))
    leader.apply_due_commands(boottime_s() + 1)
    assert W in leader.service.state.worker_by_id
    # The worker still replies, so it was not the one that left.
    later = boottime_s() + 1
    running = RunningAttempt(start.attempt, '', 5)
    leader.reply_to_poll_at('w', later, 2, (running,))
    return_as(leader, 3)
    assert crash_evidence(leader, start) >= CrashEvidence.PRESENT


def test_draining_worker_that_leaves_without_an_incarnation_is_removed() -> (
    None
):
    leader = make_leader('w')
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    leader.handle(requests.WorkerLeft(W, 0))
    leader.fail_poll('w')
    leader.apply_due_commands(boottime_s() + LEASE_S)
    assert W not in leader.service.state.worker_by_id


def test_worker_that_replies_after_it_left_keeps_its_attempts() -> None:
    # The reply to its deregistration was lost, so it runs on for a while.
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.handle(requests.WorkerLeft(W, 1))
    running = RunningAttempt(start.attempt, '', 5)
    left_at = boottime_s()
    for elapsed_s in (0.3, 0.6, 0.9):
        leader.reply_to_poll_at('w', left_at + elapsed_s, 1, (running,))
        leader.apply_due_commands(left_at + elapsed_s + 0.3)
    assert W in leader.service.state.worker_by_id
    leader.fail_poll('w')
    leader.apply_due_commands(left_at + LEASE_S)
    assert W not in leader.service.state.worker_by_id


def test_silent_worker_that_left_keeps_its_attempts_under_its_leases() -> None:
    # It was cut off before the acknowledgement of its deregistration arrived,
    # so it runs on.
    leader = make_leader('w')
    start_on_worker(leader)
    left_at = boottime_s()
    leader.handle(requests.WorkerLeft(W, 1))
    for elapsed_s in (1, 2, 4, LEASE_S - 2):
        leader.fail_poll('w')
        leader.apply_due_commands(left_at + elapsed_s)
        assert W in leader.service.state.worker_by_id
    leader.apply_due_commands(left_at + LEASE_S)
    assert W not in leader.service.state.worker_by_id


def drain_until_its_lease_is_short(
    leader: LeaderFixture, running: tuple[RunningAttempt, ...]
) -> float:
    """Let ``w`` drain and reply for as long as its lease.

    Returns the time of its last reply.
    """
    leader.send_heartbeat('w', sequence=2, is_draining=True)
    now = boottime_s()
    for elapsed_s in range(LEASE_S):
        leader.reply_to_poll_at('w', now + elapsed_s, running=running)
    return now + LEASE_S - 1


def test_attempts_of_a_worker_that_leaves_start_elsewhere_sooner() -> None:
    # Nothing but its lease proves that a worker has ended, so it is short.
    leader = make_leader('w')
    start = start_on_worker(leader)
    running = (RunningAttempt(start.attempt, '', 5),)
    left_at = drain_until_its_lease_is_short(leader, running)
    leader.handle(requests.WorkerLeft(W, 1))
    leader.fail_poll('w')
    leader.apply_due_commands(left_at + 2.9)
    assert W in leader.service.state.worker_by_id
    leader.apply_due_commands(left_at + LEAVING_LEASE_S)
    assert W not in leader.service.state.worker_by_id


def test_worker_that_drains_but_has_not_left_is_kept_for_its_leases() -> None:
    # It may have been replaced by an incarnation that took a longer lease.
    leader = make_leader('w')
    start = start_on_worker(leader)
    running = (RunningAttempt(start.attempt, '', 5),)
    silent_since = drain_until_its_lease_is_short(leader, running)
    leader.fail_poll('w')
    leader.apply_due_commands(silent_since + LEAVING_LEASE_S)
    assert W in leader.service.state.worker_by_id
    leader.apply_due_commands(silent_since + LEASE_S)
    assert W not in leader.service.state.worker_by_id


def test_unanswered_start_on_a_worker_that_left_waits_for_all_leases() -> None:
    # It may be carried out late by the next incarnation.
    leader = make_leader('w')
    submit(leader, '/q/1')
    left_at = drain_until_its_lease_is_short(leader, ())
    leader.handle(requests.WorkerLeft(W, 1))
    leader.fail_poll('w')
    leader.apply_due_commands(left_at + LEAVING_LEASE_S)
    assert W in leader.service.state.worker_by_id
    leader.apply_due_commands(left_at + LEASE_S)
    assert W not in leader.service.state.worker_by_id


def test_worker_that_replies_after_it_left_gets_leases() -> None:
    leader = make_leader('w')
    start = start_on_worker(leader)
    leader.handle(requests.WorkerLeft(W, 1))
    running = (RunningAttempt(start.attempt, '', 5),)
    assert leader.reply_to_poll('w', running=running).lease_until_ms
    leader.fail_poll('w')
    # From now on each lease would hold up its attempts, if it has ended.
    fence = leader.sender.fence_by_worker[W]
    poll = leader.handle(local.GetFirstPoll(W, fence))
    assert poll.lease_until_ms is None


def test_ended_process_alone_removes_no_worker() -> None:
    # Without a deregistration its heartbeats tell whether it is back.
    leader = make_leader('w')
    start_on_worker(leader)
    leader.fail_poll('w')
    leader.apply_due_commands(boottime_s() + 3)
    assert W in leader.service.state.worker_by_id


def test_reply_does_not_delay_the_removal_of_a_replaced_worker() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    (start,) = leader.sender.starts
    sent_at = boottime_s()
    leader.handle(
        local.StartDone(
            W, start.fence, start.attempt, WorkerReply(ReplyStatus.REPLACED)
        )
    )
    leader.handle(
        local.PollDone(W, start.fence, PollReply(1, 1000, (), ()), sent_at)
    )
    leader.apply_due_commands(boottime_s() + 0.1)
    assert W not in leader.service.state.worker_by_id


def test_worker_that_did_not_leave_gets_work_again() -> None:
    leader = make_leader('w')
    leader.handle(requests.WorkerLeft(W, 1))
    now = boottime_s()
    for elapsed_s in range(12):
        leader.reply_to_poll_at('w', now + elapsed_s)
        leader.apply_due_commands(now + elapsed_s + 0.1)
    leader.handle(requests.SubmitWork('h', '/q/1', 'key', SPEC))
    leader.apply_due_commands(now + 11.5)
    assert len(leader.sender.starts) == 1


def test_departure_without_an_incarnation_is_no_crash() -> None:
    for is_told_late in (False, True):
        leader = make_leader('w')
        start = start_on_worker(leader)
        leader.handle(requests.WorkerLeft(W, 0))
        leader.reply_to_poll(
            'w', running=(RunningAttempt(start.attempt, '', 5),)
        )
        if is_told_late:
            expire_lease(leader)
        return_as(leader, 2)
        assert not crash_evidence(leader, start)


def test_replicas_of_the_release_before_read_every_command() -> None:
    # During a rolling restart an unknown command would end their process.
    leader = make_leader('w')
    tags = []
    apply = leader.service.apply

    def record_and_apply(payload: bytes) -> typing.Any:
        tags.append(msgspec.msgpack.decode(payload)['type'])
        return apply(payload)

    leader.service.apply = record_and_apply
    start_on_lost_worker(leader)
    return_as(leader, 2)
    leader.handle(requests.WorkerLeft(W, 2))
    return_as(leader, 1)
    leader.reply_to_poll('w', incarnation=1)
    assert set(tags) <= TAGS_OF_RELEASE_0_5


load_tests = function_tests(globals())
