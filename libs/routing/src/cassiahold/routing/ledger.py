"""Splits the slots of targets over gateways without overcommitting a target.

A slot is the right to have one request in progress at a target.  The ledger
keeps an upper bound of the slots that each gateway may be using at each
target.  A grant raises the bound.  It falls only when the gateway reports
fewer slots, or once its lease and the longest request that it may have sent
under it have both ended.
"""

import typing

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import GatewayId, ServiceName, TargetId
from cassiahold.routing.slot_shares import fair_share


class TargetInfo(msgspec.Struct, frozen=True):
    """What a target reports of itself.

    ``incarnation`` rises with each restart; ``is_leaving`` announces a
    shutdown.
    """

    id: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    max_connections: int
    is_leaving: bool = False


class GatewayGrant(msgspec.Struct, frozen=True):
    """Slots of and connections to one target, granted to one gateway."""

    target: TargetInfo
    slots: int
    max_connections: int


class SlotHolding(msgspec.Struct, frozen=True):
    """Slots of one target that a gateway reports as held."""

    target: TargetId
    incarnation: int
    slots: int


class _Gateway(msgspec.Struct):
    last_sequence: int = -1
    incarnation: int = 0
    synced_at: float = float('-inf')
    # By target and incarnation.
    held_slots: dict[tuple[TargetId, int], int] = msgspec.field(
        default_factory=dict
    )
    demand_by_service: dict[ServiceName, int] = msgspec.field(
        default_factory=dict
    )


class _OrphanedSlots(msgspec.Struct, frozen=True):
    expires_at: float
    slots: int


class _Target(msgspec.Struct):
    info: TargetInfo
    reported_at: float
    held_by_gateway: dict[GatewayId, int] = msgspec.field(default_factory=dict)
    orphaned_slots: list[_OrphanedSlots] = msgspec.field(default_factory=list)

    def count_orphaned(self, now: float) -> int:
        """Return the slots that requests of ended gateways may still use."""
        self.orphaned_slots = [
            orphaned
            for orphaned in self.orphaned_slots
            if now < orphaned.expires_at
        ]
        return sum(orphaned.slots for orphaned in self.orphaned_slots)


class LeaseDurations(msgspec.Struct, frozen=True):
    """Upper bounds of durations, with the allowance for clock drift."""

    slot_lease_s: float
    target_lease_s: float
    max_request_s: float


