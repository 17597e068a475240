"""Where the group's replicas are and which one leads, without I/O."""

import typing

from cassiahold.agreement.repair import address_of
from cassiahold.cell.requests import GroupView
from cassiahold.core.ids import ReplicaId


class ReplicaDirectory:
    """Addresses worth trying, the likely leader first.

    Seeds are the only addresses told from outside; members are learned from
    any replica's view and kept while a newer term does not replace them.
    """

    def __init__(self, seeds: typing.Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._leader: str | None = None
        self._term = 0
        self._unreachable: set[str] = set()

    @property
    def leader(self) -> str | None:
        """Return the likely leader's address."""
        return self._leader

    def replace_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seeds)

    def update_from_view(self, view: GroupView) -> None:
        """Take a replica's view unless a later term is known."""
        if view.term < self._term:
            return
        self._term = view.term
        self._members = tuple(
            address_of(member) for member in view.membership.everyone
        )
        if view.leader is not None:
            self._leader = address_of(view.leader)

    def suggest_leader(self, leader: ReplicaId | None) -> None:
        """Take what a replica said of the leader."""
        if leader is not None:
            self._leader = address_of(leader)

    def reject_leader(self, address: str) -> None:
        """Record that an address did not act as leader."""
        if self._leader == address:
            self._leader = None

    def mark_reachable(self, address: str) -> None:
        """Record that a process answered, whatever it said."""
        self._unreachable.discard(address)

    def mark_unreachable(self, address: str) -> None:
        """Record that a process did not answer; others are tried first."""
        self._unreachable.add(address)

    def candidates(self) -> list[str]:
        """Return every known address once, the likely leader first."""
        known = dict.fromkeys((*self._members, *self._seeds))
        others = sorted(known, key=self._unreachable.__contains__)
        if self._leader is None:
            return others
        # Others name it, so it is tried even if it did not answer before.
        return list(dict.fromkeys((self._leader, *others)))
