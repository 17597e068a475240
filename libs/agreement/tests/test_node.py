"""Tests of the Raft protocol on small scripted groups."""

import typing

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from cassiahold.agreement.node import (
    OutgoingMessage,
    RaftNode,
    RaftTiming,
    Role,
)
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import ReplicaId
from cassiahold.core.testing import expect_error, function_tests

A, B, C, D = (ReplicaId(name) for name in 'abcd')
TIMING = RaftTiming(heartbeat_s=0.1, election_s=1.0, clock_drift=0.05)
MEMBERS = Membership((A, B, C))


def new_node(
    name: ReplicaId = A, members: Membership = MEMBERS, now: float = 0.0
) -> RaftNode:
    log = ReplicatedLog(Snapshot(0, 0, members), [])
    return RaftNode(name, log, HardState(), TIMING, now, seed=1)


def process_ready(node: RaftNode) -> list[OutgoingMessage]:
    """Do all work of the driver; return the messages that the node sent."""
    sent: list[OutgoingMessage] = []
    ready = node.ready()
    while ready is not None:
        sent.extend(ready.messages)
        node.advance(ready)
        ready = node.ready()
    return sent


def elected_leader(now: float = 3.0) -> RaftNode:
    """Return a node that has just won an election."""
    node = new_node()
    node.tick(now)
    process_ready(node)
    node.step(VoteReply(1, B, granted=True, is_pre_vote=True), now)
    process_ready(node)
    node.step(VoteReply(1, B, granted=True), now)
    return node


def acknowledge(
    node: RaftNode, now: float, match_index: int, by: ReplicaId = B
) -> None:
    """Let a follower acknowledge an append that was sent at ``now``."""
    node.step(AppendReply(node.term, by, True, match_index, now), now)
    process_ready(node)


def test_an_election_needs_a_majority() -> None:
    node = elected_leader()
    assert node.role is Role.LEADER
    assert node.term == 1


def test_votes_alone_give_no_lease() -> None:
    """Regression: a new leader took its votes for acknowledgements.

    It then had a lease before any follower had acknowledged an append.
    """
    node = elected_leader(3.0)
    process_ready(node)
    assert not node.has_valid_lease(3.0)
    acknowledge(node, 3.05, node.log.last_index)
    assert node.has_valid_lease(3.1)


def test_the_lease_ends_before_others_may_vote() -> None:
    node = elected_leader(3.0)
    process_ready(node)
    acknowledge(node, 3.0, node.log.last_index)
    assert node.has_valid_lease(3.94)
    assert not node.has_valid_lease(3.96)


def test_a_leader_without_a_quorum_steps_down() -> None:
    node = elected_leader(3.0)
    process_ready(node)
    node.tick(3.9)
    assert node.is_leader
    node.tick(4.1)
    assert node.role is Role.FOLLOWER


def test_a_voter_in_contact_with_a_leader_refuses_its_vote() -> None:
    node = new_node()
    node.step(AppendRequest(1, B, 0, 0, 0, 5.0), 5.0)
    process_ready(node)
    node.step(VoteRequest(2, C, 9, 1), 5.9)
    replies = [sent.message for sent in process_ready(node)]
    assert replies == [VoteReply(2, A, granted=False)]
    node.step(VoteRequest(2, C, 9, 1), 6.1)
    assert [sent.message for sent in process_ready(node)] == [
        VoteReply(2, A, granted=True)
    ]


def test_a_restarted_voter_waits_before_it_votes() -> None:
    node = new_node(now=10.0)
    node.step(VoteRequest(1, C, 0, 0), 10.5)
    replies = [sent.message for sent in process_ready(node)]
    assert replies == [VoteReply(1, A, granted=False)]


def test_a_replica_votes_once_in_a_term() -> None:
    node = new_node()
    node.step(VoteRequest(1, B, 0, 0), 5.0)
    node.step(VoteRequest(1, C, 0, 0), 5.0)
    replies = [sent.message for sent in process_ready(node)]
    assert [typing.cast(VoteReply, reply).granted for reply in replies] == [
        True,
        False,
    ]


def test_a_candidate_with_an_older_log_gets_no_vote() -> None:
    node = new_node()
    entry = elected_leader().log.entries_between(1, 1)
    node.step(AppendRequest(1, B, 0, 0, 0, 0.0, entry), 1.0)
    process_ready(node)
    node.step(VoteRequest(2, C, 0, 0), 5.0)
    reply = typing.cast(VoteReply, process_ready(node)[-1].message)
    assert not reply.granted


