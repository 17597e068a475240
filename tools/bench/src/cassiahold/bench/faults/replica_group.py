"""A group of replicas with simulated disks, network and clock.

The replicas are those of the programs, journals included; only their threads
are missing, so that a run with one seed always takes the same course.
"""

import concurrent.futures
import contextlib
import pathlib
import random
import typing
from unittest import mock

import msgspec

from cassiahold.agreement.messages import Envelope, Membership
from cassiahold.agreement.node import RaftTiming
from cassiahold.agreement.replica import (
    Call,
    InspectReplica,
    Proposal,
    Replica,
    ReplicaSetup,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.journal import Journal
from cassiahold.journal.testing import SimulatedDisk

VOTERS: typing.Final = tuple(ReplicaId(name) for name in 'abc')
GROUP: typing.Final = GroupName('g')
FOLDER: typing.Final = pathlib.Path('/simulated')
TIMING: typing.Final = RaftTiming(heartbeat_s=0.06, election_s=0.3)
TICK_S: typing.Final = 0.02
SNAPSHOT_RECORDS: typing.Final = 20
SEGMENT_BYTES: typing.Final = 256
SNAPSHOT_BYTES: typing.Final = 1_000_000


class CommandList:
    """A service whose state is the list of its commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, payload: bytes) -> bytes:
        """Add a command."""
        self.commands.append(payload)
        return payload

    def snapshot(self) -> bytes:
        """Return the whole list."""
        return msgspec.msgpack.encode(self.commands)

    def restore(self, state: bytes) -> None:
        """Replace the whole list."""
        self.commands = msgspec.msgpack.decode(state, type=list[bytes])

    def start_leading(self, term: int, now: float) -> None:
        """Do nothing; the leader has no state of its own."""

    def stop_leading(self) -> None:
        """Do nothing; the leader has no state of its own."""

    def due_commands(self, now: float) -> list[bytes]:
        """Return nothing."""
        return []

    def handle_request(self, request: bytes, now: float) -> Proposal:
        """Propose the request as a command."""
        return Proposal(request, lambda outcome: outcome)


class SimulatedHost:
    """A host with a disk; ``replica`` is None while its process is down."""

    def __init__(self, host_id: ReplicaId) -> None:
        self.id = host_id
        self.disk = SimulatedDisk()
        self.full_until = 0.0
        self.replica: Replica | None = None
        self.service = CommandList()
        self.restart_at = 0.0


class SentCall(msgspec.Struct, frozen=True):
    """A command that was sent to a replica, and the future of its reply."""

    command: bytes
    future: concurrent.futures.Future[typing.Any]

    @property
    def is_acknowledged(self) -> bool:
        """Tell whether the caller was told that the command has run."""
        return self.future.done() and self.future.exception() is None

    @property
    def is_refused(self) -> bool:
        """Tell whether the caller was told that it has not run."""
        if not self.future.done():
            return False
        exc = self.future.exception()
        return (
            isinstance(exc, CassiaholdError) and exc.kind is ErrorKind.NO_QUORUM
        )


class ReplicaGroup:
    """Three replicas, their hosts and the messages between them.

    ``ended_processes`` has the host of every process that ended by itself.
    """

    def __init__(self, generator: random.Random) -> None:
        self.now = 100.0
        self.calls: list[SentCall] = []
        self.ended_processes: list[ReplicaId] = []
        self.loss_probability = 0.0
        self._random = generator
        self._envelopes: list[Envelope] = []
        self._stack = contextlib.ExitStack()
        module = 'cassiahold.agreement.replica'
        for target, replacement in (
            (f'{module}.boottime_s', lambda: self.now),
            (f'{module}.time.sleep', lambda _: None),
        ):
            self._stack.enter_context(mock.patch(target, replacement))
        self._stack.enter_context(mock.patch('cassiahold.core.logs.error'))
        self.host_by_id = {voter: SimulatedHost(voter) for voter in VOTERS}
        for host in self.host_by_id.values():
            self.start(host)

    def close(self) -> None:
        """Restore the real clock."""
        self._stack.close()

    def start(self, host: SimulatedHost) -> None:
        """Start the process of a host from what its disk holds."""
        host.service = CommandList()
        host.replica = Replica(
            ReplicaSetup(
                GROUP,
                host.id,
                Membership(VOTERS),
                TIMING,
                SNAPSHOT_RECORDS,
                SNAPSHOT_BYTES,
                self._random.randrange(1 << 30),
            ),
            ReplicaStorage(Journal(FOLDER, host.disk, SEGMENT_BYTES)),
            host.service,
            self,
        )

    def send(self, envelopes: list[Envelope]) -> None:
        """Take the messages of a replica."""
        self._envelopes.extend(envelopes)

    def fill_disk(self, host: SimulatedHost, full_s: float) -> None:
        """Let a disk take no more bytes for a time."""
        host.disk.is_full = True
        host.disk.torn_bytes = self._random.choice((0, 1, 7, 20))
        host.full_until = self.now + full_s

    def crash(self, host: SimulatedHost, down_s: float) -> None:
        """End a process; its disk keeps only what was synced."""
        if host.replica is not None:
            host.replica.on_stop()
        host.replica = None
        host.disk.lose_power()
        host.restart_at = self.now + down_s

    def call(self, host: SimulatedHost, command: bytes) -> SentCall:
        """Send a command to a host's replica."""
        sent = SentCall(command, concurrent.futures.Future())
        self.calls.append(sent)
        self._deliver(host, Call(command, sent.future))
        return sent

    def leaders(self) -> list[SimulatedHost]:
        """Return the hosts whose replicas consider themselves leader."""
        return [
            host
            for host in self.host_by_id.values()
            if host.replica is not None and self.role(host) == 'leader'
        ]

    def role(self, host: SimulatedHost) -> str:
        """Return the role that a replica reports."""
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        assert host.replica is not None
        host.replica.handle_inspect(InspectReplica(future))
        return str(future.result().role)

    def advance(self, duration_s: float) -> None:
        """Let time pass, with messages between the replicas."""
        end = self.now + duration_s
        while self.now < end:
            self.now += TICK_S
            for host in self.host_by_id.values():
                self._end_due_faults(host)
                self._deliver(host, Tick())
            self._deliver_envelopes()

    def _end_due_faults(self, host: SimulatedHost) -> None:
        if self.now >= host.full_until:
            host.disk.is_full = False
        if host.replica is None and self.now >= host.restart_at:
            self.start(host)

    def _deliver_envelopes(self) -> None:
        envelopes = self._envelopes
        self._envelopes = []
        for envelope in envelopes:
            if self._random.random() < self.loss_probability:
                continue
            if self._random.random() < self.loss_probability:
                self._envelopes.append(envelope)  # it is late
                continue
            self._deliver(self.host_by_id[envelope.receiver], envelope)

    def _deliver(self, host: SimulatedHost, message: typing.Any) -> None:
        if host.replica is None:
            return
        try:
            host.replica.on_receive(message)
        except CassiaholdError:
            self.ended_processes.append(host.id)
            self.crash(host, down_s=1.0)
