"""Tests of the dispatcher: choice of targets, queues, ejection, retries."""

import math

from cassiahold.core.exceptions import ErrorKind, InvariantError
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.testing import function_tests
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.retries import RetryBudget
from cassiahold.routing.slots import Endpoint, SlotGrant, SlotRequest

PRICES = ServiceName('prices')
RED, BLUE = TeamName('red'), TeamName('blue')


def grant(
    name: str = 'x', slots: int = 2, *, is_leaving: bool = False
) -> SlotGrant:
    return SlotGrant(
        TargetId(name), 1, PRICES, '127.0.0.1:1', slots, 10, is_leaving
    )


class DispatcherDriver:
    """A dispatcher past its slow start, with the requests it has decided."""

    def __init__(self, *grants: SlotGrant, max_queue_length: int = 3) -> None:
        self.decided: list[SlotRequest] = []
        self.dispatcher = Dispatcher(max_queue_length, self.decided.append)
        self.dispatcher.renew_grants(list(grants), 1000.0, 0.0)
        self.now = 100.0

    def submit(self, team: TeamName = RED, wait_s: float = 5.0) -> SlotRequest:
        request = SlotRequest(PRICES, team, self.now + wait_s, self.now)
        self.dispatcher.submit(request, self.now)
        return request

    def complete(
        self, request: SlotRequest, *, has_failed: bool = False
    ) -> None:
        assert request.endpoint is not None
        self.dispatcher.complete(
            PRICES,
            request.endpoint,
            self.now,
            latency_s=0.01,
            has_failed=has_failed,
        )


def error_kind(request: SlotRequest) -> ErrorKind | None:
    return request.error.kind if request.error else None


def test_requests_in_progress_never_exceed_slots() -> None:
    driver = DispatcherDriver(grant(slots=2))
    requests = [driver.submit() for _ in range(3)]
    assert [request.endpoint is not None for request in requests] == [
        True,
        True,
        False,
    ]
    driver.complete(requests[0])
    assert requests[2].endpoint is not None


def test_full_queue_refuses_at_once() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=2)
    for _ in range(3):
        driver.submit()
    assert error_kind(driver.submit()) is ErrorKind.OVERLOADED
    assert error_kind(driver.submit(BLUE)) is None


def test_request_is_not_refused_for_a_team_with_one_request() -> None:
    """A team of large weight takes its turns only while it has requests."""
    driver = DispatcherDriver(grant(slots=1), max_queue_length=20)
    driver.dispatcher.weight_by_team = {RED: 1.0, BLUE: 99.0}
    driver.complete(driver.submit())
    driver.submit(BLUE)
    driver.submit(BLUE)
    requests = [driver.submit(RED, wait_s=0.2) for _ in range(5)]
    assert [error_kind(request) for request in requests] == [None] * 5


def test_hopeless_first_request_of_a_team_is_refused_at_once() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=200)
    driver.complete(driver.submit())
    for number in range(101):
        driver.submit(TeamName(str(number)))
    hopeless = driver.submit(BLUE, wait_s=0.5)
    assert error_kind(hopeless) is ErrorKind.DEADLINE_TOO_SHORT
    assert error_kind(driver.submit(BLUE, wait_s=2.0)) is None


def test_time_of_service_counts_for_the_deadline() -> None:
    driver = DispatcherDriver(grant(slots=10), max_queue_length=200)
    first = driver.submit()
    assert first.endpoint is not None
    driver.dispatcher.complete(
        PRICES, first.endpoint, driver.now, latency_s=1.0
    )
    for _ in range(11):
        driver.submit()
    hopeless = driver.submit(wait_s=0.9)
    assert error_kind(hopeless) is ErrorKind.DEADLINE_TOO_SHORT
    assert error_kind(driver.submit(wait_s=1.5)) is None


def test_targets_without_measured_latency_count_as_capacity() -> None:
    driver = DispatcherDriver(grant('x', 1), max_queue_length=200)
    driver.complete(driver.submit())
    driver.dispatcher.renew_grants(
        [grant('x', 1), grant('y', 9)], 1000.0, driver.now
    )
    driver.now += 10
    for _ in range(30):
        driver.submit()
    assert error_kind(driver.submit(wait_s=0.1)) is None