class SlotLedger:
    """Targets, gateways and granted slots as known to a group's leader.

    It is kept in memory only.  A new leader starts with an empty ledger and
    grants no further slots until every gateway has reported to it, or until
    anything that an earlier leader granted has ended.
    """

    def __init__(
        self,
        gateways: typing.Iterable[GatewayId],
        leases: LeaseDurations,
        now: float,
    ) -> None:
        self._leases = leases
        self._leader_since = now
        self._gateway_by_id = {
            gateway: _Gateway() for gateway in sorted(gateways)
        }
        self._target_by_id: dict[TargetId, _Target] = {}
        # Until this time, requests may be running that were sent by
        # gateway incarnations which ended without reporting to this leader.
        self._unknown_holders_until = float('-inf')
        # Orphaned slots of targets that have not reported to this leader
        # yet, by target and incarnation.
        self._orphaned_by_unreported: dict[
            tuple[TargetId, int], list[_OrphanedSlots]
        ] = {}

    def restore_gateway(
        self, gateway_id: GatewayId, incarnation: int, age_s: float
    ) -> None:
        """Restore the incarnation of a gateway recorded by earlier leaders.

        ``age_s`` is the time since the incarnation was recorded: requests
        of the incarnation before it may still be running for the longest
        request less that time.
        """
        gateway = self._gateway_by_id.setdefault(gateway_id, _Gateway())
        gateway.incarnation = incarnation
        remaining_s = self._leases.max_request_s - age_s
        self._unknown_holders_until = max(
            self._unknown_holders_until, self._leader_since + remaining_s
        )

    @property
    def targets(self) -> list[TargetInfo]:
        """Return the targets that have reported and not lapsed."""
        return [target.info for target in self._target_by_id.values()]

    def record_target(self, info: TargetInfo, now: float) -> bool:
        """Record a target's report.

        Return whether no gateway holds a slot of the target any more.
        """
        target = self._target_by_id.get(info.id)
        if target is None:
            target = _Target(info, now)
            self._target_by_id[info.id] = target
            self._restore_holdings(target)
        elif info.incarnation < target.info.incarnation:
            # A delayed report must not bring back an ended incarnation.
            return False
        elif info.incarnation > target.info.incarnation:
            # Requests of the old incarnation ended with it.
            target.held_by_gateway.clear()
            target.orphaned_slots.clear()
        elif target.info.is_leaving:
            # A delayed report must not revoke the announced shutdown.
            info = msgspec.structs.replace(info, is_leaving=True)
        target.info = info
        target.reported_at = now
        return not any(target.held_by_gateway.values())

    def renew_grants(
        self,
        gateway_id: GatewayId,
        incarnation: int,
        sequence: int,
        demand_by_service: dict[ServiceName, int],
        holdings: list[SlotHolding],
        now: float,
    ) -> list[GatewayGrant] | None:
        """Record a gateway's holdings and demand; return its grants.

        Return None when a newer report of the gateway was seen already.
        """
        gateway = self._gateway_by_id.setdefault(gateway_id, _Gateway())
        if (incarnation, sequence) <= (
            gateway.incarnation,
            gateway.last_sequence,
        ):
            return None
        if incarnation > gateway.incarnation:
            self._orphan_slots(gateway_id, gateway, now)
        gateway.incarnation = incarnation
        gateway.last_sequence = sequence
        gateway.synced_at = now
        gateway.demand_by_service = demand_by_service
        self._record_holdings(gateway_id, holdings, now)
        self._drop_lapsed(now)
        return [
            self._grant_slots(gateway_id, target, now)
            for target in self._target_by_id.values()
        ]

    def _orphan_slots(
        self, gateway_id: GatewayId, gateway: _Gateway, now: float
    ) -> None:
        # Requests of the ended incarnation may still run at their targets.
        expires_at = now + self._leases.max_request_s
        if gateway.incarnation and gateway.synced_at < self._leader_since:
            self._unknown_holders_until = expires_at
        for target in self._target_by_id.values():
            slots = target.held_by_gateway.get(gateway_id, 0)
            if slots:
                target.orphaned_slots.append(_OrphanedSlots(expires_at, slots))
        for (target_id, incarnation), slots in gateway.held_slots.items():
            if target_id not in self._target_by_id:
                key = (target_id, incarnation)
                self._orphaned_by_unreported.setdefault(key, []).append(
                    _OrphanedSlots(expires_at, slots)
                )

    def _record_holdings(
        self, gateway_id: GatewayId, holdings: list[SlotHolding], now: float
    ) -> None:
        # A gateway may still hold slots of a target's earlier incarnation.
        held_slots = {
            (holding.target, holding.incarnation): holding.slots
            for holding in holdings
        }
        self._gateway_by_id[gateway_id].held_slots = held_slots
        for target_id, target in self._target_by_id.items():
            key = (target_id, target.info.incarnation)
            target.held_by_gateway[gateway_id] = held_slots.get(key, 0)

    def _restore_holdings(self, target: _Target) -> None:
        # Gateways may report to a new leader before their targets do.
        key = (target.info.id, target.info.incarnation)
        target.orphaned_slots.extend(self._orphaned_by_unreported.pop(key, ()))
        for gateway_id, gateway in self._gateway_by_id.items():
            slots = gateway.held_slots.get(key, 0)
            if slots:
                target.held_by_gateway[gateway_id] = slots

    def _drop_lapsed(self, now: float) -> None:
        lapse_s = self._leases.slot_lease_s + self._leases.max_request_s
        for gateway_id, gateway in self._gateway_by_id.items():
            if now < gateway.synced_at + lapse_s:
                continue
            for target in self._target_by_id.values():
                target.held_by_gateway.pop(gateway_id, None)
        for target_id, target in list(self._target_by_id.items()):
            if (
                now
                >= target.reported_at + lapse_s + self._leases.target_lease_s
            ):
                self._target_by_id.pop(target_id)

    def _grant_slots(
        self, gateway_id: GatewayId, target: _Target, now: float
    ) -> GatewayGrant:
        info = target.info
        held_by_others = sum(
            slots
            for holder, slots in target.held_by_gateway.items()
            if holder != gateway_id
        )
        held_by_others += target.count_orphaned(now)
        held = target.held_by_gateway.get(gateway_id, 0)
        wanted_slots = fair_share(
            info.slots, self._demand_by_gateway(info.service, now), gateway_id
        )
        if (
            info.is_leaving
            or now >= target.reported_at + self._leases.target_lease_s
        ):
            wanted_slots = 0
        free_slots = max(info.slots - held_by_others, 0)
        if not self._knows_all_holders(now):
            # A gateway that has not reported to this leader may still hold
            # slots, so no further slots may be granted.
            free_slots = min(free_slots, held)
        max_connections = max(
            info.max_connections // len(self._gateway_by_id), 1
        )
        slots = min(wanted_slots, free_slots, max_connections)
        target.held_by_gateway[gateway_id] = max(held, slots)
        if slots > held and held_by_others + slots > info.slots:
            raise InvariantError(
                1,
                f'{slots} slots of target {info.id!r} granted to gateway '
                f'{gateway_id!r}; {held_by_others} of its {info.slots} slots '
                'are held by others',
            )
        return GatewayGrant(info, slots, max_connections)

    def _knows_all_holders(self, now: float) -> bool:
        lapse_s = self._leases.slot_lease_s + self._leases.max_request_s
        if now >= self._leader_since + lapse_s:
            return True
        if now < self._unknown_holders_until:
            return False
        return all(
            gateway.synced_at >= self._leader_since
            for gateway in self._gateway_by_id.values()
        )

    def _demand_by_gateway(
        self, service: ServiceName, now: float
    ) -> dict[GatewayId, int]:
        """Return the demand of the gateways whose lease has not lapsed."""
        return {
            gateway_id: gateway.demand_by_service.get(service, 0)
            for gateway_id, gateway in self._gateway_by_id.items()
            if now < gateway.synced_at + self._leases.slot_lease_s
        }
