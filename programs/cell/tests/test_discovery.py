"""Tests of where a process looks for the leader."""

from cassiahold.agreement.messages import Membership
from cassiahold.agreement.repair import replica_id
from cassiahold.cell.discovery import ReplicaDirectory
from cassiahold.cell.requests import GroupView
from cassiahold.core.testing import function_tests

SEEDS = ('10.0.0.1:1', '10.0.0.2:1')
MEMBER = replica_id('10.0.0.3:1', 'disk')


def test_seeds_are_tried_until_members_are_known() -> None:
    directory = ReplicaDirectory(SEEDS)
    assert directory.candidates() == list(SEEDS)
    directory.update_from_view(GroupView(MEMBER, 3, Membership((MEMBER,))))
    assert directory.candidates()[0] == '10.0.0.3:1'
    assert set(SEEDS) < set(directory.candidates())


def test_an_older_view_changes_nothing() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.update_from_view(GroupView(MEMBER, 3, Membership((MEMBER,))))
    old = replica_id(SEEDS[1], 'disk')
    directory.update_from_view(GroupView(old, 2, Membership((old,))))
    assert directory.leader == '10.0.0.3:1'


def test_processes_that_do_not_answer_are_tried_last() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.mark_unreachable(SEEDS[0])
    assert directory.candidates() == [SEEDS[1], SEEDS[0]]
    directory.mark_reachable(SEEDS[0])
    assert directory.candidates() == list(SEEDS)


def test_a_named_leader_is_tried_first_though_it_was_unreachable() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.mark_unreachable('10.0.0.3:1')
    # It has come back, and the others know it as the leader.
    directory.suggest_leader(MEMBER)
    assert directory.candidates()[0] == '10.0.0.3:1'


def test_exchanged_seeds_replace_the_old_ones() -> None:
    directory = ReplicaDirectory(SEEDS)
    directory.replace_seeds(('10.0.0.9:1',))
    assert directory.candidates() == ['10.0.0.9:1']


load_tests = function_tests(globals())
