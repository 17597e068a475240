"""Tests of the slot ledger: no target is overcommitted.

Gateways fall silent or restart, reports are delayed, and leaders change.
"""

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


def target_info(
    incarnation: int = 1, *, is_leaving: bool = False
) -> TargetInfo:
    return TargetInfo(X, incarnation, PRICES, '127.0.0.1:1', 8, 60, is_leaving)


class LedgerDriver:
    """A ledger of two gateways and one target with 8 slots."""

    def __init__(self) -> None:
        self.ledger = SlotLedger((G, H), LEASES, 0.0)
        self.ledger.record_target(target_info(), 0.0)
        self.sequence = 0

    def renew(
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


def test_no_slot_is_granted_until_every_gateway_has_reported() -> None:
    driver = LedgerDriver()
    assert driver.renew(G, 0.1) == 0
    assert driver.renew(H, 0.1) == 4
    assert driver.renew(G, 0.2) == 4


def test_slots_follow_demand_without_overcommitment() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.renew(H, 0.1)
    assert driver.renew(G, 0.2, demand=50) == 4
    assert driver.renew(H, 0.3, held=4) == 2
    # H holds four slots until it reports fewer.
    assert driver.renew(G, 0.4, held=4, demand=50) == 4
    assert driver.renew(H, 0.5, held=2) == 2
    assert driver.renew(G, 0.6, held=4, demand=50) == 6


def test_slots_of_a_silent_gateway_are_kept_for_its_requests() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.renew(H, 0.1)
    assert driver.renew(G, 0.2) == 4
    driver.ledger.record_target(target_info(), 6.1)
    assert driver.renew(H, 6.1, held=4) == 4
    driver.ledger.record_target(target_info(), 6.3)
    assert driver.renew(H, 6.3, held=4) == 8


def test_requests_of_an_ended_gateway_still_count() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.renew(H, 0.1)
    driver.renew(G, 0.2)
    assert driver.renew(G, 0.3, incarnation=2) == 0
    driver.ledger.record_target(target_info(), 5.2)
    assert driver.renew(H, 5.2, held=4) == 4
    assert driver.renew(H, 5.4, held=4) == 8


def test_delayed_report_of_an_ended_incarnation_is_ignored() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.renew(H, 0.1)
    driver.ledger.record_target(target_info(2), 0.2)
    driver.ledger.record_target(target_info(1), 0.3)
    assert driver.ledger.targets == [target_info(2)]


def test_leaving_is_not_revoked_by_a_delayed_report() -> None:
    driver = LedgerDriver()
    driver.ledger.record_target(target_info(is_leaving=True), 0.1)
    driver.ledger.record_target(target_info(), 0.2)
    driver.renew(G, 0.3)
    assert driver.renew(H, 0.3) == 0


def test_holdings_of_an_ended_incarnation_do_not_hide_current_ones() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.renew(H, 0.1)
    driver.ledger.renew_grants(
        H, 1, 99, {}, [SlotHolding(X, 1, 8), SlotHolding(X, 0, 2)], 0.2
    )
    assert driver.renew(G, 0.3) == 0


def test_delayed_gateway_report_gets_no_grants() -> None:
    driver = LedgerDriver()
    driver.renew(G, 0.1)
    driver.sequence = 0
    assert driver.renew(G, 0.2) is None


def test_new_leader_waits_for_requests_unknown_to_it() -> None:
    ledger = SlotLedger((G, H), LEASES, 100.0)
    ledger.restore_gateway(G, 5, age_s=1.0)
    ledger.record_target(target_info(), 100.0)
    for now, slots in ((100.1, 0), (103.9, 0), (104.1, 4)):
        ledger.record_target(target_info(), now)
        ledger.renew_grants(H, 1, int(now * 10), {}, [], now)
        grants = ledger.renew_grants(G, 5, int(now * 10), {}, [], now)
        assert grants is not None
        assert grants[0].slots == slots, now


load_tests = function_tests(globals())
