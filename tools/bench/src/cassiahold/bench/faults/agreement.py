"""Elections, replication, membership and leases of ``agreement``.

Messages are lost, delayed, doubled and reordered; replicas crash before
and after each sync and come back; clocks run at different rates; links are
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

NAMES: typing.Final = tuple(ReplicaId(name) for name in 'abcde')
FIRST_MEMBERS: typing.Final = Membership(NAMES[:3])
PACE: typing.Final = RaftTiming(
    heartbeat_s=0.06, election_s=0.3, clock_drift=0.05
)
TICK_S: typing.Final = 0.02
MAX_IN_FLIGHT: typing.Final = 400
WORK_PART: typing.Final = 0.2  # of the ticks bring proposals


class Disk(msgspec.Struct):
    """What one replica has synced."""

    hard_state: HardState
    log: ReplicatedLog


class Letter(msgspec.Struct):
    """A message on its way."""

    sender: ReplicaId
    outgoing: OutgoingMessage
    due_at: float


class Replica:
    """A node with its disk, its clock and what it has applied."""

    def __init__(self, name: ReplicaId, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.disk = Disk(
            HardState(), ReplicatedLog(Snapshot(0, 0, FIRST_MEMBERS), [])
        )
        self.node: RaftNode | None = None
        self.restart_at = 0.0

    def start(self, now: float, seed: int) -> None:
        """Start from what is on the disk."""
        log = self.disk.log
        copy = ReplicatedLog(
            log.snapshot,
            list(log.entries_between(log.snapshot.index + 1, log.last_index)),
        )
        self.node = RaftNode(
            self.name, copy, self.disk.hard_state, PACE, self.clock(now), seed
        )

    def clock(self, now: float) -> float:
        """Return this replica's own time."""
        return now * self.rate


