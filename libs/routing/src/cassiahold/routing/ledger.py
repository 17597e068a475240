"""Splits the slots of targets over gateways so that none is overfilled.

``held`` is the most that a gateway may be using.  It rises with a grant
and falls only when the gateway itself says so, or after its lease and the
longest request have both surely ended.
"""

import typing

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import GatewayId, ServiceName, TargetId


class TargetInfo(msgspec.Struct, frozen=True):
    """What a target says of itself."""

    id: TargetId
    incarnation: int
    service: ServiceName
    address: str
    slots: int
    max_connections: int
    is_leaving: bool = False


class GatewayGrant(msgspec.Struct, frozen=True):
    """Slots of one target for one gateway."""

    target: TargetInfo
    slots: int
    max_connections: int


class SlotHolding(msgspec.Struct, frozen=True):
    """What a gateway says that it holds of one target."""

    target: TargetId
    incarnation: int
    slots: int


class _Gateway(msgspec.Struct):
    sequence: int = -1
    incarnation: int = 0
    synced_at: float = float('-inf')
    held_slots: dict[tuple[TargetId, int], int] = msgspec.field(
        default_factory=dict
    )
    demand_by_service: dict[ServiceName, int] = msgspec.field(
        default_factory=dict
    )


class _Orphans(msgspec.Struct, frozen=True):
    until: float
    slots: int


class _Target(msgspec.Struct):
    info: TargetInfo
    reported_at: float
    held_by_gateway: dict[GatewayId, int] = msgspec.field(default_factory=dict)
    orphans: list[_Orphans] = msgspec.field(default_factory=list)

    def orphaned(self, now: float) -> int:
        """Return the slots that requests of dead gateways may use."""
        self.orphans = [left for left in self.orphans if now < left.until]
        return sum(left.slots for left in self.orphans)


class LeaseDurations(msgspec.Struct, frozen=True):
    """Durations in seconds, with the allowance for clock drift included."""

    slot_lease_s: float
    target_lease_s: float
    max_request_s: float


