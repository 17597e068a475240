"""Fault run of a Raft group: elections, replication, membership, leases.

Messages are lost, delayed, duplicated and reordered; replicas crash before
and after each sync and restart; clocks run at different rates; links are
cut one way or both; logs are compacted at any time.
"""

import random
import typing

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahold.agreement.log import ReplicatedLog
from cassiahold.agreement.messages import (
    Entry,
    HardState,
    Membership,
    Snapshot,
)
from cassiahold.agreement.node import OutgoingMessage, RaftNode, RaftTiming
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import ReplicaId

REPLICA_IDS: typing.Final = tuple(ReplicaId(name) for name in 'abcde')
INITIAL_MEMBERSHIP: typing.Final = Membership(REPLICA_IDS[:3])
TIMING: typing.Final = RaftTiming(
    heartbeat_s=0.06, election_s=0.3, clock_drift=0.05
)
TICK_S: typing.Final = 0.02
MAX_IN_FLIGHT_MESSAGES: typing.Final = 400
PROPOSAL_PROBABILITY: typing.Final = 0.2  # per tick


class DurableState(msgspec.Struct):
    """The hard state and the log that one replica has synced to disk."""

    hard_state: HardState
    log: ReplicatedLog


class InFlightMessage(msgspec.Struct):
    """A message that was sent and not yet delivered."""

    sender: ReplicaId
    outgoing: OutgoingMessage
    deliver_at: float


class SimulatedReplica:
    """A Raft node, its durable state and its clock.

    ``node`` is None while the replica is down.
    """

    def __init__(self, replica_id: ReplicaId, clock_rate: float) -> None:
        self.id = replica_id
        self.clock_rate = clock_rate
        self.durable_state = DurableState(
            HardState(), ReplicatedLog(Snapshot(0, 0, INITIAL_MEMBERSHIP), [])
        )
        self.node: RaftNode | None = None
        self.restart_at = 0.0

    def start(self, now: float, seed: int) -> None:
        """Start a node from the durable state."""
        log = self.durable_state.log
        copy = ReplicatedLog(
            log.snapshot,
            list(log.entries_between(log.snapshot.index + 1, log.last_index)),
        )
        self.node = RaftNode(
            self.id,
            copy,
            self.durable_state.hard_state,
            TIMING,
            self.local_time(now),
            seed,
        )

    def local_time(self, now: float) -> float:
        """Return the time of this replica's clock."""
        return now * self.clock_rate


