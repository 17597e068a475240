"""Tests of the slot ledger."""

from cassiahold.core.ids import GatewayId, ServiceName, TargetId
from cassiahold.core.testing import function_tests
from cassiahold.routing.ledger import (
    GatewayGrant,
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)

G, H = GatewayId('g'), GatewayId('h')
X = TargetId('x')
PRICES = ServiceName('prices')
LEASES = LeaseDurations(slot_lease_s=1.0, target_lease_s=2.0, max_request_s=5.0)


def info(incarnation: int = 1, *, leaving: bool = False) -> TargetInfo:
    return TargetInfo(X, incarnation, PRICES, '127.0.0.1:1', 8, 60, leaving)


class Cell:
    """A ledger with two gateways and one target."""

    def __init__(self) -> None:
        self.ledger = SlotLedger((G, H), LEASES, 0.0)
        self.ledger.record_target(info(), 0.0)
        self.sequence = 0

    def sync(
        self,
        gateway: GatewayId,
        now: float,
        held: int = 0,
        demand: int = 0,
        incarnation: int = 1,
    ) -> int | None:
        self.sequence += 1
        grants: list[GatewayGrant] | None = self.ledger.renew_grants(
            gateway,
            incarnation,
            self.sequence,
            {PRICES: demand},
            [SlotHolding(X, 1, held)] if held else [],
            now,
        )
        return grants[0].slots if grants else None


def test_nothing_is_granted_until_every_gateway_is_heard() -> None:
    cell = Cell()
    assert cell.sync(G, 0.1) == 0
    assert cell.sync(H, 0.1) == 4
    assert cell.sync(G, 0.2) == 4


def test_slots_move_with_demand_and_never_overfill() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sync(H, 0.1)
    assert cell.sync(G, 0.2, demand=50) == 4
    assert cell.sync(H, 0.3, held=4) == 2
    # The other gateway still holds four until it says otherwise.
    assert cell.sync(G, 0.4, held=4, demand=50) == 4
    assert cell.sync(H, 0.5, held=2) == 2
    assert cell.sync(G, 0.6, held=4, demand=50) == 6


def test_a_silent_gateway_gives_up_its_slots_only_after_its_requests() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sync(H, 0.1)
    assert cell.sync(G, 0.2) == 4
    cell.ledger.record_target(info(), 6.1)
    assert cell.sync(H, 6.1, held=4) == 4
    cell.ledger.record_target(info(), 6.3)
    assert cell.sync(H, 6.3, held=4) == 8


def test_requests_of_a_gateway_that_died_still_count() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sync(H, 0.1)
    cell.sync(G, 0.2)
    assert cell.sync(G, 0.3, incarnation=2) == 0
    cell.ledger.record_target(info(), 5.2)
    assert cell.sync(H, 5.2, held=4) == 4
    assert cell.sync(H, 5.4, held=4) == 8


def test_a_late_report_of_an_ended_incarnation_changes_nothing() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sync(H, 0.1)
    cell.ledger.record_target(info(2), 0.2)
    cell.ledger.record_target(info(1), 0.3)
    assert cell.ledger.targets == [info(2)]


def test_leaving_is_not_taken_back_by_a_late_report() -> None:
    cell = Cell()
    cell.ledger.record_target(info(leaving=True), 0.1)
    cell.ledger.record_target(info(), 0.2)
    cell.sync(G, 0.3)
    assert cell.sync(H, 0.3) == 0


def test_holdings_of_an_ended_incarnation_do_not_hide_present_ones() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sync(H, 0.1)
    cell.ledger.renew_grants(
        H, 1, 99, {}, [SlotHolding(X, 1, 8), SlotHolding(X, 0, 2)], 0.2
    )
    assert cell.sync(G, 0.3) == 0


def test_a_late_sync_is_not_answered() -> None:
    cell = Cell()
    cell.sync(G, 0.1)
    cell.sequence = 0
    assert cell.sync(G, 0.2) is None


def test_a_new_leader_waits_for_requests_it_cannot_know() -> None:
    ledger = SlotLedger((G, H), LEASES, 100.0)
    ledger.restore_gateway(G, 5, age_s=1.0)
    ledger.record_target(info(), 100.0)
    for now, slots in ((100.1, 0), (103.9, 0), (104.1, 4)):
        ledger.record_target(info(), now)
        ledger.renew_grants(H, 1, int(now * 10), {}, [], now)
        grants = ledger.renew_grants(G, 5, int(now * 10), {}, [], now)
        assert grants is not None
        assert grants[0].slots == slots, now


load_tests = function_tests(globals())
