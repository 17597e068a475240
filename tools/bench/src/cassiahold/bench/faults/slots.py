"""Fault run of target slots, which gateways share under leases.

The real ledger and dispatcher are under test.  Gateways restart, pause and
are cut off without notice; exchanges are lost or late; the leader of the
scheduler group changes; targets leave, restart and report late.
"""

import random
import typing

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiahold.core.ids import GatewayId, ServiceName, TargetId, TeamName
from cassiahold.routing.dispatcher import Dispatcher
from cassiahold.routing.ledger import (
    GatewayGrant,
    LeaseDurations,
    SlotHolding,
    SlotLedger,
    TargetInfo,
)
from cassiahold.routing.slots import Endpoint, SlotGrant, SlotRequest

TICK_S: typing.Final = 0.05
SLOT_LEASE_S: typing.Final = 1.0
MAX_REQUEST_S: typing.Final = 2.0
CLOCK_DRIFT: typing.Final = 0.02
LEASE_DURATIONS: typing.Final = LeaseDurations(
    SLOT_LEASE_S * (1 + 2 * CLOCK_DRIFT),
    2.0,
    MAX_REQUEST_S * (1 + 2 * CLOCK_DRIFT),
)
GATEWAY_IDS: typing.Final = tuple(GatewayId(name) for name in 'gh')
SERVICE: typing.Final = ServiceName('prices')
SLOTS_PER_TARGET: typing.Final = 5
MAX_LEAVING_DELAY_S: typing.Final = 3.0


class ActiveRequest(msgspec.Struct):
    """A request in progress at a target; times are simulated time."""

    gateway: GatewayId
    gateway_incarnation: int
    slot_request: SlotRequest
    started_at: float
    ends_at: float


class SimulatedTarget(msgspec.Struct):
    """A target with the requests that it is serving."""

    id: TargetId
    incarnation: int = 0
    is_leaving: bool = False
    # When the ledger first received a report that the target is leaving.
    leaving_since: float | None = None
    active_requests: list[ActiveRequest] = msgspec.field(default_factory=list)
    delayed_reports: list[tuple[float, TargetInfo]] = msgspec.field(
        default_factory=list
    )


class SimulatedGateway:
    """A gateway with its own clock; ``incarnation`` counts its starts."""

    def __init__(self, gateway_id: GatewayId, clock_rate: float) -> None:
        self.id = gateway_id
        self.clock_rate = clock_rate
        self.incarnation = 0
        self.cut_until = 0.0
        self.sync_at = 0.0
        self.start()

    def start(self) -> None:
        """Start a new incarnation without any state."""
        self.incarnation += 1
        self.sequence = 0
        self.delayed_reply: (
            tuple[float, int, list[GatewayGrant] | None] | None
        ) = None
        self.granted_requests: list[SlotRequest] = []
        self.dispatcher = Dispatcher(20, self._on_slot_granted)

    def _on_slot_granted(self, slot_request: SlotRequest) -> None:
        if slot_request.endpoint is not None:
            self.granted_requests.append(slot_request)

    def local_time(self, now: float) -> float:
        """Return the time of the gateway's clock."""
        return now * self.clock_rate


