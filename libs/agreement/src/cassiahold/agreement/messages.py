"""Messages between replicas and records in their journals.

Structures are encoded as MessagePack arrays, so the order of their fields is
part of the format.
"""

import enum
import typing

import msgspec

from cassiahold.core.ids import GroupName, ReplicaId


class EntryKind(enum.Enum):
    """What the payload of a log entry holds.

    ``EMPTY`` entries mark the start of a leader's term.
    """

    COMMAND = 0
    EMPTY = 1
    MEMBERSHIP = 2


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a group: voters, and learners that only get the log."""

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Return the voters, then the learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True, tag='entry'):
    """One entry of the replicated log."""

    term: int
    index: int
    payload: bytes = b''
    kind: EntryKind = EntryKind.COMMAND


class HardState(msgspec.Struct, frozen=True, array_like=True, tag='hard'):
    """A replica's current term and vote, saved before it sends messages."""

    term: int = 0
    vote: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag='snapshot'):
    """State that replaces every entry up to and including ``index``.

    ``term`` is the term of the entry at ``index``.
    """

    index: int
    term: int
    membership: Membership
    state: bytes = b''


class SavedSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot as stored on disk, with the hard state and later entries."""

    snapshot: Snapshot
    hard_state: HardState
    entries: list[Entry]


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag='vote'):
    """Request for a vote; a pre-vote asks whether one would be granted."""

    term: int
    candidate: ReplicaId
    last_index: int
    last_term: int
    is_pre_vote: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag='voted'):
    """Reply to a ``VoteRequest``."""

    term: int
    voter: ReplicaId
    granted: bool
    is_pre_vote: bool = False


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag='append'):
    """Entries from the leader; without entries it is only a heartbeat.

    ``prev_index`` and ``prev_term`` are those of the entry before them.
    ``sent_at`` is a time of the leader's own clock; the reply returns it
    unchanged.
    """

    term: int
    leader: ReplicaId
    prev_index: int
    prev_term: int
    commit_index: int
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag='appended'):
    """Reply to an ``AppendRequest`` or ``SnapshotRequest``.

    On success the follower's log equals the leader's up to ``match_index``.
    Otherwise ``match_index`` is the highest index that may agree, and
    ``rejected_prev_index`` is the ``prev_index`` that was refused.
    """

    term: int
    follower: ReplicaId
    success: bool
    match_index: int
    sent_at: float
    rejected_prev_index: int = 0


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='install'
):
    """A snapshot for a follower that needs entries no longer in the log."""

    term: int
    leader: ReplicaId
    sent_at: float
    snapshot: Snapshot


Message = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its group, sender and receiver."""

    group: GroupName
    sender: ReplicaId
    receiver: ReplicaId
    message: Message


class EnvelopeBatch(msgspec.Struct, frozen=True, array_like=True):
    """Envelopes that are sent in one RPC."""

    envelopes: list[Envelope]


JournalRecord = Entry | HardState
encode: typing.Final = msgspec.msgpack.Encoder().encode
decode_record: typing.Final = msgspec.msgpack.Decoder(JournalRecord).decode
decode_saved_snapshot: typing.Final = msgspec.msgpack.Decoder(
    SavedSnapshot
).decode
decode_membership: typing.Final = msgspec.msgpack.Decoder(Membership).decode
