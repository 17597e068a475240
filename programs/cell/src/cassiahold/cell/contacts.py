"""When a process contacts the leader.

A contact shows that the leader is reachable and offers help with queries to
advisors.  With a hundred hosts the contacts are a good part of what an idle
cell does, so replies to callers count as contacts, too.
"""

import typing

CONTACT_INTERVAL_S: typing.Final = 1.0  # without any reply of the leader
# Twice within the time after which the leader forgets a helper.
OFFER_INTERVAL_S: typing.Final = 2.0


class ContactSchedule:
    """Schedule of one process; times are seconds of its steady clock."""

    def __init__(self) -> None:
        self._offered_at = -OFFER_INTERVAL_S
        self._offered_to: str | None = None

    def pause_s(
        self, now: float, leader: str | None, leader_silence_s: float
    ) -> float:
        """Return the seconds until the next contact; 0 when it is due.

        A new leader does not know the helpers yet, so it is contacted at once.
        """
        if leader != self._offered_to:
            return 0.0
        until_offer_s = self._offered_at + OFFER_INTERVAL_S - now
        until_silent_s = CONTACT_INTERVAL_S - leader_silence_s
        return max(min(until_offer_s, until_silent_s), 0.0)

    def record_offer(self, now: float, leader: str | None) -> None:
        """Record that a leader has accepted the offer to help."""
        self._offered_at = now
        self._offered_to = leader
