"""Trials of tasks that may crash their workers.

A suspect task is on trial from its start until it has run for
``RECENT_START_S``.  Shortly before and meanwhile nothing else starts on
its worker, so that a crash tells whether the task is the cause.  Under load few
workers have a trial at the same time, or suspect tasks would crash workers as
fast as they return.
"""

import typing

from cassiahold.workflows.crashes import RECENT_START_S
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import WorkerRecord

# Of the usable workers of a service; at least one may have a trial.
MAX_TRIAL_SHARE: typing.Final = 0.1
# While less of the capacity is allocated, crashes cost little and no task that
# could run should wait.
LIGHT_LOAD_SHARE: typing.Final = 0.5


def trial_limit(workers: typing.Collection[WorkerRecord]) -> int:
    """Return how many of a service's usable workers may have a trial."""
    capacity_m = sum(worker.info.capacity.cores_m for worker in workers)
    allocated_m = sum(worker.allocated.cores_m for worker in workers)
    if allocated_m < capacity_m * LIGHT_LOAD_SHARE:
        return len(workers)
    return max(int(len(workers) * MAX_TRIAL_SHARE), 1)


def has_trial(worker: WorkerRecord, health: HealthTracker, now: float) -> bool:
    """Tell whether a suspect task on trial may be running on a worker."""
    return any(
        not health.has_run_for(attempt, RECENT_START_S, now)
        for attempt in worker.suspect_attempts
    )


def is_settled(worker: WorkerRecord, health: HealthTracker, now: float) -> bool:
    """Tell whether no task on a worker has started recently."""
    return all(
        health.has_run_for(attempt, RECENT_START_S, now)
        for attempt in worker.resources_by_attempt
    )
