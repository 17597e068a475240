"""Tests of the order in which addresses of a leader are tried."""

from cassiahold.agreement.membership_planner import make_replica_id
from cassiahold.agreement.messages import Membership
from cassiahold.cell.discovery import ReplicaDirectory
from cassiahold.cell.requests import GroupView
from cassiahold.core.testing import function_tests

SEEDS = ('10.0.0.1:1', '10.0.0.2:1')
MEMBER = make_replica_id('10.0.0.3:1', 'disk')


def test_members_are_tried_before_seeds() -> None:
    directory = ReplicaDirectory(SEEDS)
    assert directory.candidates() == list(SEEDS)
    directory.update_from_view(GroupView(MEMBER, 3, Membership((MEMBER,))))
    assert directory.candidates()[0] == '10.0.0.3:1'
    assert set(SEEDS) < set(directory.candidates())


def test_view_of_an_older_term_is_ignored() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.update_from_view(GroupView(MEMBER, 3, Membership((MEMBER,))))
    old = make_replica_id(SEEDS[1], 'disk')
    directory.update_from_view(GroupView(old, 2, Membership((old,))))
    assert directory.leader == '10.0.0.3:1'


def test_unreachable_addresses_are_tried_last() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.mark_unreachable(SEEDS[0])
    assert directory.candidates() == [SEEDS[1], SEEDS[0]]
    directory.mark_reachable(SEEDS[0])
    assert directory.candidates() == list(SEEDS)


def test_suggested_leader_is_tried_first_even_if_unreachable() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.mark_unreachable('10.0.0.3:1')
    # It can be reached again, and other replicas know it as the leader.
    directory.suggest_leader(MEMBER)
    assert directory.candidates()[0] == '10.0.0.3:1'


def test_replaced_seeds_are_no_longer_tried() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.replace_seeds(('10.0.0.9:1',))
    assert directory.candidates() == ['10.0.0.9:1']


load_tests = function_tests(globals())
