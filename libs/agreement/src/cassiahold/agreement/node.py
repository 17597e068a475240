"""The agreement protocol without I/O.

A ``Node`` takes messages and the time and collects what is to be written
and sent.  The driver writes and syncs ``Ready.hard_state`` and
``Ready.entries``, then sends ``Ready.messages``, then calls ``advance``.
Times are seconds of the local monotonic clock.
"""

import enum
import functools
import random

import msgspec

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.membership_planner import PeerView
from cassiahold.agreement.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Message,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    encode,
)
from cassiahold.agreement.progress import Progress, Tally
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ReplicaId

MAX_BATCH_ENTRIES = 512
LEARNER_LAG_ENTRIES = 64  # a learner this close may become a voter
LEARNER_BATCH_ENTRIES = 32  # fewer wait for the next heartbeat


class Role(enum.Enum):
    """What a replica is doing in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RaftTiming(msgspec.Struct, frozen=True):
    """Durations in seconds and the clock error to allow for."""

    heartbeat_s: float
    election_s: float
    clock_drift: float = 0.01
    # Waits this many election times more before it becomes a candidate, so
    # that a replica far from the group's work leads only when needed.
    reluctance: float = 0.0


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message and the replica that it is for."""

    receiver: ReplicaId
    message: Message


class Ready(msgspec.Struct):
    """Work for the driver, in the order of the fields."""

    hard_state: HardState | None
    snapshot: Snapshot | None
    entries: list[Entry]
    messages: list[OutgoingMessage]
    committed: list[Entry]


