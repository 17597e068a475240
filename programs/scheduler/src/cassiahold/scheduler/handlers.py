"""Which method of the service answers which request."""

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


class BuildSync(msgspec.Struct, frozen=True):
    """Asks a group for its side of the exchange with the coordinator."""


class TakeUpdate(msgspec.Struct, frozen=True):
    """Hands a group the coordinator's side of the exchange."""

    update: messages.SchedulerUpdate


def propose(
    command: commands.SchedulerCommand,
    reply: typing.Callable[[typing.Any], typing.Any],
) -> Proposal:
    """Return a command whose outcome ``reply`` turns into the answer."""
    return Proposal(commands.encode_command(command), reply)


def _cancelled(outcomes: list[CancelOutcome]) -> messages.CancelResults:
    return messages.CancelResults(
        [
            messages.CancelResult(
                outcome.job, outcome.found, outcome.was_finished
            )
            for outcome in outcomes
        ]
    )


@functools.singledispatch
def handle(
    request: object, service: 'SchedulerService', now: float
) -> typing.Any:
    """Answer a request or propose its command."""
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST,
        f'a scheduler group does not answer {type(request).__name__}',
    )


@handle.register(messages.Submit)
def _(
    request: messages.Submit, service: 'SchedulerService', now: float
) -> Proposal:
    return service.submit(request)


@handle.register(messages.GetJob)
def _(
    request: messages.GetJob, service: 'SchedulerService', now: float
) -> messages.JobStatus:
    return status.job_status(service.find_job(request.job, request.team))


@handle.register(messages.Why)
def _(
    request: messages.Why, service: 'SchedulerService', now: float
) -> messages.WaitReasons:
    return service.reasons(request)


@handle.register(messages.Cancel)
def _(
    request: messages.Cancel, service: 'SchedulerService', now: float
) -> Proposal:
    command = commands.CancelJobs(request.jobs, request.team, time.time())
    return propose(command, _cancelled)


@handle.register(messages.WorkerReport)
def _(
    request: messages.WorkerReport, service: 'SchedulerService', now: float
) -> typing.Any:
    return service.report(request, now)


@handle.register(messages.Drain)
def _(
    request: messages.Drain, service: 'SchedulerService', now: float
) -> Proposal:
    def reply(is_known: bool) -> messages.DrainAccepted:
        if not is_known:
            raise CassiaholdError(
                ErrorKind.NOT_FOUND,
                f'worker {request.worker!r} does not exist',
            )
        return messages.DrainAccepted(request.worker)

    command = commands.DrainWorker(request.worker, request.is_draining)
    return propose(command, reply)


@handle.register(messages.TargetReport)
def _(
    request: messages.TargetReport, service: 'SchedulerService', now: float
) -> messages.TargetReportReply:
    return service.target_report(request, now)


@handle.register(messages.GatewaySync)
def _(
    request: messages.GatewaySync, service: 'SchedulerService', now: float
) -> messages.SlotGrants | Proposal:
    return service.gateway_sync(request, now)


@handle.register(messages.GetStatus)
def _(
    request: messages.GetStatus, service: 'SchedulerService', now: float
) -> messages.SchedulerStatus:
    return service.status()


@handle.register(BuildSync)
def _(
    request: BuildSync, service: 'SchedulerService', now: float
) -> messages.SchedulerSync:
    return service.build_sync()


@handle.register(TakeUpdate)
def _(
    request: TakeUpdate, service: 'SchedulerService', now: float
) -> typing.Any:
    return service.adopt(request.update)
