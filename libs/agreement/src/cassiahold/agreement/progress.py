"""Replication progress of a leader's followers and votes for a candidate."""

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId

MAX_IN_FLIGHT_ENTRIES = 4096


class FollowerProgress(msgspec.Struct):
    """Replication state of one follower, kept by the leader.

    ``next_index`` is the index of the next entry to send and ``match_index``
    the highest index known to be stored by the follower.  ``acked_sent_at``
    is the time at which the newest acknowledged request was sent.  While
    ``is_probing``, the leader sends one entry at a time until it knows where
    the logs agree.  A snapshot is not sent again before
    ``snapshot_resend_at``.  Times are seconds of the leader's clock.
    """

    next_index: int
    match_index: int = 0
    acked_sent_at: float = float('-inf')
    is_probing: bool = True
    snapshot_resend_at: float = float('-inf')

    def can_send(self, last_index: int) -> bool:
        """Return whether new entries may be sent before the next reply."""
        in_flight = self.next_index - self.match_index
        return (
            not self.is_probing
            and self.next_index <= last_index
            and in_flight < MAX_IN_FLIGHT_ENTRIES
        )

    def record_accepted(self, match_index: int) -> None:
        """Record that the follower stores every entry up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False

    def record_rejected(self, prev_index: int, hint_index: int) -> None:
        """Step back after the follower rejected ``prev_index``.

        ``hint_index`` is the highest index at which the logs may agree.  A
        rejection of an index that is known to match is outdated and ignored.
        """
        if prev_index <= self.match_index:
            return
        self.next_index = max(
            self.match_index + 1, min(prev_index, hint_index + 1)
        )
        self.is_probing = True


class VoteTally(msgspec.Struct):
    """The voters that have granted a candidate their vote."""

    granted_by: set[ReplicaId] = msgspec.field(default_factory=set)

    def has_won(self, membership: Membership) -> bool:
        """Return whether a majority of the voters has granted the vote."""
        votes = self.granted_by.intersection(membership.voters)
        return len(votes) >= membership.quorum