class RaftNode:
    """One replica of one group."""

    def __init__(
        self,
        replica: ReplicaId,
        log: ReplicatedLog,
        hard_state: HardState,
        pace: RaftTiming,
        now: float,
        seed: int,
    ) -> None:
        self.replica = replica
        self.log = log
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.term = hard_state.term
        self.commit = log.snapshot.index
        newest = log.membership()
        self.membership_index = newest[0]
        self.membership = newest[1]
        self._vote = hard_state.vote
        self._pace = pace
        self._random = random.Random(seed)
        self._saved = hard_state
        self._unsaved: list[Entry] = []
        self._durable = log.last_index
        self._applied = log.snapshot.index
        self._installed: Snapshot | None = None
        self._outbox: list[OutgoingMessage] = []
        self._tally = Tally()
        self._progress_by_id: dict[ReplicaId, Progress] = {}
        # Before a restart this replica may have just heard from a leader,
        # so it must not help to elect another one too early.
        self._leader_heard_at = now
        self._beat_at = now
        self._led_since = now
        self._election_at = 0.0
        self._reset_election(now)

    # What the driver may ask.

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def applied_index(self) -> int:
        """Return the index up to which entries were handed out."""
        return self._applied

    def has_valid_lease(self, now: float) -> bool:
        """Tell whether no other replica can lead at this moment."""
        return self.is_leader and now < self._lease_until()

    @property
    def first_of_term_committed(self) -> bool:
        """Tell whether everything from earlier terms is known committed."""
        return self.log.term_at(self.commit) == self.term

    def peer_views(self, now: float) -> dict[ReplicaId, PeerView]:
        """Return how each other member follows; empty unless leading."""
        return {
            peer: PeerView(
                self.log.last_index - progress.match,
                now - max(progress.acked_at, self._led_since),
            )
            for peer, progress in self._progress_by_id.items()
            if peer != self.replica and peer in self.membership.members
        }

    def propose(self, payloads: list[bytes], now: float) -> int:
        """Append commands and return the index of the last one.

        Raises ``NO_QUORUM`` when this replica does not lead.
        """
        self._require_leader()
        for payload in payloads:
            self._append(payload, EntryKind.COMMAND)
        self._replicate(now)
        return self.log.last_index

    def propose_membership(self, membership: Membership, now: float) -> int:
        """Append a change of one replica and return its index.

        Raises ``BAD_REQUEST`` when an earlier change is not committed, more
        than one voter changes, or a new voter has not caught up.
        """
        self._require_leader()
        self._check_change(membership)
        self._append(encode(membership), EntryKind.MEMBERSHIP)
        self._adopt_membership()
        self._replicate(now)
        return self.log.last_index

    def tick(self, now: float) -> None:
        """Let time pass."""
        if self.is_leader:
            if self._lost_quorum(now):
                self._become_follower(self.term, None, now)
            elif now >= self._beat_at:
                self._replicate(now, heartbeat=True)
        elif now >= self._election_at:
            self._campaign(now, pre=True)

    def step(self, message: Message, now: float) -> None:
        """Take a message from another replica."""
        if message.term > self.term and not _keeps_term(message):
            leader = getattr(message, 'leader', None)
            self._become_follower(message.term, leader, now)
        _handle(message, self, now)

    def ready(self) -> Ready | None:
        """Return what there is to do, None when there is nothing."""
        hard_state = HardState(self.term, self._vote)
        changed = hard_state != self._saved
        newest = min(self.commit, self._durable)
        committed = self.log.entries_between(self._applied + 1, newest)
        if not (
            changed
            or self._unsaved
            or self._outbox
            or committed
            or self._installed
        ):
            return None
        ready = Ready(
            hard_state if changed else None,
            self._installed,
            self._unsaved,
            self._outbox,
            list(committed),
        )
        self._unsaved = []
        self._outbox = []
        self._installed = None
        return ready

    def advance(self, ready: Ready) -> None:
        """Record that the driver has done all of ``ready``."""
        if ready.hard_state is not None:
            self._saved = ready.hard_state
        if ready.entries:
            self._durable = max(
                min(self.log.last_index, ready.entries[-1].index),
                self.log.snapshot.index,
            )
        if ready.committed:
            self._applied = ready.committed[-1].index
        if self.is_leader:
            self._count_commit()

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Replace applied entries up to ``index`` by their state."""
        snapshot = Snapshot(
            index,
            self.log.term_at(index) or 0,
            self.log.membership_at(index),
            state,
        )
        self.log.compact(snapshot)
        return snapshot

    # Elections.

    def _reset_election(self, now: float) -> None:
        spread = 1 + self._pace.reluctance + self._random.random()
        self._election_at = now + self._pace.election_s * spread

    def _campaign(self, now: float, *, pre: bool) -> None:
        self._reset_election(now)
        if self.replica not in self.membership.voters:
            return
        self.leader = None
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        if not pre:
            self.term += 1
            self._vote = self.replica
        self._tally = Tally()
        request = VoteRequest(
            self.term + 1 if pre else self.term,
            self.replica,
            self.log.last_index,
            self.log.last_term,
            pre,
        )
        for voter in self.membership.voters:
            if voter != self.replica:
                self._send(voter, request)
        self._count_vote(self.replica, now)

    def on_vote_request(self, request: VoteRequest, now: float) -> None:
        """Grant or refuse a vote."""
        in_lease = now < self._leader_heard_at + self._pace.election_s
        newer = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        free = request.is_pre_vote or self._vote in {None, request.candidate}
        granted = (
            newer
            and free
            and not in_lease
            and not self.is_leader
            and request.term >= self.term + int(request.is_pre_vote)
        )
        if granted and not request.is_pre_vote:
            self._vote = request.candidate
            self._reset_election(now)
        self._send(
            request.candidate,
            VoteReply(
                request.term if granted else self.term,
                self.replica,
                granted,
                request.is_pre_vote,
            ),
        )

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        expected = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        wanted = self.term + int(reply.is_pre_vote)
        if reply.granted and self.role is expected and reply.term == wanted:
            self._count_vote(reply.voter, now)

    def _count_vote(self, voter: ReplicaId, now: float) -> None:
        self._tally.granted.add(voter)
        if not self._tally.has_won(self.membership):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._led_since = now
        self._progress_by_id = {
            peer: Progress(next_index=self.log.last_index + 1)
            for peer in self.membership.members
        }
        self._append(b'', EntryKind.EMPTY)
        self._replicate(now, heartbeat=True)

    def _become_follower(
        self, term: int, leader: ReplicaId | None, now: float
    ) -> None:
        if term > self.term:
            self.term = term
            self._vote = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress_by_id = {}
        self._reset_election(now)

    # The log at a leader.

    def _require_leader(self) -> None:
        if not self.is_leader:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, f'{self.replica} does not lead its group'
            )

    def _append(self, payload: bytes, kind: EntryKind) -> None:
        entry = Entry(self.term, self.log.last_index + 1, payload, kind)
        self.log.append(entry)
        self._unsaved.append(entry)

    def _replicate(self, now: float, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._beat_at = now + self._pace.heartbeat_s
        for peer, progress in self._progress_by_id.items():
            if peer == self.replica:
                continue
            if heartbeat or self._is_due(peer, progress):
                self._send_append(peer, progress, now)

    def _is_due(self, peer: ReplicaId, progress: Progress) -> bool:
        unsent = self.log.last_index + 1 - progress.next_index
        batch = LEARNER_BATCH_ENTRIES
        if peer in self.membership.voters:
            batch = 1
        return unsent >= batch and progress.can_send(self.log.last_index)

    def _send_append(
        self, peer: ReplicaId, progress: Progress, now: float
    ) -> None:
        prev = progress.next_index - 1
        prev_term = self.log.term_at(prev)
        if prev_term is None:
            if now >= progress.snapshot_until:
                progress.snapshot_until = now + self._pace.election_s
                self._send(
                    peer,
                    SnapshotRequest(
                        self.term, self.replica, now, self.log.snapshot
                    ),
                )
            return
        last = min(self.log.last_index, prev + MAX_BATCH_ENTRIES)
        entries = self.log.entries_between(prev + 1, last)
        if progress.probing:
            entries = entries[:1]
        progress.next_index += 0 if progress.probing else len(entries)
        self._send(
            peer,
            AppendRequest(
                self.term,
                self.replica,
                prev,
                prev_term,
                self.commit,
                now,
                entries,
            ),
        )

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Record how far a follower has come."""
        progress = self._progress_by_id.get(reply.follower)
        if progress is None or reply.term != self.term:
            return
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        if reply.success:
            progress.accepted(reply.match)
            self._count_commit()
        else:
            progress.rejected(reply.rejected_prev, reply.match)
        must_probe = progress.probing and (
            progress.next_index <= self.log.last_index
        )
        if must_probe or self._is_due(reply.follower, progress):
            self._send_append(reply.follower, progress, now)

    def _count_commit(self) -> None:
        matches = sorted(
            self._durable
            if voter == self.replica
            else self._progress_by_id[voter].match
            for voter in self.membership.voters
        )
        index = matches[-self.membership.quorum]
        # Only an entry of the own term may be counted; earlier ones follow.
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index

    def _lost_quorum(self, now: float) -> bool:
        heard_at = max(self._quorum_acked_at(), self._led_since)
        return now >= heard_at + self._pace.election_s

    def _lease_until(self) -> float:
        # Votes give no lease: a voter may vote again in a later term, and
        # only an acknowledged append keeps it from doing so for a while.
        length_s = self._pace.election_s * (1 - self._pace.clock_drift)
        return self._quorum_acked_at() + length_s

    def _quorum_acked_at(self) -> float:
        acks = sorted(
            float('inf')
            if voter == self.replica
            else self._progress_by_id[voter].acked_at
            for voter in self.membership.voters
        )
        return acks[-self.membership.quorum]

    # The log at a follower.

    def on_append(self, request: AppendRequest, now: float) -> None:
        """Take entries from the leader."""
        if request.term < self.term:
            self._answer_append(request, success=False, match=0)
            return
        self._follow(request.leader, now)
        known = self.log.term_at(request.prev_index)
        if request.prev_index < self.log.snapshot.index:
            # Everything up to the snapshot is committed and so agrees.
            self._answer_append(
                request, success=True, match=self.log.snapshot.index
            )
            return
        if known != request.prev_term:
            hint = min(self.log.last_index, request.prev_index - 1)
            self._answer_append(request, success=False, match=hint)
            return
        self._take(request.entries)
        match = request.prev_index + len(request.entries)
        self.commit = max(self.commit, min(request.commit, match))
        self._answer_append(request, success=True, match=match)

    def on_snapshot(self, request: SnapshotRequest, now: float) -> None:
        """Replace the log by a snapshot from the leader."""
        if request.term < self.term:
            return
        self._follow(request.leader, now)
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self.log.compact(snapshot)
            self._unsaved = [
                entry
                for entry in self._unsaved
                if snapshot.index < entry.index <= self.log.last_index
            ]
            self.commit = snapshot.index
            self._applied = snapshot.index
            self._durable = self.log.last_index
            self._installed = snapshot
            self._adopt_membership()
        self._send(
            request.leader,
            AppendReply(
                self.term, self.replica, True, self.commit, request.sent_at
            ),
        )

    def _follow(self, leader: ReplicaId, now: float) -> None:
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.term, leader, now)
        self.leader = leader
        self._leader_heard_at = now
        self._reset_election(now)

    def _take(self, entries: tuple[Entry, ...]) -> None:
        changed = False
        for entry in entries:
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.commit:
                raise CassiaholdError(
                    ErrorKind.INVARIANT_BROKEN,
                    f'{self.replica}: committed entry {entry.index} replaced',
                )
            self.log.append(entry)
            self._durable = min(self._durable, entry.index - 1)
            self._unsaved.append(entry)
            changed = True
        if changed:
            self._adopt_membership()

    def _answer_append(
        self, request: AppendRequest, *, success: bool, match: int
    ) -> None:
        self._send(
            request.leader,
            AppendReply(
                self.term,
                self.replica,
                success,
                match,
                request.sent_at,
                request.prev_index,
            ),
        )

    # Membership.

    def _check_change(self, membership: Membership) -> None:
        if self.membership_index > self.commit:
            raise _bad_change('an earlier membership change is not committed')
        if not self.first_of_term_committed:
            raise _bad_change('the leader has not committed in its term yet')
        changed = set(self.membership.voters) ^ set(membership.voters)
        if len(changed) > 1:
            raise _bad_change(f'more than one voter changes: {sorted(changed)}')
        for added in changed.intersection(membership.voters):
            progress = self._progress_by_id.get(added)
            if progress is None:
                raise _bad_change(f'{added} is not a learner yet')
            lag = self.log.last_index - progress.match
            if lag > LEARNER_LAG_ENTRIES:
                raise _bad_change(f'{added} is {lag} entries behind')

    def _adopt_membership(self) -> None:
        newest = self.log.membership()
        self.membership_index = newest[0]
        self.membership = newest[1]
        if not self.is_leader:
            return
        for peer in self.membership.members:
            self._progress_by_id.setdefault(
                peer, Progress(next_index=self.log.last_index)
            )

    def _send(self, receiver: ReplicaId, message: Message) -> None:
        self._outbox.append(OutgoingMessage(receiver, message))


def _bad_change(detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.BAD_REQUEST, detail)


def _keeps_term(message: Message) -> bool:
    # A pre-vote asks about a term that nobody has entered yet.
    if isinstance(message, VoteRequest):
        return message.is_pre_vote
    return (
        isinstance(message, VoteReply)
        and message.is_pre_vote
        and message.granted
    )


@functools.singledispatch
def _handle(message: object, node: RaftNode, now: float) -> None:
    raise TypeError(f'unknown message {message!r}')


@_handle.register
def _(message: VoteRequest, node: RaftNode, now: float) -> None:
    node.on_vote_request(message, now)


@_handle.register
def _(message: VoteReply, node: RaftNode, now: float) -> None:
    node.on_vote_reply(message, now)


@_handle.register
def _(message: AppendRequest, node: RaftNode, now: float) -> None:
    node.on_append(message, now)


@_handle.register
def _(message: AppendReply, node: RaftNode, now: float) -> None:
    node.on_append_reply(message, now)


@_handle.register
def _(message: SnapshotRequest, node: RaftNode, now: float) -> None:
    node.on_snapshot(message, now)