class AgreementRun(RuleBasedStateMachine):
    """One group under faults."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.random = random.Random(0)
        rates = (1.0, 0.96, 1.04, 1.0, 0.98)
        self.replica_by_name = {
            name: Replica(name, rate)
            for name, rate in zip(NAMES, rates, strict=True)
        }
        self.letters: list[Letter] = []
        self.cut: set[tuple[ReplicaId, ReplicaId]] = set()
        self.chosen: dict[int, Entry] = {}
        self.leader_by_term: dict[int, ReplicaId] = {}
        self.proposed = 0
        self.troubles = 0
        self.heal_at = 0.0
        for replica in self.replica_by_name.values():
            replica.start(self.now, self.random.randrange(1 << 30))

    # Faults and time.

    @rule(
        seed=st.integers(0, 1 << 30),
        ticks=st.integers(20, 200),
        trouble=st.sampled_from((0.0, 0.01, 0.03, 0.08)),
        loss=st.sampled_from((0.0, 0.05, 0.3)),
    )
    def storm(self, seed: int, ticks: int, trouble: float, loss: float) -> None:
        """Let time pass with faults of every kind."""
        self._let_pass(random.Random(seed), ticks, trouble, loss, WORK_PART)

    @rule(seed=st.integers(0, 1 << 30))
    def lose_a_follower(self, seed: int) -> None:
        """Cut a leader and one voter apart while nothing is proposed.

        The voter's log stays as new as the others', who still hear the
        leader: only their promise to it keeps them from voting.
        """
        generator = random.Random(seed)
        leaders = self.leaders()
        if not leaders:
            return
        leader = leaders[-1]
        assert leader.node is not None
        other = generator.choice(leader.node.membership.voters)
        self.cut = {(leader.name, other), (other, leader.name)}
        self.heal_at = self.now + generator.choice((0.5, 1.0, 1.5))
        self._let_pass(generator, 80, 0.0, 0.0, 0.0)

    def _let_pass(
        self,
        generator: random.Random,
        ticks: int,
        trouble: float,
        loss: float,
        work: float,
    ) -> None:
        for _ in range(ticks):
            self.now += TICK_S
            self._repair_due()
            if generator.random() < trouble:
                self._make_trouble(generator)
            if generator.random() < work:
                self.propose(generator.randrange(1, 4))
            for replica in self.replica_by_name.values():
                if replica.node is not None:
                    replica.node.tick(replica.clock(self.now))
                    self.flush(replica)
            self._deliver_due(loss, generator)
            self.check_leases()

    def play(self, generator: random.Random) -> None:
        """Make one storm with parameters from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(20, 200),
            generator.choice((0.0, 0.01, 0.03, 0.08)),
            generator.choice((0.0, 0.05, 0.3)),
        )
        if generator.random() < 0.3:
            self.calm()
            self.lose_a_follower(generator.randrange(1 << 30))

    def verify(self) -> None:
        """Check elections and logs."""
        self.one_leader_in_a_term()
        self.chosen_entries_stay()

    @rule()
    def calm(self) -> None:
        """Join every link, start every replica and let time pass."""
        self.cut = set()
        for replica in self.replica_by_name.values():
            if replica.node is None:
                self.restart(replica.name)
        self.storm(0, 120, 0.0, 0.0)

    def crash(self, name: ReplicaId, *, synced: bool) -> None:
        """Kill a replica, before or after its newest records are synced."""
        replica = self.replica_by_name[name]
        if replica.node is not None and not synced:
            ready = replica.node.ready()
            if ready is not None and ready.hard_state is not None:
                # The vote may reach the disk although nothing was sent.
                replica.disk.hard_state = ready.hard_state
        elif replica.node is not None:
            self.flush(replica)
        replica.node = None
        replica.restart_at = self.now + self.random.choice((0.02, 0.3, 1.0))

    def _repair_due(self) -> None:
        if self.now >= self.heal_at:
            self.cut = set()
        for replica in self.replica_by_name.values():
            if replica.node is None and self.now >= replica.restart_at:
                self.restart(replica.name)

    def restart(self, name: ReplicaId) -> None:
        """Start a replica from its disk."""
        replica = self.replica_by_name[name]
        replica.start(self.now, self.random.randrange(1 << 30))

    def propose(self, count: int) -> None:
        """Let everybody who believes to lead add commands."""
        for replica in self.leaders():
            payloads = []
            for _ in range(count):
                self.proposed += 1
                payloads.append(str(self.proposed).encode())
            assert replica.node is not None
            replica.node.propose(payloads, replica.clock(self.now))
            self.flush(replica)

    def change_members(self, generator: random.Random) -> None:
        """Add a learner, let one vote, or remove a voter."""
        for replica in self.leaders():
            assert replica.node is not None
            wanted = _next_members(replica.node.membership, generator)
            try:
                replica.node.propose_membership(wanted, replica.clock(self.now))
            except CassiaholdError:
                continue
            self.flush(replica)

    def compact(self, name: ReplicaId) -> None:
        """Replace applied entries by a snapshot."""
        replica = self.replica_by_name[name]
        node = replica.node
        if node is None or node.applied_index <= node.log.snapshot.index:
            return
        replica.disk.log.compact(node.compact(node.applied_index, b''))

    def _make_trouble(self, generator: random.Random) -> None:
        self.troubles += 1
        name = generator.choice(NAMES)
        leaders = [replica.name for replica in self.leaders()]
        what = generator.randrange(10)
        if what < 2 and leaders:
            self.crash(leaders[-1], synced=generator.random() < 0.5)
        elif what < 3:
            self.crash(name, synced=generator.random() < 0.5)
        elif what < 7:
            self._cut_links(generator, leaders)
            self.heal_at = self.now + generator.choice((0.2, 0.5, 1.0))
        elif what < 9:
            self.change_members(generator)
        else:
            self.compact(name)

    def _cut_links(
        self, generator: random.Random, leaders: list[ReplicaId]
    ) -> None:
        """Cut a leader off, or some, or single links in one direction."""
        kind = generator.randrange(3)
        if kind == 0 and leaders:
            side = {leaders[-1]}
        elif kind == 1:
            side = set(generator.sample(NAMES, 2))
        else:
            pairs = [(here, there) for here in NAMES for there in NAMES]
            self.cut = set(generator.sample(pairs, 6))
            return
        self.cut = {
            (here, there)
            for here in NAMES
            for there in NAMES
            if (here in side) is not (there in side)
        }

    # Properties.

    @invariant()
    def one_leader_in_a_term(self) -> None:
        """Two replicas never lead the same term."""
        for replica in self.leaders():
            node = replica.node
            assert node is not None
            known = self.leader_by_term.setdefault(node.term, replica.name)
            assert known == replica.name, (node.term, known, replica.name)

    @invariant()
    def chosen_entries_stay(self) -> None:
        """A leader's log holds every entry that was ever committed."""
        for replica in self.leaders():
            node = replica.node
            assert node is not None
            if node.term < max(self.leader_by_term, default=0):
                continue
            for index, entry in self.chosen.items():
                if index <= node.log.snapshot.index:
                    continue
                term = node.log.term_at(index)
                assert term == entry.term, (replica.name, index, term, entry)

    def check_leases(self) -> None:
        """At one moment at most one replica may serve as leader."""
        holders = [
            replica.name
            for replica in self.replica_by_name.values()
            if replica.node is not None
            and replica.node.has_valid_lease(replica.clock(self.now))
        ]
        assert len(holders) <= 1, holders

    def leaders(self) -> list[Replica]:
        """Return the replicas that believe to lead."""
        return [
            replica
            for replica in self.replica_by_name.values()
            if replica.node is not None and replica.node.is_leader
        ]

    # Driver.

    def flush(self, replica: Replica) -> None:
        """Do what a node is ready for, as the real driver does."""
        node = replica.node
        if node is None:
            return
        ready = node.ready()
        while ready is not None:
            disk = replica.disk
            if ready.hard_state is not None:
                disk.hard_state = ready.hard_state
            if ready.snapshot is not None:
                disk.log.compact(ready.snapshot)
            for entry in ready.entries:
                disk.log.append(entry)
            self.letters.extend(
                Letter(replica.name, outgoing, self._arrival())
                for outgoing in ready.messages
            )
            for entry in ready.committed:
                self._apply(replica, entry)
            node.advance(ready)
            ready = node.ready()
        if len(self.letters) > MAX_IN_FLIGHT:
            self.letters = self.letters[-MAX_IN_FLIGHT:]

    def _arrival(self) -> float:
        return self.now + self.random.choice((0.0, 0.0, TICK_S, 4 * TICK_S))

    def _apply(self, replica: Replica, entry: Entry) -> None:
        first = self.chosen.setdefault(entry.index, entry)
        assert first == entry, (replica.name, first, entry)

    def _deliver_due(self, loss: float, generator: random.Random) -> None:
        """Deliver in any order; lose, delay and double some messages."""
        letters = self.letters
        self.letters = []
        generator.shuffle(letters)
        for letter in letters:
            receiver = letter.outgoing.receiver
            is_cut = (letter.sender, receiver) in self.cut
            if is_cut or generator.random() < loss:
                continue
            if letter.due_at > self.now:
                self.letters.append(letter)
                continue
            if generator.random() < 0.03:
                late_s = generator.choice((0.05, 0.3, 1.0))
                self.letters.append(
                    Letter(letter.sender, letter.outgoing, self.now + late_s)
                )
            replica = self.replica_by_name[receiver]
            if replica.node is not None:
                replica.node.step(
                    letter.outgoing.message, replica.clock(self.now)
                )
                self.flush(replica)


def _next_members(members: Membership, generator: random.Random) -> Membership:
    outside = [name for name in NAMES if name not in members.members]
    choices: list[Membership] = []
    for name in outside:
        choices.append(Membership(members.voters, (*members.learners, name)))
    for name in members.learners:
        rest = tuple(other for other in members.learners if other != name)
        choices.append(Membership((*members.voters, name), rest))
    if len(members.voters) > 1:
        gone = generator.choice(members.voters)
        rest = tuple(other for other in members.voters if other != gone)
        choices.append(Membership(rest, members.learners))
    return generator.choice(choices)
