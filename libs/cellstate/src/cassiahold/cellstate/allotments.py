"""Quotas: the upper limit of each team, split over the data centres.

A data centre runs no more than its quota.  The coordinator changes quotas by
offers, and records the most that a data centre may still take to be its quota
(``held``).  That falls only after the data centre has confirmed a smaller
offer, and only then may the difference be offered to another data centre.
"""

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import NOTHING, Resources


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """An amount of resources and a number of tasks: limit, quota or usage."""

    resources: Resources = NOTHING
    tasks: int = 0

    def __add__(self, other: 'Allowance') -> 'Allowance':
        return Allowance(
            self.resources + other.resources, self.tasks + other.tasks
        )

    def __sub__(self, other: 'Allowance') -> 'Allowance':
        return Allowance(
            self.resources - other.resources, self.tasks - other.tasks
        )

    def fits_in(self, limit: 'Allowance') -> bool:
        """Tell whether every dimension is within ``limit``."""
        return self.tasks <= limit.tasks and self.resources.fits_in(
            limit.resources
        )

    def at_least(self, other: 'Allowance') -> 'Allowance':
        """Return the larger amount in each dimension."""
        return Allowance(
            self.resources.at_least(other.resources),
            max(self.tasks, other.tasks),
        )

    def at_most(self, other: 'Allowance') -> 'Allowance':
        """Return the smaller amount in each dimension."""
        return Allowance(
            self.resources.at_most(other.resources),
            min(self.tasks, other.tasks),
        )


NO_ALLOWANCE = Allowance()


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """The quotas offered to a data centre; the highest epoch wins."""

    epoch: int
    allowance_by_team: dict[TeamName, Allowance]


class CentreAllotment(msgspec.Struct, array_like=True):
    """The coordinator's record of one data centre.

    ``target_by_team`` is what the quotas should become, and the held amounts
    are the most that the data centre may still run.
    """

    offer: Offer
    held_by_team: dict[TeamName, Allowance]
    target_by_team: dict[TeamName, Allowance]