class SlotLedger:
    """The leader's record of targets, gateways and grants."""

    def __init__(
        self,
        gateways: typing.Iterable[GatewayId],
        leases: LeaseDurations,
        now: float,
    ) -> None:
        self._leases = leases
        self._since = now
        self._gateway_by_id = {
            gateway: _Gateway() for gateway in sorted(gateways)
        }
        self._target_by_id: dict[TargetId, _Target] = {}
        # Until then requests of gateways that died unseen may be running.
        self._unseen_until = float('-inf')
        # Of targets that have not reported to this leader yet.
        self._early_orphans: dict[tuple[TargetId, int], list[_Orphans]] = {}

    def restore_gateway(
        self, gateway_id: GatewayId, incarnation: int, age_s: float
    ) -> None:
        """Take over what earlier leaders recorded of a gateway.

        ``age_s`` is how long ago the incarnation was recorded.
        """
        gateway = self._gateway_by_id.setdefault(gateway_id, _Gateway())
        gateway.incarnation = incarnation
        left_s = self._leases.max_request_s - age_s
        self._unseen_until = max(self._unseen_until, self._since + left_s)

    @property
    def targets(self) -> list[TargetInfo]:
        """Return the targets that are known."""
        return [target.info for target in self._target_by_id.values()]

    def record_target(self, info: TargetInfo, now: float) -> bool:
        """Take a target's report; return whether no gateway holds it."""
        known = self._target_by_id.get(info.id)
        if known is None:
            known = _Target(info, now)
            self._target_by_id[info.id] = known
            self._recall_holdings(known)
        elif info.incarnation < known.info.incarnation:
            # A late report must not bring an ended incarnation back.
            return False
        elif info.incarnation > known.info.incarnation:
            # A fresh incarnation has none of the old one's requests.
            known.held_by_gateway.clear()
            known.orphans.clear()
        elif known.info.is_leaving:
            # An older report that comes late does not take leaving back.
            info = msgspec.structs.replace(info, is_leaving=True)
        known.info = info
        known.reported_at = now
        return not any(known.held_by_gateway.values())

    def renew_grants(
        self,
        gateway_id: GatewayId,
        incarnation: int,
        sequence: int,
        demand_by_service: dict[ServiceName, int],
        holdings: list[SlotHolding],
        now: float,
    ) -> list[GatewayGrant] | None:
        """Take what a gateway holds and wants; return its grants.

        None when a newer report of the gateway was already seen.
        """
        gateway = self._gateway_by_id.setdefault(gateway_id, _Gateway())
        if (incarnation, sequence) <= (gateway.incarnation, gateway.sequence):
            return None
        if incarnation > gateway.incarnation:
            self._keep_orphans(gateway_id, gateway, now)
        gateway.incarnation = incarnation
        gateway.sequence = sequence
        gateway.synced_at = now
        gateway.demand_by_service = demand_by_service
        self._take_holdings(gateway_id, holdings, now)
        self._forget_lapsed(now)
        return [
            self._grant(gateway_id, target, now)
            for target in self._target_by_id.values()
        ]

    def _keep_orphans(
        self, gateway_id: GatewayId, gateway: _Gateway, now: float
    ) -> None:
        # Requests of a gateway that died may still run at their targets.
        until = now + self._leases.max_request_s
        if gateway.incarnation and gateway.synced_at < self._since:
            self._unseen_until = until
        for target in self._target_by_id.values():
            slots = target.held_by_gateway.get(gateway_id, 0)
            if slots:
                target.orphans.append(_Orphans(until, slots))
        for (target_id, incarnation), slots in gateway.held_slots.items():
            if target_id not in self._target_by_id:
                key = (target_id, incarnation)
                self._early_orphans.setdefault(key, []).append(
                    _Orphans(until, slots)
                )

    def _take_holdings(
        self, gateway_id: GatewayId, holdings: list[SlotHolding], now: float
    ) -> None:
        # A gateway may still hold slots of an incarnation that has ended.
        held_slots = {
            (holding.target, holding.incarnation): holding.slots
            for holding in holdings
        }
        self._gateway_by_id[gateway_id].held_slots = held_slots
        for target_id, target in self._target_by_id.items():
            key = (target_id, target.info.incarnation)
            target.held_by_gateway[gateway_id] = held_slots.get(key, 0)

    def _recall_holdings(self, target: _Target) -> None:
        # Gateways may report to a new leader before their targets do.
        key = (target.info.id, target.info.incarnation)
        target.orphans.extend(self._early_orphans.pop(key, ()))
        for gateway_id, gateway in self._gateway_by_id.items():
            slots = gateway.held_slots.get(key, 0)
            if slots:
                target.held_by_gateway[gateway_id] = slots

    def _forget_lapsed(self, now: float) -> None:
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

    def _grant(
        self, gateway_id: GatewayId, target: _Target, now: float
    ) -> GatewayGrant:
        info = target.info
        others = sum(
            slots
            for holder, slots in target.held_by_gateway.items()
            if holder != gateway_id
        )
        others += target.orphaned(now)
        held = target.held_by_gateway.get(gateway_id, 0)
        wanted = self._fair_slots(gateway_id, info, now)
        if (
            info.is_leaving
            or now >= target.reported_at + self._leases.target_lease_s
        ):
            wanted = 0
        room = max(info.slots - others, 0)
        if not self._knows_all_holders(now):
            # A gateway that has not reported to this leader may still hold
            # slots, so nothing new may be granted.
            room = min(room, held)
        connections = max(info.max_connections // len(self._gateway_by_id), 1)
        slots = min(wanted, room, connections)
        target.held_by_gateway[gateway_id] = max(held, slots)
        if slots > held and others + slots > info.slots:
            raise InvariantError(
                1, f'target {info.id!r} has {info.slots} slots, {others} held'
            )
        return GatewayGrant(info, slots, connections)

    def _knows_all_holders(self, now: float) -> bool:
        lapse_s = self._leases.slot_lease_s + self._leases.max_request_s
        if now >= self._since + lapse_s:
            return True
        if now < self._unseen_until:
            return False
        return all(
            gateway.synced_at >= self._since
            for gateway in self._gateway_by_id.values()
        )

    def _fair_slots(
        self, gateway_id: GatewayId, info: TargetInfo, now: float
    ) -> int:
        live = {
            known_id: gateway.demand_by_service.get(info.service, 0)
            for known_id, gateway in self._gateway_by_id.items()
            if now < gateway.synced_at + self._leases.slot_lease_s
        }
        count = max(len(live), 1)
        floor = info.slots // (2 * count)
        spare = info.slots - floor * count
        weights = {known: 1 + demand for known, demand in live.items()}
        return floor + _portion(spare, weights, gateway_id)


def _portion(
    spare: int, weights: dict[GatewayId, int], gateway: GatewayId
) -> int:
    """Split ``spare`` by weight with the largest remainders rounded up."""
    total = sum(weights.values())
    if not total:
        return spare
    exact = {known: spare * weight / total for known, weight in weights.items()}
    whole = {known: int(amount) for known, amount in exact.items()}
    missing = spare - sum(whole.values())
    by_rest = sorted(
        exact, key=lambda known: (whole[known] - exact[known], known)
    )
    for known in by_rest[:missing]:
        whole[known] += 1
    return whole.get(gateway, 0)
