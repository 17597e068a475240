"""What a leader knows of its followers and a candidate of its voters."""

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId

MAX_IN_FLIGHT_ENTRIES = 4096


class FollowerProgress(msgspec.Struct):
    """How far one follower's log agrees with the leader's."""

    next_index: int
    match_index: int = 0
    acked_sent_at: float = float('-inf')
    is_probing: bool = True
    snapshot_resend_at: float = float('-inf')

    def can_send(self, last_index: int) -> bool:
        """Tell whether new entries may be sent before the next answer."""
        in_flight = self.next_index - self.match_index
        return (
            not self.is_probing
            and self.next_index <= last_index
            and in_flight < MAX_IN_FLIGHT_ENTRIES
        )

    def record_accepted(self, match: int) -> None:
        """Record that the follower holds everything up to ``match``."""
        self.match_index = max(self.match_index, match)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False

    def record_rejected(self, prev_index: int, hint: int) -> None:
        """Step back after a follower lacked ``prev_index``."""
        if prev_index <= self.match_index:
            return
        self.next_index = max(self.match_index + 1, min(prev_index, hint + 1))
        self.is_probing = True


class VoteTally(msgspec.Struct):
    """The votes that a candidate has."""

    granted_by: set[ReplicaId] = msgspec.field(default_factory=set)

    def has_won(self, membership: Membership) -> bool:
        """Tell whether a majority of the voters has granted."""
        votes = self.granted_by.intersection(membership.voters)
        return len(votes) >= membership.quorum
