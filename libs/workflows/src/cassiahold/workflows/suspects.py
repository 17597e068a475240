"""Trials of tasks that may crash their workers.

A suspect task is on trial from its start until it has run for
``RECENT_START_S``.  Shortly before and meanwhile nothing else starts on
its worker, so that a crash tells whether the task is the cause.  Tasks that are
suspected for one crash only, mostly sound ones beside which another task
crashed the worker, have their trial together.  Under load few workers have a
trial at the same time, or suspect tasks would crash workers as fast as they
return.

A step in which tasks have crashed workers is doubted until one of its tasks has
run for ``RECENT_START_S`` or has ended well: few of its tasks start at a time,
each as a suspect, or each of them would crash a worker.

A task whose next crash may be its last one is isolated: nothing else starts on
its worker until it ends, so that no other task can crash the worker under it.
"""

import collections
import typing

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.crashes import RECENT_START_S
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.model import TaskRecord, WorkerRecord

# Of the usable workers of a service; at least one may have a trial.
MAX_TRIAL_SHARE: typing.Final = 0.1
# Tasks that are suspected for one crash only and have their trial together.
MAX_GROUP_TASKS: typing.Final = 4
# Of the usable workers of a service under light load: kept free for trials.
MAX_KEPT_SHARE: typing.Final = 0.3
# While less of the capacity is allocated, crashes cost little and no task that
# could run should wait.
LIGHT_LOAD_SHARE: typing.Final = 0.5
# Of a service; for each of them a pass ranks the workers once more.
MAX_KEPT_WORKERS: typing.Final = 8
# Of a step whose tasks may all crash their workers.
MAX_DOUBTED_TRIALS: typing.Final = 2
# Of the workers of a service, those that are down for a moment included; the
# others take the tasks that wait.
MAX_ISOLATED_SHARE: typing.Final = 0.5


def loaded_trial_limit(worker_count: int) -> int:
    """Return on how many workers suspect tasks may be tried under load."""
    return max(int(worker_count * MAX_TRIAL_SHARE), 1)


def kept_worker_limit(worker_count: int) -> int:
    """Return how many workers other work leaves to trials under light load."""
    kept_count = int(worker_count * MAX_KEPT_SHARE)
    return min(max(kept_count, 1), MAX_KEPT_WORKERS)


def has_light_load(workers: typing.Iterable[WorkerRecord]) -> bool:
    """Tell whether much of the capacity of some workers is free."""
    capacity_m = 0
    allocated_m = 0
    for worker in workers:
        capacity_m += worker.info.capacity.cores_m
        allocated_m += worker.allocated.cores_m
    return allocated_m < capacity_m * LIGHT_LOAD_SHARE


def has_trial(worker: WorkerRecord, health: HealthTracker, now: float) -> bool:
    """Tell whether a suspect task on trial may be running on a worker."""
    return any(
        not health.has_run_for(attempt, RECENT_START_S, now)
        for attempt in worker.suspect_attempts
    )


def settling_time_s(
    worker: WorkerRecord, health: HealthTracker, now: float
) -> float:
    """Return after which time no task on a worker has started recently."""
    return max(
        (
            health.remaining_run_s(attempt, RECENT_START_S, now)
            for attempt in worker.resources_by_attempt
        ),
        default=0.0,
    )


def select_doubted_tasks(
    tasks: typing.Iterable[int],
    records: typing.Sequence[TaskRecord],
    active_count: int,
) -> list[int]:
    """Return which tasks of a doubted step may start.

    The most suspect task comes first, since it decides about the job, and then
    the least suspect one, which may show that others are sound.
    """
    ranked = sorted(
        tasks, key=lambda index: (-records[index].suspect_score, index)
    )
    selected = [*ranked[:1], *reversed(ranked[1:])]
    return selected[: max(MAX_DOUBTED_TRIALS - active_count, 0)]


def isolated_workers(
    workers: typing.Iterable[WorkerRecord],
    usable_workers: typing.Container[WorkerId],
    health: HealthTracker,
    now: float,
) -> frozenset[WorkerId]:
    """Return the workers on which nothing may start beside an isolated task.

    Of the workers of each service at most ``MAX_ISOLATED_SHARE`` are.
    """
    count_by_service: collections.Counter[str] = collections.Counter()
    isolated_by_service: dict[str, list[WorkerId]] = collections.defaultdict(
        list
    )
    for worker in workers:
        count_by_service[worker.info.service] += 1
        if worker.info.id in usable_workers and _has_isolated_task(
            worker, health, now
        ):
            isolated_by_service[worker.info.service].append(worker.info.id)
    return frozenset(
        worker_id
        for service, isolated in isolated_by_service.items()
        for worker_id in isolated[
            : int(count_by_service[service] * MAX_ISOLATED_SHARE)
        ]
    )


def _has_isolated_task(
    worker: WorkerRecord, health: HealthTracker, now: float
) -> bool:
    return any(
        not health.has_run_for(attempt, isolation_s, now)
        for attempt, isolation_s in worker.isolation_s_by_attempt.items()
    )
