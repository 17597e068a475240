"""Tests of one replica whose disk is full for a time."""

import concurrent.futures
import contextlib
import pathlib
import time
import typing

from cassiahold.agreement.disk_wait import ROOM_CHECK_INTERVAL_S
from cassiahold.agreement.messages import (
    Entry,
    Envelope,
    HardState,
    Membership,
)
from cassiahold.agreement.node import RaftTiming
from cassiahold.agreement.replica import (
    DISK_FULL_ROLE,
    Call,
    ChangeMembership,
    InspectReplica,
    Proposal,
    Replica,
    ReplicaSetup,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.journal import Journal
from cassiahold.journal.testing import SimulatedDisk

FOLDER = pathlib.Path('/simulated')
REPLICA = ReplicaId('a')
SINGLE_VOTER = Membership((REPLICA,))
TIMEOUT_S = 5.0


class Commands:
    """A service whose state is the concatenation of its commands."""

    def __init__(self) -> None:
        self.text = b''

    def apply(self, payload: bytes) -> bytes:
        self.text += payload
        return self.text

    def snapshot(self) -> bytes:
        return b'>' + self.text

    def restore(self, state: bytes) -> None:
        self.text = state[1:]

    def start_leading(self, term: int, now: float) -> None:
        """Nothing to do."""

    def stop_leading(self) -> None:
        """Nothing to do."""

    def due_commands(self, now: float) -> list[bytes]:
        return []

    def handle_request(self, request: bytes, now: float) -> Proposal:
        return Proposal(request, lambda text: text)


class NoPeers:
    """Transport of a group of one replica."""

    def send(self, envelopes: list[Envelope]) -> None:
        raise AssertionError('the group has no other replica')


class RunningReplica:
    """A replica that leads its group of one, and its disk."""

    def __init__(self, max_log_records: int = 100) -> None:
        self.disk = SimulatedDisk()
        self.disk_reports: list[bool] = []
        self.ref = Replica.start(
            ReplicaSetup(
                GroupName('g'),
                REPLICA,
                SINGLE_VOTER,
                RaftTiming(0.02, 0.05),
                max_log_records,
                max_log_bytes=10_000,
                seed=1,
            ),
            ReplicaStorage(Journal(FOLDER, self.disk)),
            Commands(),
            NoPeers(),
            self.disk_reports.append,
        )

    def call(self, command: bytes) -> typing.Any:
        """Return the reply, or the kind of the error."""
        self.ref.tell(Tick())
        return self.outcome(lambda future: Call(command, future))

    def outcome(self, make_message: typing.Callable[..., typing.Any]) -> object:
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        self.ref.tell(make_message(future))
        try:
            return future.result(TIMEOUT_S)
        except CassiaholdError as exc:
            return exc.kind

    def call_until_led(self, command: bytes) -> typing.Any:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            reply = self.call(command)
            if reply is not ErrorKind.NO_QUORUM:
                return reply
            time.sleep(0.01)
        raise AssertionError('the replica does not lead')

    def role(self) -> str:
        view = self.outcome(InspectReplica)
        return str(getattr(view, 'role', view))


@contextlib.contextmanager
def running_replica(**options: typing.Any) -> typing.Iterator[RunningReplica]:
    replica = RunningReplica(**options)
    try:
        yield replica
    finally:
        replica.ref.stop()


def test_a_full_disk_does_not_stop_the_replica() -> None:
    with running_replica() as replica:
        assert replica.call_until_led(b'a') == b'a'
        replica.disk.is_full, replica.disk.torn_bytes = True, 9
        # The command is neither stored nor sent: it has certainly not run.
        assert replica.call(b'b') is ErrorKind.NO_QUORUM
        assert replica.role() == DISK_FULL_ROLE
        assert replica.call(b'c') is ErrorKind.NO_QUORUM
        replica.disk.is_full = False
        assert replica.call_until_led(b'd') == b'ad'
        assert replica.disk_reports == [False, True, False]


def test_a_replica_stays_quiet_while_its_disk_is_full() -> None:
    with running_replica() as replica:
        replica.call_until_led(b'a')
        replica.disk.is_full = True
        replica.call(b'b')
        end = time.monotonic() + 2 * ROOM_CHECK_INTERVAL_S
        while time.monotonic() < end:
            replica.ref.tell(Tick())
            assert replica.role() == DISK_FULL_ROLE
            time.sleep(0.01)
        assert (
            replica.outcome(
                lambda future: ChangeMembership(SINGLE_VOTER, future)
            )
            is ErrorKind.NO_QUORUM
        )
        assert replica.ref.is_alive()


def test_a_snapshot_that_finds_no_room_is_taken_later() -> None:
    with running_replica(max_log_records=4) as replica:
        replica.call_until_led(b'a')
        with contextlib.ExitStack() as stack:
            replica.disk.is_full = True
            stack.callback(setattr, replica.disk, 'is_full', False)
            replica.call(b'b')
        for command in (b'c', b'd', b'e', b'f', b'g'):
            replica.call_until_led(command)
        assert replica.call_until_led(b'h') == b'acdefgh'
        names = replica.disk.list_names(FOLDER)
        assert any(name.endswith('.snapshot') for name in names)


def test_a_failed_sync_still_stops_the_replica() -> None:
    with running_replica() as replica:
        replica.call_until_led(b'a')
        replica.disk.is_sync_failing = True
        assert replica.call(b'b') is ErrorKind.OUTCOME_UNKNOWN
        replica.ref.actor_stopped.wait(TIMEOUT_S)
        assert not replica.ref.is_alive()


def test_a_vote_that_was_not_written_is_forgotten() -> None:
    disk = SimulatedDisk()
    storage = ReplicaStorage(Journal(FOLDER, disk))
    storage.recover(SINGLE_VOTER)
    storage.save(HardState(1, REPLICA), [Entry(1, 1, b'x')])
    disk.is_full = True
    vote = HardState(2, ReplicaId('b'))
    expect_error(ErrorKind.STORAGE_FAILED, lambda: storage.save(vote, ()))
    disk.is_full = False
    assert storage.recover(SINGLE_VOTER).hard_state == HardState(1, REPLICA)
    storage.save(None, [Entry(1, 2, b'y')])
    recovered = ReplicaStorage(Journal(FOLDER, disk)).recover(SINGLE_VOTER)
    assert recovered.hard_state == HardState(1, REPLICA)
    assert recovered.log.last_index == 2


load_tests = function_tests(globals())
