"""Slots of targets, shared by gateways under leases.

Gateways die, pause, are cut off silently and come back; exchanges are lost
or late; the leader of the scheduler group changes; targets leave, restart
and report late.  The real ledger and the real dispatcher decide.
"""

import random
import typing

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiahold.core.ids import GatewayId, ServiceName, TargetId, TeamName
from cassiahold.routing.dispatcher import (
    Dispatcher,
    Endpoint,
    SlotGrant,
    SlotRequest,
)
from cassiahold.routing.ledger import (
    GatewayGrant,
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)

TICK_S: typing.Final = 0.05
SLOT_LEASE_S: typing.Final = 1.0
LONGEST_S: typing.Final = 2.0
DRIFT: typing.Final = 0.02
LEASES: typing.Final = LeaseDurations(
    SLOT_LEASE_S * (1 + 2 * DRIFT), 2.0, LONGEST_S * (1 + 2 * DRIFT)
)
GATEWAYS: typing.Final = tuple(GatewayId(name) for name in 'gh')
SERVICE: typing.Final = ServiceName('prices')
SLOTS: typing.Final = 5
LEAVING_GRACE_S: typing.Final = 3.0


class Call(msgspec.Struct):
    """A request in progress at a target."""

    gateway: GatewayId
    life: int
    ticket: SlotRequest
    began_at: float
    ends_at: float


class Target(msgspec.Struct):
    """A target's own count of what it serves."""

    id: TargetId
    incarnation: int = 0
    is_leaving: bool = False
    # When the ledger first heard that it leaves.
    leaving_since: float | None = None
    calls: list[Call] = msgspec.field(default_factory=list)
    late: list[tuple[float, TargetInfo]] = msgspec.field(default_factory=list)


class Gateway:
    """A gateway with its own clock; ``life`` counts its restarts."""

    def __init__(self, gateway_id: GatewayId, rate: float) -> None:
        self.id = gateway_id
        self.rate = rate
        self.life = 0
        self.cut_until = 0.0
        self.sync_at = 0.0
        self.start()

    def start(self) -> None:
        """Start anew, with nothing."""
        self.life += 1
        self.sequence = 0
        self.pending: tuple[float, int, list[GatewayGrant] | None] | None = None
        self.granted: list[SlotRequest] = []
        self.dispatcher = Dispatcher(20, self._notify)

    def _notify(self, ticket: SlotRequest) -> None:
        if ticket.endpoint is not None:
            self.granted.append(ticket)

    def clock(self, now: float) -> float:
        """Return the gateway's own time."""
        return now * self.rate


