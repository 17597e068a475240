"""Tests of workers whose start time goes backward, without I/O.

The clock of the worker's machine was set back before the worker restarted.
"""

from leader_fixtures import (
    LeaderFixture,
    confirm,
    crash_evidence,
    expire_lease,
    make_leader,
    return_as,
    submit,
)

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell.clients import StartRequest
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.crashes import CrashEvidence
from cassiahold.workflows.model import WorkerInfo
from cassiahold.workflows.sessions import PollReply

W = WorkerId('w')
# The worker that started with the later time was the earlier one.
BEFORE = 50
AFTER = 20


def make_running_leader() -> LeaderFixture:
    """Return a leader with a task on ``w``, which has not restarted yet."""
    leader = make_leader()
    leader.send_heartbeat('w', incarnation=BEFORE, sequence=7)
    leader.reply_to_poll('w', incarnation=BEFORE)
    submit(leader, '/q/1')
    confirm(leader, leader.sender.starts[-1])
    return leader


def first_start(leader: LeaderFixture) -> StartRequest:
    return leader.sender.starts[0]


def registered_worker(leader: LeaderFixture) -> WorkerInfo:
    return leader.service.state.worker_by_id[W].info


def restart(leader: LeaderFixture) -> None:
    """Let the new incarnation reply to the polls of the earlier session."""
    leader.send_heartbeat('w', incarnation=AFTER)
    leader.reply_to_poll('w', incarnation=AFTER)
    leader.reply_to_poll('w', incarnation=AFTER)


def test_restart_whose_clock_was_set_back_is_found_by_a_poll() -> None:
    leader = make_running_leader()
    restart(leader)
    assert registered_worker(leader).incarnation == AFTER
    assert (
        crash_evidence(leader, first_start(leader)) == CrashEvidence.ONLY_RECENT
    )
    leader.apply_due_commands(boottime_s() + 0.1)
    leader.apply_due_commands(boottime_s() + 0.2)
    # Its capacity may be another one now.
    assert len(leader.sender.starts) == 1
    leader.send_heartbeat('w', AFTER)
    leader.apply_due_commands(boottime_s() + 0.3)
    assert len(leader.sender.starts) == 2


def test_worker_whose_clock_was_set_back_is_heard_again() -> None:
    leader = make_running_leader()
    restart(leader)
    leader.send_heartbeat('w', AFTER, sequence=2, is_draining=True)
    assert registered_worker(leader).is_draining


def test_next_leader_finds_a_restart_whose_clock_was_set_back() -> None:
    leader = make_running_leader()
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    restart(leader)
    assert registered_worker(leader).incarnation == AFTER
    assert crash_evidence(leader, first_start(leader)) == CrashEvidence.PRESENT


def test_new_leader_counts_the_crash_before_the_clock_was_set_back() -> None:
    # The earlier leader registered the worker but did not poll it again.
    leader = make_running_leader()
    leader.reply_to_poll('w', incarnation=AFTER)
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    leader.reply_to_poll('w', incarnation=AFTER)
    assert crash_evidence(leader, first_start(leader)) == CrashEvidence.PRESENT


def test_late_heartbeat_does_not_bring_back_a_replaced_incarnation() -> None:
    leader = make_running_leader()
    restart(leader)
    for _ in range(2):
        leader.send_heartbeat('w', BEFORE, sequence=8)
        leader.send_heartbeat('w', AFTER, sequence=2)
        assert registered_worker(leader).incarnation == AFTER
        leader.service.restore(leader.service.snapshot())
        leader.start_next_term()


def test_late_heartbeat_of_an_earlier_incarnation_changes_nothing() -> None:
    leader = make_running_leader()
    fence = leader.sender.fence_by_worker[W]
    leader.send_heartbeat('w', AFTER, sequence=99)
    leader.reply_to_poll('w', incarnation=BEFORE)
    assert registered_worker(leader).incarnation == BEFORE
    assert leader.sender.fence_by_worker[W] == fence


def test_worker_that_nobody_polls_is_registered_after_its_lease() -> None:
    # It is at another address now, where the leader does not poll.
    leader = make_running_leader()
    leader.send_heartbeat('w', AFTER)
    expire_lease(leader)
    return_as(leader, AFTER)
    assert registered_worker(leader).incarnation == AFTER
    assert (
        crash_evidence(leader, first_start(leader)) == CrashEvidence.ONLY_RECENT
    )


def test_late_heartbeat_after_the_lease_does_not_end_the_draining() -> None:
    leader = make_leader('w')
    leader.send_heartbeat('w', sequence=8, is_draining=True)
    expire_lease(leader)
    leader.send_heartbeat('w', sequence=7)
    assert W not in leader.service.state.worker_by_id


def test_poll_does_not_undo_a_registration_that_is_stored_before_it() -> None:
    leader = make_running_leader()
    fence = leader.sender.fence_by_worker[W]
    reply = PollReply(AFTER, 1000, (), ())
    proposal = leader.service.handle_request(
        local.PollDone(W, fence, reply, boottime_s()), boottime_s()
    )
    assert isinstance(proposal, Proposal)
    for incarnation in (BEFORE + 1, BEFORE + 2):
        leader.send_heartbeat('w', incarnation)
        leader.service.apply(proposal.payload)
        assert registered_worker(leader).incarnation == incarnation


def test_removal_does_not_remove_an_incarnation_registered_before_it() -> None:
    leader = make_running_leader()
    leader.reply_to_poll('w', incarnation=AFTER)
    removal = commands.RemoveWorker(W, BEFORE, 1.0)
    leader.service.apply(commands.encode_command(removal))
    assert registered_worker(leader).incarnation == AFTER


load_tests = function_tests(globals())
