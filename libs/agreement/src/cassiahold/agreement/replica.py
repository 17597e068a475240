"""The actor that runs one replica of a group.

It gives messages, requests and clock ticks to a ``RaftNode``, writes what the
node returns to disk, sends its messages to the other replicas, applies
committed entries to a ``GroupService`` and replies to callers.
"""

import functools
import time
import typing

import msgspec
import pykka

from cassiahold.agreement.deferred_replies import (
    DeferredReplies,
    DeferredReply,
)
from cassiahold.agreement.disk_wait import DiskFullObserver, DiskWait
from cassiahold.agreement.membership_upkeep import MembershipUpkeep
from cassiahold.agreement.messages import Entry, EntryKind, Envelope, Membership
from cassiahold.agreement.node import RaftNode, RaftTiming, Ready
from cassiahold.agreement.pending_replies import (
    PendingReplies,
    PendingReply,
    ReplyFuture,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import (
    CassiaholdError,
    DiskFullError,
    ErrorKind,
)
from cassiahold.core.ids import GroupName, ReplicaId

# Reported instead of the role of a replica that waits for room on its disk.
DISK_FULL_ROLE: typing.Final = 'disk_full'
MAX_MESSAGES_PER_FLUSH: typing.Final = 256
# Longest wait of a proposal, so that several share messages and a disk sync.
PROPOSAL_INTERVAL_S: typing.Final = 0.01


class Proposal(msgspec.Struct, frozen=True):
    """A command for the log and the function that makes the caller's reply.

    ``make_reply`` is called with the outcome of the command once it is applied,
    and may return a ``DeferredReply``.
    """

    payload: bytes
    make_reply: typing.Callable[[typing.Any], typing.Any]


class GroupService(typing.Protocol):
    """The replicated state machine of a group and its request handlers.

    All methods are called from the actor's thread.
    """

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""

    def restore(self, state: bytes) -> None:
        """Replace the whole replicated state by one from ``snapshot``."""

    def start_leading(self, term: int, now: float) -> None:
        """Start leading; all committed entries have been applied."""

    def stop_leading(self) -> None:
        """Stop leading and drop the state that only a leader keeps."""

    def due_commands(self, now: float) -> list[bytes]:
        """Return commands that the leader proposes without a request."""

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Return the reply to a request, or a ``Proposal`` for the log.

        Called on the leader only.  Raises ``CassiaholdError`` to refuse.
        """


class PeerTransport(typing.Protocol):
    """Sends envelopes to other replicas; they may be lost."""

    def send(self, envelopes: list[Envelope]) -> None:
        """Queue the envelopes and return at once."""


class ReplicaSetup(msgspec.Struct, frozen=True):
    """Parameters with which one replica starts.

    ``initial_membership`` applies only when the disk is empty.  A snapshot is
    taken when the log since the last one reaches ``max_log_records`` or
    ``max_log_bytes``.  ``seed`` is for the random part of election timeouts.
    """

    group: GroupName
    replica: ReplicaId
    initial_membership: Membership
    timing: RaftTiming
    max_log_records: int
    max_log_bytes: int
    seed: int
    # Number of voters to maintain; with 0 only operators change the membership.
    target_voters: int = 0


class Tick(msgspec.Struct, frozen=True):
    """Makes the replica check its timeouts; sent at regular intervals."""


class Call(msgspec.Struct, frozen=True):
    """A request to the group's service, served only by the leader."""

    request: typing.Any
    future: ReplyFuture


class ChangeMembership(msgspec.Struct, frozen=True):
    """Asks the leader to change the voters or learners.

    The result is the index of the committed entry.
    """

    membership: Membership
    future: ReplyFuture


class JoinGroup(msgspec.Struct, frozen=True):
    """Asks the leader to admit a replica as a member."""

    replica: ReplicaId
    future: ReplyFuture


class InspectReplica(msgspec.Struct, frozen=True):
    """Asks for the ``ReplicaView`` of this replica."""

    future: ReplyFuture


class ReplicaView(msgspec.Struct, frozen=True):
    """The state of one replica and its own view of the group."""

    group: GroupName
    replica: ReplicaId
    role: str
    term: int
    leader: ReplicaId | None
    commit_index: int
    last_index: int
    membership: Membership


class NotLeaderError(CassiaholdError):
    """A replica that does not lead got a request; ``leader`` may be None."""

    def __init__(self, leader: ReplicaId | None) -> None:
        super().__init__(
            ErrorKind.NO_QUORUM, f'not the leader; leader is {leader}'
        )
        self.leader = leader


class LeaseLapsedError(NotLeaderError):
    """A leader whose lease has lapsed got a request.

    It leads again, in the same term, once a majority has renewed the lease.
    """


class Replica(pykka.ThreadingActor):
    """The actor of one replica; its inbox takes the messages above.

    A failure of its disk or its service stops the actor.  A full disk does
    not: the replica acts as if it were down until there is room, and then
    goes on from what its disk holds, as after a restart.
    """

    use_daemon_thread = True

    def __init__(
        self,
        setup: ReplicaSetup,
        storage: ReplicaStorage,
        service: GroupService,
        transport: PeerTransport,
        on_disk_full: DiskFullObserver | None = None,
    ) -> None:
        super().__init__()
        self._setup = setup
        self._storage = storage
        self._service = service
        self._transport = transport
        self._proposals: list[Proposal] = []
        self._proposal_futures: list[ReplyFuture] = []
        self._pending_replies = PendingReplies()
        self._deferred_replies = DeferredReplies()
        self._unflushed_messages = 0
        self._is_leading = False
        self._membership_upkeep = MembershipUpkeep(
            setup.group, setup.replica, setup.target_voters
        )
        self._next_proposal_at = 0.0
        self._is_proposal_delayed = False
        self._disk_wait = DiskWait(
            setup.group, setup.replica, storage, on_disk_full
        )
        self._initial_state = service.snapshot()
        self._node = self._recover(state_without_snapshot=b'')

    def on_receive(self, message: typing.Any) -> None:
        """Process one message; propose and write once the inbox is empty."""
        try:
            self._process_message(message)
        except DiskFullError as exc:
            self._wait_for_room(exc)

    def _process_message(self, message: typing.Any) -> None:
        _receive(message, self)
        self._unflushed_messages += 1
        is_full = self._unflushed_messages >= MAX_MESSAGES_PER_FLUSH
        if is_full or self.actor_inbox.empty():
            self._unflushed_messages = 0
            self._flush()
            self._flush_delayed_proposals()

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: typing.Any,
    ) -> None:
        """Log why this replica stops; its process exits as well."""
        logs.error(
            'replica_failed',
            group=self._setup.group,
            replica=self._setup.replica,
            kind=exception_type.__name__ if exception_type else '',
            error=exception_value,
        )
        self.on_stop()

    def on_stop(self) -> None:
        """Close the storage and answer every caller that waits."""
        self._storage.close()
        self._refuse_queued()
        self._pending_replies.fail_all()

    def handle_tick(self) -> None:
        """Let the protocol check its timeouts."""
        now = boottime_s()
        if self._disk_wait.is_waiting:
            if self._disk_wait.has_room(now):
                self._node = self._recover(self._initial_state)
                self._disk_wait.end(now)
            return
        self._node.tick(now)

    def handle_envelope(self, envelope: Envelope) -> None:
        """Process a message from another replica."""
        if not self._disk_wait.is_waiting:
            self._node.step(envelope.message, boottime_s())

    def handle_call(self, call: Call) -> None:
        """Reply to a request, or queue its proposal."""
        now = boottime_s()
        if not self._may_serve(now):
            error = LeaseLapsedError if self._is_leading else NotLeaderError
            call.future.set_exception(error(self._node.leader))
            return
        try:
            reply = self._service.handle_request(call.request, now)
        except CassiaholdError as exc:
            call.future.set_exception(exc)
            return
        except Exception as exc:  # noqa: BLE001
            # One request must not stop the replica for all others.  Only
            # commands change the replicated state, and none was proposed.
            self._fail_faulty_call(call, exc)
            return
        if isinstance(reply, Proposal):
            self._proposals.append(reply)
            self._proposal_futures.append(call.future)
        else:
            call.future.set_result(reply)

    def _fail_faulty_call(self, call: Call, exc: Exception) -> None:
        request = type(call.request).__name__
        logs.error(
            'request_handler_failed',
            group=self._setup.group,
            request=request,
            error=repr(exc),
        )
        call.future.set_exception(
            CassiaholdError(
                ErrorKind.INTERNAL, f'{request}: {type(exc).__name__}'
            )
        )

    def handle_membership_change(self, change: ChangeMembership) -> None:
        """Propose a membership change; the reply follows its commit."""
        try:
            index = self._node.propose_membership(
                change.membership, boottime_s()
            )
        except CassiaholdError as exc:
            change.future.set_exception(exc)
            return
        self._pending_replies.add(
            index,
            PendingReply(self._node.term, change.future, lambda _: index),
        )

    def handle_join(self, request: JoinGroup) -> None:
        """Record the request of a replica that asks to be admitted."""
        if not self._may_serve(boottime_s()):
            request.future.set_exception(NotLeaderError(self._node.leader))
            return
        self._membership_upkeep.record_join_request(
            request.replica, boottime_s()
        )
        request.future.set_result(None)

    def handle_inspect(self, request: InspectReplica) -> None:
        """Reply with this replica's view."""
        node = self._node
        request.future.set_result(
            ReplicaView(
                self._setup.group,
                self._setup.replica,
                DISK_FULL_ROLE
                if self._disk_wait.is_waiting
                else node.role.value,
                node.term,
                node.leader,
                node.commit_index,
                node.log.last_index,
                node.membership,
            )
        )

    def _recover(self, state_without_snapshot: bytes) -> RaftNode:
        """Return a node with the state on the disk; restore the service."""
        setup = self._setup
        recovered = self._storage.recover(setup.initial_membership)
        state = recovered.log.snapshot.state or state_without_snapshot
        if state:
            self._service.restore(state)
        return RaftNode(
            setup.replica,
            recovered.log,
            recovered.hard_state,
            setup.timing,
            boottime_s(),
            setup.seed,
        )

    def _wait_for_room(self, error: DiskFullError) -> None:
        """Step down and answer every caller; write nothing until then."""
        now = boottime_s()
        self._disk_wait.begin(error, now)
        self._unflushed_messages = 0
        self._is_proposal_delayed = False
        self._node.become_follower(self._node.term, None, now)
        self._update_leadership()
        self._deferred_replies.send_due(now, is_leading=self._is_leading)
        self._refuse_queued()
        self._pending_replies.refuse_after(
            self._node.durable_index, NotLeaderError(None)
        )
        self._pending_replies.fail_all()

    def _refuse_queued(self) -> None:
        _refuse(self._proposal_futures, NotLeaderError(None))
        self._proposals = []
        self._proposal_futures = []

    def _may_serve(self, now: float) -> bool:
        return self._is_leading and self._node.has_valid_lease(now)

    def _flush_delayed_proposals(self) -> None:
        """Flush delayed proposals when due, unless messages have arrived."""
        if self._is_proposal_delayed and self.actor_inbox.empty():
            time.sleep(max(self._next_proposal_at - boottime_s(), 0))
            self._flush()

    def _flush(self) -> None:
        if self._disk_wait.is_waiting:
            return
        now = boottime_s()
        self._is_proposal_delayed = (
            self._is_leading and now < self._next_proposal_at
        )
        if not self._is_proposal_delayed:
            self._next_proposal_at = now + PROPOSAL_INTERVAL_S
            self._propose_leader_commands()
            self._propose_queued()
        ready = self._node.ready()
        while ready is not None:
            self._process_ready(ready)
            self._node.advance(ready)
            ready = self._node.ready()
        # Entries that a newer leader's log does not have were removed.
        self._pending_replies.fail_after(self._node.log.last_index)
        self._deferred_replies.send_due(
            boottime_s(), is_leading=self._is_leading
        )
        self._update_leadership()
        if self._needs_snapshot():
            self._take_snapshot()

    def _propose_leader_commands(self) -> None:
        now = boottime_s()
        if not self._may_serve(now):
            return
        self._membership_upkeep.propose_if_due(self._node, now)
        commands = self._service.due_commands(now)
        if commands:
            self._node.propose(commands, now)

    def _propose_queued(self) -> None:
        proposals = self._proposals
        futures = self._proposal_futures
        self._proposals = []
        self._proposal_futures = []
        if not proposals:
            return
        if not self._node.is_leader:
            _refuse(futures, NotLeaderError(self._node.leader))
            return
        last_index = self._node.propose(
            [proposal.payload for proposal in proposals], boottime_s()
        )
        first_index = last_index - len(proposals) + 1
        for offset, proposal in enumerate(proposals):
            self._pending_replies.add(
                first_index + offset,
                PendingReply(
                    self._node.term, futures[offset], proposal.make_reply
                ),
            )

    def _process_ready(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._service.restore(ready.snapshot.state)
            self._storage.save(ready.hard_state, ())
            self._storage.save_snapshot(self._node.log)
            self._pending_replies.fail_all()
        self._storage.save(
            None if ready.snapshot else ready.hard_state, ready.entries
        )
        if ready.messages:
            self._transport.send(
                [
                    Envelope(
                        self._setup.group,
                        self._setup.replica,
                        outgoing.receiver,
                        outgoing.message,
                    )
                    for outgoing in ready.messages
                ]
            )
        for entry in ready.committed:
            self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        outcome = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self._service.apply(entry.payload)
        pending = self._pending_replies.take(entry.index)
        if pending is None:
            return
        if pending.term != entry.term:
            # Another leader's entry is committed at this index, so the
            # proposed one never will be.
            pending.future.set_exception(NotLeaderError(self._node.leader))
            return
        try:
            reply = pending.make_reply(outcome)
        except CassiaholdError as exc:
            pending.future.set_exception(exc)
            return
        if isinstance(reply, DeferredReply):
            self._deferred_replies.add(reply, pending.future)
        else:
            pending.future.set_result(reply)

    def _update_leadership(self) -> None:
        node = self._node
        is_leading = node.is_leader and node.has_committed_in_term
        if is_leading == self._is_leading:
            return
        self._is_leading = is_leading
        logs.info(
            'leader_changed',
            group=self._setup.group,
            replica=self._setup.replica,
            leading=is_leading,
            term=node.term,
        )
        if is_leading:
            self._service.start_leading(node.term, boottime_s())
        else:
            self._service.stop_leading()

    def _needs_snapshot(self) -> bool:
        # With large commands the log reaches its size limit long before the
        # limit on the number of records.
        return (
            self._storage.record_count >= self._setup.max_log_records
            or self._storage.size_bytes >= self._setup.max_log_bytes
        )

    def _take_snapshot(self) -> None:
        index = self._node.applied_index
        if index > self._node.log.snapshot.index:
            self._node.compact(index, self._service.snapshot())
            self._storage.save_snapshot(self._node.log)


def _refuse(futures: list[ReplyFuture], error: NotLeaderError) -> None:
    for future in futures:
        future.set_exception(error)


@functools.singledispatch
def _receive(message: object, replica: Replica) -> None:
    raise TypeError(f'unknown message {message!r}')


@_receive.register
def _(message: Tick, replica: Replica) -> None:
    replica.handle_tick()


@_receive.register
def _(message: Envelope, replica: Replica) -> None:
    replica.handle_envelope(message)


@_receive.register
def _(message: Call, replica: Replica) -> None:
    replica.handle_call(message)


@_receive.register
def _(message: ChangeMembership, replica: Replica) -> None:
    replica.handle_membership_change(message)


@_receive.register
def _(message: JoinGroup, replica: Replica) -> None:
    replica.handle_join(message)


@_receive.register
def _(message: InspectReplica, replica: Replica) -> None:
    replica.handle_inspect(message)
