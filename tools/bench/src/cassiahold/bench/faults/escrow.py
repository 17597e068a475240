"""Fault run of the quotas that split a team's limit over data centres.

The quota ledger of the coordinator group is under test.  Quota offers and
confirmations are lost, duplicated and reordered; limits are lowered and
raised; data centres are unreachable for any length of time.
"""

import random
import typing

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahold.cellstate.quotas import (
    ZERO_TOTALS,
    QuotaLedger,
    QuotaOffer,
    ResourceTotals,
)
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import Resources

DATA_CENTRES: typing.Final = tuple(DataCentre(name) for name in 'pqrs')
TEAM: typing.Final = TeamName('red')


class SimulatedCentre(msgspec.Struct):
    """A data centre: the offer it adopted and how many tasks it runs."""

    offer: QuotaOffer = QuotaOffer(0, {})
    running_task_count: int = 0


class EscrowMachine(RuleBasedStateMachine):
    """One team with a limit in tasks over four data centres."""

    def __init__(self) -> None:
        super().__init__()
        self.quota_ledger = QuotaLedger()
        self.centre_by_name = {name: SimulatedCentre() for name in DATA_CENTRES}
        self.in_flight_offers: list[tuple[DataCentre, QuotaOffer]] = []
        self.in_flight_confirmations: list[tuple[DataCentre, int]] = []
        self.task_limit = 0
        self.fault_count = 0
        self.highest_unconfirmed_limit: int = 0

    @rule(seed=st.integers(0, 1 << 30), steps=st.integers(5, 60))
    def storm(self, seed: int, steps: int) -> None:
        """Take random steps in any order and check the limit after each."""
        generator = random.Random(seed)
        for _ in range(steps):
            self._take_random_step(generator)
            self.within_the_limit()

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm with parameters drawn from the generator."""
        self.storm(generator.randrange(1 << 30), generator.randrange(5, 60))
        if generator.random() < 0.2:
            self.settle()

    def check_properties(self) -> None:
        """Check the sum of running tasks over the data centres."""
        self.within_the_limit()

    @rule()
    def settle(self) -> None:
        """Drop delayed messages, then exchange offers until they settle."""
        self.in_flight_offers.clear()
        self.in_flight_confirmations.clear()
        for _ in range(4 * len(DATA_CENTRES)):
            for name, centre in self.centre_by_name.items():
                record = self.quota_ledger.quotas_by_centre.get(name)
                if record is not None:
                    self._adopt_offer(name, record.offer)
                centre.running_task_count = min(
                    centre.running_task_count, self._task_quota(centre)
                )
                self.quota_ledger.confirm_offer(name, centre.offer.epoch)
        assert not self.quota_ledger.centres_above_offer()
        assert sum(self._running_task_counts()) <= self.task_limit

    @invariant()
    def within_the_limit(self) -> None:
        """At most the limit runs once every offer is confirmed.

        Until every data centre confirms a lowered limit, the highest limit
        since the last full confirmation applies.
        """
        if not self.quota_ledger.centres_above_offer():
            self.highest_unconfirmed_limit = self.task_limit
        self.highest_unconfirmed_limit = max(
            self.highest_unconfirmed_limit, self.task_limit
        )
        total = sum(self._running_task_counts())
        assert total <= self.highest_unconfirmed_limit, (total, self.task_limit)

    def _running_task_counts(self) -> list[int]:
        return [
            centre.running_task_count for centre in self.centre_by_name.values()
        ]

    def _task_quota(self, centre: SimulatedCentre) -> int:
        return centre.offer.quota_by_team.get(TEAM, ZERO_TOTALS).tasks

    def _take_random_step(self, generator: random.Random) -> None:
        self.fault_count += 1
        name = generator.choice(DATA_CENTRES)
        centre = self.centre_by_name[name]
        action = generator.randrange(9)
        if action == 0:
            self._set_limit(generator.choice((0, 3, 7, 10, 40)))
        elif action == 1:
            self._rebalance(generator)
        elif action <= 3 and name in self.quota_ledger.quotas_by_centre:
            self.in_flight_offers.append(
                (name, self.quota_ledger.quotas_by_centre[name].offer)
            )
        elif action == 4 and self.in_flight_offers:
            receiver, offer = generator.choice(self.in_flight_offers)
            self._adopt_offer(receiver, offer)
        elif action == 5:
            if centre.running_task_count <= self._task_quota(centre):
                self.in_flight_confirmations.append((name, centre.offer.epoch))
        elif action == 6 and self.in_flight_confirmations:
            sender, epoch = generator.choice(self.in_flight_confirmations)
            self.quota_ledger.confirm_offer(sender, epoch)
        elif action == 7 and centre.running_task_count < self._task_quota(
            centre
        ):
            centre.running_task_count += 1
        elif action == 8 and centre.running_task_count:
            centre.running_task_count -= 1

    def _adopt_offer(self, name: DataCentre, offer: QuotaOffer) -> None:
        centre = self.centre_by_name[name]
        if offer.epoch > centre.offer.epoch:
            centre.offer = offer

    def _set_limit(self, task_limit: int) -> None:
        self.task_limit = task_limit
        self.quota_ledger.set_limits(
            {TEAM: ResourceTotals(Resources(), task_limit)}, list(DATA_CENTRES)
        )

    def _rebalance(self, generator: random.Random) -> None:
        if not self.quota_ledger.quotas_by_centre:
            return
        remaining_tasks = self.task_limit
        targets = {}
        for name in generator.sample(DATA_CENTRES, len(DATA_CENTRES)):
            quota = generator.randint(0, remaining_tasks)
            remaining_tasks -= quota
            targets[name] = ResourceTotals(Resources(), quota)
        self.quota_ledger.rebalance(TEAM, targets)
