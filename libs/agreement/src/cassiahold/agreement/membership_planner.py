"""Membership changes that keep a group at its target number of voters.

A replica that has lost its disk rejoins under a new identity and starts as a
learner, because it no longer knows how it voted.  Each change concerns one
replica, and a new voter is added before a failed one is removed.
"""

import typing

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId

JOIN_REQUEST_VALIDITY_S: typing.Final = 2.0  # older requests are ignored
# A voter that is silent for this long counts as lost and may be replaced.
VOTER_SILENCE_LIMIT_S: typing.Final = 3.0
# A learner may be promoted if it is silent for less than this.
PROMOTION_SILENCE_LIMIT_S: typing.Final = 1.0
# A learner may be promoted if its log is at most this far behind.
PROMOTION_LAG_LIMIT_ENTRIES: typing.Final = 64
# A learner that is silent for this long is removed.
LEARNER_SILENCE_LIMIT_S: typing.Final = 30.0
_SEPARATOR: typing.Final = '/'


class PeerStatus(msgspec.Struct, frozen=True):
    """Lag of a peer's log and time since its last acknowledged request."""

    lag_entries: int
    silent_s: float


class JoinRequest(msgspec.Struct, frozen=True):
    """A replica's request to be admitted and the time it was received."""

    replica: ReplicaId
    requested_at: float


def make_replica_id(address: str, identity: str) -> ReplicaId:
    """Return the id of the replica at ``address`` with disk ``identity``."""
    return ReplicaId(f'{address}{_SEPARATOR}{identity}')


def replica_address(replica: ReplicaId) -> str:
    """Return the address at which a replica listens, from its id."""
    return replica.split(_SEPARATOR)[0]


class MembershipPlanner:
    """Chooses a group's next membership change; used on its leader.

    ``own_id`` is the leader, which is never removed.  Times are seconds of its
    monotonic clock.  The newest request from an address means that any other
    replica with that address is replaced.
    """

    def __init__(self, own_id: ReplicaId, target_voters: int) -> None:
        self._own_id = own_id
        self._target_voters = target_voters
        self._join_request_by_address: dict[str, JoinRequest] = {}

    def record_join_request(self, replica: ReplicaId, now: float) -> None:
        """Record a replica's request; it replaces others of its address."""
        address = replica_address(replica)
        self._join_request_by_address[address] = JoinRequest(replica, now)

    def next_change(
        self,
        membership: Membership,
        status_by_id: typing.Mapping[ReplicaId, PeerStatus],
        now: float,
    ) -> Membership | None:
        """Return the next membership, None when no change is needed.

        ``status_by_id`` has the status of the other members.  A removed
        voter stays a learner unless a new replica has its address.
        """
        replaced = self._replaced_members(membership, now)
        return (
            self._without_replaced_learner(membership, replaced)
            or self._with_joining_learner(membership, now)
            or self._with_promoted_learner(membership, status_by_id, replaced)
            or self._without_surplus_voter(membership, status_by_id, replaced)
            or self._without_silent_learner(membership, status_by_id)
        )

    def _replaced_members(
        self, membership: Membership, now: float
    ) -> frozenset[ReplicaId]:
        return frozenset(
            member
            for member in membership.members
            if self._is_replaced(member, now)
        )

    def _is_replaced(self, member: ReplicaId, now: float) -> bool:
        join_request = self._join_request_by_address.get(
            replica_address(member)
        )
        return join_request is not None and join_request.replica != member

    def _without_replaced_learner(
        self, membership: Membership, replaced: frozenset[ReplicaId]
    ) -> Membership | None:
        replaced_learners = replaced.intersection(membership.learners)
        return (
            _without_member(membership, min(replaced_learners))
            if replaced_learners
            else None
        )

    def _with_joining_learner(
        self, membership: Membership, now: float
    ) -> Membership | None:
        for join_request in self._join_request_by_address.values():
            is_fresh = now < join_request.requested_at + JOIN_REQUEST_VALIDITY_S
            if is_fresh and join_request.replica not in membership.members:
                return Membership(
                    membership.voters,
                    (*membership.learners, join_request.replica),
                )
        return None

    def _with_promoted_learner(
        self,
        membership: Membership,
        status_by_id: typing.Mapping[ReplicaId, PeerStatus],
        replaced: frozenset[ReplicaId],
    ) -> Membership | None:
        healthy_voters = [
            voter
            for voter in membership.voters
            if not self._is_lost(voter, status_by_id, replaced)
        ]
        if len(healthy_voters) >= self._target_voters:
            return None
        if len(membership.voters) > self._target_voters:
            return None
        for learner in membership.learners:
            if learner not in replaced and _may_be_promoted(
                status_by_id.get(learner)
            ):
                remaining = _without_member(membership, learner)
                return Membership(
                    (*remaining.voters, learner), remaining.learners
                )
        return None

    def _without_surplus_voter(
        self,
        membership: Membership,
        status_by_id: typing.Mapping[ReplicaId, PeerStatus],
        replaced: frozenset[ReplicaId],
    ) -> Membership | None:
        if len(membership.voters) <= self._target_voters:
            return None
        lost_voters = [
            voter
            for voter in membership.voters
            if self._is_lost(voter, status_by_id, replaced)
        ]
        other_voters = [
            voter for voter in membership.voters if voter != self._own_id
        ]
        removed_voter = (lost_voters or other_voters)[-1]
        remaining = _without_member(membership, removed_voter)
        if removed_voter in replaced:
            return remaining
        return Membership(
            remaining.voters, (*remaining.learners, removed_voter)
        )

    def _is_lost(
        self,
        voter: ReplicaId,
        status_by_id: typing.Mapping[ReplicaId, PeerStatus],
        replaced: frozenset[ReplicaId],
    ) -> bool:
        if voter == self._own_id:
            return False
        status = status_by_id.get(voter)
        return (
            voter in replaced
            or status is None
            or status.silent_s >= VOTER_SILENCE_LIMIT_S
        )

    def _without_silent_learner(
        self,
        membership: Membership,
        status_by_id: typing.Mapping[ReplicaId, PeerStatus],
    ) -> Membership | None:
        for learner in membership.learners:
            status = status_by_id.get(learner)
            if (
                status is not None
                and status.silent_s >= LEARNER_SILENCE_LIMIT_S
            ):
                return _without_member(membership, learner)
        return None


def _may_be_promoted(status: PeerStatus | None) -> bool:
    return (
        status is not None
        and status.silent_s < PROMOTION_SILENCE_LIMIT_S
        and status.lag_entries <= PROMOTION_LAG_LIMIT_ENTRIES
    )


def _without_member(membership: Membership, removed: ReplicaId) -> Membership:
    return Membership(
        tuple(voter for voter in membership.voters if voter != removed),
        tuple(learner for learner in membership.learners if learner != removed),
    )
