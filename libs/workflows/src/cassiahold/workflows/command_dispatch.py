"""Dispatch of a log command to the method of the state that applies it."""

import functools
import typing

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.workflows import commands

if typing.TYPE_CHECKING:
    from cassiahold.workflows.lost_attempts import LostAttempt
    from cassiahold.workflows.state import WorkflowState


class AcceptOutcome(msgspec.Struct, frozen=True):
    """Outcome of ``AcceptJob``.

    ``is_first`` is False for a job that was already stored or that was not
    stored because of ``error``.
    """

    is_first: bool
    error: ErrorKind | None = None


@functools.singledispatch
def apply_command(command: object, state: 'WorkflowState') -> typing.Any:
    """Apply one decoded command to the state and return its outcome.

    Raises ``TypeError`` for a command without a registered handler.
    """
    raise TypeError(f'unknown command {command!r}')


@apply_command.register(commands.AcceptJob)
def _(command: commands.AcceptJob, state: 'WorkflowState') -> AcceptOutcome:
    return state.accept_job(command)


@apply_command.register(commands.CancelJob)
def _(command: commands.CancelJob, state: 'WorkflowState') -> bool:
    return state.cancel_job(command)


@apply_command.register(commands.StartAttempts)
def _(command: commands.StartAttempts, state: 'WorkflowState') -> int:
    return state.start_attempts(command)


@apply_command.register(commands.EndAttempts)
def _(
    command: commands.EndAttempts, state: 'WorkflowState'
) -> 'list[LostAttempt]':
    return state.end_attempts(command)


@apply_command.register(commands.RegisterWorker)
def _(command: commands.RegisterWorker, state: 'WorkflowState') -> bool:
    return state.register_worker(command)


@apply_command.register(commands.RemoveWorker)
def _(command: commands.RemoveWorker, state: 'WorkflowState') -> None:
    state.remove_worker(command)


@apply_command.register(commands.PutConfiguration)
def _(command: commands.PutConfiguration, state: 'WorkflowState') -> bool:
    return state.put_configuration(command)


@apply_command.register(commands.PruneJobs)
def _(command: commands.PruneJobs, state: 'WorkflowState') -> int:
    return state.prune_jobs(command)
