"""Messages between replicas and records kept on disk."""

import enum
import typing

import msgspec

from cassiahold.core.ids import GroupName, ReplicaId


class EntryKind(enum.Enum):
    """What an entry of the log holds."""

    COMMAND = 0
    EMPTY = 1
    MEMBERSHIP = 2


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who votes and who only receives the log."""

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters that makes a majority."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True, tag='entry'):
    """One record of the replicated log."""

    term: int
    index: int
    payload: bytes = b''
    kind: EntryKind = EntryKind.COMMAND


class HardState(msgspec.Struct, frozen=True, array_like=True, tag='hard'):
    """What a replica must never forget about elections."""

    term: int = 0
    vote: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag='snapshot'):
    """State that replaces every entry up to ``index``."""

    index: int
    term: int
    membership: Membership
    state: bytes = b''


class SavedSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot with what must survive beside it."""

    snapshot: Snapshot
    hard_state: HardState
    tail: list[Entry]


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag='vote'):
    """Asks for a vote; with ``pre`` only whether one would be given."""

    term: int
    candidate: ReplicaId
    last_index: int
    last_term: int
    is_pre_vote: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag='voted'):
    """Answers a vote request."""

    term: int
    voter: ReplicaId
    granted: bool
    is_pre_vote: bool = False


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag='append'):
    """Carries entries and serves as heartbeat.

    ``sent_at`` is the leader's own clock, returned in the reply.
    """

    term: int
    leader: ReplicaId
    prev_index: int
    prev_term: int
    commit: int
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag='appended'):
    """Says how far the follower's log agrees with the leader's."""

    term: int
    follower: ReplicaId
    success: bool
    match: int
    sent_at: float
    rejected_prev: int = 0


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='install'
):
    """Carries a snapshot to a replica that is too far behind."""

    term: int
    leader: ReplicaId
    sent_at: float
    snapshot: Snapshot


Message = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message on its way from one replica of a group to another."""

    group: GroupName
    sender: ReplicaId
    receiver: ReplicaId
    message: Message


class EnvelopeBatch(msgspec.Struct, frozen=True, array_like=True):
    """Envelopes that travel in one call."""

    envelopes: list[Envelope]


Record = Entry | HardState
encode: typing.Final = msgspec.msgpack.Encoder().encode
decode_record: typing.Final = msgspec.msgpack.Decoder(Record).decode
decode_saved: typing.Final = msgspec.msgpack.Decoder(SavedSnapshot).decode
decode_membership: typing.Final = msgspec.msgpack.Decoder(Membership).decode
