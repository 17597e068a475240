"""Checks of planned starts against the state at the time they are applied.

Other commands may have been applied since the starts were planned.
"""

import collections
import typing

from cassiahold.core.ids import WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources, is_within_limit
from cassiahold.workflows.commands import AttemptStart
from cassiahold.workflows.steps import can_start

if typing.TYPE_CHECKING:
    from cassiahold.workflows.state import WorkflowState


def can_start_group(group: list[AttemptStart], state: 'WorkflowState') -> bool:
    """Tell whether every attempt of a group may still start."""
    if not _is_within_team_limit(group, state):
        return False
    if not _satisfies_spread(group, state):
        return False
    required_by_worker: dict[WorkerId, Resources] = {}
    for start in group:
        worker = state.worker_by_id.get(start.worker)
        record = state.job_by_id.get(start.attempt.task.step.job)
        if worker is None or worker.info.incarnation != start.incarnation:
            return False
        if record is None or not can_start(record, start):
            return False
        required = required_by_worker.get(start.worker, NO_RESOURCES)
        required += state.step_spec(start.attempt.task.step).resources
        required_by_worker[start.worker] = required
        if not required.fits_in(worker.free_resources):
            return False
    return True


def _is_within_team_limit(
    group: list[AttemptStart], state: 'WorkflowState'
) -> bool:
    record = state.job_by_id.get(group[0].attempt.task.step.job)
    if record is None:
        return False
    team = state.configuration_index.team_by_name.get(record.team)
    if team is None:
        return True
    resources = state.step_spec(group[0].attempt.task.step).resources
    usage = state.usage_of(team.name) + resources * len(group)
    return is_within_limit(usage, team.limit)


def _satisfies_spread(
    group: list[AttemptStart], state: 'WorkflowState'
) -> bool:
    step = group[0].attempt.task.step
    max_tasks = state.step_spec(step).max_tasks_per_worker
    if not max_tasks:
        return True
    count_by_worker = collections.Counter(start.worker for start in group)
    for worker_id in count_by_worker:
        worker = state.worker_by_id.get(worker_id)
        if worker is not None:
            count_by_worker[worker_id] += worker.count_tasks(step)
    return max(count_by_worker.values()) <= max_tasks
