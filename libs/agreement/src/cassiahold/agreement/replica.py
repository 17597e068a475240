"""The actor that drives one ``Node``: disk, peers, callers and time."""

import concurrent.futures
import functools
import time
import typing

import msgspec
import pykka

from cassiahold.agreement.membership_planner import Repairer
from cassiahold.agreement.messages import Entry, EntryKind, Envelope, Membership
from cassiahold.agreement.node import RaftNode, RaftTiming, Ready
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core import logs
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId

MAX_MESSAGES_PER_FLUSH: typing.Final = 256
REPAIR_INTERVAL_S: typing.Final = 0.2
# Proposals wait this long at most for others that share their messages and
# their sync.
PROPOSE_INTERVAL_S: typing.Final = 0.01

ReplyFuture = concurrent.futures.Future[typing.Any]


class Proposal(msgspec.Struct, frozen=True):
    """A command for the log; its reply is made once it is applied.

    ``reply`` may return a ``Deferred`` answer.
    """

    payload: bytes
    make_reply: typing.Callable[[typing.Any], typing.Any]


class DeferredReply(msgspec.Struct, frozen=True):
    """An answer that is made later, when more can be told at once."""

    due_at: float
    make_reply: typing.Callable[[], typing.Any]


class GroupService(typing.Protocol):
    """What a group agrees about; every call comes from the actor's thread."""

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""

    def restore(self, state: bytes) -> None:
        """Replace the replicated state."""

    def start_leading(self, term: int, now: float) -> None:
        """Begin to lead; everything committed has been applied."""

    def stop_leading(self) -> None:
        """Stop leading."""

    def due_commands(self, now: float) -> list[bytes]:
        """Return commands that the leader wants to add of itself."""

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request at the leader, or return a ``Proposal``."""


class Outbox(typing.Protocol):
    """Carries envelopes to other replicas; may lose them."""

    def send(self, envelopes: list[Envelope]) -> None:
        """Send without waiting."""


class ReplicaSetup(msgspec.Struct, frozen=True):
    """What a replica needs to start."""

    group: GroupName
    replica: ReplicaId
    first_membership: Membership
    pace: RaftTiming
    snapshot_records: int
    snapshot_bytes: int
    seed: int
    # 0 leaves changes of the membership to operators.
    target_voters: int = 0


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Call(msgspec.Struct, frozen=True):
    """A request for the group's leader."""

    request: typing.Any
    reply: ReplyFuture


class ChangeMembership(msgspec.Struct, frozen=True):
    """Asks the leader to change who votes or learns."""

    membership: Membership
    reply: ReplyFuture


class JoinGroup(msgspec.Struct, frozen=True):
    """Asks the leader to admit a replica."""

    replica: ReplicaId
    reply: ReplyFuture


class InspectReplica(msgspec.Struct, frozen=True):
    """Asks for this replica's own view."""

    reply: ReplyFuture


class ReplicaView(msgspec.Struct, frozen=True):
    """How one replica sees its group."""

    group: GroupName
    replica: ReplicaId
    role: str
    term: int
    leader: ReplicaId | None
    commit: int
    last_index: int
    membership: Membership


class NotLeaderError(CassiaholdError):
    """The request must go to another replica."""

    def __init__(self, leader: ReplicaId | None) -> None:
        super().__init__(
            ErrorKind.NO_QUORUM, f'not the leader; leader is {leader}'
        )
        self.leader = leader


class _Waiter(msgspec.Struct, frozen=True):
    term: int
    reply: ReplyFuture
    make_reply: typing.Callable[[typing.Any], typing.Any]