class AgreementMachine(RuleBasedStateMachine):
    """One group of replicas under random faults.

    Replica clocks run at different rates.  ``committed_entry_by_index`` and
    ``leader_by_term`` record what the properties compare.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.random = random.Random(0)
        rates = (1.0, 0.96, 1.04, 1.0, 0.98)
        self.replica_by_id = {
            name: SimulatedReplica(name, rate)
            for name, rate in zip(REPLICA_IDS, rates, strict=True)
        }
        self.in_flight_messages: list[InFlightMessage] = []
        self.cut_links: set[tuple[ReplicaId, ReplicaId]] = set()
        self.committed_entry_by_index: dict[int, Entry] = {}
        self.leader_by_term: dict[int, ReplicaId] = {}
        self.proposal_count = 0
        self.fault_count = 0
        self.reconnect_at = 0.0
        for replica in self.replica_by_id.values():
            replica.start(self.now, self.random.randrange(1 << 30))

    # Faults and passing time.

    @rule(
        seed=st.integers(0, 1 << 30),
        ticks=st.integers(20, 200),
        trouble=st.sampled_from((0.0, 0.01, 0.03, 0.08)),
        loss=st.sampled_from((0.0, 0.05, 0.3)),
    )
    def storm(self, seed: int, ticks: int, trouble: float, loss: float) -> None:
        """Advance time with faults of every kind.

        ``trouble`` is the probability of a fault per tick, ``loss`` that of
        losing a message.
        """
        self._advance_time(
            random.Random(seed), ticks, trouble, loss, PROPOSAL_PROBABILITY
        )

    @rule(seed=st.integers(0, 1 << 30))
    def lose_a_follower(self, seed: int) -> None:
        """Cut a leader and one voter apart while nothing is proposed.

        Its log stays as recent as those of the other voters, which still hear
        the leader: only the leader's lease keeps them from voting for it.
        """
        generator = random.Random(seed)
        leaders = self.leaders()
        if not leaders:
            return
        leader = leaders[-1]
        assert leader.node is not None
        other = generator.choice(leader.node.membership.voters)
        self.cut_links = {(leader.id, other), (other, leader.id)}
        self.reconnect_at = self.now + generator.choice((0.5, 1.0, 1.5))
        self._advance_time(generator, 80, 0.0, 0.0, 0.0)

    def _advance_time(
        self,
        generator: random.Random,
        ticks: int,
        fault_probability: float,
        loss_probability: float,
        proposal_probability: float,
    ) -> None:
        for _ in range(ticks):
            self.now += TICK_S
            self._end_due_faults()
            if generator.random() < fault_probability:
                self._inject_fault(generator)
            if generator.random() < proposal_probability:
                self.propose(generator.randrange(1, 4))
            for replica in self.replica_by_id.values():
                if replica.node is not None:
                    replica.node.tick(replica.local_time(self.now))
                    self.process_ready(replica)
            self._deliver_messages(loss_probability, generator)
            self.check_leases()

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(20, 200),
            generator.choice((0.0, 0.01, 0.03, 0.08)),
            generator.choice((0.0, 0.05, 0.3)),
        )
        if generator.random() < 0.3:
            self.calm()
            self.lose_a_follower(generator.randrange(1 << 30))

    def check_properties(self) -> None:
        """Check the elections and the logs of the leaders."""
        self.one_leader_in_a_term()
        self.chosen_entries_stay()

    @rule()
    def calm(self) -> None:
        """Restore every link and replica and advance time without faults."""
        self.cut_links = set()
        for replica in self.replica_by_id.values():
            if replica.node is None:
                self.restart(replica.id)
        self.storm(0, 120, 0.0, 0.0)

    def crash(self, replica_id: ReplicaId, *, is_synced: bool) -> None:
        """Stop a replica, before or after it syncs its newest records."""
        replica = self.replica_by_id[replica_id]
        if replica.node is not None and not is_synced:
            ready = replica.node.ready()
            if ready is not None and ready.hard_state is not None:
                # A vote may be synced before the replica sends any message.
                replica.durable_state.hard_state = ready.hard_state
        elif replica.node is not None:
            self.process_ready(replica)
        replica.node = None
        replica.restart_at = self.now + self.random.choice((0.02, 0.3, 1.0))

    def _end_due_faults(self) -> None:
        if self.now >= self.reconnect_at:
            self.cut_links = set()
        for replica in self.replica_by_id.values():
            if replica.node is None and self.now >= replica.restart_at:
                self.restart(replica.id)

    def restart(self, replica_id: ReplicaId) -> None:
        """Start a replica from its durable state."""
        replica = self.replica_by_id[replica_id]
        replica.start(self.now, self.random.randrange(1 << 30))

    def propose(self, count: int) -> None:
        """Propose commands at every replica that considers itself leader."""
        for replica in self.leaders():
            payloads = []
            for _ in range(count):
                self.proposal_count += 1
                payloads.append(str(self.proposal_count).encode())
            assert replica.node is not None
            replica.node.propose(payloads, replica.local_time(self.now))
            self.process_ready(replica)

    def change_members(self, generator: random.Random) -> None:
        """Add a learner, promote one to voter, or remove a voter."""
        for replica in self.leaders():
            assert replica.node is not None
            membership = _choose_membership(replica.node.membership, generator)
            try:
                replica.node.propose_membership(
                    membership, replica.local_time(self.now)
                )
            except CassiaholdError:
                continue
            self.process_ready(replica)

    def compact(self, replica_id: ReplicaId) -> None:
        """Replace the applied entries of a replica by a snapshot."""
        replica = self.replica_by_id[replica_id]
        node = replica.node
        if node is None or node.applied_index <= node.log.snapshot.index:
            return
        replica.durable_state.log.compact(node.compact(node.applied_index, b''))

    def _inject_fault(self, generator: random.Random) -> None:
        self.fault_count += 1
        name = generator.choice(REPLICA_IDS)
        leaders = [replica.id for replica in self.leaders()]
        action = generator.randrange(10)
        if action < 2 and leaders:
            self.crash(leaders[-1], is_synced=generator.random() < 0.5)
        elif action < 3:
            self.crash(name, is_synced=generator.random() < 0.5)
        elif action < 7:
            self._cut_links(generator, leaders)
            self.reconnect_at = self.now + generator.choice((0.2, 0.5, 1.0))
        elif action < 9:
            self.change_members(generator)
        else:
            self.compact(name)

    def _cut_links(
        self, generator: random.Random, leaders: list[ReplicaId]
    ) -> None:
        """Isolate a leader or two replicas, or cut single links one way."""
        kind = generator.randrange(3)
        if kind == 0 and leaders:
            side = {leaders[-1]}
        elif kind == 1:
            side = set(generator.sample(REPLICA_IDS, 2))
        else:
            pairs = [
                (here, there) for here in REPLICA_IDS for there in REPLICA_IDS
            ]
            self.cut_links = set(generator.sample(pairs, 6))
            return
        self.cut_links = {
            (here, there)
            for here in REPLICA_IDS
            for there in REPLICA_IDS
            if (here in side) is not (there in side)
        }

    # Properties.

    @invariant()
    def one_leader_in_a_term(self) -> None:
        """At most one replica leads in a term."""
        for replica in self.leaders():
            node = replica.node
            assert node is not None
            first_leader = self.leader_by_term.setdefault(node.term, replica.id)
            assert first_leader == replica.id, (
                node.term,
                first_leader,
                replica.id,
            )

    @invariant()
    def chosen_entries_stay(self) -> None:
        """The newest leader's log has every entry that was ever committed."""
        for replica in self.leaders():
            node = replica.node
            assert node is not None
            if node.term < max(self.leader_by_term, default=0):
                continue
            for index, entry in self.committed_entry_by_index.items():
                if index <= node.log.snapshot.index:
                    continue
                term = node.log.term_at(index)
                assert term == entry.term, (replica.id, index, term, entry)

    def check_leases(self) -> None:
        """At most one replica has a valid leader lease at any time."""
        holders = [
            replica.id
            for replica in self.replica_by_id.values()
            if replica.node is not None
            and replica.node.has_valid_lease(replica.local_time(self.now))
        ]
        assert len(holders) <= 1, holders

    def leaders(self) -> list[SimulatedReplica]:
        """Return the replicas that consider themselves leader."""
        return [
            replica
            for replica in self.replica_by_id.values()
            if replica.node is not None and replica.node.is_leader
        ]

    # Message delivery and storage.

    def process_ready(self, replica: SimulatedReplica) -> None:
        """Sync, send and apply what is ready, as the real driver does."""
        node = replica.node
        if node is None:
            return
        ready = node.ready()
        while ready is not None:
            disk = replica.durable_state
            if ready.hard_state is not None:
                disk.hard_state = ready.hard_state
            if ready.snapshot is not None:
                disk.log.compact(ready.snapshot)
            for entry in ready.entries:
                disk.log.append(entry)
            self.in_flight_messages.extend(
                InFlightMessage(
                    replica.id, outgoing, self._choose_delivery_time()
                )
                for outgoing in ready.messages
            )
            for entry in ready.committed:
                self._record_committed(replica, entry)
            node.advance(ready)
            ready = node.ready()
        if len(self.in_flight_messages) > MAX_IN_FLIGHT_MESSAGES:
            self.in_flight_messages = self.in_flight_messages[
                -MAX_IN_FLIGHT_MESSAGES:
            ]

    def _choose_delivery_time(self) -> float:
        return self.now + self.random.choice((0.0, 0.0, TICK_S, 4 * TICK_S))

    def _record_committed(
        self, replica: SimulatedReplica, entry: Entry
    ) -> None:
        first = self.committed_entry_by_index.setdefault(entry.index, entry)
        assert first == entry, (replica.id, first, entry)

    def _deliver_messages(
        self, loss_probability: float, generator: random.Random
    ) -> None:
        """Deliver in random order; lose, delay and duplicate some messages."""
        messages = self.in_flight_messages
        self.in_flight_messages = []
        generator.shuffle(messages)
        for message in messages:
            receiver = message.outgoing.receiver
            is_cut = (message.sender, receiver) in self.cut_links
            if is_cut or generator.random() < loss_probability:
                continue
            if message.deliver_at > self.now:
                self.in_flight_messages.append(message)
                continue
            if generator.random() < 0.03:
                late_s = generator.choice((0.05, 0.3, 1.0))
                self.in_flight_messages.append(
                    InFlightMessage(
                        message.sender, message.outgoing, self.now + late_s
                    )
                )
            replica = self.replica_by_id[receiver]
            if replica.node is not None:
                replica.node.step(
                    message.outgoing.message, replica.local_time(self.now)
                )
                self.process_ready(replica)


def _choose_membership(
    membership: Membership, generator: random.Random
) -> Membership:
    outside = [name for name in REPLICA_IDS if name not in membership.members]
    choices: list[Membership] = []
    for name in outside:
        choices.append(
            Membership(membership.voters, (*membership.learners, name))
        )
    for name in membership.learners:
        rest = tuple(other for other in membership.learners if other != name)
        choices.append(Membership((*membership.voters, name), rest))
    if len(membership.voters) > 1:
        gone = generator.choice(membership.voters)
        rest = tuple(other for other in membership.voters if other != gone)
        choices.append(Membership(rest, membership.learners))
    return generator.choice(choices)
