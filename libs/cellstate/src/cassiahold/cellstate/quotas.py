"""Upper limits of teams, split over data centres.

A data centre runs no more than its allotment.  ``held`` is the most that a
data centre may still believe it has; it falls only after the data centre
has confirmed the smaller offer, and only what has fallen may be offered to
another one.
"""

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources


class ResourceTotals(msgspec.Struct, frozen=True, array_like=True):
    """An upper limit in resources and tasks."""

    resources: Resources = NO_RESOURCES
    tasks: int = 0

    def __add__(self, other: 'ResourceTotals') -> 'ResourceTotals':
        return ResourceTotals(
            self.resources + other.resources, self.tasks + other.tasks
        )

    def __sub__(self, other: 'ResourceTotals') -> 'ResourceTotals':
        return ResourceTotals(
            self.resources - other.resources, self.tasks - other.tasks
        )

    def fits_in(self, room: 'ResourceTotals') -> bool:
        """Tell whether every dimension is within ``room``."""
        return self.tasks <= room.tasks and self.resources.fits_in(
            room.resources
        )

    def elementwise_max(self, other: 'ResourceTotals') -> 'ResourceTotals':
        """Return the larger amount in each dimension."""
        return ResourceTotals(
            self.resources.elementwise_max(other.resources),
            max(self.tasks, other.tasks),
        )

    def elementwise_min(self, other: 'ResourceTotals') -> 'ResourceTotals':
        """Return the smaller amount in each dimension."""
        return ResourceTotals(
            self.resources.elementwise_min(other.resources),
            min(self.tasks, other.tasks),
        )


ZERO_TOTALS = ResourceTotals()


class QuotaOffer(msgspec.Struct, frozen=True, array_like=True):
    """What a data centre is told it may run, newest epoch wins."""

    epoch: int
    quota_by_team: dict[TeamName, ResourceTotals]


class CentreQuotas(msgspec.Struct, array_like=True):
    """The coordinator's record of one data centre."""

    offer: QuotaOffer
    max_held_by_team: dict[TeamName, ResourceTotals]
    target_by_team: dict[TeamName, ResourceTotals]


