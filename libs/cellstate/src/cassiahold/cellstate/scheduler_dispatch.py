"""Dispatch of log commands to the methods of the scheduler's state."""

import functools
import typing

from cassiahold.cellstate import scheduling_commands as commands
from cassiahold.cellstate.outcomes import CancelOutcome, SubmitOutcome

if typing.TYPE_CHECKING:
    from cassiahold.cellstate.scheduling import ScheduleState


@functools.singledispatch
def apply_command(command: object, state: 'ScheduleState') -> typing.Any:
    """Apply a command to the state and return its outcome.

    Raises ``TypeError`` for a class without a registered method.
    """
    raise TypeError(f'unknown command {command!r}')


@apply_command.register(commands.SubmitJob)
def _(command: commands.SubmitJob, state: 'ScheduleState') -> SubmitOutcome:
    return state.submit(command)


@apply_command.register(commands.StartTasks)
def _(command: commands.StartTasks, state: 'ScheduleState') -> int:
    return state.start(command)


@apply_command.register(commands.EndTasks)
def _(command: commands.EndTasks, state: 'ScheduleState') -> None:
    state.end(command)


@apply_command.register(commands.CancelJobs)
def _(
    command: commands.CancelJobs, state: 'ScheduleState'
) -> list[CancelOutcome]:
    return state.cancel(command)


@apply_command.register(commands.ExpireTasks)
def _(command: commands.ExpireTasks, state: 'ScheduleState') -> None:
    state.expire(command)


@apply_command.register(commands.PutWorker)
def _(command: commands.PutWorker, state: 'ScheduleState') -> None:
    state.register_worker(command)


@apply_command.register(commands.LoseWorkers)
def _(command: commands.LoseWorkers, state: 'ScheduleState') -> None:
    state.mark_workers_lost(command)


@apply_command.register(commands.DrainWorker)
def _(command: commands.DrainWorker, state: 'ScheduleState') -> bool:
    return state.drain_worker(command)


@apply_command.register(commands.PutGateway)
def _(command: commands.PutGateway, state: 'ScheduleState') -> None:
    state.register_gateway(command)


@apply_command.register(commands.AdoptConfiguration)
def _(command: commands.AdoptConfiguration, state: 'ScheduleState') -> None:
    state.adopt_configuration(command)


@apply_command.register(commands.AdoptOffer)
def _(command: commands.AdoptOffer, state: 'ScheduleState') -> None:
    state.adopt_quota_offer(command)


@apply_command.register(commands.PruneJobs)
def _(command: commands.PruneJobs, state: 'ScheduleState') -> int:
    return state.prune(command)
