"""Tests of where a process looks for the leader."""

from cassiahold.agreement.membership_planner import make_replica_id
from cassiahold.agreement.messages import Membership
from cassiahold.cell.discovery import Directory
from cassiahold.cell.requests import GroupView
from cassiahold.core.testing import function_tests

SEEDS = ('10.0.0.1:1', '10.0.0.2:1')
MEMBER = make_replica_id('10.0.0.3:1', 'disk')


def test_seeds_are_tried_until_members_are_known() -> None:
    directory = Directory(SEEDS)
    assert directory.candidates() == list(SEEDS)
    directory.learn(GroupView(MEMBER, 3, Membership((MEMBER,))))
    assert directory.candidates()[0] == '10.0.0.3:1'
    assert set(SEEDS) < set(directory.candidates())


def test_an_older_view_changes_nothing() -> None:
    directory = Directory(SEEDS)
    directory.learn(GroupView(MEMBER, 3, Membership((MEMBER,))))
    old = make_replica_id(SEEDS[1], 'disk')
    directory.learn(GroupView(old, 2, Membership((old,))))
    assert directory.leader == '10.0.0.3:1'


def test_processes_that_do_not_answer_are_tried_last() -> None:
    directory = Directory(SEEDS)
    directory.note_unreachable(SEEDS[0])
    assert directory.candidates() == [SEEDS[1], SEEDS[0]]
    directory.note_reached(SEEDS[0])
    assert directory.candidates() == list(SEEDS)


def test_a_named_leader_is_tried_first_though_it_was_unreachable() -> None:
    directory = Directory(SEEDS)
    directory.note_unreachable('10.0.0.3:1')
    # It has come back, and the others know it as the leader.
    directory.hint(MEMBER)
    assert directory.candidates()[0] == '10.0.0.3:1'


def test_exchanged_seeds_replace_the_old_ones() -> None:
    directory = Directory(SEEDS)
    directory.replace_seeds(('10.0.0.9:1',))
    assert directory.candidates() == ['10.0.0.9:1']


load_tests = function_tests(globals())