class SlotMachine(RuleBasedStateMachine):
    """Two gateways, three targets and the ledger of the current leader."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.gateway_by_id = {
            GATEWAY_IDS[0]: SimulatedGateway(GATEWAY_IDS[0], 1.0),
            GATEWAY_IDS[1]: SimulatedGateway(GATEWAY_IDS[1], 0.98),
        }
        self.target_by_id = {
            TargetId(name): SimulatedTarget(TargetId(name)) for name in 'xyz'
        }
        self.ledger = SlotLedger(GATEWAY_IDS, LEASE_DURATIONS, self.now)
        self.served_request_count = 0
        self.fault_count = 0
        # Replicated state: the newest incarnation of each gateway and the
        # time at which it was recorded.
        self.recorded_incarnation_by_gateway: dict[
            GatewayId, tuple[int, float]
        ] = {}

    @rule(
        seed=st.integers(0, 1 << 30),
        ticks=st.integers(20, 200),
        trouble=st.sampled_from((0.0, 0.01, 0.05)),
        loss=st.sampled_from((0.0, 0.1, 0.4)),
    )
    def storm(self, seed: int, ticks: int, trouble: float, loss: float) -> None:
        """Advance time with faults of every kind.

        ``trouble`` is the probability of a fault per tick, ``loss`` that of
        losing a message.
        """
        generator = random.Random(seed)
        for _ in range(ticks):
            self.now += TICK_S
            if generator.random() < trouble:
                self.inject_fault(generator)
            for target in self.target_by_id.values():
                self._advance_target(target, generator, loss)
            for gateway in self.gateway_by_id.values():
                self._advance_gateway(gateway, generator, loss)

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(20, 200),
            generator.choice((0.0, 0.01, 0.05)),
            generator.choice((0.0, 0.1, 0.4)),
        )

    def check_properties(self) -> None:
        """Do nothing: the storm checks each request as it starts."""

    def _change_leader(self) -> None:
        self.ledger = SlotLedger(GATEWAY_IDS, LEASE_DURATIONS, self.now)
        for gateway_id, (
            incarnation,
            recorded_at,
        ) in self.recorded_incarnation_by_gateway.items():
            self.ledger.restore_gateway(
                gateway_id, incarnation, self.now - recorded_at
            )

    def inject_fault(self, generator: random.Random) -> None:
        """Inject one random fault or change."""
        self.fault_count += 1
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
            target.active_requests.clear()
            target.is_leaving = False
            target.leaving_since = None
        else:
            target.is_leaving = True

    def _advance_target(
        self,
        target: SimulatedTarget,
        generator: random.Random,
        loss_probability: float,
    ) -> None:
        for request in target.active_requests:
            if self.now >= request.ends_at:
                self._complete_request(target, request)
        target.active_requests = [
            request
            for request in target.active_requests
            if self.now < request.ends_at
        ]
        # A leaving target reports more often.
        if generator.random() < (0.3 if target.is_leaving else 0.1):
            info = TargetInfo(
                target.id,
                target.incarnation,
                SERVICE,
                'address',
                SLOTS_PER_TARGET,
                60,
                target.is_leaving,
            )
            late_s = generator.choice((0.0, 0.0, 0.0, 1.5))
            if generator.random() >= loss_probability:
                target.delayed_reports.append((self.now + late_s, info))
        for due_at, info in list(target.delayed_reports):
            if due_at <= self.now:
                target.delayed_reports.remove((due_at, info))
                self.ledger.record_target(info, self.now)
                is_news = info.incarnation == target.incarnation
                if is_news and info.is_leaving and not target.leaving_since:
                    target.leaving_since = self.now

    def _complete_request(
        self, target: SimulatedTarget, request: ActiveRequest
    ) -> None:
        gateway = self.gateway_by_id[request.gateway]
        if (
            gateway.incarnation == request.gateway_incarnation
            and request.slot_request.endpoint is not None
        ):
            gateway.dispatcher.complete(
                SERVICE,
                request.slot_request.endpoint,
                gateway.local_time(self.now),
                latency_s=self.now - request.started_at,
            )

    def _advance_gateway(
        self,
        gateway: SimulatedGateway,
        generator: random.Random,
        loss_probability: float,
    ) -> None:
        now = gateway.local_time(self.now)
        self._apply_delayed_reply(gateway)
        if self.now >= gateway.sync_at and gateway.delayed_reply is None:
            gateway.sync_at = self.now + 0.2
            self._renew_grants(gateway, generator, loss_probability)
        gateway.dispatcher.tick(now)
        for _ in range(generator.randrange(3)):
            gateway.dispatcher.submit(
                SlotRequest(SERVICE, TeamName('red'), now + 1.0, now), now
            )
        for slot_request in gateway.granted_requests:
            if slot_request.endpoint is not None:
                self._start_request(
                    gateway, slot_request, slot_request.endpoint, generator
                )
        gateway.granted_requests.clear()

    def _start_request(
        self,
        gateway: SimulatedGateway,
        slot_request: SlotRequest,
        endpoint: Endpoint,
        generator: random.Random,
    ) -> None:
        target = self.target_by_id[endpoint.target]
        if endpoint.incarnation != target.incarnation:
            # The old incarnation no longer listens at its address.
            gateway.dispatcher.complete(
                SERVICE, endpoint, gateway.local_time(self.now), has_failed=True
            )
            return
        length_s = generator.choice((0.1, 0.3, MAX_REQUEST_S))
        target.active_requests.append(
            ActiveRequest(
                gateway.id,
                gateway.incarnation,
                slot_request,
                self.now,
                self.now + length_s,
            )
        )
        self.served_request_count += 1
        in_use = len(target.active_requests)
        assert in_use <= SLOTS_PER_TARGET, (1, target.id, in_use)
        if target.leaving_since is not None:
            late_s = self.now - target.leaving_since
            assert late_s <= MAX_LEAVING_DELAY_S, (8, target.id, late_s)

    def _renew_grants(
        self,
        gateway: SimulatedGateway,
        generator: random.Random,
        loss_probability: float,
    ) -> None:
        gateway.sequence += 1
        is_cut = self.now < gateway.cut_until
        if is_cut or generator.random() < loss_probability:
            return
        holdings = [
            SlotHolding(target, incarnation, kept)
            for target, incarnation, kept, _ in gateway.dispatcher.holdings(
                gateway.local_time(self.now)
            )
        ]
        known = self.recorded_incarnation_by_gateway.get(gateway.id)
        if known is None or gateway.incarnation > known[0]:
            self.recorded_incarnation_by_gateway[gateway.id] = (
                gateway.incarnation,
                self.now,
            )
        grants = self.ledger.renew_grants(
            gateway.id,
            gateway.incarnation,
            gateway.sequence,
            gateway.dispatcher.demand_by_service(),
            holdings,
            self.now,
        )
        if grants is not None and generator.random() >= loss_probability:
            late_s = generator.choice((0.0, 0.0, 0.1, 0.5))
            gateway.delayed_reply = (
                self.now + late_s,
                gateway.sequence,
                grants,
            )

    def _apply_delayed_reply(self, gateway: SimulatedGateway) -> None:
        if gateway.delayed_reply is None or self.now < gateway.delayed_reply[0]:
            return
        due_at, _, grants = gateway.delayed_reply
        gateway.delayed_reply = None
        if grants is None or self.now < gateway.cut_until:
            return
        # The lease counts from a time before the exchange began.
        sent_at = gateway.local_time(min(due_at, self.now)) - 0.5
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
            gateway.local_time(self.now),
        )
