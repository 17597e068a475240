"""Fault run of replicas whose disks fill up, lose power and fail to sync."""

import collections
import random
import typing

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiahold.bench.faults.replica_group import ReplicaGroup, SimulatedHost

CALM_S: typing.Final = 4.0  # for an election and the renewed use of a disk
LONGEST_FULL_S: typing.Final = 2.0
CALL_PROBABILITY: typing.Final = 0.5  # per step
STEP_S: typing.Final = 0.04


class FullDiskMachine(RuleBasedStateMachine):
    """One group of replicas under random faults of their disks."""

    def __init__(self) -> None:
        super().__init__()
        self.fault_count = 0
        self.failed_syncs = 0
        self.group = ReplicaGroup(random.Random(0))
        self.group.advance(2.0)

    def teardown(self) -> None:
        """Restore the real clock."""
        self.group.close()

    @rule(
        seed=st.integers(0, 1 << 30),
        steps=st.integers(20, 100),
        trouble=st.sampled_from((0.02, 0.1)),
        loss=st.sampled_from((0.0, 0.1)),
    )
    def storm(self, seed: int, steps: int, trouble: float, loss: float) -> None:
        """Advance time with calls and faults, ``trouble`` of them a step."""
        generator = random.Random(seed)
        self.group.loss_probability = loss
        for _ in range(steps):
            if generator.random() < trouble:
                self._inject_fault(generator)
            if generator.random() < CALL_PROBABILITY:
                self._call()
            self.group.advance(STEP_S)
        self.check_properties()

    @rule()
    def calm(self) -> None:
        """Let every disk have room; a change must then be acknowledged."""
        self.group.loss_probability = 0.0
        for host in self.group.host_by_id.values():
            host.full_until = self.group.now
        self.group.advance(CALM_S)
        for leader in self.group.leaders():
            call = self.group.call(leader, b'%d' % len(self.group.calls))
            self.group.advance(1.0)
            assert call.is_acknowledged, call
            break
        else:
            raise AssertionError('no replica leads long after the faults')
        self.check_properties()
        self.check_replicas_agree()

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""
        self.storm(
            generator.randrange(1 << 30),
            generator.randrange(20, 100),
            generator.choice((0.02, 0.1)),
            generator.choice((0.0, 0.1)),
        )
        if generator.random() < 0.5:
            self.calm()

    # Properties.

    def check_properties(self) -> None:
        """Check what callers were told, and which processes ended."""
        for leader in self.group.leaders():
            self._check_commands(leader)
        assert len(self.group.ended_processes) == self.failed_syncs, (
            self.group.ended_processes
        )

    def _check_commands(self, host: SimulatedHost) -> None:
        count_by_command = collections.Counter(host.service.commands)
        repeated = [
            command for command, count in count_by_command.items() if count > 1
        ]
        assert not repeated, repeated
        for call in self.group.calls:
            assert not (call.is_refused and call.command in count_by_command), (
                'refused, and has run',
                call.command,
            )

    def check_replicas_agree(self) -> None:
        """Check that every replica has every acknowledged command."""
        hosts = list(self.group.host_by_id.values())
        for host in hosts:
            assert host.service.commands == hosts[0].service.commands
            self._check_commands(host)
        commands = set(hosts[0].service.commands)
        for call in self.group.calls:
            assert call.future.done(), ('never answered', call.command)
            assert not call.is_acknowledged or call.command in commands, (
                'acknowledged, and lost',
                call.command,
            )

    # Faults.

    def _call(self) -> None:
        for leader in self.group.leaders():
            self.group.call(leader, b'%d' % len(self.group.calls))

    def _inject_fault(self, generator: random.Random) -> None:
        self.fault_count += 1
        hosts = list(self.group.host_by_id.values())
        host = generator.choice(self.group.leaders() or hosts)
        if generator.random() < 0.5:
            host = generator.choice(hosts)
        action = generator.randrange(10)
        full_s = generator.uniform(0.05, LONGEST_FULL_S)
        if action < 6:
            self.group.fill_disk(host, full_s)
        elif action < 7:
            for each in hosts:
                self.group.fill_disk(each, full_s)
        elif action < 9:
            self.group.crash(host, generator.choice((0.02, 0.5)))
        else:
            self._fail_sync(host)

    def _fail_sync(self, host: SimulatedHost) -> None:
        """Fail the next sync of a host, which must end its process."""
        if host.replica is None or host.disk.is_full:
            return
        ended_count = len(self.group.ended_processes)
        host.disk.is_sync_failing = True
        for _ in range(int(1.0 / STEP_S)):
            self._call()
            self.group.advance(STEP_S)
            if len(self.group.ended_processes) > ended_count:
                break
        host.disk.is_sync_failing = False
        self.failed_syncs += len(self.group.ended_processes) - ended_count
