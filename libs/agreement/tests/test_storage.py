"""Tests of a replica's storage and of its actor."""

import concurrent.futures
import pathlib
import tempfile
import time
import typing

from cassiahold.agreement.messages import (
    Entry,
    Envelope,
    HardState,
    Membership,
)
from cassiahold.agreement.node import RaftTiming
from cassiahold.agreement.replica import (
    Call,
    Proposal,
    Replica,
    ReplicaSetup,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.core.testing import function_tests
from cassiahold.journal import Journal

SINGLE_VOTER = Membership((ReplicaId('a'),))
REPLY_TIMEOUT_S = 30.0


class Counter:
    """A service whose state is the total length of its commands."""

    def __init__(self) -> None:
        self.total = 0

    def apply(self, payload: bytes) -> int:
        self.total += len(payload)
        return self.total

    def snapshot(self) -> bytes:
        return str(self.total).encode()

    def restore(self, state: bytes) -> None:
        self.total = int(state)

    def start_leading(self, term: int, now: float) -> None:
        """Do nothing; the leader has no state of its own."""

    def stop_leading(self) -> None:
        """Do nothing; the leader has no state of its own."""

    def due_commands(self, now: float) -> list[bytes]:
        return []

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        if request == 'total':
            return self.total
        return Proposal(request, lambda total: total)


class NullTransport:
    """The transport of a group with one replica."""

    def send(self, envelopes: list[Envelope]) -> None:
        """Drop the envelopes."""


class SingleReplicaGroup:
    """A running group with one replica."""

    def __init__(self, folder: str, snapshot_bytes: int) -> None:
        self.folder = pathlib.Path(folder)
        setup = ReplicaSetup(
            GroupName('g'),
            ReplicaId('a'),
            SINGLE_VOTER,
            RaftTiming(0.01, 0.05),
            1000,
            snapshot_bytes,
            seed=1,
        )
        storage = ReplicaStorage(Journal(self.folder))
        self.ref = Replica.start(setup, storage, Counter(), NullTransport())

    def call(self, request: typing.Any) -> typing.Any:
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        while True:
            self.ref.tell(Tick())
            reply: concurrent.futures.Future[typing.Any]
            reply = concurrent.futures.Future()
            self.ref.tell(Call(request, reply))
            try:
                return reply.result(REPLY_TIMEOUT_S)
            except Exception:
                assert time.monotonic() < deadline
                time.sleep(0.01)


def test_votes_and_entries_survive_a_restart() -> None:
    with tempfile.TemporaryDirectory() as folder:
        storage = ReplicaStorage(Journal(pathlib.Path(folder)))
        storage.recover(SINGLE_VOTER)
        entries = [Entry(1, 1, b'x'), Entry(1, 2, b'y'), Entry(2, 2, b'z')]
        storage.save(HardState(2, ReplicaId('b')), entries)
        storage.close()
        recovered = ReplicaStorage(Journal(pathlib.Path(folder))).recover(
            SINGLE_VOTER
        )
        assert recovered.hard_state == HardState(2, ReplicaId('b'))
        assert recovered.log.entries_between(1, 9) == (entries[0], entries[2])


def test_a_replica_recovers_its_state_after_a_restart() -> None:
    with tempfile.TemporaryDirectory() as folder:
        group = SingleReplicaGroup(folder, snapshot_bytes=10**9)
        assert group.call(b'four') == 4
        assert group.call('total') == 4
        group.ref.stop()
        group = SingleReplicaGroup(folder, snapshot_bytes=10**9)
        assert group.call(b'six...') == 10
        group.ref.stop()


def test_large_commands_lead_to_a_snapshot() -> None:
    """Regression: only the number of records led to a snapshot.

    A day of large commands would have been replayed at a restart.
    """
    with tempfile.TemporaryDirectory() as folder:
        group = SingleReplicaGroup(folder, snapshot_bytes=10_000)
        for _ in range(8):
            group.call(bytes(4000))
        group.ref.stop()
        assert list(group.folder.glob('*.snapshot'))
        assert (
            len(
                ReplicaStorage(Journal(group.folder))
                .recover(SINGLE_VOTER)
                .log.entries_between(0, 99)
            )
            < 8
        )
        group = SingleReplicaGroup(folder, snapshot_bytes=10_000)
        assert group.call('total') == 32_000
        group.ref.stop()


load_tests = function_tests(globals())
