"""Directory of the group's replicas and their likely leader, without I/O."""

import typing

from cassiahold.agreement.membership_planner import replica_address
from cassiahold.cell.requests import GroupView
from cassiahold.core.ids import ReplicaId


class ReplicaDirectory:
    """Addresses at which a leader may be found, the likely one first.

    Seeds are the only configured addresses.  Members are learned from the view
    of any replica and kept until a view of the same or a newer term replaces
    them.
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
        """Replace the configured addresses."""
        self._seeds = tuple(seeds)

    def update_from_view(self, view: GroupView) -> None:
        """Adopt a replica's view unless a newer term is known."""
        if view.term < self._term:
            return
        self._term = view.term
        self._members = tuple(
            replica_address(member) for member in view.membership.members
        )
        if view.leader is not None:
            self._leader = replica_address(view.leader)

    def suggest_leader(self, leader: ReplicaId | None) -> None:
        """Adopt the leader that a replica named, if it named one."""
        if leader is not None:
            self._leader = replica_address(leader)

    def reject_leader(self, address: str) -> None:
        """Record that the process at an address did not act as leader."""
        if self._leader == address:
            self._leader = None

    def mark_reachable(self, address: str) -> None:
        """Record that the process at an address replied, even with an error."""
        self._unreachable.discard(address)

    def mark_unreachable(self, address: str) -> None:
        """Record that a process did not reply; others are tried before it."""
        self._unreachable.add(address)

    def is_suspect(self, address: str) -> bool:
        """Tell whether the last call to a process got no reply."""
        return address in self._unreachable

    def candidates(self) -> list[str]:
        """Return every known address once, the likely leader first."""
        addresses = dict.fromkeys((*self._members, *self._seeds))
        others = sorted(addresses, key=self._unreachable.__contains__)
        if self._leader is None:
            return others
        # Other replicas named it, so it is tried first even if unreachable.
        return list(dict.fromkeys((self._leader, *others)))
