"""Clients for the groups that the settings name."""

import contextlib

from cassiahold.core.conf.settings import GroupEntry, Settings
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.security import Security
from cassiahold.wire.transport import open_channel


def coordinator_client(
    settings: Settings, stack: contextlib.ExitStack
) -> GroupClient:
    """Return a client for the coordinator group."""
    return _open_group_client(
        settings, stack, settings.cell.coordinator_group, 'coordinator'
    )


def scheduler_clients(
    settings: Settings, stack: contextlib.ExitStack
) -> dict[GroupName, GroupClient]:
    """Return a client for each scheduler group, by name."""
    return {
        group.name: _open_group_client(settings, stack, group, 'scheduler')
        for group in settings.cell.scheduler_groups
    }


def _open_group_client(
    settings: Settings,
    stack: contextlib.ExitStack,
    group: GroupEntry,
    role: str,
) -> GroupClient:
    security = Security(settings.host.tls, settings.folder)
    hosts = settings.cell.host_by_name
    own_centre = settings.own.data_centre
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