class SlotRun(RuleBasedStateMachine):
    """Two gateways, three targets, one ledger."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.gateway_by_id = {
            GATEWAYS[0]: Gateway(GATEWAYS[0], 1.0),
            GATEWAYS[1]: Gateway(GATEWAYS[1], 0.98),
        }
        self.target_by_id = {
            TargetId(name): Target(TargetId(name)) for name in 'xyz'
        }
        self.ledger = SlotLedger(GATEWAYS, LEASES, self.now)
        self.served = 0
        self.troubles = 0
        # Replicated: the newest life of each gateway and since when.
        self.recorded: dict[GatewayId, tuple[int, float]] = {}

    @rule(
        seed=st.integers(0, 1 << 30),
        ticks=st.integers(20, 200),
        trouble=st.sampled_from((0.0, 0.01, 0.05)),
        loss=st.sampled_from((0.0, 0.1, 0.4)),
    )
    def storm(self, seed: int, ticks: int, trouble: float, loss: float) -> None:
        """Let time pass with faults of every kind."""
        generator = random.Random(seed)
        for _ in range(ticks):
            self.now += TICK_S
            if generator.random() < trouble:
                self.make_trouble(generator)
            for target in self.target_by_id.values():
                self._target_lives(target, generator, loss)
            for gateway in self.gateway_by_id.values():
                self._gateway_lives(gateway, generator, loss)

    def play(self, generator: random.Random) -> None:
        """Make one storm with parameters from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(20, 200),
            generator.choice((0.0, 0.01, 0.05)),
            generator.choice((0.0, 0.1, 0.4)),
        )

    def verify(self) -> None:
        """Everything is checked while the storm lasts."""

    def _change_leader(self) -> None:
        self.ledger = SlotLedger(GATEWAYS, LEASES, self.now)
        for gateway_id, (life, at) in self.recorded.items():
            self.ledger.restore_gateway(gateway_id, life, self.now - at)

    def make_trouble(self, generator: random.Random) -> None:
        """Do one thing that may come at any moment."""
        self.troubles += 1
        gateway = generator.choice(list(self.gateway_by_id.values()))
        target = generator.choice(list(self.target_by_id.values()))
        what = generator.randrange(5)
        if what == 0:
            gateway.start()
        elif what == 1:
            gateway.cut_until = self.now + generator.uniform(0, 6)
        elif what == 2:
            self._change_leader()
        elif what == 3:
            target.incarnation += 1
            target.calls.clear()
            target.is_leaving = False
            target.leaving_since = None
        else:
            target.is_leaving = True

    def _target_lives(
        self, target: Target, generator: random.Random, loss: float
    ) -> None:
        for call in target.calls:
            if self.now >= call.ends_at:
                self._answer(target, call)
        target.calls = [
            call for call in target.calls if self.now < call.ends_at
        ]
        # A leaving target repeats itself more often.
        if generator.random() < (0.3 if target.is_leaving else 0.1):
            info = TargetInfo(
                target.id,
                target.incarnation,
                SERVICE,
                'address',
                SLOTS,
                60,
                target.is_leaving,
            )
            late_s = generator.choice((0.0, 0.0, 0.0, 1.5))
            if generator.random() >= loss:
                target.late.append((self.now + late_s, info))
        for due_at, info in list(target.late):
            if due_at <= self.now:
                target.late.remove((due_at, info))
                self.ledger.record_target(info, self.now)
                is_news = info.incarnation == target.incarnation
                if is_news and info.is_leaving and not target.leaving_since:
                    target.leaving_since = self.now

    def _answer(self, target: Target, call: Call) -> None:
        gateway = self.gateway_by_id[call.gateway]
        if gateway.life == call.life and call.ticket.endpoint is not None:
            gateway.dispatcher.complete(
                SERVICE,
                call.ticket.endpoint,
                gateway.clock(self.now),
                latency_s=self.now - call.began_at,
            )

    def _gateway_lives(
        self, gateway: Gateway, generator: random.Random, loss: float
    ) -> None:
        now = gateway.clock(self.now)
        self._take_pending(gateway)
        if self.now >= gateway.sync_at and gateway.pending is None:
            gateway.sync_at = self.now + 0.2
            self._sync(gateway, generator, loss)
        gateway.dispatcher.tick(now)
        for _ in range(generator.randrange(3)):
            gateway.dispatcher.submit(
                SlotRequest(SERVICE, TeamName('red'), now + 1.0, now), now
            )
        for ticket in gateway.granted:
            if ticket.endpoint is not None:
                self._begin(gateway, ticket, ticket.endpoint, generator)
        gateway.granted.clear()

    def _begin(
        self,
        gateway: Gateway,
        ticket: SlotRequest,
        route: Endpoint,
        generator: random.Random,
    ) -> None:
        target = self.target_by_id[route.target]
        if route.incarnation != target.incarnation:
            # Nobody listens at the old incarnation's address any more.
            gateway.dispatcher.complete(
                SERVICE, route, gateway.clock(self.now), has_failed=True
            )
            return
        length_s = generator.choice((0.1, 0.3, LONGEST_S))
        target.calls.append(
            Call(
                gateway.id, gateway.life, ticket, self.now, self.now + length_s
            )
        )
        self.served += 1
        in_use = len(target.calls)
        assert in_use <= SLOTS, (1, target.id, in_use)
        if target.leaving_since is not None:
            late_s = self.now - target.leaving_since
            assert late_s <= LEAVING_GRACE_S, (8, target.id, late_s)

    def _sync(
        self, gateway: Gateway, generator: random.Random, loss: float
    ) -> None:
        gateway.sequence += 1
        is_cut = self.now < gateway.cut_until
        if is_cut or generator.random() < loss:
            return
        holdings = [
            SlotHolding(target, incarnation, kept)
            for target, incarnation, kept, _ in gateway.dispatcher.holdings(
                gateway.clock(self.now)
            )
        ]
        known = self.recorded.get(gateway.id)
        if known is None or gateway.life > known[0]:
            self.recorded[gateway.id] = (gateway.life, self.now)
        grants = self.ledger.renew_grants(
            gateway.id,
            gateway.life,
            gateway.sequence,
            gateway.dispatcher.demand_by_service(),
            holdings,
            self.now,
        )
        if grants is not None and generator.random() >= loss:
            late_s = generator.choice((0.0, 0.0, 0.1, 0.5))
            gateway.pending = (self.now + late_s, gateway.sequence, grants)

    def _take_pending(self, gateway: Gateway) -> None:
        if gateway.pending is None or self.now < gateway.pending[0]:
            return
        due_at, _, grants = gateway.pending
        gateway.pending = None
        if grants is None or self.now < gateway.cut_until:
            return
        # The lease counts from before the exchange began.
        sent_at = gateway.clock(min(due_at, self.now)) - 0.5
        gateway.dispatcher.renew_grants(
            [
                SlotGrant(
                    grant.target.id,
                    grant.target.incarnation,
                    grant.target.service,
                    grant.target.address,
                    grant.slots,
                    grant.max_connections,
                    grant.target.is_leaving,
                )
                for grant in grants
            ],
            sent_at + SLOT_LEASE_S,
            gateway.clock(self.now),
        )
