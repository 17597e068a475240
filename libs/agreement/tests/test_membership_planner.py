"""Tests of the planner that chooses a group's membership changes."""

from cassiahold.agreement.membership_planner import (
    MembershipPlanner,
    PeerStatus,
    make_replica_id,
)
from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId
from cassiahold.core.testing import function_tests

A, B, C, D = (make_replica_id(f'10.0.0.{n}:1', 'first') for n in range(1, 5))
NEW_A = make_replica_id('10.0.0.1:1', 'fresh')
HEALTHY = PeerStatus(lag_entries=0, silent_s=0.1)
SILENT = PeerStatus(lag_entries=900, silent_s=9.0)


def apply_all_changes(
    planner: MembershipPlanner,
    membership: Membership,
    status_by_id: dict[ReplicaId, PeerStatus],
) -> Membership:
    """Apply changes until none is left; each may change one voter."""
    for _ in range(12):
        change = planner.next_change(membership, status_by_id, 1.0)
        if change is None:
            return membership
        changed_voters = set(change.voters).symmetric_difference(
            membership.voters
        )
        assert len(changed_voters) <= 1
        membership = change
    raise AssertionError(f'changes do not end: {membership}')


def test_a_joining_replica_is_a_learner_until_it_caught_up() -> None:
    planner = MembershipPlanner(A, 3)
    planner.record_join_request(C, 0.9)
    first = planner.next_change(Membership((A, B)), {B: HEALTHY}, 1.0)
    assert first == Membership((A, B), (C,))
    behind = {B: HEALTHY, C: PeerStatus(lag_entries=500, silent_s=0.1)}
    assert planner.next_change(first, behind, 1.0) is None
    voters = apply_all_changes(planner, first, {B: HEALTHY, C: HEALTHY}).voters
    assert voters == (A, B, C)


def test_a_replica_with_a_new_disk_replaces_its_old_identity() -> None:
    planner = MembershipPlanner(B, 3)
    planner.record_join_request(NEW_A, 0.9)
    start = Membership((A, B, C))
    status_by_id = {A: SILENT, C: HEALTHY, NEW_A: HEALTHY}
    final = apply_all_changes(planner, start, status_by_id)
    assert set(final.voters) == {B, C, NEW_A}
    assert A not in final.members


def test_a_ready_learner_replaces_a_silent_voter() -> None:
    final = apply_all_changes(
        MembershipPlanner(A, 3),
        Membership((A, B, C), (D,)),
        {B: SILENT, C: HEALTHY, D: HEALTHY},
    )
    assert set(final.voters) == {A, C, D}
    assert final.learners == (B,)


def test_no_change_without_a_learner_to_promote() -> None:
    start = Membership((A, B, C), (D,))
    status_by_id = {B: SILENT, C: HEALTHY, D: SILENT}
    assert MembershipPlanner(A, 3).next_change(start, status_by_id, 1.0) is None


def test_an_old_join_request_is_ignored() -> None:
    planner = MembershipPlanner(A, 3)
    planner.record_join_request(D, -9.0)
    assert planner.next_change(Membership((A,)), {}, 1.0) is None


def test_the_leader_stays_a_voter() -> None:
    final = apply_all_changes(
        MembershipPlanner(D, 3),
        Membership((A, B, C, D)),
        {A: HEALTHY, B: HEALTHY, C: HEALTHY},
    )
    assert D in final.voters
    assert len(final.voters) == 3


load_tests = function_tests(globals())
