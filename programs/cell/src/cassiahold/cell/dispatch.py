"""Dispatch of a request to the method of the service that handles it."""

import functools
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests, requests
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

if typing.TYPE_CHECKING:
    from cassiahold.cell.service import CellService


@functools.singledispatch
def dispatch(request: object, service: 'CellService', now: float) -> typing.Any:
    """Handle a request at the leader.

    Raises ``BAD_REQUEST`` for a request without a registered handler.
    """
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST, f'unexpected request {type(request).__name__}'
    )


@dispatch.register(requests.SubmitWork)
def _(
    request: requests.SubmitWork, service: 'CellService', now: float
) -> Proposal:
    return service.submit_job(request)


@dispatch.register(requests.GetWork)
def _(
    request: requests.GetWork, service: 'CellService', now: float
) -> typing.Any:
    return service.get_status(request)


@dispatch.register(requests.CancelWork)
def _(
    request: requests.CancelWork, service: 'CellService', now: float
) -> Proposal:
    return service.cancel_job(request)


@dispatch.register(requests.PutCellConfiguration)
def _(
    request: requests.PutCellConfiguration,
    service: 'CellService',
    now: float,
) -> typing.Any:
    return service.put_configuration(request)


@dispatch.register(requests.GetCellConfiguration)
def _(
    request: requests.GetCellConfiguration,
    service: 'CellService',
    now: float,
) -> requests.ConfigurationSource:
    return service.get_configuration()


@dispatch.register(requests.WorkerBeat)
def _(
    request: requests.WorkerBeat, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.record_heartbeat(request, now)


@dispatch.register(requests.WorkerLeft)
def _(
    request: requests.WorkerLeft, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.ends.deregister(request, now)


@dispatch.register(local_requests.GetFirstPoll)
def _(
    request: local_requests.GetFirstPoll, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.polls.first_poll(request, now)


@dispatch.register(local_requests.PollDone)
def _(
    request: local_requests.PollDone, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.polls.poll_done(request, now)


@dispatch.register(local_requests.StartDone)
def _(
    request: local_requests.StartDone, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.starts.start_done(request, now)


@dispatch.register(local_requests.StopDone)
def _(
    request: local_requests.StopDone, service: 'CellService', now: float
) -> typing.Any:
    return service.worker_sessions.starts.stop_done(request, now)


@dispatch.register(local_requests.AdvisorQueryDone)
def _(
    request: local_requests.AdvisorQueryDone, service: 'CellService', now: float
) -> None:
    service.worker_sessions.advisor_query_done(request, now)
    service.mark_changed()
