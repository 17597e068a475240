"""What workers and targets may say."""

import typing

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GroupName
from cassiahold.gateway.access import Access
from cassiahold.gateway.homes import Homes
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)
from cassiahold.wire import messages

_CALL_TIMEOUT_S: typing.Final = 4.0


class MachineHandlers:
    """Routes for workers and targets of this data centre."""

    def __init__(
        self, access: Access, homes: Homes, centre: DataCentre
    ) -> None:
        self._access = access
        self._homes = homes
        self._centre = centre

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            route('POST', '/v1/workers/report', self.worker),
            route('POST', '/v1/targets/report', self.target),
        ]

    def worker(self, request: HttpRequest) -> HttpResponse:
        """Take a worker's report and return its orders."""
        self._access.check_worker(request.header('Authorization'))
        report = request.decode(messages.WorkerReport)
        self._check_centre(report.data_centre)
        size = report.capacity
        if min(size.cores_m, size.memory_mb, size.accelerators) < 0:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'capacity of worker {report.worker!r} is {size}; no part '
                'may be negative',
            )
        return self._pass_on(report)

    def target(self, request: HttpRequest) -> HttpResponse:
        """Take a target's report."""
        self._access.check_worker(request.header('Authorization'))
        report = request.decode(messages.TargetReport)
        self._check_centre(report.data_centre)
        if report.slots < 1 or report.connections < 1:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'target {report.target!r} has {report.slots} slots and '
                f'{report.connections} connections; both must be 1 or more',
            )
        return self._pass_on(report)

    def _pass_on(
        self, report: messages.WorkerReport | messages.TargetReport
    ) -> HttpResponse:
        return json_response(
            self._homes.call(GroupName(self._centre), report, _CALL_TIMEOUT_S)
        )

    def _check_centre(self, centre: DataCentre) -> None:
        if centre != self._centre:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'data_centre is {centre!r}; this gateway serves '
                f'{self._centre!r}',
            )
