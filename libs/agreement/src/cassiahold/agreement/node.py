"""The Raft protocol as a state machine without I/O.

A ``RaftNode`` is given messages and the time, and collects what has to be
written and sent.  Its driver writes and syncs ``Ready.hard_state`` and
``Ready.entries``, then sends ``Ready.messages``, applies
``Ready.committed`` and calls ``advance``.  Times are seconds of the local
monotonic clock.
"""

import enum
import functools
import random

import msgspec

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.membership_planner import PeerStatus
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
from cassiahold.agreement.progress import FollowerProgress, VoteTally
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ReplicaId

MAX_BATCH_ENTRIES = 512
# A learner that is further behind cannot become a voter.
MAX_PROMOTION_LAG_ENTRIES = 64
MIN_LEARNER_BATCH_ENTRIES = 32  # fewer wait for the next heartbeat


class Role(enum.Enum):
    """The role of a replica in its current term.

    A pre-candidate asks whether it could win an election; only a candidate
    increases its term.
    """

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RaftTiming(msgspec.Struct, frozen=True):
    """Intervals of heartbeats and elections, and the clock error allowed for.

    ``election_s`` is the shortest election timeout; a random part of up to
    the same length is added.  ``clock_drift`` is the largest relative error
    of a clock, as a fraction.
    """

    heartbeat_s: float
    election_s: float
    clock_drift: float = 0.01
    # Additional election timeouts before this replica starts an election, so
    # that a replica far from the group's work leads only when needed.
    extra_election_timeouts: float = 0.0


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message and the replica that receives it."""

    receiver: ReplicaId
    message: Message


class Ready(msgspec.Struct):
    """Work for the driver, to be done in the order of the fields.

    ``hard_state`` is None when it is unchanged, ``snapshot`` when none was
    received from the leader.  ``committed`` entries are to be applied.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None
    entries: list[Entry]
    messages: list[OutgoingMessage]
    committed: list[Entry]


