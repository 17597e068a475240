"""Keeps a group at its number of voters as replicas come, go and return.

A replica that lost its disk returns under a new identity and learns first:
it never votes for what it forgot.  One replica changes at a time; a new
voter is added before a lost one is taken out.
"""

import typing

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.core.ids import ReplicaId

JOIN_FRESH_S: typing.Final = 2.0  # an older request to join is not acted on
SILENT_S: typing.Final = 3.0  # a voter silent for this long may be replaced
READY_S: typing.Final = 1.0  # a learner heard within this may be promoted
READY_LAG_ENTRIES: typing.Final = 64
FORGET_S: typing.Final = 30.0  # a learner silent for this long is removed
_SEPARATOR: typing.Final = '/'


class PeerView(msgspec.Struct, frozen=True):
    """How far a peer's log is behind and how long it has been silent."""

    lag: int
    silent_s: float


class Joiner(msgspec.Struct, frozen=True):
    """A replica that asked to be admitted."""

    replica: ReplicaId
    asked_at: float


def make_replica_id(address: str, identity: str) -> ReplicaId:
    """Return the id of a replica: where it listens and which disk it has."""
    return ReplicaId(f'{address}{_SEPARATOR}{identity}')


def replica_address(replica: ReplicaId) -> str:
    """Return where a replica listens."""
    return replica.split(_SEPARATOR)[0]


class Repairer:
    """Chooses the next change of a group's membership at its leader."""

    def __init__(self, own: ReplicaId, target_voters: int) -> None:
        self._own = own
        self._target = target_voters
        self._joiner_by_address: dict[str, Joiner] = {}

    def ask_to_join(self, replica: ReplicaId, now: float) -> None:
        """Record that a replica wants to be a member."""
        address = replica_address(replica)
        self._joiner_by_address[address] = Joiner(replica, now)

    def next_change(
        self,
        membership: Membership,
        peers: typing.Mapping[ReplicaId, PeerView],
        now: float,
    ) -> Membership | None:
        """Return the next membership, None when nothing needs to change."""
        replaced = self._replaced(membership, now)
        return (
            self._without_replaced_learner(membership, replaced)
            or self._with_joiner(membership, now)
            or self._with_voter(membership, peers, replaced)
            or self._without_voter(membership, peers, replaced)
            or self._without_silent_learner(membership, peers)
        )

    def _replaced(
        self, membership: Membership, now: float
    ) -> frozenset[ReplicaId]:
        return frozenset(
            member
            for member in membership.members
            if self._is_replaced(member, now)
        )

    def _is_replaced(self, member: ReplicaId, now: float) -> bool:
        joiner = self._joiner_by_address.get(replica_address(member))
        return joiner is not None and joiner.replica != member

    def _without_replaced_learner(
        self, membership: Membership, replaced: frozenset[ReplicaId]
    ) -> Membership | None:
        gone = replaced.intersection(membership.learners)
        return _less(membership, min(gone)) if gone else None

    def _with_joiner(
        self, membership: Membership, now: float
    ) -> Membership | None:
        for joiner in self._joiner_by_address.values():
            is_fresh = now < joiner.asked_at + JOIN_FRESH_S
            if is_fresh and joiner.replica not in membership.members:
                return Membership(
                    membership.voters, (*membership.learners, joiner.replica)
                )
        return None

    def _with_voter(
        self,
        membership: Membership,
        peers: typing.Mapping[ReplicaId, PeerView],
        replaced: frozenset[ReplicaId],
    ) -> Membership | None:
        sound = [
            voter
            for voter in membership.voters
            if not self._is_lost(voter, peers, replaced)
        ]
        if len(sound) >= self._target:
            return None
        if len(membership.voters) > self._target:
            return None
        for learner in membership.learners:
            if learner not in replaced and _is_ready(peers.get(learner)):
                less = _less(membership, learner)
                return Membership((*less.voters, learner), less.learners)
        return None

    def _without_voter(
        self,
        membership: Membership,
        peers: typing.Mapping[ReplicaId, PeerView],
        replaced: frozenset[ReplicaId],
    ) -> Membership | None:
        if len(membership.voters) <= self._target:
            return None
        lost = [
            voter
            for voter in membership.voters
            if self._is_lost(voter, peers, replaced)
        ]
        others = [voter for voter in membership.voters if voter != self._own]
        leaving = (lost or others)[-1]
        less = _less(membership, leaving)
        if leaving in replaced:
            return less
        return Membership(less.voters, (*less.learners, leaving))

    def _is_lost(
        self,
        voter: ReplicaId,
        peers: typing.Mapping[ReplicaId, PeerView],
        replaced: frozenset[ReplicaId],
    ) -> bool:
        if voter == self._own:
            return False
        peer = peers.get(voter)
        return voter in replaced or peer is None or peer.silent_s >= SILENT_S

    def _without_silent_learner(
        self,
        membership: Membership,
        peers: typing.Mapping[ReplicaId, PeerView],
    ) -> Membership | None:
        for learner in membership.learners:
            peer = peers.get(learner)
            if peer is not None and peer.silent_s >= FORGET_S:
                return _less(membership, learner)
        return None


def _is_ready(peer: PeerView | None) -> bool:
    return (
        peer is not None
        and peer.silent_s < READY_S
        and peer.lag <= READY_LAG_ENTRIES
    )


def _less(membership: Membership, gone: ReplicaId) -> Membership:
    return Membership(
        tuple(voter for voter in membership.voters if voter != gone),
        tuple(learner for learner in membership.learners if learner != gone),
    )