def test_leaving_targets_do_not_count_as_capacity() -> None:
    driver = DispatcherDriver(
        grant('x', 1), grant('y', 9), max_queue_length=200
    )
    for _ in range(3):
        driver.complete(driver.submit())
    driver.dispatcher.renew_grants(
        [grant('x', 1), grant('y', 9, is_leaving=True)], 1000.0, driver.now
    )
    for _ in range(40):
        driver.submit()
    hopeless = driver.submit(wait_s=0.1)
    assert error_kind(hopeless) is ErrorKind.DEADLINE_TOO_SHORT


def test_requests_do_not_wait_for_targets_that_all_leave() -> None:
    driver = DispatcherDriver(grant(is_leaving=True))
    assert error_kind(driver.submit()) is ErrorKind.NO_TARGET


def test_expired_requests_do_not_fill_the_queue() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=2)
    driver.submit()
    for _ in range(2):
        driver.submit(wait_s=1.0)
    driver.now += 2
    assert error_kind(driver.submit()) is None


def test_team_that_was_idle_does_not_push_out_the_others() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=200)
    running = driver.submit(BLUE)
    driver.submit(BLUE)
    for _ in range(150):
        driver.submit(RED, wait_s=100.0)
    for _ in range(50):
        driver.complete(running)
        running = driver.decided[-1]
    for _ in range(100):
        driver.submit(BLUE, wait_s=100.0)
    served_teams = []
    for _ in range(20):
        driver.complete(running)
        running = driver.decided[-1]
        served_teams.append(running.team)
    assert 9 <= served_teams.count(RED) <= 11


def test_refusal_of_a_full_queue_tells_when_it_is_half_empty() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=20)
    driver.complete(driver.submit())
    for _ in range(21):
        driver.submit()
    error = driver.submit().error
    assert error is not None
    assert error.kind is ErrorKind.OVERLOADED
    assert error.hint is not None
    assert math.isclose(error.hint.earliest_s, 0.105)
    assert math.isclose(error.hint.drain_rate_per_s, 100)


def test_expired_request_is_refused_before_it_is_sent() -> None:
    driver = DispatcherDriver(grant(slots=1))
    first = driver.submit()
    late = driver.submit(wait_s=1.0)
    driver.now += 2
    driver.complete(first)
    assert error_kind(late) is ErrorKind.DEADLINE_PASSED
    assert late.endpoint is None


def test_slots_are_not_used_after_the_lease() -> None:
    driver = DispatcherDriver(grant())
    driver.now = 1000.0
    assert error_kind(driver.submit()) is ErrorKind.UNREACHABLE


def test_unused_slots_are_not_held_after_the_lease() -> None:
    """Regression: unused slots were reported as held after the lease.

    They may have been granted to another gateway by then.
    """
    driver = DispatcherDriver(grant(slots=3))
    driver.submit()
    assert driver.dispatcher.holdings(999.0) == [(TargetId('x'), 1, 3, 1)]
    assert driver.dispatcher.holdings(1000.0) == [(TargetId('x'), 1, 1, 1)]


def test_leaving_target_gets_no_new_requests() -> None:
    driver = DispatcherDriver(grant('x'), grant('y'))
    driver.dispatcher.renew_grants(
        [grant('x', is_leaving=True), grant('y')], 1000.0, driver.now
    )
    endpoints = [driver.submit().endpoint for _ in range(2)]
    assert [endpoint.target for endpoint in endpoints if endpoint] == ['y', 'y']


def test_assigning_to_a_leaving_target_violates_invariant() -> None:
    driver = DispatcherDriver(grant())
    service = driver.dispatcher._service_by_name[PRICES]
    target = service.target_by_id[TargetId('x')]
    target.grant = grant(is_leaving=True)
    try:
        driver.dispatcher._assign(target, SlotRequest(PRICES, RED, 0, 0))
    except InvariantError as exc:
        assert exc.property_number == 8
    else:
        raise AssertionError('property 8 is not asserted')


def test_assigning_beyond_the_slots_violates_invariant() -> None:
    driver = DispatcherDriver(grant(slots=1))
    driver.submit()
    service = driver.dispatcher._service_by_name[PRICES]
    target = service.target_by_id[TargetId('x')]
    try:
        driver.dispatcher._assign(target, SlotRequest(PRICES, RED, 0, 0))
    except InvariantError as exc:
        assert exc.property_number == 1
    else:
        raise AssertionError('property 1 is not asserted')


