"""Tests of the choice of a group's next membership."""

from cassiahold.agreement.membership_planner import (
    PeerView,
    Repairer,
    make_replica_id,
)
from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId
from cassiahold.core.testing import function_tests

A, B, C, D = (make_replica_id(f'10.0.0.{n}:1', 'first') for n in range(1, 5))
NEW_A = make_replica_id('10.0.0.1:1', 'fresh')
SOUND = PeerView(lag=0, silent_s=0.1)
SILENT = PeerView(lag=900, silent_s=9.0)


def settle(
    repairer: Repairer,
    membership: Membership,
    peers: dict[ReplicaId, PeerView],
) -> Membership:
    for _ in range(12):
        change = repairer.next_change(membership, peers, 1.0)
        if change is None:
            return membership
        moved = set(change.voters).symmetric_difference(membership.voters)
        assert len(moved) <= 1
        membership = change
    raise AssertionError(f'never settles: {membership}')


def test_a_joiner_learns_before_it_votes() -> None:
    repairer = Repairer(A, 3)
    repairer.ask_to_join(C, 0.9)
    first = repairer.next_change(Membership((A, B)), {B: SOUND}, 1.0)
    assert first == Membership((A, B), (C,))
    behind = {B: SOUND, C: PeerView(lag=500, silent_s=0.1)}
    assert repairer.next_change(first, behind, 1.0) is None
    voters = settle(repairer, first, {B: SOUND, C: SOUND}).voters
    assert voters == (A, B, C)


def test_a_lost_disk_returns_under_a_new_identity() -> None:
    repairer = Repairer(B, 3)
    repairer.ask_to_join(NEW_A, 0.9)
    start = Membership((A, B, C))
    peers = {A: SILENT, C: SOUND, NEW_A: SOUND}
    settled = settle(repairer, start, peers)
    assert set(settled.voters) == {B, C, NEW_A}
    assert A not in settled.members


def test_a_ready_learner_takes_the_place_of_a_silent_voter() -> None:
    settled = settle(
        Repairer(A, 3),
        Membership((A, B, C), (D,)),
        {B: SILENT, C: SOUND, D: SOUND},
    )
    assert set(settled.voters) == {A, C, D}
    assert settled.learners == (B,)


def test_nothing_changes_when_nobody_can_take_over() -> None:
    start = Membership((A, B, C), (D,))
    peers = {B: SILENT, C: SOUND, D: SILENT}
    assert Repairer(A, 3).next_change(start, peers, 1.0) is None


def test_an_old_request_to_join_is_not_acted_on() -> None:
    repairer = Repairer(A, 3)
    repairer.ask_to_join(D, -9.0)
    assert repairer.next_change(Membership((A,)), {}, 1.0) is None


def test_the_leader_stays_a_voter() -> None:
    settled = settle(
        Repairer(D, 3),
        Membership((A, B, C, D)),
        {A: SOUND, B: SOUND, C: SOUND},
    )
    assert D in settled.voters
    assert len(settled.voters) == 3


load_tests = function_tests(globals())