def test_a_majority_alone_does_not_commit_entries_of_earlier_terms() -> None:
    node = elected_leader()
    process_ready(node)
    node.propose([b'one'], 3.1)
    process_ready(node)
    node.step(VoteRequest(5, C, 99, 9), 9.0)
    process_ready(node)
    node.tick(20.0)
    process_ready(node)
    node.step(VoteReply(node.term + 1, B, granted=True, is_pre_vote=True), 20.0)
    process_ready(node)
    node.step(VoteReply(node.term, B, granted=True), 20.0)
    process_ready(node)
    assert node.is_leader
    acknowledge(node, 20.0, 2)
    assert node.commit_index == 0
    acknowledge(node, 20.1, node.log.last_index)
    assert node.commit_index == node.log.last_index


def test_a_follower_with_missing_entries_catches_up() -> None:
    leader = elected_leader()
    process_ready(leader)
    leader.propose([b'x', b'y'], 3.1)
    process_ready(leader)
    follower = new_node(B)
    follower.step(AppendRequest(1, A, 2, 1, 0, 3.1), 3.1)
    rejected = typing.cast(AppendReply, process_ready(follower)[-1].message)
    assert not rejected.success
    leader.step(rejected, 3.2)
    for _ in range(6):
        for sent in process_ready(leader):
            if sent.receiver == B:
                follower.step(sent.message, 3.2)
        for sent in process_ready(follower):
            leader.step(sent.message, 3.2)
    assert follower.log.last_index == 3
    assert leader.commit_index == 3


def test_a_replica_far_behind_gets_a_snapshot() -> None:
    leader = elected_leader()
    process_ready(leader)
    leader.propose([b'x'] * 10, 3.1)
    process_ready(leader)
    acknowledge(leader, 3.1, 11)
    leader.compact(leader.applied_index, b'state')
    follower = new_node(C)
    leader.step(AppendReply(1, C, False, 0, 3.2, rejected_prev_index=11), 3.2)
    for _ in range(4):
        for sent in process_ready(leader):
            if sent.receiver == C:
                follower.step(sent.message, 3.2)
        for sent in process_ready(follower):
            leader.step(sent.message, 3.2)
    assert follower.log.snapshot.state == b'state'
    assert follower.commit_index == 11


def test_membership_changes_one_voter_at_a_time() -> None:
    node = elected_leader()
    process_ready(node)
    acknowledge(node, 3.1, node.log.last_index)
    error = expect_error(
        ErrorKind.BAD_REQUEST,
        lambda: node.propose_membership(Membership((A, B, D)), 3.2),
    )
    assert 'more than one voter' in error.detail
    node.propose_membership(Membership((A, B, C), (D,)), 3.2)
    error = expect_error(
        ErrorKind.BAD_REQUEST,
        lambda: node.propose_membership(Membership((A, B)), 3.2),
    )
    assert 'not committed' in error.detail


def test_a_learner_becomes_a_voter_only_when_caught_up() -> None:
    node = elected_leader()
    process_ready(node)
    acknowledge(node, 3.1, node.log.last_index)
    node.propose_membership(Membership((A, B, C), (D,)), 3.2)
    node.propose([b'x'] * 100, 3.2)
    process_ready(node)
    acknowledge(node, 3.3, node.log.last_index)
    bigger = Membership((A, B, C, D))
    error = expect_error(
        ErrorKind.BAD_REQUEST, lambda: node.propose_membership(bigger, 3.3)
    )
    assert 'behind' in error.detail
    acknowledge(node, 3.4, node.log.last_index, by=D)
    node.propose_membership(bigger, 3.4)
    assert node.membership == bigger


def test_a_learner_gets_small_batches_only_with_heartbeats() -> None:
    node = elected_leader(3.0)
    process_ready(node)
    acknowledge(node, 3.0, 1)
    node.propose_membership(Membership((A, B, C), (D,)), 3.0)
    process_ready(node)
    acknowledge(node, 3.0, 2)
    acknowledge(node, 3.0, 2, by=D)
    node.propose([b'x'], 3.01)
    receivers = {outgoing.receiver for outgoing in process_ready(node)}
    assert B in receivers
    assert D not in receivers
    node.tick(3.2)
    sent = {
        outgoing.receiver: outgoing.message for outgoing in process_ready(node)
    }
    assert len(sent[D].entries) == 1
    node.propose([b'y' for _ in range(40)], 3.21)
    assert D in {outgoing.receiver for outgoing in process_ready(node)}


def test_no_membership_change_before_the_first_commit_of_a_term() -> None:
    node = elected_leader()
    process_ready(node)
    expect_error(
        ErrorKind.BAD_REQUEST,
        lambda: node.propose_membership(Membership((A, B)), 3.1),
    )


def test_a_follower_cannot_propose() -> None:
    expect_error(ErrorKind.NO_QUORUM, lambda: new_node().propose([b'x'], 0.0))


def test_a_new_leader_appends_an_empty_entry_of_its_term() -> None:
    node = elected_leader()
    assert node.log.entries_between(1, 1)[0].kind is EntryKind.EMPTY
    assert node.log.term_at(1) == 1
    assert node.log.term_at(2) is None


load_tests = function_tests(globals())
