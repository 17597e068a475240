"""The share of the capacity that each team is entitled to under contention.

Implements weighted max-min fairness on dominant shares, see A. Ghodsi et al.,
"Dominant Resource Fairness", NSDI 2011.
"""

import msgspec

from cassiahold.core.ids import TeamName


class Claim(msgspec.Struct, frozen=True):
    """A team's weight and its demand as a dominant share (0 to 1)."""

    weight: float
    demand: float


def entitlements(
    claim_by_team: dict[TeamName, Claim], capacity: float = 1.0
) -> dict[TeamName, float]:
    """Return the weighted max-min fair split of ``capacity``.

    A team gets at most its demand; the rest of its fair part is split among
    the others by weight.
    """
    entitled: dict[TeamName, float] = {}
    lowest_demand_first = sorted(
        claim_by_team,
        key=lambda team: (
            claim_by_team[team].demand / claim_by_team[team].weight
        ),
    )
    capacity_left = capacity
    weight_left = sum(claim.weight for claim in claim_by_team.values())
    for team in lowest_demand_first:
        claim = claim_by_team[team]
        fair = (
            capacity_left * claim.weight / weight_left
            if weight_left > 0
            else 0.0
        )
        entitled[team] = min(claim.demand, fair)
        capacity_left -= entitled[team]
        weight_left -= claim.weight
    return entitled
