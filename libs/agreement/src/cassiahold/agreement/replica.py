"""The actor that drives one ``Node``: disk, peers, callers and time."""

import concurrent.futures
import functools
import time
import typing

import msgspec
import pykka

from cassiahold.agreement.messages import Entry, EntryKind, Envelope, Membership
from cassiahold.agreement.node import Node, Pace, Ready
from cassiahold.agreement.repair import MembershipPlanner
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core import logs
from cassiahold.core.clock import steady
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId

MAX_MESSAGES_PER_FLUSH: typing.Final = 256
MEMBERSHIP_CHECK_INTERVAL_S: typing.Final = 0.2
# Proposals wait this long at most for others that share their messages and
# their sync.
PROPOSAL_INTERVAL_S: typing.Final = 0.01

ReplyFuture = concurrent.futures.Future[typing.Any]


class Proposal(msgspec.Struct, frozen=True):
    """A command for the log; its reply is made once it is applied.

    ``reply`` may return a ``Deferred`` answer.
    """

    payload: bytes
    reply: typing.Callable[[typing.Any], typing.Any]


class Deferred(msgspec.Struct, frozen=True):
    """An answer that is made later, when more can be told at once."""

    due_at: float
    make: typing.Callable[[], typing.Any]


class GroupService(typing.Protocol):
    """What a group agrees about; every call comes from the actor's thread."""

    def apply(self, payload: bytes) -> typing.Any:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole replicated state."""

    def restore(self, state: bytes) -> None:
        """Replace the replicated state."""

    def lead(self, term: int, now: float) -> None:
        """Begin to lead; everything committed has been applied."""

    def follow(self) -> None:
        """Stop leading."""

    def work(self, now: float) -> list[bytes]:
        """Return commands that the leader wants to add of itself."""

    def handle(self, request: typing.Any, now: float) -> typing.Any:
        """Answer a request at the leader, or return a ``Proposal``."""


class PeerTransport(typing.Protocol):
    """Carries envelopes to other replicas; may lose them."""

    def send(self, envelopes: list[Envelope]) -> None:
        """Send without waiting."""


class ReplicaSetup(msgspec.Struct, frozen=True):
    """What a replica needs to start."""

    group: GroupName
    replica: ReplicaId
    initial_membership: Membership
    timing: Pace
    max_log_records: int
    max_log_bytes: int
    seed: int
    # 0 leaves changes of the membership to operators.
    target_voters: int = 0


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Call(msgspec.Struct, frozen=True):
    """A request for the group's leader."""

    request: typing.Any
    future: ReplyFuture


class ChangeMembership(msgspec.Struct, frozen=True):
    """Asks the leader to change who votes or learns."""

    membership: Membership
    future: ReplyFuture


class Join(msgspec.Struct, frozen=True):
    """Asks the leader to admit a replica."""

    replica: ReplicaId
    future: ReplyFuture


class Inspect(msgspec.Struct, frozen=True):
    """Asks for this replica's own view."""

    future: ReplyFuture


class ReplicaView(msgspec.Struct, frozen=True):
    """How one replica sees its group."""

    group: GroupName
    replica: ReplicaId
    role: str
    term: int
    leader: ReplicaId | None
    commit_index: int
    last_index: int
    membership: Membership


class NotLeaderError(CassiaholdError):
    """The request must go to another replica."""

    def __init__(self, leader: ReplicaId | None) -> None:
        super().__init__(
            ErrorKind.NO_QUORUM, f'not the leader; leader is {leader}'
        )
        self.leader = leader


class _PendingReply(msgspec.Struct, frozen=True):
    term: int
    future: ReplyFuture
    make_reply: typing.Callable[[typing.Any], typing.Any]


