"""Entry point of ``cassiahold-scheduler``: builds and runs the daemon."""

import contextlib
import sys

from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.scheduler.coordinator_sync import CoordinatorSync
from cassiahold.scheduler.service import SchedulerService
from cassiahold.wire.clients import open_coordinator_client
from cassiahold.wire.replica_server import ReplicaServer


class Scheduler:
    """The running scheduler replicas of one host."""

    def __init__(self, group_host: ReplicaServer) -> None:
        self._group_host = group_host

    @property
    def is_alive(self) -> bool:
        """Tell whether every replica is running."""
        return self._group_host.is_alive

    def drain(self) -> None:
        """Do nothing: calls in progress are finished when it is closed."""


def start(settings: Settings, stack: contextlib.ExitStack) -> Scheduler:
    """Start the replicas of every scheduler group that lists this host."""
    groups = [
        group
        for group in settings.cell.scheduler_groups
        if settings.own_host.name in group.replicas
    ]
    if not groups:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} is not in scheduler_groups',
        )
    metrics = create_metrics(
        settings.host.statsd_address, 'cassiahold.scheduler'
    )
    group_host = ReplicaServer(
        'scheduler',
        'scheduler',
        settings,
        groups,
        lambda group: SchedulerService(
            DataCentre(group.name), settings, metrics
        ),
        metrics,
    )
    stack.callback(group_host.close)
    coordinator_sync = CoordinatorSync(
        group_host,
        [group.name for group in groups],
        open_coordinator_client(settings, stack),
        settings.cell.timing.sync_s,
    )
    stack.callback(coordinator_sync.close)
    return Scheduler(group_host)


def main() -> int:
    """Run the scheduler daemon until a signal; return the exit status."""
    return run_daemon(
        'cassiahold-scheduler',
        'Accepts, places and tracks the work of data centres.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
