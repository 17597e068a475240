"""Which method of the state applies which command."""

import functools
import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.outcomes import CancelOutcome, SubmitOutcome

if typing.TYPE_CHECKING:
    from cassiahold.cellstate.scheduler_state import SchedulerState


@functools.singledispatch
def apply_command(command: object, state: 'SchedulerState') -> typing.Any:
    """Apply a command to the state and return its outcome."""
    raise TypeError(f'unknown command {command!r}')


@apply_command.register(commands.SubmitJob)
def _(command: commands.SubmitJob, state: 'SchedulerState') -> SubmitOutcome:
    return state.submit(command)


@apply_command.register(commands.StartTasks)
def _(command: commands.StartTasks, state: 'SchedulerState') -> int:
    return state.start(command)


@apply_command.register(commands.EndTasks)
def _(command: commands.EndTasks, state: 'SchedulerState') -> None:
    state.end(command)


@apply_command.register(commands.CancelJobs)
def _(
    command: commands.CancelJobs, state: 'SchedulerState'
) -> list[CancelOutcome]:
    return state.cancel(command)


@apply_command.register(commands.ExpireTasks)
def _(command: commands.ExpireTasks, state: 'SchedulerState') -> None:
    state.expire(command)


@apply_command.register(commands.RegisterWorker)
def _(command: commands.RegisterWorker, state: 'SchedulerState') -> None:
    state.put_worker(command)


@apply_command.register(commands.MarkWorkersLost)
def _(command: commands.MarkWorkersLost, state: 'SchedulerState') -> None:
    state.lose_workers(command)


@apply_command.register(commands.DrainWorker)
def _(command: commands.DrainWorker, state: 'SchedulerState') -> bool:
    return state.drain_worker(command)


@apply_command.register(commands.RegisterGateway)
def _(command: commands.RegisterGateway, state: 'SchedulerState') -> None:
    state.put_gateway(command)


@apply_command.register(commands.AdoptConfiguration)
def _(command: commands.AdoptConfiguration, state: 'SchedulerState') -> None:
    state.adopt_configuration(command)


@apply_command.register(commands.AdoptQuotaOffer)
def _(command: commands.AdoptQuotaOffer, state: 'SchedulerState') -> None:
    state.adopt_offer(command)


@apply_command.register(commands.PruneJobs)
def _(command: commands.PruneJobs, state: 'SchedulerState') -> int:
    return state.prune(command)
