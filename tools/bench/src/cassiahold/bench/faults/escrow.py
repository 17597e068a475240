"""Upper limits over the fleet: the allotments of the coordinator group.

Offers and confirmations are lost, doubled and arrive in any order; limits
are lowered and raised; data centres are cut off for as long as they like.
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

CENTRES: typing.Final = tuple(DataCentre(name) for name in 'pqrs')
TEAM: typing.Final = TeamName('red')


class Centre(msgspec.Struct):
    """A data centre's side: what it adopted and what it runs."""

    offer: QuotaOffer = QuotaOffer(0, {})
    running: int = 0


class EscrowRun(RuleBasedStateMachine):
    """One team, counted in tasks, over four data centres."""

    def __init__(self) -> None:
        super().__init__()
        self.book = QuotaLedger()
        self.centre_by_name = {name: Centre() for name in CENTRES}
        self.offers: list[tuple[DataCentre, QuotaOffer]] = []
        self.confirmations: list[tuple[DataCentre, int]] = []
        self.limit = 0
        self.troubles = 0
        self.highest_since: int = 0

    @rule(seed=st.integers(0, 1 << 30), steps=st.integers(5, 60))
    def storm(self, seed: int, steps: int) -> None:
        """Do many things in any order."""
        generator = random.Random(seed)
        for _ in range(steps):
            self._step(generator)
            self.within_the_limit()

    def play(self, generator: random.Random) -> None:
        """Make one storm with parameters from the generator."""
        self.storm(generator.randrange(1 << 30), generator.randrange(5, 60))
        if generator.random() < 0.2:
            self.settle()

    def verify(self) -> None:
        """Check the sum over the data centres."""
        self.within_the_limit()

    @rule()
    def settle(self) -> None:
        """Deliver everything until nothing changes any more."""
        self.offers.clear()
        self.confirmations.clear()
        for _ in range(4 * len(CENTRES)):
            for name, centre in self.centre_by_name.items():
                record = self.book.quotas_by_centre.get(name)
                if record is not None:
                    self._adopt(name, record.offer)
                centre.running = min(centre.running, self._allowed(centre))
                self.book.confirm_offer(name, centre.offer.epoch)
        assert not self.book.centres_above_offer()
        assert sum(self._running()) <= self.limit

    @invariant()
    def within_the_limit(self) -> None:
        """No more runs than the limit, once every offer is confirmed.

        Until a lowered limit is confirmed by every data centre, as much may
        run as the limits since the last confirmation allowed.
        """
        if not self.book.centres_above_offer():
            self.highest_since = self.limit
        self.highest_since = max(self.highest_since, self.limit)
        total = sum(self._running())
        assert total <= self.highest_since, (total, self.limit)

    def _running(self) -> list[int]:
        return [centre.running for centre in self.centre_by_name.values()]

    def _allowed(self, centre: Centre) -> int:
        return centre.offer.quota_by_team.get(TEAM, ZERO_TOTALS).tasks

    def _step(self, generator: random.Random) -> None:
        self.troubles += 1
        name = generator.choice(CENTRES)
        centre = self.centre_by_name[name]
        what = generator.randrange(9)
        if what == 0:
            self._set_limit(generator.choice((0, 3, 7, 10, 40)))
        elif what == 1:
            self._move(generator)
        elif what <= 3 and name in self.book.quotas_by_centre:
            self.offers.append((name, self.book.quotas_by_centre[name].offer))
        elif what == 4 and self.offers:
            at, offer = generator.choice(self.offers)
            self._adopt(at, offer)
        elif what == 5:
            if centre.running <= self._allowed(centre):
                self.confirmations.append((name, centre.offer.epoch))
        elif what == 6 and self.confirmations:
            at, epoch = generator.choice(self.confirmations)
            self.book.confirm_offer(at, epoch)
        elif what == 7 and centre.running < self._allowed(centre):
            centre.running += 1
        elif what == 8 and centre.running:
            centre.running -= 1

    def _adopt(self, name: DataCentre, offer: QuotaOffer) -> None:
        centre = self.centre_by_name[name]
        if offer.epoch > centre.offer.epoch:
            centre.offer = offer

    def _set_limit(self, tasks: int) -> None:
        self.limit = tasks
        self.book.set_limits(
            {TEAM: ResourceTotals(Resources(), tasks)}, list(CENTRES)
        )

    def _move(self, generator: random.Random) -> None:
        if not self.book.quotas_by_centre:
            return
        left = self.limit
        targets = {}
        for name in generator.sample(CENTRES, len(CENTRES)):
            part = generator.randint(0, left)
            left -= part
            targets[name] = ResourceTotals(Resources(), part)
        self.book.rebalance(TEAM, targets)