class AllotmentBook(msgspec.Struct, array_like=True):
    """The limit of each team and the quotas of each data centre.

    What all data centres hold of a team never grows beyond the team's limit.
    """

    limit_by_team: dict[TeamName, Allowance] = msgspec.field(
        default_factory=dict
    )
    by_centre: dict[DataCentre, CentreAllotment] = msgspec.field(
        default_factory=dict
    )

    def set_limits(
        self,
        limit_by_team: dict[TeamName, Allowance],
        centres: list[DataCentre],
    ) -> None:
        """Set the limits of all teams and split each changed one evenly."""
        for centre in centres:
            self.by_centre.setdefault(
                centre, CentreAllotment(Offer(0, {}), {}, {})
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
                team, _split_evenly(limit, sorted(self.by_centre))
            )
        for team in sorted(removed):
            self._set_targets(team, {})
        self._update_offers({*changed, *removed})

    def move(
        self, team: TeamName, target_by_centre: dict[DataCentre, Allowance]
    ) -> None:
        """Set a team's targets and offer as much of them as is free.

        Raises ``InvariantError`` when the targets exceed the team's limit.
        """
        self._set_targets(team, target_by_centre)
        self._update_offers({team})

    def confirm(self, centre: DataCentre, epoch: int) -> bool:
        """Record that a data centre runs within its offer of ``epoch``.

        What it gives up is offered to the others.  Returns whether anything
        changed; an epoch other than the newest changes nothing.
        """
        record = self.by_centre.get(centre)
        if record is None or epoch != record.offer.epoch:
            return False
        offered = record.offer.allowance_by_team
        changed_teams = {
            team
            for team, held in record.held_by_team.items()
            if offered.get(team, NO_ALLOWANCE) != held
        }
        record.held_by_team = dict(offered)
        self._update_offers(changed_teams)
        return bool(changed_teams)

    def overheld(self) -> dict[TeamName, list[DataCentre]]:
        """Return data centres that hold more than their offer, by team.

        They have not yet confirmed a smaller offer.
        """
        centres_by_team: dict[TeamName, list[DataCentre]] = {}
        for centre, record in self.by_centre.items():
            offered = record.offer.allowance_by_team
            for team, held in record.held_by_team.items():
                if not held.fits_in(offered.get(team, NO_ALLOWANCE)):
                    centres_by_team.setdefault(team, []).append(centre)
        return centres_by_team

    def above_limit(self) -> list[TeamName]:
        """Return the teams that may still run more than their limit."""
        return [
            team
            for team in self.overheld()
            if not self._total_held(team).fits_in(
                self.limit_by_team.get(team, NO_ALLOWANCE)
            )
        ]

    def _set_targets(
        self, team: TeamName, target_by_centre: dict[DataCentre, Allowance]
    ) -> None:
        limit = self.limit_by_team.get(team, NO_ALLOWANCE)
        total = sum(target_by_centre.values(), NO_ALLOWANCE)
        if not total.fits_in(limit):
            raise InvariantError(
                4, f'targets {total} of team {team!r} exceed limit {limit}'
            )
        for centre, record in self.by_centre.items():
            _set_or_remove(
                record.target_by_team, team, target_by_centre.get(centre)
            )

    def _update_offers(self, teams: set[TeamName]) -> None:
        # The targets add up to at most the limit, so an offer can only grow by
        # what no data centre holds any more.
        for centre in sorted(self.by_centre):
            record = self.by_centre[centre]
            offered = dict(record.offer.allowance_by_team)
            for team in sorted(teams):
                _set_or_remove(
                    offered, team, self._grow_and_offer(record, team)
                )
            if offered != record.offer.allowance_by_team:
                record.offer = Offer(record.offer.epoch + 1, offered)

    def _grow_and_offer(
        self, record: CentreAllotment, team: TeamName
    ) -> Allowance:
        limit = self.limit_by_team.get(team, NO_ALLOWANCE)
        target = record.target_by_team.get(team, NO_ALLOWANCE)
        held = record.held_by_team.get(team, NO_ALLOWANCE)
        free = limit - self._total_held(team)
        growth = target.at_least(held) - held
        granted = growth.at_most(free).at_least(NO_ALLOWANCE)
        _set_or_remove(record.held_by_team, team, held + granted)
        self._assert_growth_within_limit(team, granted, limit)
        return target.at_most(held) + granted

    def _total_held(self, team: TeamName) -> Allowance:
        return sum(
            (
                record.held_by_team.get(team, NO_ALLOWANCE)
                for record in self.by_centre.values()
            ),
            NO_ALLOWANCE,
        )

    def _assert_growth_within_limit(
        self, team: TeamName, granted: Allowance, limit: Allowance
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
    totals_by_team: dict[TeamName, Allowance],
    team: TeamName,
    totals: Allowance | None,
) -> None:
    if totals is None or totals == NO_ALLOWANCE:
        totals_by_team.pop(team, None)
    else:
        totals_by_team[team] = totals


def _dimensions(totals: Allowance) -> tuple[int, ...]:
    resources = totals.resources
    return (
        resources.cores_m,
        resources.memory_mb,
        resources.accelerators,
        totals.tasks,
    )


def _split_evenly(
    limit: Allowance, centres: list[DataCentre]
) -> dict[DataCentre, Allowance]:
    count = len(centres)
    amounts = _dimensions(limit)
    split = {}
    for position, centre in enumerate(centres):
        cores, memory, accelerators, tasks = (
            _part(amount, count, position) for amount in amounts
        )
        split[centre] = Allowance(Resources(cores, memory, accelerators), tasks)
    return split


def _part(amount: int, count: int, position: int) -> int:
    # The remainder is split over the first parts, one each.
    even_part, remainder = divmod(amount, count)
    return even_part + int(position < remainder)
