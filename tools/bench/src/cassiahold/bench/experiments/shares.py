"""How close teams come to their shares when the cell is full."""

import msgspec

from cassiahold.bench.experiments.rows import Row, at_most
from cassiahold.bench.experiments.simulated_cell import SimulatedCell, Work
from cassiahold.core.ids import TeamName
from cassiahold.core.resources import Resources
from cassiahold.policy.shares import Claim, entitlements


class SharesSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets."""

    workers: int
    teams: int
    run_s: float
    early_s: float
    late_s: float
    overdeclares: float
    floods: float
    target_early: float
    target_late: float
    seed: int


def run(settings: SharesSettings) -> list[Row]:
    """One team declares ten times too much, one floods the queue."""
    size = Resources(16_000, 32_000, 0)
    weights = {
        TeamName(f't{number}'): float(1 + number % 3)
        for number in range(settings.teams)
    }
    cell = SimulatedCell(settings.workers, size, weights, 1.0, settings.seed)
    feeder = _Feeder(cell, settings)
    cell.run(settings.early_s, feeder.arrive)
    early = _error(cell, weights)
    samples = []
    while cell.now < settings.late_s:
        cell.run(cell.now + 5.0, feeder.arrive)
        if cell.now > settings.late_s - 60:
            samples.append(_error(cell, weights))
    return [
        at_most(
            f'share error after {settings.early_s:.0f} s',
            early * 100,
            settings.target_early * 100,
            '%',
        ),
        at_most(
            f'share error after {settings.late_s:.0f} s',
            sum(samples) / len(samples) * 100,
            settings.target_late * 100,
            '%',
        ),
    ]


class _Feeder:
    """Keeps every team waiting."""

    def __init__(self, cell: SimulatedCell, settings: SharesSettings) -> None:
        self._cell = cell
        self._settings = settings

    def arrive(self, then: float, now: float) -> None:
        """Submit where little waits; the flooding team never stops."""
        cell = self._cell
        for number, team in enumerate(cell.used_by_team):
            book = cell.planner.waiting_jobs.jobs_by_team.get(team)
            waiting = book.task_count if book else 0
            floor = 200
            if number == 1:
                floor = int(200 * self._settings.floods)
            if waiting < floor:
                self._submit(team, number)

    def _submit(self, team: TeamName, number: int) -> None:
        used = Resources(1000, 2000, 0)
        declared = used
        if number == 0:
            factor = self._settings.overdeclares
            declared = Resources(int(1000 * factor), int(2000 * factor), 0)
        self._cell.submit(
            Work(team, declared, used, self._settings.run_s, 'work'), 50
        )


def _error(cell: SimulatedCell, weights: dict[TeamName, float]) -> float:
    """Return the largest distance from an entitlement, as a part of it."""
    entitled = entitlements(
        {team: Claim(weight, 1.0) for team, weight in weights.items()}
    )
    shares = cell.share_by_team()
    held = sum(shares.values())
    return max(
        abs(shares[team] / held - entitled[team]) / entitled[team]
        for team in weights
    )
