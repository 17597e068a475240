"""Entry point of ``cassiahold-gateway``."""

import contextlib
import sys

from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.gateway.access import Access
from cassiahold.gateway.handlers.callers import CallerHandlers
from cassiahold.gateway.handlers.machines import MachineHandlers
from cassiahold.gateway.handlers.operators import OperatorHandlers
from cassiahold.gateway.homes import Homes
from cassiahold.gateway.http import Application, Route
from cassiahold.gateway.http_server import HttpServer, RequestTracker
from cassiahold.gateway.live import LiveService
from cassiahold.gateway.proxy import Proxy
from cassiahold.gateway.router import RouterRef, start_router
from cassiahold.gateway.syncing import (
    ConfigurationRenewal,
    Repeater,
    SlotRenewal,
)
from cassiahold.wire.clients import (
    open_coordinator_client,
    open_scheduler_clients,
)

_EXPIRE_PAUSE_S = 0.05


class Gateway:
    """The gateway of one entry host."""

    def __init__(
        self,
        settings: Settings,
        progress: RequestTracker,
        server: HttpServer,
        router: RouterRef,
    ) -> None:
        self._settings = settings
        self._progress = progress
        self._server = server
        self._router = router

    @property
    def is_alive(self) -> bool:
        """Tell whether server and router run."""
        return self._server.is_alive and self._router.is_alive

    def drain(self) -> None:
        """Leave without cutting off a request in progress."""
        finished = self._progress.drain(
            self._server, self._settings.host.drain_s
        )
        if not finished:
            logs.error('drain_too_long', in_progress=self._progress.in_progress)


def start(settings: Settings, stack: contextlib.ExitStack) -> Gateway:
    """Start every part of a gateway."""
    if not settings.own_host.gateway:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} has no gateway address',
        )
    access = Access(
        settings.cell.operator_key_sha256, settings.cell.worker_key_sha256
    )
    router = start_router(settings.host.team_queue_length)
    stack.callback(router.close)
    _start_renewals(settings, stack, access, router)
    progress = RequestTracker()
    routes = _routes(settings, stack, access, router)
    server = HttpServer(
        Application(
            [progress.health_route(), *map(progress.track, routes)],
            create_metrics(settings.host.statsd_address, 'cassiahold.gateway'),
        ),
        settings.own_host.gateway,
        settings.host.http_threads,
        settings.host.max_body_bytes,
    )
    stack.callback(server.close)
    return Gateway(settings, progress, server, router)


def _routes(
    settings: Settings,
    stack: contextlib.ExitStack,
    access: Access,
    router: RouterRef,
) -> list[Route]:
    homes = Homes(open_scheduler_clients(settings, stack))
    proxy = Proxy(router, settings.host.max_body_bytes)
    stack.callback(proxy.close)
    live = LiveService(settings, proxy)
    stack.callback(live.close)
    return [
        *CallerHandlers(access, homes, live).routes(),
        *MachineHandlers(access, homes, settings.own_host.data_centre).routes(),
        *OperatorHandlers(
            access, homes, open_coordinator_client(settings, stack)
        ).routes(),
    ]


def _start_renewals(
    settings: Settings,
    stack: contextlib.ExitStack,
    access: Access,
    router: RouterRef,
) -> None:
    pause_s = settings.cell.timing.sync_s
    own_group = GroupName(settings.own_host.data_centre)
    slots = SlotRenewal(
        settings,
        open_scheduler_clients(settings, stack)[own_group],
        router,
        access,
    )
    configuration = ConfigurationRenewal(
        settings, open_coordinator_client(settings, stack), access
    )
    repeaters = (
        Repeater('configuration', pause_s, configuration.renew),
        Repeater('slots', pause_s, slots.renew),
        Repeater('expiry', _EXPIRE_PAUSE_S, router.expire),
    )
    for repeater in repeaters:
        stack.callback(repeater.close)


def main() -> int:
    """Run the daemon."""
    return run_daemon(
        'cassiahold-gateway',
        'Serves callers, workers, targets and operators over HTTP.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
