"""Entry point of ``cassiahold-gateway``: builds and runs the daemon."""

import contextlib
import sys

from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.gateway.authorization import Authorizer
from cassiahold.gateway.handlers.callers import CallerHandlers
from cassiahold.gateway.handlers.operators import OperatorHandlers
from cassiahold.gateway.handlers.reports import ReportHandlers
from cassiahold.gateway.http import Application, Route
from cassiahold.gateway.http_server import HttpServer, RequestTracker
from cassiahold.gateway.lease_renewal import (
    ConfigurationLeaseRenewer,
    PeriodicThread,
    SlotLeaseRenewer,
)
from cassiahold.gateway.live import LiveService
from cassiahold.gateway.proxy import Proxy
from cassiahold.gateway.refusals import RefusalPolicy
from cassiahold.gateway.router import RouterRef, start_router
from cassiahold.gateway.scheduler_groups import SchedulerGroups
from cassiahold.wire.clients import (
    open_coordinator_client,
    open_scheduler_clients,
)

_TICK_INTERVAL_S = 0.05


class Gateway:
    """The running gateway of one host."""

    def __init__(
        self,
        settings: Settings,
        request_tracker: RequestTracker,
        server: HttpServer,
        router: RouterRef,
    ) -> None:
        self._settings = settings
        self._request_tracker = request_tracker
        self._server = server
        self._router = router

    @property
    def is_alive(self) -> bool:
        """Tell whether the HTTP server and the router are running."""
        return self._server.is_alive and self._router.is_alive

    def drain(self) -> None:
        """Refuse new requests and wait for those in progress.

        Requests that outlast the drain time of the settings are cut off.
        """
        is_idle = self._request_tracker.drain(
            self._server, self._settings.host.drain_s
        )
        if not is_idle:
            logs.error(
                'drain_too_long', in_progress=self._request_tracker.in_progress
            )


def start(settings: Settings, stack: contextlib.ExitStack) -> Gateway:
    """Start a gateway; the exit stack closes its parts in reverse order."""
    if not settings.own_host.gateway:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} has no gateway address',
        )
    authorizer = Authorizer(
        settings.cell.operator_key_sha256, settings.cell.worker_key_sha256
    )
    router = start_router(settings.host.team_queue_length)
    stack.callback(router.close)
    _start_periodic_threads(settings, stack, authorizer, router)
    request_tracker = RequestTracker()
    routes = _routes(settings, stack, authorizer, router)
    metrics = create_metrics(settings.host.statsd_address, 'cassiahold.gateway')
    server = HttpServer(
        Application(
            [
                request_tracker.health_route(),
                *map(request_tracker.track, routes),
            ],
            metrics,
            caller_of=authorizer.describe_caller,
            refusal_policy=RefusalPolicy(settings.host.retry, metrics),
        ),
        settings.own_host.gateway,
        settings.host.http_threads,
        settings.host.max_body_bytes,
    )
    stack.callback(server.close)
    return Gateway(settings, request_tracker, server, router)


def _routes(
    settings: Settings,
    stack: contextlib.ExitStack,
    authorizer: Authorizer,
    router: RouterRef,
) -> list[Route]:
    scheduler_groups = SchedulerGroups(
        open_scheduler_clients(settings, stack),
        settings.cell.timing.election_s,
        settings.host.retry.default_rate_per_s,
    )
    proxy = Proxy(router, settings.host.max_body_bytes)
    stack.callback(proxy.close)
    live_service = LiveService(settings, proxy)
    stack.callback(live_service.close)
    return [
        *CallerHandlers(authorizer, scheduler_groups, live_service).routes(),
        *ReportHandlers(
            authorizer, scheduler_groups, settings.own_host.data_centre
        ).routes(),
        *OperatorHandlers(
            authorizer,
            scheduler_groups,
            open_coordinator_client(settings, stack),
        ).routes(),
    ]


def _start_periodic_threads(
    settings: Settings,
    stack: contextlib.ExitStack,
    authorizer: Authorizer,
    router: RouterRef,
) -> None:
    interval_s = settings.cell.timing.sync_s
    own_group = GroupName(settings.own_host.data_centre)
    slot_renewer = SlotLeaseRenewer(
        settings,
        open_scheduler_clients(settings, stack)[own_group],
        router,
        authorizer,
    )
    configuration_renewer = ConfigurationLeaseRenewer(
        settings, open_coordinator_client(settings, stack), authorizer
    )
    threads = (
        PeriodicThread(
            'configuration', interval_s, configuration_renewer.renew
        ),
        PeriodicThread('slots', interval_s, slot_renewer.renew),
        PeriodicThread('expiry', _TICK_INTERVAL_S, router.tick),
    )
    for thread in threads:
        stack.callback(thread.close)


def main() -> int:
    """Run the gateway daemon until a signal; return the exit status."""
    return run_daemon(
        'cassiahold-gateway',
        'Serves callers, workers, targets and operators over HTTP.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
