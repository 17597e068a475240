"""HTTP handlers for the periodic reports of workers and targets."""

import typing

import msgspec

from cassiahold.core.addresses import is_address
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, GroupName
from cassiahold.gateway.authorization import Authorizer
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)
from cassiahold.gateway.scheduler_groups import SchedulerGroups
from cassiahold.wire import messages

_CALL_TIMEOUT_S: typing.Final = 4.0


class ReportHandlers:
    """Checks reports and forwards them to the group of this data centre."""

    def __init__(
        self,
        authorizer: Authorizer,
        scheduler_groups: SchedulerGroups,
        data_centre: DataCentre,
    ) -> None:
        self._authorizer = authorizer
        self._scheduler_groups = scheduler_groups
        self._data_centre = data_centre

    def routes(self) -> list[Route]:
        """Return the routes of reports."""
        return [
            route('POST', '/v1/workers/report', self.report_worker),
            route('POST', '/v1/targets/report', self.report_target),
        ]

    def report_worker(self, request: HttpRequest) -> HttpResponse:
        """Forward a worker's report; respond with the leader's reply."""
        self._authorizer.require_worker(request.header('Authorization'))
        report = request.decode_json(messages.WorkerReport)
        self._check_data_centre(report.data_centre)
        capacity = report.capacity
        if not all(
            0 <= amount <= messages.MAX_AMOUNT
            for amount in msgspec.structs.astuple(capacity)
        ):
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'capacity of worker {report.worker!r} is {capacity}; '
                f'expected amounts from 0 to {messages.MAX_AMOUNT}',
            )
        return self._forward(report)

    def report_target(self, request: HttpRequest) -> HttpResponse:
        """Forward a target's report; respond with the leader's reply."""
        self._authorizer.require_worker(request.header('Authorization'))
        report = request.decode_json(messages.TargetReport)
        self._check_data_centre(report.data_centre)
        if report.slots < 1 or report.connections < 1:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'target {report.target!r} has {report.slots} slots and '
                f'{report.connections} connections; both must be 1 or more',
            )
        if not is_address(report.address):
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'address of target {report.target!r} is {report.address!r}; '
                'expected ip:port',
            )
        return self._forward(report)

    def _forward(
        self, report: messages.WorkerReport | messages.TargetReport
    ) -> HttpResponse:
        return json_response(
            self._scheduler_groups.call(
                GroupName(self._data_centre), report, _CALL_TIMEOUT_S
            )
        )

    def _check_data_centre(self, data_centre: DataCentre) -> None:
        if data_centre != self._data_centre:
            raise CassiaholdError(
                ErrorKind.BAD_REQUEST,
                f'data_centre is {data_centre!r}; this gateway serves '
                f'{self._data_centre!r}',
            )
