"""Quotas: the upper limit of each team, split over the data centres.

A data centre runs no more than its quota.  The coordinator changes quotas by
offers, and records the highest quota that a data centre may still act on
(``max_held_by_team``).  That falls only after the data centre has confirmed a
smaller offer, and only then may the difference be offered to another one.
"""

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources


class ResourceTotals(msgspec.Struct, frozen=True, array_like=True):
    """An amount of resources and a number of tasks: limit, quota or usage."""

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

    def fits_in(self, limit: 'ResourceTotals') -> bool:
        """Tell whether every dimension is within ``limit``."""
        return self.tasks <= limit.tasks and self.resources.fits_in(
            limit.resources
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
    """The quotas offered to a data centre; the highest epoch wins."""

    epoch: int
    quota_by_team: dict[TeamName, ResourceTotals]


class CentreQuotas(msgspec.Struct, array_like=True):
    """The coordinator's record of one data centre.

    ``target_by_team`` is what the quotas should become, and
    ``max_held_by_team`` the most that the data centre may still run.
    """

    offer: QuotaOffer
    max_held_by_team: dict[TeamName, ResourceTotals]
    target_by_team: dict[TeamName, ResourceTotals]


class QuotaLedger(msgspec.Struct, array_like=True):
    """The limit of each team and the quotas of each data centre.

    What all data centres hold of a team never grows beyond the team's limit.
    """

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
        """Set the limits of all teams and split each changed one evenly."""
        for centre in centres:
            self.quotas_by_centre.setdefault(
                centre, CentreQuotas(QuotaOffer(0, {}), {}, {})
            )
        changed = {
            team: limit
            for team, limit in limit_by_team.items()
            if self.limit_by_team.get(team) != limit
        }
        removed = set(self.limit_by_team) - set(limit_by_team)
        self.limit_by_team = dict(limit_by_team)
        for team, limit in changed.items():
            self._set_targets(
                team, _split_evenly(limit, sorted(self.quotas_by_centre))
            )
        for team in sorted(removed):
            self._set_targets(team, {})
        self._update_offers({*changed, *removed})

    def rebalance(
        self, team: TeamName, target_by_centre: dict[DataCentre, ResourceTotals]
    ) -> None:
        """Set a team's targets and offer as much of them as is free.

        Raises ``InvariantError`` when the targets exceed the team's limit.
        """
        self._set_targets(team, target_by_centre)
        self._update_offers({team})

    def confirm_offer(self, centre: DataCentre, epoch: int) -> bool:
        """Record that a data centre runs within its offer of ``epoch``.

        What it gives up is offered to the others.  Returns whether anything
        changed; an epoch other than the newest changes nothing.
        """
        record = self.quotas_by_centre.get(centre)
        if record is None or epoch != record.offer.epoch:
            return False
        offered = record.offer.quota_by_team
        changed_teams = {
            team
            for team, held in record.max_held_by_team.items()
            if offered.get(team, ZERO_TOTALS) != held
        }
        record.max_held_by_team = dict(offered)
        self._update_offers(changed_teams)
        return bool(changed_teams)

    def centres_above_offer(self) -> dict[TeamName, list[DataCentre]]:
        """Return data centres that hold more than their offer, by team.

        They have not yet confirmed a smaller offer.
        """
        centres_by_team: dict[TeamName, list[DataCentre]] = {}
        for centre, record in self.quotas_by_centre.items():
            offered = record.offer.quota_by_team
            for team, held in record.max_held_by_team.items():
                if not held.fits_in(offered.get(team, ZERO_TOTALS)):
                    centres_by_team.setdefault(team, []).append(centre)
        return centres_by_team

    def teams_above_limit(self) -> list[TeamName]:
        """Return the teams that may still run more than their limit."""
        return [
            team
            for team in self.centres_above_offer()
            if not self._total_held(team).fits_in(
                self.limit_by_team.get(team, ZERO_TOTALS)
            )
        ]

    def _set_targets(
        self, team: TeamName, target_by_centre: dict[DataCentre, ResourceTotals]
    ) -> None:
        limit = self.limit_by_team.get(team, ZERO_TOTALS)
        total = sum(target_by_centre.values(), ZERO_TOTALS)
        if not total.fits_in(limit):
            raise InvariantError(
                4, f'targets {total} of team {team!r} exceed limit {limit}'
            )
        for centre, record in self.quotas_by_centre.items():
            _set_or_remove(
                record.target_by_team, team, target_by_centre.get(centre)
            )

    def _update_offers(self, teams: set[TeamName]) -> None:
        # The targets add up to at most the limit, so an offer can only grow by
        # what no data centre holds any more.
        for centre in sorted(self.quotas_by_centre):
            record = self.quotas_by_centre[centre]
            offered = dict(record.offer.quota_by_team)
            for team in sorted(teams):
                _set_or_remove(
                    offered, team, self._grow_and_offer(record, team)
                )
            if offered != record.offer.quota_by_team:
                record.offer = QuotaOffer(record.offer.epoch + 1, offered)

    def _grow_and_offer(
        self, record: CentreQuotas, team: TeamName
    ) -> ResourceTotals:
        limit = self.limit_by_team.get(team, ZERO_TOTALS)
        target = record.target_by_team.get(team, ZERO_TOTALS)
        held = record.max_held_by_team.get(team, ZERO_TOTALS)
        free = limit - self._total_held(team)
        growth = target.elementwise_max(held) - held
        granted = growth.elementwise_min(free).elementwise_max(ZERO_TOTALS)
        _set_or_remove(record.max_held_by_team, team, held + granted)
        self._assert_growth_within_limit(team, granted, limit)
        return target.elementwise_min(held) + granted

    def _total_held(self, team: TeamName) -> ResourceTotals:
        return sum(
            (
                record.max_held_by_team.get(team, ZERO_TOTALS)
                for record in self.quotas_by_centre.values()
            ),
            ZERO_TOTALS,
        )

    def _assert_growth_within_limit(
        self, team: TeamName, granted: ResourceTotals, limit: ResourceTotals
    ) -> None:
        held = _dimensions(self._total_held(team))
        dimensions = zip(
            _dimensions(granted), held, _dimensions(limit), strict=True
        )
        if any(
            growth and total > maximum for growth, total, maximum in dimensions
        ):
            raise InvariantError(
                4, f'{held} held by team {team!r} exceeds limit {limit}'
            )


def _set_or_remove(
    totals_by_team: dict[TeamName, ResourceTotals],
    team: TeamName,
    totals: ResourceTotals | None,
) -> None:
    if totals is None or totals == ZERO_TOTALS:
        totals_by_team.pop(team, None)
    else:
        totals_by_team[team] = totals


def _dimensions(totals: ResourceTotals) -> tuple[int, ...]:
    resources = totals.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        totals.tasks,
    )


def _split_evenly(
    limit: ResourceTotals, centres: list[DataCentre]
) -> dict[DataCentre, ResourceTotals]:
    count = len(centres)
    amounts = _dimensions(limit)
    split = {}
    for position, centre in enumerate(centres):
        cores, memory, accelerators, tasks = (
            _even_part(amount, count, position) for amount in amounts
        )
        split[centre] = ResourceTotals(
            Resources(cores, memory, accelerators), tasks
        )
    return split


def _even_part(amount: int, count: int, position: int) -> int:
    # The remainder is split over the first parts, one each.
    even_part, remainder = divmod(amount, count)
    return even_part + int(position < remainder)
