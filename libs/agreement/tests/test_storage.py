"""Tests of what a replica keeps on its disk, and of its actor."""

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

ALONE = Membership((ReplicaId('a'),))
PATIENCE_S = 30.0


class Counter:
    """A service that adds up lengths."""

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
        """Nothing is kept by the leader alone."""

    def stop_leading(self) -> None:
        """Nothing is kept by the leader alone."""

    def due_commands(self, now: float) -> list[bytes]:
        return []

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        if request == 'total':
            return self.total
        return Proposal(request, lambda total: total)


class NoPeers:
    """Carries nothing, since there is nobody."""

    def send(self, envelopes: list[Envelope]) -> None:
        """Lose everything."""


class Running:
    """One replica that is a group of its own."""

    def __init__(self, folder: str, snapshot_bytes: int) -> None:
        self.folder = pathlib.Path(folder)
        setup = ReplicaSetup(
            GroupName('g'),
            ReplicaId('a'),
            ALONE,
            RaftTiming(0.01, 0.05),
            1000,
            snapshot_bytes,
            seed=1,
        )
        storage = ReplicaStorage(Journal(self.folder))
        self.ref = Replica.start(setup, storage, Counter(), NoPeers())

    def ask(self, request: typing.Any) -> typing.Any:
        deadline = time.monotonic() + PATIENCE_S
        while True:
            self.ref.tell(Tick())
            reply: concurrent.futures.Future[typing.Any]
            reply = concurrent.futures.Future()
            self.ref.tell(Call(request, reply))
            try:
                return reply.result(PATIENCE_S)
            except Exception:
                assert time.monotonic() < deadline
                time.sleep(0.01)


def test_votes_and_entries_survive() -> None:
    with tempfile.TemporaryDirectory() as folder:
        storage = ReplicaStorage(Journal(pathlib.Path(folder)))
        storage.recover(ALONE)
        entries = [Entry(1, 1, b'x'), Entry(1, 2, b'y'), Entry(2, 2, b'z')]
        storage.save(HardState(2, ReplicaId('b')), entries)
        storage.close()
        again = ReplicaStorage(Journal(pathlib.Path(folder))).recover(ALONE)
        assert again.hard_state == HardState(2, ReplicaId('b'))
        assert again.log.entries_between(1, 9) == (entries[0], entries[2])


def test_a_replica_answers_and_finds_its_state_again() -> None:
    with tempfile.TemporaryDirectory() as folder:
        running = Running(folder, snapshot_bytes=10**9)
        assert running.ask(b'four') == 4
        assert running.ask('total') == 4
        running.ref.stop()
        running = Running(folder, snapshot_bytes=10**9)
        assert running.ask(b'six...') == 10
        running.ref.stop()


def test_large_commands_are_soon_replaced_by_a_snapshot() -> None:
    """Regression: a day of large changes would have been replayed."""
    with tempfile.TemporaryDirectory() as folder:
        running = Running(folder, snapshot_bytes=10_000)
        for _ in range(8):
            running.ask(bytes(4000))
        running.ref.stop()
        assert list(running.folder.glob('*.snapshot'))
        assert (
            len(
                ReplicaStorage(Journal(running.folder))
                .recover(ALONE)
                .log.entries_between(0, 99)
            )
            < 8
        )
        running = Running(folder, snapshot_bytes=10_000)
        assert running.ask('total') == 32_000
        running.ref.stop()


load_tests = function_tests(globals())
