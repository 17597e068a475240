"""Entry point of ``cassiahold-scheduler``."""

import contextlib
import sys

from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.scheduler.exchange import CoordinatorExchange
from cassiahold.scheduler.service import SchedulerService
from cassiahold.wire.clients import open_coordinator_client
from cassiahold.wire.replica_server import ReplicaServer


class Scheduler:
    """The scheduler replicas of one host."""

    def __init__(self, host: ReplicaServer) -> None:
        self._host = host

    @property
    def is_alive(self) -> bool:
        """Tell whether every replica runs."""
        return self._host.is_alive

    def drain(self) -> None:
        """Nothing is in progress beyond a call, which closing finishes."""


def start(settings: Settings, stack: contextlib.ExitStack) -> Scheduler:
    """Start every replica that the cell places on this host."""
    groups = [
        group
        for group in settings.cell.scheduler_groups
        if settings.own_host.name in group.replicas
    ]
    if not groups:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} is in no scheduler group',
        )
    metrics = create_metrics(
        settings.host.statsd_address, 'cassiahold.scheduler'
    )
    host = ReplicaServer(
        'scheduler',
        'scheduler',
        settings,
        groups,
        lambda group: SchedulerService(
            DataCentre(group.name), settings, metrics
        ),
        metrics,
    )
    stack.callback(host.close)
    exchange = CoordinatorExchange(
        host,
        [group.name for group in groups],
        open_coordinator_client(settings, stack),
        settings.cell.timing.sync_s,
    )
    stack.callback(exchange.close)
    return Scheduler(host)


def main() -> int:
    """Run the daemon."""
    return run_daemon(
        'cassiahold-scheduler',
        'Accepts, places and tracks the work of data centres.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
