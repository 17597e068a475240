"""Shared fixtures: tasks that have crashed workers, and a planning pass."""

from state_fixtures import StateFixture, attempt_key

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import Resources
from cassiahold.workflows import commands
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.crashes import RECENT_START_S, CrashEvidence
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import AttemptKey, AttemptOutcome
from cassiahold.workflows.planning import Planner
from cassiahold.workflows.plans import PlanningContext

NOW_S = 10.0
HALF = Resources(cores_m=2000, memory_mb=2000)
SMALL = Resources(cores_m=100, memory_mb=10)


def crash(
    cell: StateFixture,
    job: str,
    *tasks: int,
    evidence: CrashEvidence = CrashEvidence.ONLY_RECENT,
    number: int = 1,
) -> None:
    """Let a worker crash just after the same attempt of some tasks."""
    attempts = [attempt_key(job, 0, task, number) for task in tasks]
    for attempt in attempts:
        assert cell.start((attempt, 'crashed'))
    cell.apply(
        commands.EndAttempts(
            [
                commands.AttemptResult(
                    attempt,
                    WorkerId('crashed'),
                    AttemptOutcome.LOST,
                    crash=evidence,
                )
                for attempt in attempts
            ],
            1.0,
        )
    )


def show_running(
    health: HealthTracker, attempt: AttemptKey, worker: str
) -> None:
    """Record a start as long before ``NOW_S`` as a trial takes."""
    health.record_start(WorkerId(worker), attempt, NOW_S - RECENT_START_S)


def plan_starts(
    cell: StateFixture, health: HealthTracker | None = None, silent: str = ''
) -> list[commands.AttemptStart]:
    usable = frozenset(cell.state.worker_by_id) - {WorkerId('crashed')}
    silent_workers = frozenset(WorkerId(name) for name in silent)
    planner = Planner(
        cell.state, AdvisorReplyCache(), health or HealthTracker()
    )
    groups = planner.plan(
        PlanningContext(usable, NOW_S, NOW_S, silent_workers)
    ).start_groups
    return [start for group in groups for start in group]


def crash_often(cell: StateFixture, job: str, crashes: int = 2) -> AttemptKey:
    """Let a task crash its workers; return its next attempt."""
    for number in range(1, crashes + 1):
        attempt = attempt_key(job, 0, 0, number)
        assert cell.start((attempt, 'crashed'))
        result = commands.AttemptResult(
            attempt,
            WorkerId('crashed'),
            AttemptOutcome.LOST,
            crash=CrashEvidence.ONLY_RECENT,
        )
        cell.apply(commands.EndAttempts([result], 1.0))
    return attempt_key(job, 0, 0, crashes + 1)
