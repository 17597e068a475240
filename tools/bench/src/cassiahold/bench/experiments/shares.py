"""Deviation of teams from their entitled shares in a full cell."""

import msgspec

from cassiahold.bench.experiments.results import BenchmarkResult, expect_at_most
from cassiahold.bench.experiments.simulated_cell import (
    JobProfile,
    SimulatedCell,
)
from cassiahold.core.ids import TeamName
from cassiahold.core.resources import Resources
from cassiahold.policy.shares import Claim, entitlements


class SharesSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets.

    Attributes:
        run_s: Duration of a task.
        early_s: Time of the first measurement.
        late_s: Time of the last measurement.
        overdeclares: Factor by which the first team overstates its resources.
        floods: Factor by which the second team queues more than the others.
        target_early: Largest relative share error at ``early_s``.
        target_late: Largest mean share error in the minute before ``late_s``.
    """

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


def run(settings: SharesSettings) -> list[BenchmarkResult]:
    """Measure share errors with an overdeclaring and a flooding team."""
    worker_capacity = Resources(16_000, 32_000, 0)
    weight_by_team = {
        TeamName(f't{number}'): float(1 + number % 3)
        for number in range(settings.teams)
    }
    cell = SimulatedCell(
        settings.workers, worker_capacity, weight_by_team, 1.0, settings.seed
    )
    load_generator = _LoadGenerator(cell, settings)
    cell.simulate_until(settings.early_s, load_generator.submit_missing_jobs)
    early_error = _max_share_error(cell, weight_by_team)
    late_errors = []
    while cell.now < settings.late_s:
        cell.simulate_until(cell.now + 5.0, load_generator.submit_missing_jobs)
        if cell.now > settings.late_s - 60:
            late_errors.append(_max_share_error(cell, weight_by_team))
    return [
        expect_at_most(
            f'share error after {settings.early_s:.0f} s',
            early_error * 100,
            settings.target_early * 100,
            '%',
        ),
        expect_at_most(
            f'share error after {settings.late_s:.0f} s',
            sum(late_errors) / len(late_errors) * 100,
            settings.target_late * 100,
            '%',
        ),
    ]


class _LoadGenerator:
    """Keeps jobs of every team in the queue."""

    def __init__(self, cell: SimulatedCell, settings: SharesSettings) -> None:
        self._cell = cell
        self._settings = settings

    def submit_missing_jobs(self, span_start: float, span_end: float) -> None:
        """Submit a job for each team with fewer than 200 waiting tasks.

        The limit of the flooding team is ``floods`` times as high.
        """
        cell = self._cell
        for number, team in enumerate(cell.used_by_team):
            waiting_jobs = cell.planner.waiting_jobs.jobs_by_team.get(team)
            waiting_task_count = waiting_jobs.task_count if waiting_jobs else 0
            min_waiting_tasks = 200
            if number == 1:
                min_waiting_tasks = int(200 * self._settings.floods)
            if waiting_task_count < min_waiting_tasks:
                self._submit_job(team, number)

    def _submit_job(self, team: TeamName, number: int) -> None:
        used_resources = Resources(1000, 2000, 0)
        declared_resources = used_resources
        if number == 0:
            factor = self._settings.overdeclares
            declared_resources = Resources(
                int(1000 * factor), int(2000 * factor), 0
            )
        self._cell.submit_job(
            JobProfile(
                team,
                declared_resources,
                used_resources,
                self._settings.run_s,
                'work',
            ),
            50,
        )


def _max_share_error(
    cell: SimulatedCell, weight_by_team: dict[TeamName, float]
) -> float:
    """Return the largest deviation from an entitlement, relative to it."""
    entitled_shares = entitlements(
        {team: Claim(weight, 1.0) for team, weight in weight_by_team.items()}
    )
    shares = cell.dominant_share_by_team()
    total_share = sum(shares.values())
    return max(
        abs(shares[team] / total_share - entitled_shares[team])
        / entitled_shares[team]
        for team in weight_by_team
    )
