"""Tests of the reference through which threads ask for slots."""

import time
import typing

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.router import AcquireSlot, ReleaseSlot, RouterRef
from cassiahold.routing.slots import Endpoint, SlotRequest

PRICES = ServiceName('prices')
ENDPOINT = Endpoint(TargetId('x'), 1, '127.0.0.1:1', 10)


class SilentActor:
    """Receives messages and decides on nothing."""

    def __init__(self) -> None:
        self.messages: list[typing.Any] = []

    def tell(self, message: typing.Any) -> None:
        self.messages.append(message)


def test_slot_that_is_assigned_too_late_is_freed() -> None:
    """The waiting thread has told its caller that the request has not run."""
    actor = SilentActor()
    router = RouterRef(typing.cast(typing.Any, actor))
    now = time.monotonic()
    request = SlotRequest(PRICES, TeamName('red'), now, now)
    expect_error(ErrorKind.DEADLINE_PASSED, lambda: router.acquire(request))
    request.endpoint = ENDPOINT
    request.context.set_result(None)
    assert actor.messages == [
        AcquireSlot(request),
        ReleaseSlot(PRICES, ENDPOINT, None, has_failed=False),
    ]


load_tests = function_tests(globals())
