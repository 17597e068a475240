"""Splits a team's limit into quotas of the data centres by their demand.

Amounts are tuples with one number for each dimension (cores, memory,
accelerators, tasks); all tuples of one call have the same dimensions.
"""

import operator
import typing

import msgspec

from cassiahold.core.ids import DataCentre

_Amounts = tuple[int, ...]


class CentreDemand(msgspec.Struct, frozen=True):
    """A team's usage in one data centre and what more it would run there.

    ``oldest_job_demand`` is the least that its oldest waiting job needs at
    once, and ``oldest_wait_s`` how long that job has waited.
    """

    usage: _Amounts
    waiting: _Amounts
    oldest_job_demand: _Amounts = ()
    oldest_wait_s: float = 0.0

    @property
    def total_demand(self) -> _Amounts:
        """Return what the team would use if all its jobs ran."""
        return _add(self.usage, self.waiting)

    @property
    def capped_oldest_job_demand(self) -> _Amounts:
        """Return the oldest job's request, at most all that waits."""
        if not self.oldest_job_demand:
            return tuple(0 for _ in self.usage)
        return tuple(map(min, self.oldest_job_demand, self.waiting))


def split_limit(
    limit: _Amounts, demand_by_centre: dict[DataCentre, CentreDemand]
) -> dict[DataCentre, _Amounts]:
    """Split a limit over the data centres; the parts add up to the limit.

    Each data centre keeps what it runs, so that no task is stopped only to
    move quota.  Then the oldest waiting jobs get their whole request or
    nothing, since two gangs with half of their request each would never
    start.  The rest is split by the remaining demand.  What exceeds all demand
    is split evenly, so that a data centre that is cut off can still start
    tasks.
    """
    centres = sorted(demand_by_centre)
    granted = _grant_oldest_first(limit, demand_by_centre)
    parts_by_dimension = [
        _split_dimension(
            limit_amount,
            [demand_by_centre[centre].usage[dimension] for centre in centres],
            [demand_by_centre[centre].waiting[dimension] for centre in centres],
            [granted[centre][dimension] for centre in centres],
        )
        for dimension, limit_amount in enumerate(limit)
    ]
    return {
        centre: tuple(parts[position] for parts in parts_by_dimension)
        for position, centre in enumerate(centres)
    }


def unblocks_oldest_job(
    targets: dict[DataCentre, _Amounts],
    current: dict[DataCentre, _Amounts],
    demand_by_centre: dict[DataCentre, CentreDemand],
) -> bool:
    """Tell whether new targets let some data centre's oldest job start.

    Jobs that already fit in the current targets do not count.
    """
    for centre, demand in demand_by_centre.items():
        if not any(demand.capped_oldest_job_demand):
            continue
        needed = _add(demand.usage, demand.capped_oldest_job_demand)
        if _fits(needed, targets[centre]) and not _fits(
            needed, current[centre]
        ):
            return True
    return False


def _grant_oldest_first(
    limit: _Amounts, demand_by_centre: dict[DataCentre, CentreDemand]
) -> dict[DataCentre, _Amounts]:
    unallocated = limit
    for demand in demand_by_centre.values():
        unallocated = _subtract(unallocated, demand.usage)
    granted = {}
    oldest_first = sorted(
        demand_by_centre,
        key=lambda centre: (-demand_by_centre[centre].oldest_wait_s, centre),
    )
    for centre in oldest_first:
        needed = demand_by_centre[centre].capped_oldest_job_demand
        granted[centre] = tuple(0 for _ in needed)
        if _fits(needed, unallocated):
            granted[centre] = needed
            unallocated = _subtract(unallocated, needed)
    return granted


def _split_dimension(
    limit: int,
    used: typing.Sequence[int],
    waiting: typing.Sequence[int],
    granted: typing.Sequence[int],
) -> list[int]:
    if sum(used) >= limit:
        # The limit was lowered to the usage or below.
        return _split_by_weight(limit, used)
    assigned = list(map(operator.add, used, granted))
    unmet = list(map(operator.sub, waiting, granted))
    unassigned = limit - sum(assigned)
    parts = _split_by_weight(min(unassigned, sum(unmet)), unmet)
    even_part, remainder = divmod(unassigned - sum(parts), len(used))
    return [
        base + part + even_part + int(position < remainder)
        for position, (base, part) in enumerate(
            zip(assigned, parts, strict=True)
        )
    ]


def _split_by_weight(amount: int, weights: typing.Sequence[int]) -> list[int]:
    total = sum(weights)
    if not total:
        return [0 for _ in weights]
    parts = [weight * amount // total for weight in weights]
    # Rounding down loses less than one per part; the largest part gets it.
    parts[parts.index(max(parts))] += amount - sum(parts)
    return parts


def _add(first: _Amounts, second: _Amounts) -> _Amounts:
    return tuple(map(operator.add, first, second))


def _subtract(first: _Amounts, second: _Amounts) -> _Amounts:
    return tuple(map(operator.sub, first, second))


def _fits(needed: _Amounts, available: _Amounts) -> bool:
    return all(map(operator.le, needed, available))


def is_short_of_quota(quota: _Amounts, demand: CentreDemand) -> bool:
    """Tell whether a data centre's quota keeps waiting tasks from starting."""
    if not any(demand.waiting):
        return False
    return any(
        needed > available and waiting > 0
        for needed, available, waiting in zip(
            demand.total_demand, quota, demand.waiting, strict=True
        )
    )