class RaftNode:
    """The protocol state of one replica of one group."""

    def __init__(
        self,
        replica: ReplicaId,
        log: ReplicatedLog,
        hard_state: HardState,
        timing: RaftTiming,
        now: float,
        seed: int,
    ) -> None:
        self.replica = replica
        self.log = log
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self.term = hard_state.term
        self.commit_index = log.snapshot.index
        latest = log.latest_membership()
        self.membership_index = latest[0]
        self.membership = latest[1]
        self._vote = hard_state.vote
        self._timing = timing
        self._random = random.Random(seed)
        self._saved_hard_state = hard_state
        self._unsaved_entries: list[Entry] = []
        # The last entry that is written; no later one was sent to any peer.
        self.durable_index = log.last_index
        self._applied_index = log.snapshot.index
        self._installed_snapshot: Snapshot | None = None
        self._outbox: list[OutgoingMessage] = []
        self._vote_tally = VoteTally()
        self._progress_by_id: dict[ReplicaId, FollowerProgress] = {}
        # A replica that restarts may have heard from a leader just before,
        # so it must not vote for another one until that lease has ended.
        self._leader_heard_at = now
        self._next_heartbeat_at = now
        self._leader_since = now
        self._election_timeout_at = 0.0
        self._reset_election_timeout(now)

    # Methods that the driver calls.

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry handed out to be applied."""
        return self._applied_index

    def has_valid_lease(self, now: float) -> bool:
        """Return whether this replica leads and no other one can at ``now``."""
        return self.is_leader and now < self._lease_expires_at()

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed.

        All entries of earlier terms are then known to be committed as well.
        """
        return self.log.term_at(self.commit_index) == self.term

    def peer_status_by_id(self, now: float) -> dict[ReplicaId, PeerStatus]:
        """Return the status of each other member; empty unless leading."""
        return {
            peer: PeerStatus(
                self.log.last_index - progress.match_index,
                now - max(progress.acked_sent_at, self._leader_since),
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
        """Append a change of at most one voter and return its index.

        Raises ``NO_QUORUM`` when this replica does not lead and
        ``BAD_REQUEST`` when an earlier change or the first entry of the term
        is not committed, more than one voter changes, or a new voter is not
        a learner that has caught up.
        """
        self._require_leader()
        self._check_membership_change(membership)
        self._append(encode(membership), EntryKind.MEMBERSHIP)
        self._adopt_membership()
        self._replicate(now)
        return self.log.last_index

    def tick(self, now: float) -> None:
        """Send a heartbeat, start an election or step down when it is time."""
        if self.is_leader:
            if self._has_lost_quorum(now):
                self.become_follower(self.term, None, now)
            elif now >= self._next_heartbeat_at:
                self._replicate(now, heartbeat=True)
        elif now >= self._election_timeout_at:
            self._start_election(now, is_pre_vote=True)

    def step(self, message: Message, now: float) -> None:
        """Process a message from another replica."""
        if message.term > self.term and not _has_prospective_term(message):
            leader = getattr(message, 'leader', None)
            self.become_follower(message.term, leader, now)
        _handle(message, self, now)

    def ready(self) -> Ready | None:
        """Return the work for the driver, None when there is nothing to do.

        The driver must do all of it and call ``advance`` before it calls
        this again.
        """
        hard_state = HardState(self.term, self._vote)
        is_hard_state_changed = hard_state != self._saved_hard_state
        last_index = min(self.commit_index, self.durable_index)
        committed = self.log.entries_between(
            self._applied_index + 1, last_index
        )
        if not (
            is_hard_state_changed
            or self._unsaved_entries
            or self._outbox
            or committed
            or self._installed_snapshot
        ):
            return None
        ready = Ready(
            hard_state if is_hard_state_changed else None,
            self._installed_snapshot,
            self._unsaved_entries,
            self._outbox,
            list(committed),
        )
        self._unsaved_entries = []
        self._outbox = []
        self._installed_snapshot = None
        return ready

    def advance(self, ready: Ready) -> None:
        """Record that the driver has done all work of ``ready``."""
        if ready.hard_state is not None:
            self._saved_hard_state = ready.hard_state
        if ready.entries:
            self.durable_index = max(
                min(self.log.last_index, ready.entries[-1].index),
                self.log.snapshot.index,
            )
        if ready.committed:
            self._applied_index = ready.committed[-1].index
        if self.is_leader:
            self._advance_commit_index()

    def compact(self, index: int, state: bytes) -> Snapshot:
        """Replace the entries up to ``index`` by a snapshot and return it.

        ``state`` is the state of the service after the entry at ``index``,
        which must have been applied.
        """
        snapshot = Snapshot(
            index,
            self.log.term_at(index) or 0,
            self.log.membership_at(index),
            state,
        )
        self.log.compact(snapshot)
        return snapshot

    # Elections.

    def _reset_election_timeout(self, now: float) -> None:
        timeouts = (
            1 + self._timing.extra_election_timeouts + self._random.random()
        )
        self._election_timeout_at = now + self._timing.election_s * timeouts

    def _start_election(self, now: float, *, is_pre_vote: bool) -> None:
        self._reset_election_timeout(now)
        if self.replica not in self.membership.voters:
            return
        self.leader = None
        self.role = Role.PRE_CANDIDATE if is_pre_vote else Role.CANDIDATE
        if not is_pre_vote:
            self.term += 1
            self._vote = self.replica
        self._vote_tally = VoteTally()
        request = VoteRequest(
            self.term + 1 if is_pre_vote else self.term,
            self.replica,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote,
        )
        for voter in self.membership.voters:
            if voter != self.replica:
                self._send(voter, request)
        self._count_vote(self.replica, now)

    def on_vote_request(self, request: VoteRequest, now: float) -> None:
        """Grant or refuse a vote.

        A vote is refused within an election timeout of the last contact with
        a leader, because the leader may hold a lease for that long.
        """
        may_leader_hold_lease = (
            now < self._leader_heard_at + self._timing.election_s
        )
        is_log_current = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        may_vote = request.is_pre_vote or self._vote in {
            None,
            request.candidate,
        }
        granted = (
            is_log_current
            and may_vote
            and not may_leader_hold_lease
            and not self.is_leader
            and request.term >= self.term + int(request.is_pre_vote)
        )
        if granted and not request.is_pre_vote:
            self._vote = request.candidate
            self._reset_election_timeout(now)
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
        """Count a granted vote; replies to an earlier election are ignored."""
        expected_role = (
            Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        )
        expected_term = self.term + int(reply.is_pre_vote)
        if (
            reply.granted
            and self.role is expected_role
            and reply.term == expected_term
        ):
            self._count_vote(reply.voter, now)

    def _count_vote(self, voter: ReplicaId, now: float) -> None:
        self._vote_tally.granted_by.add(voter)
        if not self._vote_tally.has_won(self.membership):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now, is_pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._leader_since = now
        self._progress_by_id = {
            peer: FollowerProgress(next_index=self.log.last_index + 1)
            for peer in self.membership.members
        }
        self._append(b'', EntryKind.EMPTY)
        self._replicate(now, heartbeat=True)

    def become_follower(
        self, term: int, leader: ReplicaId | None, now: float
    ) -> None:
        """Follow a leader, None until it is known, and stop leading."""
        if term > self.term:
            self.term = term
            self._vote = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress_by_id = {}
        self._reset_election_timeout(now)

    # Replication on the leader.

    def _require_leader(self) -> None:
        if not self.is_leader:
            raise CassiaholdError(
                ErrorKind.NO_QUORUM, f'{self.replica} does not lead its group'
            )

    def _append(self, payload: bytes, kind: EntryKind) -> None:
        entry = Entry(self.term, self.log.last_index + 1, payload, kind)
        self.log.append(entry)
        self._unsaved_entries.append(entry)

    def _replicate(self, now: float, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._next_heartbeat_at = now + self._timing.heartbeat_s
        for peer, progress in self._progress_by_id.items():
            if peer == self.replica:
                continue
            if heartbeat or self._should_send_entries(peer, progress):
                self._send_append(peer, progress, now)

    def _should_send_entries(
        self, peer: ReplicaId, progress: FollowerProgress
    ) -> bool:
        unsent_entries = self.log.last_index + 1 - progress.next_index
        min_batch_entries = MIN_LEARNER_BATCH_ENTRIES
        if peer in self.membership.voters:
            min_batch_entries = 1
        return unsent_entries >= min_batch_entries and progress.can_send(
            self.log.last_index
        )

    def _send_append(
        self, peer: ReplicaId, progress: FollowerProgress, now: float
    ) -> None:
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            if now >= progress.snapshot_resend_at:
                progress.snapshot_resend_at = now + self._timing.election_s
                self._send(
                    peer,
                    SnapshotRequest(
                        self.term, self.replica, now, self.log.snapshot
                    ),
                )
            return
        last_index = min(self.log.last_index, prev_index + MAX_BATCH_ENTRIES)
        entries = self.log.entries_between(prev_index + 1, last_index)
        if progress.is_probing:
            entries = entries[:1]
        progress.next_index += 0 if progress.is_probing else len(entries)
        self._send(
            peer,
            AppendRequest(
                self.term,
                self.replica,
                prev_index,
                prev_term,
                self.commit_index,
                now,
                entries,
            ),
        )

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Record how far a follower's log matches and send what it lacks."""
        progress = self._progress_by_id.get(reply.follower)
        if progress is None or reply.term != self.term:
            return
        progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
        if reply.success:
            progress.record_accepted(reply.match_index)
            self._advance_commit_index()
        else:
            progress.record_rejected(
                reply.rejected_prev_index, reply.match_index
            )
        must_probe = progress.is_probing and (
            progress.next_index <= self.log.last_index
        )
        if must_probe or self._should_send_entries(reply.follower, progress):
            self._send_append(reply.follower, progress, now)

    def _advance_commit_index(self) -> None:
        match_indexes = sorted(
            self.durable_index
            if voter == self.replica
            else self._progress_by_id[voter].match_index
            for voter in self.membership.voters
        )
        index = match_indexes[-self.membership.quorum]
        # A majority commits only entries of the leader's own term; entries
        # of earlier terms are committed together with them.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _has_lost_quorum(self, now: float) -> bool:
        confirmed_at = max(self._quorum_acked_sent_at(), self._leader_since)
        return now >= confirmed_at + self._timing.election_s

    def _lease_expires_at(self) -> float:
        # Granted votes do not extend the lease: a voter may vote again in a
        # later term, and only an append that it has acknowledged keeps it
        # from voting for an election timeout.
        duration_s = self._timing.election_s * (1 - self._timing.clock_drift)
        return self._quorum_acked_sent_at() + duration_s

    def _quorum_acked_sent_at(self) -> float:
        acked_times = sorted(
            float('inf')
            if voter == self.replica
            else self._progress_by_id[voter].acked_sent_at
            for voter in self.membership.voters
        )
        return acked_times[-self.membership.quorum]

    # Replication on a follower.

    def on_append(self, request: AppendRequest, now: float) -> None:
        """Append entries from the leader and reply how far the logs match."""
        if request.term < self.term:
            self._send_append_reply(request, success=False, match_index=0)
            return
        self._record_leader_contact(request.leader, now)
        own_prev_term = self.log.term_at(request.prev_index)
        if request.prev_index < self.log.snapshot.index:
            # Entries covered by the snapshot are committed, so they match.
            self._send_append_reply(
                request, success=True, match_index=self.log.snapshot.index
            )
            return
        if own_prev_term != request.prev_term:
            hint_index = min(self.log.last_index, request.prev_index - 1)
            self._send_append_reply(
                request, success=False, match_index=hint_index
            )
            return
        self._append_received(request.entries)
        match_index = request.prev_index + len(request.entries)
        self.commit_index = max(
            self.commit_index, min(request.commit_index, match_index)
        )
        self._send_append_reply(request, success=True, match_index=match_index)

    def on_snapshot(self, request: SnapshotRequest, now: float) -> None:
        """Replace the log by a snapshot from the leader if it is newer."""
        if request.term < self.term:
            return
        self._record_leader_contact(request.leader, now)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self._unsaved_entries = [
                entry
                for entry in self._unsaved_entries
                if snapshot.index < entry.index <= self.log.last_index
            ]
            self.commit_index = snapshot.index
            self._applied_index = snapshot.index
            self.durable_index = self.log.last_index
            self._installed_snapshot = snapshot
            self._adopt_membership()
        self._send(
            request.leader,
            AppendReply(
                self.term,
                self.replica,
                True,
                self.commit_index,
                request.sent_at,
            ),
        )

    def _record_leader_contact(self, leader: ReplicaId, now: float) -> None:
        if self.role is not Role.FOLLOWER:
            self.become_follower(self.term, leader, now)
        self.leader = leader
        self._leader_heard_at = now
        self._reset_election_timeout(now)

    def _append_received(self, entries: tuple[Entry, ...]) -> None:
        is_changed = False
        for entry in entries:
            if self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.commit_index:
                raise CassiaholdError(
                    ErrorKind.INVARIANT_BROKEN,
                    f'{self.replica}: entry {entry.index} is committed and '
                    f'cannot be replaced',
                )
            self.log.append(entry)
            self.durable_index = min(self.durable_index, entry.index - 1)
            self._unsaved_entries.append(entry)
            is_changed = True
        if is_changed:
            self._adopt_membership()

    def _send_append_reply(
        self, request: AppendRequest, *, success: bool, match_index: int
    ) -> None:
        self._send(
            request.leader,
            AppendReply(
                self.term,
                self.replica,
                success,
                match_index,
                request.sent_at,
                request.prev_index,
            ),
        )

    # Membership.

    def _check_membership_change(self, membership: Membership) -> None:
        if self.membership_index > self.commit_index:
            raise _membership_error(
                'an earlier membership change is not committed'
            )
        if not self.has_committed_in_term:
            raise _membership_error(
                'the leader has not committed in its term yet'
            )
        changed_voters = set(self.membership.voters) ^ set(membership.voters)
        if len(changed_voters) > 1:
            raise _membership_error(
                f'more than one voter changes: {sorted(changed_voters)}'
            )
        for added_voter in changed_voters.intersection(membership.voters):
            progress = self._progress_by_id.get(added_voter)
            if progress is None:
                raise _membership_error(f'{added_voter} is not a learner yet')
            lag = self.log.last_index - progress.match_index
            if lag > MAX_PROMOTION_LAG_ENTRIES:
                raise _membership_error(
                    f'{added_voter} is {lag} entries behind'
                )

    def _adopt_membership(self) -> None:
        latest = self.log.latest_membership()
        self.membership_index = latest[0]
        self.membership = latest[1]
        if not self.is_leader:
            return
        for peer in self.membership.members:
            self._progress_by_id.setdefault(
                peer, FollowerProgress(next_index=self.log.last_index)
            )

    def _send(self, receiver: ReplicaId, message: Message) -> None:
        self._outbox.append(OutgoingMessage(receiver, message))


def _membership_error(detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.BAD_REQUEST, detail)


def _has_prospective_term(message: Message) -> bool:
    # A pre-vote carries a term that no replica has entered yet, so the
    # receiver must not adopt that term.
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