class QuotaLedger(msgspec.Struct, array_like=True):
    """Limits, targets, offers and what may be held, by data centre."""

    limit_by_team: dict[TeamName, ResourceTotals] = msgspec.field(
        default_factory=dict
    )
    quotas_by_centre: dict[DataCentre, CentreQuotas] = msgspec.field(
        default_factory=dict
    )

    def set_limits(
        self,
        limit_by_team: dict[TeamName, ResourceTotals],
        centres: list[DataCentre],
    ) -> None:
        """Take new limits and split each changed one evenly."""
        for centre in centres:
            self.quotas_by_centre.setdefault(
                centre, CentreQuotas(QuotaOffer(0, {}), {}, {})
            )
        changed = {
            team: limit
            for team, limit in limit_by_team.items()
            if self.limit_by_team.get(team) != limit
        }
        gone = set(self.limit_by_team) - set(limit_by_team)
        self.limit_by_team = dict(limit_by_team)
        for team, limit in changed.items():
            self._set_targets(
                team, _split(limit, sorted(self.quotas_by_centre))
            )
        for team in sorted(gone):
            self._set_targets(team, {})
        self._offer({*changed, *gone})

    def rebalance(
        self, team: TeamName, targets: dict[DataCentre, ResourceTotals]
    ) -> None:
        """Change where a team's limit should lie; offer what is free."""
        self._set_targets(team, targets)
        self._offer({team})

    def confirm_offer(self, centre: DataCentre, epoch: int) -> bool:
        """Record that a data centre runs within its offer of ``epoch``.

        Returns whether anything changed.
        """
        record = self.quotas_by_centre.get(centre)
        if record is None or epoch != record.offer.epoch:
            return False
        offered = record.offer.quota_by_team
        shrunk = {
            team
            for team, held in record.max_held_by_team.items()
            if offered.get(team, ZERO_TOTALS) != held
        }
        record.max_held_by_team = dict(offered)
        self._offer(shrunk)
        return bool(shrunk)

    def centres_above_offer(self) -> dict[TeamName, list[DataCentre]]:
        """Return the teams whose lowered limit awaits a confirmation."""
        waiting: dict[TeamName, list[DataCentre]] = {}
        for centre, record in self.quotas_by_centre.items():
            offered = record.offer.quota_by_team
            for team, held in record.max_held_by_team.items():
                if not held.fits_in(offered.get(team, ZERO_TOTALS)):
                    waiting.setdefault(team, []).append(centre)
        return waiting

    def teams_above_limit(self) -> list[TeamName]:
        """Return the teams that may still run more than their limit."""
        return [
            team
            for team in self.centres_above_offer()
            if not self._held(team).fits_in(
                self.limit_by_team.get(team, ZERO_TOTALS)
            )
        ]

    def _set_targets(
        self, team: TeamName, targets: dict[DataCentre, ResourceTotals]
    ) -> None:
        limit = self.limit_by_team.get(team, ZERO_TOTALS)
        total = sum(targets.values(), ZERO_TOTALS)
        if not total.fits_in(limit):
            raise InvariantError(
                4, f'targets {total} of team {team!r} exceed limit {limit}'
            )
        for centre, record in self.quotas_by_centre.items():
            _put(record.target_by_team, team, targets.get(centre))

    def _offer(self, teams: set[TeamName]) -> None:
        # Targets add up to the limit at most, so growth here can only take
        # what no data centre holds any more.
        for centre in sorted(self.quotas_by_centre):
            record = self.quotas_by_centre[centre]
            fresh = dict(record.offer.quota_by_team)
            for team in sorted(teams):
                _put(fresh, team, self._offer_to(record, team))
            if fresh != record.offer.quota_by_team:
                record.offer = QuotaOffer(record.offer.epoch + 1, fresh)

    def _offer_to(self, record: CentreQuotas, team: TeamName) -> ResourceTotals:
        limit = self.limit_by_team.get(team, ZERO_TOTALS)
        target = record.target_by_team.get(team, ZERO_TOTALS)
        held = record.max_held_by_team.get(team, ZERO_TOTALS)
        free = limit - self._held(team)
        growth = target.elementwise_max(held) - held
        granted = growth.elementwise_min(free).elementwise_max(ZERO_TOTALS)
        _put(record.max_held_by_team, team, held + granted)
        self._assert_growth_within(team, granted, limit)
        return target.elementwise_min(held) + granted

    def _held(self, team: TeamName) -> ResourceTotals:
        return sum(
            (
                record.max_held_by_team.get(team, ZERO_TOTALS)
                for record in self.quotas_by_centre.values()
            ),
            ZERO_TOTALS,
        )

    def _assert_growth_within(
        self, team: TeamName, granted: ResourceTotals, limit: ResourceTotals
    ) -> None:
        held = _amounts(self._held(team))
        rows = zip(_amounts(granted), held, _amounts(limit), strict=True)
        if any(grown and total > most for grown, total, most in rows):
            raise InvariantError(
                4, f'{held} held by team {team!r} exceeds limit {limit}'
            )


def _put(
    by_team: dict[TeamName, ResourceTotals],
    team: TeamName,
    allowance: ResourceTotals | None,
) -> None:
    if allowance is None or allowance == ZERO_TOTALS:
        by_team.pop(team, None)
    else:
        by_team[team] = allowance


def _amounts(allowance: ResourceTotals) -> tuple[int, ...]:
    resources = allowance.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        allowance.tasks,
    )


def _split(
    limit: ResourceTotals, centres: list[DataCentre]
) -> dict[DataCentre, ResourceTotals]:
    count = len(centres)
    amounts = _amounts(limit)
    split = {}
    for position, centre in enumerate(centres):
        cores, memory, accelerators, tasks = (
            _part(amount, count, position) for amount in amounts
        )
        split[centre] = ResourceTotals(
            Resources(cores, memory, accelerators), tasks
        )
    return split


def _part(amount: int, count: int, position: int) -> int:
    # The remainder goes one each to the first parts.
    whole, odd = divmod(amount, count)
    return whole + int(position < odd)
