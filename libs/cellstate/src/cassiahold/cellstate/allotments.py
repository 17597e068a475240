"""Upper limits of teams, split over data centres.

A data centre runs no more than its allotment.  ``held`` is the most that a
data centre may still believe it has; it falls only after the data centre
has confirmed the smaller offer, and only what has fallen may be offered to
another one.
"""

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import NOTHING, Resources


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """An upper limit in resources and tasks."""

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

    def fits_in(self, room: 'Allowance') -> bool:
        """Tell whether every dimension is within ``room``."""
        return self.tasks <= room.tasks and self.resources.fits_in(
            room.resources
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
    """What a data centre is told it may run, newest epoch wins."""

    epoch: int
    allowance_by_team: dict[TeamName, Allowance]


class CentreAllotment(msgspec.Struct, array_like=True):
    """The coordinator's record of one data centre."""

    offer: Offer
    held_by_team: dict[TeamName, Allowance]
    target_by_team: dict[TeamName, Allowance]


class AllotmentBook(msgspec.Struct, array_like=True):
    """Limits, targets, offers and what may be held, by data centre."""

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
        """Take new limits and split each changed one evenly."""
        for centre in centres:
            self.by_centre.setdefault(
                centre, CentreAllotment(Offer(0, {}), {}, {})
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
                team, _split_evenly(limit, sorted(self.by_centre))
            )
        for team in sorted(gone):
            self._set_targets(team, {})
        self._update_offers({*changed, *gone})

    def move(
        self, team: TeamName, target_by_centre: dict[DataCentre, Allowance]
    ) -> None:
        """Change where a team's limit should lie; offer what is free."""
        self._set_targets(team, target_by_centre)
        self._update_offers({team})

    def confirm(self, centre: DataCentre, epoch: int) -> bool:
        """Record that a data centre runs within its offer of ``epoch``.

        Returns whether anything changed.
        """
        record = self.by_centre.get(centre)
        if record is None or epoch != record.offer.epoch:
            return False
        offered = record.offer.allowance_by_team
        shrunk = {
            team
            for team, held in record.held_by_team.items()
            if offered.get(team, NO_ALLOWANCE) != held
        }
        record.held_by_team = dict(offered)
        self._update_offers(shrunk)
        return bool(shrunk)

    def overheld(self) -> dict[TeamName, list[DataCentre]]:
        """Return the teams whose lowered limit awaits a confirmation."""
        waiting: dict[TeamName, list[DataCentre]] = {}
        for centre, record in self.by_centre.items():
            offered = record.offer.allowance_by_team
            for team, held in record.held_by_team.items():
                if not held.fits_in(offered.get(team, NO_ALLOWANCE)):
                    waiting.setdefault(team, []).append(centre)
        return waiting

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
        # Targets add up to the limit at most, so growth here can only take
        # what no data centre holds any more.
        for centre in sorted(self.by_centre):
            record = self.by_centre[centre]
            fresh = dict(record.offer.allowance_by_team)
            for team in sorted(teams):
                _set_or_remove(fresh, team, self._grow_and_offer(record, team))
            if fresh != record.offer.allowance_by_team:
                record.offer = Offer(record.offer.epoch + 1, fresh)

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
        rows = zip(_dimensions(granted), held, _dimensions(limit), strict=True)
        if any(grown and total > most for grown, total, most in rows):
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
    # The remainder goes one each to the first parts.
    whole, odd = divmod(amount, count)
    return whole + int(position < odd)
