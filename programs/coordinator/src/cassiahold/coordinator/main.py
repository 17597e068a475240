"""Entry point of ``cassiahold-coordinator``: builds and runs the daemon."""

import contextlib
import sys

from cassiahold.coordinator.service import CoordinatorService
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.wire.replica_server import ReplicaServer


class Coordinator:
    """The running coordinator replica of one host."""

    def __init__(self, group_host: ReplicaServer) -> None:
        self._group_host = group_host

    @property
    def is_alive(self) -> bool:
        """Tell whether the replica is running."""
        return self._group_host.is_alive

    def drain(self) -> None:
        """Do nothing: calls in progress are finished when it is closed."""


def start(settings: Settings, stack: contextlib.ExitStack) -> Coordinator:
    """Start the replica of this host."""
    group = settings.cell.coordinator_group
    if settings.own_host.name not in group.replicas:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} is not a replica of '
            f'coordinator_group: {group.replicas}',
        )
    metrics = create_metrics(
        settings.host.statsd_address, 'cassiahold.coordinator'
    )
    group_host = ReplicaServer(
        'coordinator',
        'coordinator',
        settings,
        [group],
        lambda _: CoordinatorService(settings, metrics),
        metrics,
    )
    stack.callback(group_host.close)
    return Coordinator(group_host)


def main() -> int:
    """Run the coordinator daemon until a signal; return the exit status."""
    return run_daemon(
        'cassiahold-coordinator',
        'Stores the configuration, keys and team quotas of a cell.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
