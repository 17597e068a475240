"""The actor that owns the gateway's slots."""

import concurrent.futures
import contextlib
import functools
import time
import typing

import msgspec
import pykka

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ServiceName, TargetId, TeamName
from cassiahold.routing.dispatcher import (
    Dispatcher,
    Endpoint,
    SlotGrant,
    SlotRequest,
)

_VIEW_TIMEOUT_S = 5.0


class Ask(msgspec.Struct, frozen=True):
    """A request wants a slot."""

    ticket: SlotRequest


class Done(msgspec.Struct, frozen=True):
    """A request has given its slot back."""

    service: ServiceName
    route: Endpoint
    latency_s: float | None
    failed: bool


class Renew(msgspec.Struct, frozen=True):
    """Fresh grants and the weights of the teams."""

    grants: list[SlotGrant]
    lease_until: float
    weight_by_team: dict[TeamName, float]


class Expire(msgspec.Struct, frozen=True):
    """Time has passed."""


class RouterView(msgspec.Struct, frozen=True):
    """What the slot renewal reports."""

    demand: dict[ServiceName, int]
    holdings: list[tuple[TargetId, int, int, int]]


class _Look(msgspec.Struct, frozen=True):
    reply: typing.Any


class RouterActor(pykka.ThreadingActor):
    """Serialises every use of the dispatcher."""

    use_daemon_thread = True

    def __init__(self, queue_length: int) -> None:
        super().__init__()
        self.dispatcher = Dispatcher(queue_length, _resolve)

    def on_receive(self, message: typing.Any) -> None:
        """Take one message."""
        _receive(message, self.dispatcher, time.monotonic())


class RouterRef:
    """What other threads may ask of the router."""

    def __init__(self, ref: 'pykka.ActorRef[RouterActor]') -> None:
        self._ref = ref

    @property
    def is_alive(self) -> bool:
        """Tell whether the actor runs."""
        return self._ref.is_alive()

    def acquire(self, ticket: SlotRequest) -> Endpoint:
        """Wait for a slot; raises the kind of the refusal."""
        ticket.context = concurrent.futures.Future()
        self._ref.tell(Ask(ticket))
        patience_s = max(ticket.deadline - time.monotonic(), 0) + 1
        try:
            ticket.context.result(patience_s)
        except concurrent.futures.TimeoutError as exc:
            raise CassiaholdError(
                ErrorKind.DEADLINE_PASSED, 'the router did not answer'
            ) from exc
        if ticket.error is not None:
            raise ticket.error
        return typing.cast(Endpoint, ticket.endpoint)

    def release(
        self,
        service: ServiceName,
        route: Endpoint,
        *,
        latency_s: float | None = None,
        failed: bool = False,
    ) -> None:
        """Give a slot back."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(Done(service, route, latency_s, failed))

    def renew(self, renew: Renew) -> None:
        """Hand over fresh grants."""
        self._ref.tell(renew)

    def expire(self) -> None:
        """Let time pass."""
        self._ref.tell(Expire())

    def view(self) -> RouterView:
        """Return demand and holdings."""
        reply: concurrent.futures.Future[RouterView]
        reply = concurrent.futures.Future()
        self._ref.tell(_Look(reply))
        return reply.result(_VIEW_TIMEOUT_S)

    def close(self) -> None:
        """Stop the actor."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.stop(timeout=_VIEW_TIMEOUT_S)


def start_router(queue_length: int) -> RouterRef:
    """Start the actor and return its reference."""
    return RouterRef(RouterActor.start(queue_length))


def _resolve(ticket: SlotRequest) -> None:
    if not ticket.context.done():
        ticket.context.set_result(None)


@functools.singledispatch
def _receive(message: object, dispatcher: Dispatcher, now: float) -> None:
    raise TypeError(f'unknown message {message!r}')


@_receive.register
def _(message: Ask, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.submit(message.ticket, now)


@_receive.register
def _(message: Done, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.complete(
        message.service,
        message.route,
        now,
        latency_s=message.latency_s,
        has_failed=message.failed,
    )


@_receive.register
def _(message: Renew, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.weight_by_team = message.weight_by_team
    dispatcher.renew_grants(message.grants, message.lease_until, now)


@_receive.register
def _(message: Expire, dispatcher: Dispatcher, now: float) -> None:
    dispatcher.tick(now)


@_receive.register
def _(message: _Look, dispatcher: Dispatcher, now: float) -> None:
    message.reply.set_result(
        RouterView(dispatcher.demand_by_service(), dispatcher.holdings(now))
    )
