"""Entry point of ``cassiahold-coordinator``."""

import contextlib
import sys

from cassiahold.coordinator.service import CoordinatorService
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.lifecycle import run_daemon
from cassiahold.core.metrics import create_metrics
from cassiahold.wire.replica_server import ReplicaServer


class Coordinator:
    """The coordinator replica of one host."""

    def __init__(self, host: ReplicaServer) -> None:
        self._host = host

    @property
    def is_alive(self) -> bool:
        """Tell whether the replica runs."""
        return self._host.is_alive

    def drain(self) -> None:
        """Nothing is in progress beyond a call, which closing finishes."""


def start(settings: Settings, stack: contextlib.ExitStack) -> Coordinator:
    """Start the replica of this host."""
    group = settings.cell.coordinator_group
    if settings.own_host.name not in group.replicas:
        raise CassiaholdError(
            ErrorKind.BAD_SETTINGS,
            f'host {settings.own_host.name!r} is not in coordinator_group '
            f'{group.replicas}',
        )
    metrics = create_metrics(
        settings.host.statsd_address, 'cassiahold.coordinator'
    )
    host = ReplicaServer(
        'coordinator',
        'coordinator',
        settings,
        [group],
        lambda _: CoordinatorService(settings, metrics),
        metrics,
    )
    stack.callback(host.close)
    return Coordinator(host)


def main() -> int:
    """Run the daemon."""
    return run_daemon(
        'cassiahold-coordinator',
        'Keeps configuration, keys and allotments of a cell.',
        start,
    )


if __name__ == '__main__':
    sys.exit(main())