class Replica(pykka.ThreadingActor):
    """One replica of one group."""

    use_daemon_thread = True

    def __init__(
        self,
        setup: ReplicaSetup,
        storage: ReplicaStorage,
        service: GroupService,
        outbox: PeerTransport,
    ) -> None:
        super().__init__()
        self._setup = setup
        self._storage = storage
        self._service = service
        self._transport = outbox
        self._proposals: list[Proposal] = []
        self._proposal_futures: list[ReplyFuture] = []
        self._pending_reply_by_index: dict[int, _PendingReply] = {}
        self._deferred_replies: list[tuple[Deferred, ReplyFuture]] = []
        self._unflushed_messages = 0
        self._is_leading = False
        self._membership_planner = MembershipPlanner(
            setup.replica, setup.target_voters
        )
        self._next_membership_check_at = 0.0
        self._next_proposal_at = 0.0
        self._is_proposal_delayed = False
        recovered = storage.recover(setup.initial_membership)
        if recovered.log.snapshot.state:
            service.restore(recovered.log.snapshot.state)
        self._node = Node(
            setup.replica,
            recovered.log,
            recovered.hard_state,
            setup.timing,
            steady(),
            setup.seed,
        )

    def on_receive(self, message: typing.Any) -> None:
        """Take one message and flush when the inbox is empty."""
        _receive(message, self)
        self._unflushed_messages += 1
        full = self._unflushed_messages >= MAX_MESSAGES_PER_FLUSH
        if full or self.actor_inbox.empty():
            self._unflushed_messages = 0
            self._flush()
            self._flush_delayed_proposals()

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
        self._fail_pending_replies()

    def handle_tick(self) -> None:
        """Let time pass for the protocol."""
        self._node.tick(steady())

    def handle_envelope(self, envelope: Envelope) -> None:
        """Take a message from a peer."""
        self._node.step(envelope.message, steady())

    def handle_call(self, call: Call) -> None:
        """Answer a request, or queue its proposal."""
        now = steady()
        if not self._may_serve(now):
            call.future.set_exception(NotLeaderError(self._node.leader))
            return
        try:
            answer = self._service.handle(call.request, now)
        except CassiaholdError as exc:
            call.future.set_exception(exc)
            return
        if isinstance(answer, Proposal):
            self._proposals.append(answer)
            self._proposal_futures.append(call.future)
        else:
            call.future.set_result(answer)

    def handle_membership_change(self, change: ChangeMembership) -> None:
        """Propose a membership change."""
        try:
            index = self._node.propose_membership(change.membership, steady())
        except CassiaholdError as exc:
            change.future.set_exception(exc)
            return
        self._pending_reply_by_index[index] = _PendingReply(
            self._node.term, change.future, lambda _: index
        )

    def handle_join(self, request: Join) -> None:
        """Remember a replica that wants to be admitted."""
        if not self._may_serve(steady()):
            request.future.set_exception(NotLeaderError(self._node.leader))
            return
        self._membership_planner.record_join_request(request.replica, steady())
        request.future.set_result(None)

    def handle_inspect(self, question: Inspect) -> None:
        """Answer with this replica's view."""
        node = self._node
        question.future.set_result(
            ReplicaView(
                self._setup.group,
                self._setup.replica,
                node.role.value,
                node.term,
                node.leader,
                node.commit_index,
                node.log.last_index,
                node.membership,
            )
        )

    def _may_serve(self, now: float) -> bool:
        return self._is_leading and self._node.lease_valid(now)

    def _flush_delayed_proposals(self) -> None:
        """Wait for the next turn to propose when something waits for it."""
        if self._is_proposal_delayed and self.actor_inbox.empty():
            time.sleep(max(self._next_proposal_at - steady(), 0))
            self._flush()

    def _flush(self) -> None:
        now = steady()
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
        self._send_deferred_replies()
        self._update_leadership()
        if self._needs_snapshot():
            self._take_snapshot()

    def _propose_leader_commands(self) -> None:
        now = steady()
        if not self._may_serve(now):
            return
        if self._setup.target_voters and now >= self._next_membership_check_at:
            self._next_membership_check_at = now + MEMBERSHIP_CHECK_INTERVAL_S
            self._propose_membership_change(now)
        commands = self._service.work(now)
        if commands:
            self._node.propose(commands, now)

    def _propose_membership_change(self, now: float) -> None:
        node = self._node
        if node.membership_index > node.commit_index:
            return
        change = self._membership_planner.next_change(
            node.membership, node.peer_status_by_id(now), now
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

    def _propose_queued(self) -> None:
        proposals = self._proposals
        replies = self._proposal_futures
        self._proposals = []
        self._proposal_futures = []
        if not proposals:
            return
        if not self._node.is_leader:
            for reply in replies:
                reply.set_exception(NotLeaderError(self._node.leader))
            return
        last = self._node.propose(
            [proposal.payload for proposal in proposals], steady()
        )
        first = last - len(proposals) + 1
        for offset, proposal in enumerate(proposals):
            self._pending_reply_by_index[first + offset] = _PendingReply(
                self._node.term, replies[offset], proposal.reply
            )

    def _process_ready(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._service.restore(ready.snapshot.state)
            self._storage.save(ready.hard_state, ())
            self._storage.save_snapshot(self._node.log)
            self._fail_pending_replies()
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
        waiter = self._pending_reply_by_index.pop(entry.index, None)
        if waiter is None or waiter.future.done():
            return
        if waiter.term != entry.term:
            # Another leader's entry took the place, so ours is surely lost.
            waiter.future.set_exception(NotLeaderError(self._node.leader))
            return
        try:
            answer = waiter.make_reply(outcome)
        except CassiaholdError as exc:
            waiter.future.set_exception(exc)
            return
        if isinstance(answer, Deferred):
            self._deferred_replies.append((answer, waiter.future))
        else:
            waiter.future.set_result(answer)

    def _update_leadership(self) -> None:
        node = self._node
        leading = node.is_leader and node.has_committed_in_term
        if leading == self._is_leading:
            return
        self._is_leading = leading
        logs.info(
            'leader_changed',
            group=self._setup.group,
            replica=self._setup.replica,
            leading=leading,
            term=node.term,
        )
        if leading:
            self._service.lead(node.term, steady())
        else:
            self._service.follow()

    def _send_deferred_replies(self) -> None:
        now = steady()
        waiting = self._deferred_replies
        self._deferred_replies = []
        for deferred, reply in waiting:
            if self._is_leading and now < deferred.due_at:
                self._deferred_replies.append((deferred, reply))
                continue
            try:
                reply.set_result(deferred.make())
            except CassiaholdError as exc:
                reply.set_exception(exc)

    def _needs_snapshot(self) -> bool:
        # Large commands reach the bytes long before the number of records.
        return (
            self._storage.record_count >= self._setup.max_log_records
            or self._storage.size_bytes >= self._setup.max_log_bytes
        )

    def _take_snapshot(self) -> None:
        index = self._node.applied
        if index > self._node.log.snapshot.index:
            self._node.compact(index, self._service.snapshot())
            self._storage.save_snapshot(self._node.log)

    def _fail_pending_replies(self) -> None:
        waiters = self._pending_reply_by_index
        self._pending_reply_by_index = {}
        for waiter in waiters.values():
            waiter.future.set_exception(
                CassiaholdError(
                    ErrorKind.OUTCOME_UNKNOWN, 'the replica moved on'
                )
            )


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
def _(message: Join, replica: Replica) -> None:
    replica.handle_join(message)


@_receive.register
def _(message: Inspect, replica: Replica) -> None:
    replica.handle_inspect(message)