class Replica(pykka.ThreadingActor):
    """One replica of one group."""

    use_daemon_thread = True

    def __init__(
        self,
        setup: ReplicaSetup,
        storage: ReplicaStorage,
        service: GroupService,
        outbox: Outbox,
    ) -> None:
        super().__init__()
        self._setup = setup
        self._storage = storage
        self._service = service
        self._outbox = outbox
        self._proposals: list[Proposal] = []
        self._proposal_replies: list[ReplyFuture] = []
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._deferred: list[tuple[DeferredReply, ReplyFuture]] = []
        self._unflushed = 0
        self._leading = False
        self._repairer = Repairer(setup.replica, setup.target_voters)
        self._repaired_at = 0.0
        self._propose_at = 0.0
        self._is_work_put_off = False
        recovered = storage.recover(setup.first_membership)
        if recovered.log.snapshot.state:
            service.restore(recovered.log.snapshot.state)
        self._node = RaftNode(
            setup.replica,
            recovered.log,
            recovered.hard_state,
            setup.pace,
            boottime_s(),
            setup.seed,
        )

    def on_receive(self, message: typing.Any) -> None:
        """Take one message and flush when the inbox is empty."""
        _receive(message, self)
        self._unflushed += 1
        full = self._unflushed >= MAX_MESSAGES_PER_FLUSH
        if full or self.actor_inbox.empty():
            self._unflushed = 0
            self._flush()
            self._gather()

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: typing.Any,
    ) -> None:
        """Say why this replica stops; its process ends with it."""
        logs.error(
            'replica_failed',
            group=self._setup.group,
            replica=self._setup.replica,
            error=exception_value,
        )

    def on_stop(self) -> None:
        """Close the disk and fail what waits."""
        self._storage.close()
        self._abandon_waiters()

    def tick(self) -> None:
        """Let time pass for the protocol."""
        self._node.tick(boottime_s())

    def deliver(self, envelope: Envelope) -> None:
        """Take a message from a peer."""
        self._node.step(envelope.message, boottime_s())

    def call(self, call: Call) -> None:
        """Answer a request, or queue its proposal."""
        now = boottime_s()
        if not self._may_serve(now):
            call.reply.set_exception(NotLeaderError(self._node.leader))
            return
        try:
            answer = self._service.handle_request(call.request, now)
        except CassiaholdError as exc:
            call.reply.set_exception(exc)
            return
        if isinstance(answer, Proposal):
            self._proposals.append(answer)
            self._proposal_replies.append(call.reply)
        else:
            call.reply.set_result(answer)

    def change_membership(self, change: ChangeMembership) -> None:
        """Propose a membership change."""
        try:
            index = self._node.propose_membership(
                change.membership, boottime_s()
            )
        except CassiaholdError as exc:
            change.reply.set_exception(exc)
            return
        self._waiter_by_index[index] = _Waiter(
            self._node.term, change.reply, lambda _: index
        )

    def join(self, request: JoinGroup) -> None:
        """Remember a replica that wants to be admitted."""
        if not self._may_serve(boottime_s()):
            request.reply.set_exception(NotLeaderError(self._node.leader))
            return
        self._repairer.ask_to_join(request.replica, boottime_s())
        request.reply.set_result(None)

    def inspect(self, question: InspectReplica) -> None:
        """Answer with this replica's view."""
        node = self._node
        question.reply.set_result(
            ReplicaView(
                self._setup.group,
                self._setup.replica,
                node.role.value,
                node.term,
                node.leader,
                node.commit,
                node.log.last_index,
                node.membership,
            )
        )

    def _may_serve(self, now: float) -> bool:
        return self._leading and self._node.has_valid_lease(now)

    def _gather(self) -> None:
        """Wait for the next turn to propose when something waits for it."""
        if self._is_work_put_off and self.actor_inbox.empty():
            time.sleep(max(self._propose_at - boottime_s(), 0))
            self._flush()

    def _flush(self) -> None:
        now = boottime_s()
        self._is_work_put_off = self._leading and now < self._propose_at
        if not self._is_work_put_off:
            self._propose_at = now + PROPOSE_INTERVAL_S
            self._work()
            self._propose()
        ready = self._node.ready()
        while ready is not None:
            self._carry_out(ready)
            self._node.advance(ready)
            ready = self._node.ready()
        self._answer_deferred()
        self._notice_role()
        if self._needs_snapshot():
            self._take_snapshot()

    def _work(self) -> None:
        now = boottime_s()
        if not self._may_serve(now):
            return
        if self._setup.target_voters and now >= self._repaired_at:
            self._repaired_at = now + REPAIR_INTERVAL_S
            self._repair(now)
        commands = self._service.due_commands(now)
        if commands:
            self._node.propose(commands, now)

    def _repair(self, now: float) -> None:
        node = self._node
        if node.membership_index > node.commit:
            return
        change = self._repairer.next_change(
            node.membership, node.peer_views(now), now
        )
        if change is None:
            return
        try:
            node.propose_membership(change, now)
        except CassiaholdError as exc:
            logs.warning(
                'membership_refused',
                group=self._setup.group,
                membership=change,
                reason=exc.detail,
            )
            return
        logs.info(
            'membership_proposed',
            group=self._setup.group,
            voters=','.join(change.voters),
            learners=','.join(change.learners),
            term=node.term,
        )

    def _propose(self) -> None:
        proposals = self._proposals
        replies = self._proposal_replies
        self._proposals = []
        self._proposal_replies = []
        if not proposals:
            return
        if not self._node.is_leader:
            for reply in replies:
                reply.set_exception(NotLeaderError(self._node.leader))
            return
        last = self._node.propose(
            [proposal.payload for proposal in proposals], boottime_s()
        )
        first = last - len(proposals) + 1
        for offset, proposal in enumerate(proposals):
            self._waiter_by_index[first + offset] = _Waiter(
                self._node.term, replies[offset], proposal.make_reply
            )

    def _carry_out(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._service.restore(ready.snapshot.state)
            self._storage.save(ready.hard_state, ())
            self._storage.save_snapshot(self._node.log)
            self._abandon_waiters()
        self._storage.save(
            None if ready.snapshot else ready.hard_state, ready.entries
        )
        if ready.messages:
            self._outbox.send(
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
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None or waiter.reply.done():
            return
        if waiter.term != entry.term:
            # Another leader's entry took the place, so ours is surely lost.
            waiter.reply.set_exception(NotLeaderError(self._node.leader))
            return
        try:
            answer = waiter.make_reply(outcome)
        except CassiaholdError as exc:
            waiter.reply.set_exception(exc)
            return
        if isinstance(answer, DeferredReply):
            self._deferred.append((answer, waiter.reply))
        else:
            waiter.reply.set_result(answer)

    def _notice_role(self) -> None:
        node = self._node
        leading = node.is_leader and node.first_of_term_committed
        if leading == self._leading:
            return
        self._leading = leading
        logs.info(
            'leader_changed',
            group=self._setup.group,
            replica=self._setup.replica,
            leading=leading,
            term=node.term,
        )
        if leading:
            self._service.start_leading(node.term, boottime_s())
        else:
            self._service.stop_leading()

    def _answer_deferred(self) -> None:
        now = boottime_s()
        waiting = self._deferred
        self._deferred = []
        for deferred, reply in waiting:
            if self._leading and now < deferred.due_at:
                self._deferred.append((deferred, reply))
                continue
            try:
                reply.set_result(deferred.make_reply())
            except CassiaholdError as exc:
                reply.set_exception(exc)

    def _needs_snapshot(self) -> bool:
        # Large commands reach the bytes long before the number of records.
        return (
            self._storage.records >= self._setup.snapshot_records
            or self._storage.size_bytes >= self._setup.snapshot_bytes
        )

    def _take_snapshot(self) -> None:
        index = self._node.applied_index
        if index > self._node.log.snapshot.index:
            self._node.compact(index, self._service.snapshot())
            self._storage.save_snapshot(self._node.log)

    def _abandon_waiters(self) -> None:
        waiters = self._waiter_by_index
        self._waiter_by_index = {}
        for waiter in waiters.values():
            waiter.reply.set_exception(
                CassiaholdError(
                    ErrorKind.OUTCOME_UNKNOWN, 'the replica moved on'
                )
            )


@functools.singledispatch
def _receive(message: object, replica: Replica) -> None:
    raise TypeError(f'unknown message {message!r}')


@_receive.register
def _(message: Tick, replica: Replica) -> None:
    replica.tick()


@_receive.register
def _(message: Envelope, replica: Replica) -> None:
    replica.deliver(message)


@_receive.register
def _(message: Call, replica: Replica) -> None:
    replica.call(message)


@_receive.register
def _(message: ChangeMembership, replica: Replica) -> None:
    replica.change_membership(message)


@_receive.register
def _(message: JoinGroup, replica: Replica) -> None:
    replica.join(message)


@_receive.register
def _(message: InspectReplica, replica: Replica) -> None:
    replica.inspect(message)
