"""Shares of a target's slots for the gateways that use it."""

from cassiahold.core.ids import GatewayId


def fair_share(
    slots: int, demand_by_gateway: dict[GatewayId, int], gateway_id: GatewayId
) -> int:
    """Return a gateway's part of a target's slots.

    Half of the slots are split evenly, the others by demand.
    """
    gateway_count = max(len(demand_by_gateway), 1)
    even_share = slots // (2 * gateway_count)
    remaining = slots - even_share * gateway_count
    weight_by_gateway = {
        each_id: 1 + demand for each_id, demand in demand_by_gateway.items()
    }
    return even_share + _largest_remainder_share(
        remaining, weight_by_gateway, gateway_id
    )


def _largest_remainder_share(
    slots: int, weight_by_gateway: dict[GatewayId, int], gateway_id: GatewayId
) -> int:
    """Return a gateway's part of ``slots`` split by weight.

    The split is rounded by the largest remainder method.
    """
    total = sum(weight_by_gateway.values())
    if not total:
        return slots
    exact_by_gateway = {
        each_id: slots * weight / total
        for each_id, weight in weight_by_gateway.items()
    }
    slots_by_gateway = {
        each_id: int(exact) for each_id, exact in exact_by_gateway.items()
    }
    unassigned = slots - sum(slots_by_gateway.values())
    by_remainder = sorted(
        exact_by_gateway,
        key=lambda each_id: (
            slots_by_gateway[each_id] - exact_by_gateway[each_id],
            each_id,
        ),
    )
    for each_id in by_remainder[:unassigned]:
        slots_by_gateway[each_id] += 1
    return slots_by_gateway.get(gateway_id, 0)
