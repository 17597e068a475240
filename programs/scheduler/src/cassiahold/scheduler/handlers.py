"""Dispatch of requests to the methods of a scheduler group's service."""

import functools
import time
import typing

import msgspec

from cassiahold.agreement.replica import Proposal
from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.outcomes import CancelOutcome
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.scheduler import status
from cassiahold.wire import messages

if typing.TYPE_CHECKING:
    from cassiahold.scheduler.service import SchedulerService


class BuildCoordinatorSync(msgspec.Struct, frozen=True):
    """Asks a group's leader for its message to the coordinator group."""


class AdoptCoordinatorUpdate(msgspec.Struct, frozen=True):
    """Passes the coordinator group's reply to a group's leader."""

    update: messages.SchedulerUpdate


def propose(
    command: commands.SchedulerCommand,
    make_reply: typing.Callable[[typing.Any], typing.Any],
) -> Proposal:
    """Return a proposal of a command.

    ``make_reply`` turns the outcome of the applied command into the reply.
    """
    return Proposal(commands.encode_command(command), make_reply)


def _cancel_reply(outcomes: list[CancelOutcome]) -> messages.CancelResults:
    return messages.CancelResults(
        [
            messages.CancelResult(
                outcome.job, outcome.found, outcome.was_finished
            )
            for outcome in outcomes
        ]
    )


@functools.singledispatch
def dispatch_request(
    request: object, service: 'SchedulerService', now: float
) -> typing.Any:
    """Return the reply to a request, or a proposal that will produce it."""
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST,
        f'a scheduler group does not handle {type(request).__name__}',
    )


@dispatch_request.register(messages.Submit)
def _(
    request: messages.Submit, service: 'SchedulerService', now: float
) -> Proposal:
    return service.submit(request)


@dispatch_request.register(messages.GetJob)
def _(
    request: messages.GetJob, service: 'SchedulerService', now: float
) -> messages.JobStatus:
    return status.job_status(service.find_job(request.job, request.team))


@dispatch_request.register(messages.Why)
def _(
    request: messages.Why, service: 'SchedulerService', now: float
) -> messages.WaitReasons:
    return service.waiting_reasons(request)


@dispatch_request.register(messages.Cancel)
def _(
    request: messages.Cancel, service: 'SchedulerService', now: float
) -> Proposal:
    command = commands.CancelJobs(request.jobs, request.team, time.time())
    return propose(command, _cancel_reply)


@dispatch_request.register(messages.WorkerReport)
def _(
    request: messages.WorkerReport, service: 'SchedulerService', now: float
) -> typing.Any:
    return service.handle_worker_report(request, now)


@dispatch_request.register(messages.Drain)
def _(
    request: messages.Drain, service: 'SchedulerService', now: float
) -> Proposal:
    def make_reply(is_known: bool) -> messages.DrainAccepted:
        if not is_known:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND,
                f'worker {request.worker!r} does not exist',
            )
        return messages.DrainAccepted(request.worker)

    command = commands.DrainWorker(request.worker, request.is_draining)
    return propose(command, make_reply)


@dispatch_request.register(messages.TargetReport)
def _(
    request: messages.TargetReport, service: 'SchedulerService', now: float
) -> messages.TargetReportReply:
    return service.handle_target_report(request, now)


@dispatch_request.register(messages.GatewaySync)
def _(
    request: messages.GatewaySync, service: 'SchedulerService', now: float
) -> messages.SlotGrants | Proposal:
    return service.handle_gateway_sync(request, now)


@dispatch_request.register(messages.GetStatus)
def _(
    request: messages.GetStatus, service: 'SchedulerService', now: float
) -> messages.SchedulerStatus:
    return service.get_status()


@dispatch_request.register(BuildCoordinatorSync)
def _(
    request: BuildCoordinatorSync, service: 'SchedulerService', now: float
) -> messages.SchedulerSync:
    return service.build_coordinator_sync()


@dispatch_request.register(AdoptCoordinatorUpdate)
def _(
    request: AdoptCoordinatorUpdate, service: 'SchedulerService', now: float
) -> typing.Any:
    return service.adopt_update(request.update)