def test_teams_are_served_fairly() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=20)
    running = driver.submit()
    for _ in range(10):
        driver.submit(RED)
    blue = [driver.submit(BLUE) for _ in range(3)]
    served_teams = []
    for _ in range(6):
        driver.complete(running)
        running = driver.decided[-1]
        served_teams.append(running.team)
    assert served_teams.count(BLUE) == 3
    assert all(request.endpoint for request in blue)


def test_failing_target_is_ejected_and_readmitted() -> None:
    driver = DispatcherDriver(grant('x', 8), grant('y', 8))
    for _ in range(3):
        request = driver.submit()
        while request.endpoint and request.endpoint.target != 'x':
            driver.complete(request)
            request = driver.submit()
        driver.complete(request, has_failed=True)
    assert {target_of(driver.submit()) for _ in range(8)} == {'y'}
    driver.now += 2
    assert 'x' in {target_of(driver.submit()) for _ in range(8)}


def test_at_most_half_of_the_targets_are_ejected() -> None:
    driver = DispatcherDriver(grant('x', 1), grant('y', 1))
    for _ in range(12):
        driver.complete(driver.submit(), has_failed=True)
    assert driver.submit().endpoint is not None


def test_faster_target_gets_more_requests() -> None:
    driver = DispatcherDriver(grant('x', 8), grant('y', 8))
    for _ in range(20):
        request = driver.submit()
        assert request.endpoint is not None
        is_slow = request.endpoint.target == 'x'
        driver.dispatcher.complete(
            PRICES,
            request.endpoint,
            driver.now,
            latency_s=0.5 if is_slow else 0.1,
        )
    targets = [target_of(driver.submit()) for _ in range(6)]
    assert targets.count(TargetId('y')) > targets.count(TargetId('x'))


def test_slots_of_an_ended_incarnation_are_freed_separately() -> None:
    driver = DispatcherDriver(grant(slots=2))
    request = driver.submit()
    restarted = SlotGrant(TargetId('x'), 2, PRICES, '127.0.0.1:1', 2, 10)
    driver.dispatcher.renew_grants([restarted], 1000.0, driver.now)
    assert (TargetId('x'), 1, 1, 1) in driver.dispatcher.holdings(driver.now)
    driver.complete(request)
    assert driver.dispatcher.holdings(driver.now) == [(TargetId('x'), 2, 2, 0)]


def test_retries_are_limited_to_a_fraction_of_requests() -> None:
    budget = RetryBudget(balance=0)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.try_withdraw()
    assert 90 <= retries <= 100


def target_of(request: SlotRequest) -> TargetId | None:
    endpoint: Endpoint | None = request.endpoint
    return endpoint.target if endpoint else None


def submit_retry(
    driver: DispatcherDriver,
    *failed_at: str,
    team: TeamName = RED,
    wait_s: float = 5.0,
) -> SlotRequest:
    retry = SlotRequest(
        PRICES,
        team,
        driver.now + wait_s,
        driver.now,
        frozenset(map(TargetId, failed_at)),
    )
    driver.dispatcher.submit(retry, driver.now)
    return retry


def test_retry_without_a_target_does_not_hold_back_other_requests() -> None:
    # A request that had failed at the only target waited for another one at
    # the head of the queue, and all others waited behind it.
    driver = DispatcherDriver(grant(slots=4))
    submit_retry(driver, 'x', wait_s=30.0)
    others = [driver.submit(team, 20.0) for team in (RED, BLUE)]
    for _ in range(100):
        driver.now += 0.1
        driver.dispatcher.tick(driver.now)
    assert all(other.endpoint is not None for other in others), others


def test_retry_goes_to_the_only_target_again() -> None:
    # It waited for another target until its deadline.
    driver = DispatcherDriver(grant())
    assert target_of(submit_retry(driver, 'x')) == 'x'


def test_retry_does_not_wait_for_a_target_without_slots() -> None:
    driver = DispatcherDriver(
        grant('x'), grant('y', slots=0), grant('z', is_leaving=True)
    )
    assert target_of(submit_retry(driver, 'x')) == 'x'


def test_retry_that_waits_for_another_target_holds_back_nobody() -> None:
    driver = DispatcherDriver(grant('x'), grant('y', slots=1))
    occupying = submit_retry(driver, 'x')
    assert target_of(occupying) == 'y'
    retry = submit_retry(driver, 'x')
    assert retry.endpoint is None
    others = [driver.submit(team) for team in (RED, BLUE)]
    assert [target_of(other) for other in others] == ['x', 'x']
    driver.complete(occupying)
    assert target_of(retry) == 'y'


