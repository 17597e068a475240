"""The actor that serialises access to the gateway's dispatcher.

HTTP threads and the threads that renew leases talk to it through
``RouterRef``.
"""

import concurrent.futures
import contextlib
import functools
import time
import typing

import msgspec
import pykka

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.core.loops import log_failure
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.slots import Endpoint, SlotGrant, SlotRequest

_ACTOR_TIMEOUT_S = 5.0


class AcquireSlot(msgspec.Struct, frozen=True):
    """Asks for a slot; the request's future is resolved once decided."""

    request: SlotRequest


class ReleaseSlot(msgspec.Struct, frozen=True):
    """Frees the slot of a finished request and reports how it went."""

    service: ServiceName
    endpoint: Endpoint
    latency_s: float | None
    has_failed: bool


class RenewGrants(msgspec.Struct, frozen=True):
    """Replaces the grants and the weights of the teams."""

    grants: list[SlotGrant]
    lease_expires_at: float
    weight_by_team: dict[TeamName, float]


class Tick(msgspec.Struct, frozen=True):
    """Lets the dispatcher expire requests; sent periodically."""


class SlotUsage(msgspec.Struct, frozen=True):
    """Demand for slots and slots held, as reported when leases are renewed.

    A holding is a target, its incarnation, held slots and slots in use.
    """

    demand_by_service: dict[ServiceName, int]
    holdings: list[tuple[TargetId, int, int, int]]


class _GetSlotUsage(msgspec.Struct, frozen=True):
    reply: typing.Any


class RouterActor(pykka.ThreadingActor):
    """Owns the dispatcher and handles one message at a time."""

    use_daemon_thread = True

    def __init__(self, max_queue_length: int) -> None:
        super().__init__()
        self.dispatcher = Dispatcher(max_queue_length, _resolve_future)

    def on_receive(self, message: typing.Any) -> None:
        """Handle one message.

        An error must not stop the actor for all other requests.
        """
        try:
            _handle_message(message, self.dispatcher, time.monotonic())
        except Exception as exc:  # noqa: BLE001
            log_failure(f'router {type(message).__name__}', exc)
            _fail_message(message, exc)


class RouterRef:
    """Thread-safe reference to the router actor."""

    def __init__(self, ref: 'pykka.ActorRef[RouterActor]') -> None:
        self._ref = ref

    @property
    def is_alive(self) -> bool:
        """Tell whether the actor is running."""
        return self._ref.is_alive()

    def acquire(self, request: SlotRequest) -> Endpoint:
        """Wait for a slot and return the endpoint to send the request to.

        Raises ``NO_TARGET``, ``UNREACHABLE``, ``OVERLOADED``,
        ``DEADLINE_TOO_SHORT`` or ``DEADLINE_PASSED`` when the request is
        refused.
        """
        request.context = concurrent.futures.Future()
        self._ref.tell(AcquireSlot(request))
        # The dispatcher refuses the request soon after its deadline.
        timeout_s = max(request.deadline - time.monotonic(), 0) + 1
        try:
            request.context.result(timeout_s)
        except concurrent.futures.TimeoutError as exc:
            request.context.add_done_callback(
                lambda _: self._release_unused(request)
            )
            raise CassiaholdError(
                ErrorKind.DEADLINE_PASSED,
                'the router did not decide on the request in time',
            ) from exc
        if request.error is not None:
            raise request.error
        return typing.cast(Endpoint, request.endpoint)

    def release(
        self,
        service: ServiceName,
        endpoint: Endpoint,
        *,
        latency_s: float | None = None,
        has_failed: bool = False,
    ) -> None:
        """Free a slot and report how the request went."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(
                ReleaseSlot(service, endpoint, latency_s, has_failed)
            )

    def _release_unused(self, request: SlotRequest) -> None:
        """Free a slot that nobody waits for any more."""
        if request.endpoint is not None:
            self.release(request.service, request.endpoint)

    def renew_grants(self, renewal: RenewGrants) -> None:
        """Replace the grants."""
        self._ref.tell(renewal)

    def tick(self) -> None:
        """Let the dispatcher expire requests."""
        self._ref.tell(Tick())

    def slot_usage(self) -> SlotUsage:
        """Return the current demand and holdings."""
        reply: concurrent.futures.Future[SlotUsage]
        reply = concurrent.futures.Future()
        self._ref.tell(_GetSlotUsage(reply))
        return reply.result(_ACTOR_TIMEOUT_S)

    def close(self) -> None:
        """Stop the actor."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.stop(timeout=_ACTOR_TIMEOUT_S)


def start_router(max_queue_length: int) -> RouterRef:
    """Start the actor and return its reference."""
    return RouterRef(RouterActor.start(max_queue_length))


def _resolve_future(request: SlotRequest) -> None:
    if not request.context.done():
        request.context.set_result(None)


@functools.singledispatch
def _fail_message(message: object, exc: Exception) -> None:
    """Pass an error on to the thread that waits for a message, if any."""


@_fail_message.register
def _(message: AcquireSlot, exc: Exception) -> None:
    _fail_future(message.request.context, exc)


@_fail_message.register
def _(message: _GetSlotUsage, exc: Exception) -> None:
    _fail_future(message.reply, exc)


def _fail_future(
    future: concurrent.futures.Future[typing.Any], exc: Exception
) -> None:
    if not future.done():
        future.set_exception(exc)


@functools.singledispatch
def _handle_message(
    message: object, dispatcher: Dispatcher, now: float
) -> None:
    raise TypeError(f'unknown message {message!r}')


@_handle_message.register
def _(message: AcquireSlot, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.submit(message.request, now)


@_handle_message.register
def _(message: ReleaseSlot, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.complete(
        message.service,
        message.endpoint,
        now,
        latency_s=message.latency_s,
        has_failed=message.has_failed,
    )


@_handle_message.register
def _(message: RenewGrants, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.weight_by_team = message.weight_by_team
    dispatcher.renew_grants(message.grants, message.lease_expires_at, now)


@_handle_message.register
def _(message: Tick, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.tick(now)


@_handle_message.register
def _(message: _GetSlotUsage, dispatcher: Dispatcher, now: float) -> None:
    message.reply.set_result(
        SlotUsage(dispatcher.demand_by_service(), dispatcher.holdings(now))
    )
