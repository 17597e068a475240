"""Slots granted to a gateway, and requests for them."""

import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import ServiceName, TargetId, TeamName


class Endpoint(msgspec.Struct, frozen=True):
    """The instance of a target that a request is sent to."""

    target: TargetId
    incarnation: int
    address: str
    max_connections: int


class SlotRequest(msgspec.Struct):
    """A request for one slot, and the decision once it is made.

    Either ``endpoint`` or ``error`` is set by the dispatcher.  Times are in
    seconds, by the clock that the dispatcher's callers pass as ``now``.
    ``excluded_targets`` are those where a retry has failed; it goes there
    only when no other target is healthy.
    """

    service: ServiceName
    team: TeamName
    deadline: float
    arrived_at: float
    excluded_targets: frozenset[TargetId] = frozenset()
    endpoint: Endpoint | None = None
    error: CassiaholdError | None = None
    # Set and read by the caller only, for instance a future to resolve.
    context: typing.Any = None


class SlotGrant(msgspec.Struct, frozen=True):
    """The slots of one target that the gateway may use."""

    target: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    max_connections: int
    is_leaving: bool = False