def test_waiting_retry_refuses_nobody_who_may_use_a_free_slot() -> None:
    # The retry fills the queue of its team and waits for the busy target;
    # the request of 5 ms starts at once, though a response takes 10 ms.
    driver = DispatcherDriver(grant('x'), grant('y', 1), max_queue_length=1)
    driver.complete(driver.submit())
    assert target_of(submit_retry(driver, 'x')) == 'y'
    assert submit_retry(driver, 'x').endpoint is None
    others = [driver.submit(team, wait_s=0.005) for team in (RED, BLUE)]
    assert [target_of(other) for other in others] == ['x', 'x']


def test_slot_that_is_free_with_time_goes_to_a_waiting_request() -> None:
    # During its slow start the target serves one request, after 2.5 s two.
    driver = DispatcherDriver(grant(slots=4), max_queue_length=1)
    driver.now = 0.0
    driver.submit(RED)
    waiting = [driver.submit(team) for team in (RED, BLUE)]
    assert [request.endpoint for request in waiting] == [None, None]
    driver.now = 2.5
    newcomer = driver.submit(BLUE)
    assert waiting[0].endpoint is not None
    assert error_kind(newcomer) is ErrorKind.OVERLOADED


def test_team_whose_retry_waits_does_not_save_up_service() -> None:
    # While it had waited, the other team was served twenty times.
    driver = DispatcherDriver(grant('x', 1), grant('y', 1), max_queue_length=99)
    running = submit_retry(driver, 'y')
    assert target_of(submit_retry(driver, 'x')) == 'y'
    submit_retry(driver, 'x', wait_s=500.0)
    for _ in range(40):
        driver.submit(BLUE, 500.0)
    for _ in range(20):
        driver.complete(running)
        running = driver.decided[-1]
    for _ in range(20):
        driver.submit(RED, 500.0)
    served_teams = []
    for _ in range(10):
        driver.complete(running)
        running = driver.decided[-1]
        served_teams.append(running.team)
    assert 4 <= served_teams.count(BLUE) <= 6, served_teams


def served_teams(
    driver: DispatcherDriver, running: SlotRequest, count: int
) -> list[TeamName]:
    """Return the teams of the next requests that are served, one by one."""
    teams = []
    for _ in range(count):
        driver.complete(running)
        running = driver.decided[-1]
        teams.append(running.team)
    return teams


def test_team_that_returns_claims_no_service_for_the_time_it_was_away() -> None:
    # It was served alone until it had caught up with the other team.
    driver = DispatcherDriver(grant(slots=1), max_queue_length=99)
    running = driver.submit(RED, 500.0)
    for _ in range(40):
        driver.submit(BLUE, 500.0)
    driver.submit(RED, 500.0)
    served_teams(driver, running, 20)
    for _ in range(20):
        driver.submit(RED, 500.0)
    teams = served_teams(driver, driver.decided[-1], 10)
    assert 4 <= teams.count(BLUE) <= 6, teams


def test_team_is_not_charged_for_service_before_all_queues_were_empty() -> None:
    # A new team was served alone until it had caught up with it.
    driver = DispatcherDriver(grant(slots=1), max_queue_length=99)
    running = driver.submit(RED, 500.0)
    for _ in range(20):
        driver.submit(RED, 500.0)
    driver.submit(RED, 1.0)
    served_teams(driver, running, 19)
    running = driver.decided[-1]
    driver.now += 501.0
    driver.dispatcher.tick(driver.now)
    for _ in range(20):
        driver.submit(BLUE, 400.0)
    for _ in range(20):
        driver.submit(RED, 400.0)
    teams = served_teams(driver, running, 10)
    assert 4 <= teams.count(RED) <= 6, teams


def test_team_that_sends_one_request_at_a_time_keeps_to_its_weight() -> None:
    driver = DispatcherDriver(grant(slots=1), max_queue_length=99)
    driver.dispatcher.weight_by_team = {RED: 3.0, BLUE: 1.0}
    running = driver.submit(RED, 500.0)
    for _ in range(40):
        driver.submit(RED, 500.0)
    driver.submit(BLUE, 500.0)
    teams = []
    for _ in range(20):
        teams.extend(served_teams(driver, running, 1))
        running = driver.decided[-1]
        if running.team == BLUE:
            driver.submit(BLUE, 500.0)
    assert 4 <= teams.count(BLUE) <= 6, teams


load_tests = function_tests(globals())
