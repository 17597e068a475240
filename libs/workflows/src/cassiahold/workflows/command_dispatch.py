"""Dispatch of a log command to the method of the state that applies it."""

import functools
import typing

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.workflows import commands

if typing.TYPE_CHECKING:
    from cassiahold.workflows.state import WorkState


class AcceptOutcome(msgspec.Struct, frozen=True):
    """Outcome of ``AcceptJob``.

    ``is_first`` is False for a job that was already stored or that was not
    stored because of ``error``.
    """

    is_first: bool
    error: ErrorKind | None = None


@functools.singledispatch
def apply_command(command: object, state: 'WorkState') -> typing.Any:
    """Apply one decoded command to the state and return its outcome.

    Raises ``TypeError`` for a command without a registered handler.
    """
    raise TypeError(f'unknown command {command!r}')


@apply_command.register(commands.AcceptJob)
def _(command: commands.AcceptJob, state: 'WorkState') -> AcceptOutcome:
    return state.accept_job(command)


@apply_command.register(commands.CancelJob)
def _(command: commands.CancelJob, state: 'WorkState') -> bool:
    return state.cancel_job(command)


@apply_command.register(commands.StartRuns)
def _(command: commands.StartRuns, state: 'WorkState') -> int:
    return state.start_attempts(command)


@apply_command.register(commands.EndRuns)
def _(command: commands.EndRuns, state: 'WorkState') -> None:
    state.end_attempts(command)


@apply_command.register(commands.PutWorker)
def _(command: commands.PutWorker, state: 'WorkState') -> bool:
    return state.upsert_worker(command)


@apply_command.register(commands.ForgetWorker)
def _(command: commands.ForgetWorker, state: 'WorkState') -> None:
    state.remove_worker(command)


@apply_command.register(commands.PutConfiguration)
def _(command: commands.PutConfiguration, state: 'WorkState') -> bool:
    return state.put_configuration(command)


@apply_command.register(commands.PruneJobs)
def _(command: commands.PruneJobs, state: 'WorkState') -> int:
    return state.prune_jobs(command)
