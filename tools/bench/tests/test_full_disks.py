"""Tests of a group of replicas whose disks are full for a time.

The random runs are repeated with planted defects, to check that they find
them.
"""

import contextlib
import random
import typing
from unittest import mock

from cassiahold.agreement.replica import DISK_FULL_ROLE, Replica
from cassiahold.bench.faults.replica_group import (
    TICK_S,
    TIMING,
    ReplicaGroup,
)
from cassiahold.bench.faults.seed_runner import run_examples, run_seed
from cassiahold.core.exceptions import CassiaholdError, DiskFullError
from cassiahold.core.testing import function_tests
from cassiahold.journal import Journal

FULL_S = 4.0
RESUME_S = 1.0
# The randomised timeout, the vote and the first commit.
ELECTION_S = 3 * TIMING.election_s


@contextlib.contextmanager
def running_group() -> typing.Iterator[ReplicaGroup]:
    with contextlib.closing(ReplicaGroup(random.Random(1))) as group:
        group.advance(2.0)
        yield group


def change(group: ReplicaGroup, command: bytes) -> bool:
    """Send a command to the leader; tell whether it is acknowledged."""
    call = group.call(group.leaders()[-1], command)
    group.advance(0.2)
    return call.is_acknowledged


def assert_all_have(group: ReplicaGroup, commands: list[bytes]) -> None:
    for host in group.host_by_id.values():
        assert host.service.commands == commands, host.id
    assert not group.ended_processes


def has_violation(seeds: typing.Iterable[int]) -> bool:
    return any(run_seed('full_disks', seed)[1] is not None for seed in seeds)


def test_full_disks_in_turn_end_no_process_and_stop_no_change() -> None:
    with running_group() as group:
        commands = []
        for number, host in enumerate(group.host_by_id.values()):
            group.fill_disk(host, FULL_S)
            during, after = b'during %d' % number, b'after %d' % number
            change(group, b'refused by a full leader %d' % number)
            group.advance(ELECTION_S)
            assert change(group, during), host.id
            group.advance(FULL_S + RESUME_S)
            assert change(group, after), host.id
            commands.extend((during, after))
        have_run = group.host_by_id['a'].service.commands
        assert [each for each in have_run if each in commands] == commands
        assert_all_have(group, have_run)


def test_disks_that_are_all_full_at_once_stop_changes_only_meanwhile() -> None:
    with running_group() as group:
        assert change(group, b'before')
        for host in group.host_by_id.values():
            group.fill_disk(host, FULL_S)
        assert not change(group, b'meanwhile')
        group.advance(FULL_S + RESUME_S + ELECTION_S)
        assert change(group, b'after')
        assert_all_have(group, [b'before', b'after'])


def test_a_leader_with_a_full_disk_gives_way_at_once() -> None:
    with running_group() as group:
        old_leader = group.leaders()[-1]
        group.fill_disk(old_leader, FULL_S)
        call = group.call(old_leader, b'refused')
        group.advance(TICK_S)
        assert call.is_refused
        assert group.role(old_leader) == DISK_FULL_ROLE
        group.advance(ELECTION_S)
        assert [host.id for host in group.leaders()] != [old_leader.id]
        assert change(group, b'accepted')


def test_a_replica_with_a_full_disk_does_not_disturb_the_leader() -> None:
    with running_group() as group:
        leader = group.leaders()[-1]
        follower = next(
            host for host in group.host_by_id.values() if host is not leader
        )
        assert leader.replica is not None
        term = leader.replica._node.term
        group.fill_disk(follower, FULL_S)
        assert change(group, b'during')
        group.advance(FULL_S + RESUME_S)
        assert group.leaders() == [leader]
        assert leader.replica._node.term == term
        assert_all_have(group, [b'during'])


def test_a_process_that_starts_on_a_full_disk_runs_and_waits() -> None:
    with running_group() as group:
        host = group.leaders()[-1]
        assert change(group, b'before')
        group.fill_disk(host, FULL_S)
        group.crash(host, down_s=0.1)
        group.advance(ELECTION_S)
        assert change(group, b'during')
        group.advance(FULL_S + RESUME_S)
        assert_all_have(group, [b'before', b'during'])


def test_full_disks_keep_the_properties() -> None:
    run_examples('full_disks', max_examples=5, step_count=5)
    # 44: a second header after a torn first write damaged the journal.
    # 91: the caller of a removed entry was never answered.
    for seed in (0, 1, 44, 91):
        _, violation = run_seed('full_disks', seed)
        assert violation is None, violation


def test_exits_on_a_full_disk_are_detected() -> None:
    def stop(replica: Replica, error: DiskFullError) -> None:
        raise error

    with mock.patch.object(Replica, '_wait_for_room', stop):
        assert has_violation(range(3))


def test_a_torn_write_that_is_not_cut_is_detected() -> None:
    def wait_only(replica: Replica, error: DiskFullError) -> None:
        replica._storage._journal._failure = None

    with mock.patch.object(Replica, '_wait_for_room', wait_only):
        assert has_violation(range(3))


def test_use_after_a_failed_sync_is_detected() -> None:
    original = Journal.sync

    def forgive(journal: Journal) -> None:
        try:
            original(journal)
        except DiskFullError:
            raise
        except CassiaholdError:
            journal._failure = None

    with mock.patch.object(Journal, 'sync', forgive):
        assert has_violation(range(20))


def test_a_replica_that_never_resumes_is_detected() -> None:
    def never(journal: Journal, size: int) -> bool:
        return False

    with mock.patch.object(Journal, 'has_room', never):
        assert has_violation(range(3))


load_tests = function_tests(globals())
