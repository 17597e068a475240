"""From request to the method of the service that answers it."""

import functools
import typing

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests, requests
from cassiahold.core.exceptions import CassiaholdError, ErrorKind

if typing.TYPE_CHECKING:
    from cassiahold.cell.service import CellService


@functools.singledispatch
def dispatch(request: object, service: 'CellService', now: float) -> typing.Any:
    """Answer a request at the leader."""
    raise CassiaholdError(
        ErrorKind.BAD_REQUEST, f'unexpected request {type(request).__name__}'
    )


@dispatch.register(requests.SubmitWork)
def _(
    request: requests.SubmitWork, service: 'CellService', now: float
) -> Proposal:
    return service.submit(request)


@dispatch.register(requests.GetWork)
def _(
    request: requests.GetWork, service: 'CellService', now: float
) -> typing.Any:
    return service.get(request)


@dispatch.register(requests.CancelWork)
def _(
    request: requests.CancelWork, service: 'CellService', now: float
) -> Proposal:
    return service.cancel(request)


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
    return service.read_configuration()


@dispatch.register(requests.WorkerBeat)
def _(
    request: requests.WorkerBeat, service: 'CellService', now: float
) -> typing.Any:
    return service.board.beat(request, now)


@dispatch.register(requests.WorkerLeft)
def _(
    request: requests.WorkerLeft, service: 'CellService', now: float
) -> typing.Any:
    return service.board.left(request, now)


@dispatch.register(local_requests.NextLook)
def _(
    request: local_requests.NextLook, service: 'CellService', now: float
) -> typing.Any:
    return service.board.next_look(request, now)


@dispatch.register(local_requests.LookDone)
def _(
    request: local_requests.LookDone, service: 'CellService', now: float
) -> typing.Any:
    return service.board.look_done(request, now)


@dispatch.register(local_requests.StartDone)
def _(
    request: local_requests.StartDone, service: 'CellService', now: float
) -> typing.Any:
    return service.board.start_done(request, now)


@dispatch.register(local_requests.StopDone)
def _(
    request: local_requests.StopDone, service: 'CellService', now: float
) -> typing.Any:
    return service.board.stop_done(request, now)


@dispatch.register(local_requests.AdviceDone)
def _(
    request: local_requests.AdviceDone, service: 'CellService', now: float
) -> None:
    service.board.advice_done(request, now)
    service.wake()
