"""Clients of the coordinator and scheduler groups named in the settings."""

import contextlib

from cassiahold.core.conf.settings import GroupEntry, Settings
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.security import TransportSecurity
from cassiahold.wire.transport import open_channel


def open_coordinator_client(
    settings: Settings, stack: contextlib.ExitStack
) -> GroupClient:
    """Return a client of the coordinator group; the stack closes it."""
    return _open_group_client(
        settings, stack, settings.cell.coordinator_group, 'coordinator'
    )


def open_scheduler_clients(
    settings: Settings, stack: contextlib.ExitStack
) -> dict[GroupName, GroupClient]:
    """Return a client of each scheduler group; the stack closes them."""
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
    security = TransportSecurity(settings.host.tls, settings.folder)
    host_by_name = settings.cell.host_by_name
    own_data_centre = settings.own_host.data_centre
    # Replicas in this host's data centre are tried first.
    host_names = sorted(
        group.replicas,
        key=lambda name: host_by_name[name].data_centre != own_data_centre,
    )
    return GroupClient(
        group.name,
        {
            ReplicaId(name): open_channel(
                stack, getattr(host_by_name[name], role), security
            )
            for name in host_names
        },
    )
