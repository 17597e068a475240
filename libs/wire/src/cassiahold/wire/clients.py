"""Clients for the groups that the settings name."""

import contextlib

from cassiahold.core.conf.settings import GroupEntry, Settings
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import open_channel


def open_coordinator_client(
    settings: Settings, stack: contextlib.ExitStack
) -> GroupClient:
    """Return a client for the coordinator group."""
    return _client(
        settings, stack, settings.cell.coordinator_group, 'coordinator'
    )


def open_scheduler_clients(
    settings: Settings, stack: contextlib.ExitStack
) -> dict[GroupName, GroupClient]:
    """Return a client for each scheduler group, by name."""
    return {
        group.name: _client(settings, stack, group, 'scheduler')
        for group in settings.cell.scheduler_groups
    }


def _client(
    settings: Settings,
    stack: contextlib.ExitStack,
    group: GroupEntry,
    role: str,
) -> GroupClient:
    security = TransportSecurity(settings.host.tls, settings.folder)
    hosts = settings.cell.host_by_name
    own_centre = settings.own_host.data_centre
    # The nearest replicas are tried first.
    names = sorted(
        group.replicas,
        key=lambda name: hosts[name].data_centre != own_centre,
    )
    return GroupClient(
        group.name,
        {
            ReplicaId(name): open_channel(
                stack, getattr(hosts[name], role), security
            )
            for name in names
        },
    )
