"""Where a team's limit should lie, given what each data centre wants."""

import operator
import typing

import msgspec

from cassiahold.core.ids import DataCentre

_Amounts = tuple[int, ...]


class CentreDemand(msgspec.Struct, frozen=True):
    """What a team runs and would run more, by dimension.

    ``unit`` is the least that its oldest waiting job needs at once, and
    ``age_s`` how long that job has waited.
    """

    usage: _Amounts
    waiting: _Amounts
    oldest_job_demand: _Amounts = ()
    oldest_wait_s: float = 0.0

    @property
    def need(self) -> _Amounts:
        """Return what would let everything run."""
        return _add(self.usage, self.waiting)

    @property
    def first_unit(self) -> _Amounts:
        """Return what the oldest waiting job needs, at most all that waits."""
        if not self.oldest_job_demand:
            return tuple(0 for _ in self.usage)
        return tuple(map(min, self.oldest_job_demand, self.waiting))


def split_limit(
    limit: _Amounts, demand_by_centre: dict[DataCentre, CentreDemand]
) -> dict[DataCentre, _Amounts]:
    """Split a limit over the data centres.

    Each keeps what it runs, so that nothing is stopped only to move the
    limit.  Then the oldest waiting jobs get what they need whole, since
    gangs that each hold half of it would never start.  The rest goes to
    what else waits; what nobody waits for is split evenly, so that a data
    centre that is cut off can still start something.
    """
    centres = sorted(demand_by_centre)
    units = _oldest_first(limit, demand_by_centre)
    columns = [
        _split_column(
            most,
            [demand_by_centre[centre].usage[column] for centre in centres],
            [demand_by_centre[centre].waiting[column] for centre in centres],
            [units[centre][column] for centre in centres],
        )
        for column, most in enumerate(limit)
    ]
    return {
        centre: tuple(column[row] for column in columns)
        for row, centre in enumerate(centres)
    }


def unblocks_oldest_job(
    targets: dict[DataCentre, _Amounts],
    current: dict[DataCentre, _Amounts],
    want_by_centre: dict[DataCentre, CentreDemand],
) -> bool:
    """Tell whether new targets let an oldest job start that could not."""
    for centre, want in want_by_centre.items():
        if not any(want.first_unit):
            continue
        needed = _add(want.usage, want.first_unit)
        if _fits(needed, targets[centre]) and not _fits(
            needed, current[centre]
        ):
            return True
    return False


def _oldest_first(
    limit: _Amounts, want_by_centre: dict[DataCentre, CentreDemand]
) -> dict[DataCentre, _Amounts]:
    rest = limit
    for want in want_by_centre.values():
        rest = _subtract(rest, want.usage)
    units = {}
    by_age = sorted(
        want_by_centre,
        key=lambda centre: (-want_by_centre[centre].oldest_wait_s, centre),
    )
    for centre in by_age:
        unit = want_by_centre[centre].first_unit
        units[centre] = tuple(0 for _ in unit)
        if _fits(unit, rest):
            units[centre] = unit
            rest = _subtract(rest, unit)
    return units


def _split_column(
    most: int,
    used: typing.Sequence[int],
    waiting: typing.Sequence[int],
    units: typing.Sequence[int],
) -> list[int]:
    if sum(used) >= most:
        # The limit was lowered below what runs.
        return _proportional(most, used)
    given = list(map(operator.add, used, units))
    left = list(map(operator.sub, waiting, units))
    rest = most - sum(given)
    parts = _proportional(min(rest, sum(left)), left)
    even, odd = divmod(rest - sum(parts), len(used))
    return [
        running + part + even + int(row < odd)
        for row, (running, part) in enumerate(zip(given, parts, strict=True))
    ]


def _proportional(most: int, weights: typing.Sequence[int]) -> list[int]:
    total = sum(weights)
    if not total:
        return [0 for _ in weights]
    parts = [weight * most // total for weight in weights]
    # Rounding leaves less than one for each; the largest can carry it.
    parts[parts.index(max(parts))] += most - sum(parts)
    return parts


def _add(first: _Amounts, second: _Amounts) -> _Amounts:
    return tuple(map(operator.add, first, second))


def _subtract(first: _Amounts, second: _Amounts) -> _Amounts:
    return tuple(map(operator.sub, first, second))


def _fits(needed: _Amounts, have: _Amounts) -> bool:
    return all(map(operator.le, needed, have))


def is_short_of_quota(held: _Amounts, want: CentreDemand) -> bool:
    """Tell whether a data centre is kept from starting by its allotment."""
    if not any(want.waiting):
        return False
    return any(
        need > have and more > 0
        for need, have, more in zip(want.need, held, want.waiting, strict=True)
    )
