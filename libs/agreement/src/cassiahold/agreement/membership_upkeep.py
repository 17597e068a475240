"""Membership changes that a leader proposes by itself."""

import typing

from cassiahold.agreement.membership_planner import MembershipPlanner
from cassiahold.agreement.messages import Membership
from cassiahold.agreement.node import RaftNode
from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import GroupName, ReplicaId

MEMBERSHIP_CHECK_INTERVAL_S: typing.Final = 0.2


class MembershipUpkeep:
    """Proposes at intervals the next change towards a number of voters.

    With ``target_voters`` 0 only operators change the membership.  Times are
    seconds of the replica's clock.
    """

    def __init__(
        self, group: GroupName, replica: ReplicaId, target_voters: int
    ) -> None:
        self._group = group
        self._target_voters = target_voters
        self._planner = MembershipPlanner(replica, target_voters)
        self._next_check_at = 0.0

    def record_join_request(self, replica: ReplicaId, now: float) -> None:
        """Record that a replica asks to be admitted."""
        self._planner.record_join_request(replica, now)

    def propose_if_due(self, node: RaftNode, now: float) -> None:
        """Let the leader propose the next change, if one is needed."""
        if not self._target_voters or now < self._next_check_at:
            return
        self._next_check_at = now + MEMBERSHIP_CHECK_INTERVAL_S
        if node.membership_index > node.commit_index:
            return
        change = self._planner.next_change(
            node.membership, node.peer_status_by_id(now), now
        )
        if change is not None:
            self._propose(node, change, now)

    def _propose(self, node: RaftNode, change: Membership, now: float) -> None:
        try:
            node.propose_membership(change, now)
        except CassiaholdError as exc:
            logs.warning(
                'membership_refused',
                group=self._group,
                membership=change,
                reason=exc.detail,
            )
            return
        logs.info(
            'membership_proposed',
            group=self._group,
            voters=','.join(change.voters),
            learners=','.join(change.learners),
            term=node.term,
        )
