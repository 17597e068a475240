"""Tests of the choice of targets and of queues."""

from cassiahold.core.exceptions import ErrorKind, InvariantError
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.testing import function_tests
from cassiahold.routing.dispatcher import (
    Dispatcher,
    Endpoint,
    SlotGrant,
    SlotRequest,
)
from cassiahold.routing.retries import RetryBudget

PRICES = ServiceName('prices')
RED, BLUE = TeamName('red'), TeamName('blue')


def grant(
    name: str = 'x', slots: int = 2, *, leaving: bool = False
) -> SlotGrant:
    return SlotGrant(
        TargetId(name), 1, PRICES, '127.0.0.1:1', slots, 10, leaving
    )


class Front:
    """A dispatcher, warm, with the tickets that it has decided."""

    def __init__(self, *grants: SlotGrant, length: int = 3) -> None:
        self.decided: list[SlotRequest] = []
        self.dispatcher = Dispatcher(length, self.decided.append)
        self.dispatcher.renew_grants(list(grants), 1000.0, 0.0)
        self.now = 100.0

    def ask(self, team: TeamName = RED, wait_s: float = 5.0) -> SlotRequest:
        ticket = SlotRequest(PRICES, team, self.now + wait_s, self.now)
        self.dispatcher.submit(ticket, self.now)
        return ticket

    def done(self, ticket: SlotRequest, *, failed: bool = False) -> None:
        assert ticket.endpoint is not None
        self.dispatcher.complete(
            PRICES, ticket.endpoint, self.now, latency_s=0.01, has_failed=failed
        )


def kind(ticket: SlotRequest) -> ErrorKind | None:
    return ticket.error.kind if ticket.error else None


def test_no_more_requests_than_slots() -> None:
    front = Front(grant(slots=2))
    tickets = [front.ask() for _ in range(3)]
    assert [ticket.endpoint is not None for ticket in tickets] == [
        True,
        True,
        False,
    ]
    front.done(tickets[0])
    assert tickets[2].endpoint is not None


def test_a_full_queue_refuses_early() -> None:
    front = Front(grant(slots=1), length=2)
    for _ in range(3):
        front.ask()
    assert kind(front.ask()) is ErrorKind.OVERLOADED
    assert kind(front.ask(BLUE)) is None


def test_a_request_past_its_deadline_is_refused_before_it_is_sent() -> None:
    front = Front(grant(slots=1))
    first = front.ask()
    late = front.ask(wait_s=1.0)
    front.now += 2
    front.done(first)
    assert kind(late) is ErrorKind.DEADLINE_PASSED
    assert late.endpoint is None


def test_lapsed_slots_are_not_used() -> None:
    front = Front(grant())
    front.now = 1000.0
    assert kind(front.ask()) is ErrorKind.UNREACHABLE


def test_lapsed_slots_are_not_reported_as_held() -> None:
    """Regression: they may have been granted to another gateway."""
    front = Front(grant(slots=3))
    front.ask()
    assert front.dispatcher.holdings(999.0) == [(TargetId('x'), 1, 3, 1)]
    assert front.dispatcher.holdings(1000.0) == [(TargetId('x'), 1, 1, 1)]


def test_a_leaving_target_gets_nothing_new() -> None:
    front = Front(grant('x'), grant('y'))
    front.dispatcher.renew_grants(
        [grant('x', leaving=True), grant('y')], 1000.0, front.now
    )
    routes = [front.ask().endpoint for _ in range(2)]
    assert [route.target for route in routes if route] == ['y', 'y']


def test_sending_to_a_leaving_target_breaks_the_program() -> None:
    front = Front(grant())
    service = front.dispatcher._service_by_name[PRICES]
    target = service.target_by_id[TargetId('x')]
    target.grant = grant(leaving=True)
    try:
        front.dispatcher._send_to(target, SlotRequest(PRICES, RED, 0, 0))
    except InvariantError as exc:
        assert exc.property_number == 8
    else:
        raise AssertionError('property 8 is not asserted')


def test_overfilling_a_target_breaks_the_program() -> None:
    front = Front(grant(slots=1))
    front.ask()
    service = front.dispatcher._service_by_name[PRICES]
    target = service.target_by_id[TargetId('x')]
    try:
        front.dispatcher._send_to(target, SlotRequest(PRICES, RED, 0, 0))
    except InvariantError as exc:
        assert exc.property_number == 1
    else:
        raise AssertionError('property 1 is not asserted')


def test_teams_are_served_by_turns() -> None:
    front = Front(grant(slots=1), length=20)
    running = front.ask()
    for _ in range(10):
        front.ask(RED)
    blue = [front.ask(BLUE) for _ in range(3)]
    order = []
    for _ in range(6):
        front.done(running)
        running = front.decided[-1]
        order.append(running.team)
    assert order.count(BLUE) == 3
    assert all(ticket.endpoint for ticket in blue)


def test_a_failing_target_rests_and_is_tried_again() -> None:
    front = Front(grant('x', 8), grant('y', 8))
    for _ in range(3):
        ticket = front.ask()
        while ticket.endpoint and ticket.endpoint.target != 'x':
            front.done(ticket)
            ticket = front.ask()
        front.done(ticket, failed=True)
    assert {_target(front.ask()) for _ in range(8)} == {'y'}
    front.now += 2
    assert 'x' in {_target(front.ask()) for _ in range(8)}


def test_half_of_the_targets_are_never_ejected() -> None:
    front = Front(grant('x', 1), grant('y', 1))
    for _ in range(12):
        front.done(front.ask(), failed=True)
    assert front.ask().endpoint is not None


def test_the_faster_target_gets_more() -> None:
    front = Front(grant('x', 8), grant('y', 8))
    for _ in range(20):
        ticket = front.ask()
        assert ticket.endpoint is not None
        slow = ticket.endpoint.target == 'x'
        front.dispatcher.complete(
            PRICES, ticket.endpoint, front.now, latency_s=0.5 if slow else 0.1
        )
    targets = [_target(front.ask()) for _ in range(6)]
    assert targets.count(TargetId('y')) > targets.count(TargetId('x'))


def test_a_restarted_target_frees_its_old_requests_apart() -> None:
    front = Front(grant(slots=2))
    ticket = front.ask()
    fresh = SlotGrant(TargetId('x'), 2, PRICES, '127.0.0.1:1', 2, 10)
    front.dispatcher.renew_grants([fresh], 1000.0, front.now)
    assert (TargetId('x'), 1, 1, 1) in front.dispatcher.holdings(front.now)
    front.done(ticket)
    assert front.dispatcher.holdings(front.now) == [(TargetId('x'), 2, 2, 0)]


def test_retries_are_a_fraction_of_requests() -> None:
    budget = RetryBudget(saved=0)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert 90 <= spent <= 100


def _target(ticket: SlotRequest) -> TargetId | None:
    route: Endpoint | None = ticket.endpoint
    return route.target if route else None


load_tests = function_tests(globals())
