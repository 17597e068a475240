"""Tests of the server that runs a process's replicas."""

import contextlib
import pathlib
import socket
import tempfile
from unittest import mock

from cassiahold.agreement.replica import Replica
from cassiahold.core.conf.settings import (
    CellSettings,
    GroupEntry,
    HostEntry,
    HostSettings,
    Settings,
    TlsSettings,
)
from cassiahold.core.ids import DataCentre, GroupName, HostName
from cassiahold.core.testing import function_tests
from cassiahold.wire.replica_server import ReplicaServer


def free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return f'127.0.0.1:{probe.getsockname()[1]}'


def settings_in(folder: str) -> Settings:
    host = HostEntry(HostName('h'), DataCentre('here'), '', free_address())
    group = GroupEntry(GroupName('here'), [host.name])
    return Settings(
        HostSettings(host.name, folder, '', tls=TlsSettings(mode='plain')),
        CellSettings('test', [host], [group], group),
        host,
        pathlib.Path(folder),
    )


def test_a_full_disk_is_shown_by_a_metric_of_its_group() -> None:
    metrics = mock.Mock()
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(Replica, 'start') as start,
    ):
        settings = settings_in(folder)
        with contextlib.closing(
            ReplicaServer(
                'test',
                'scheduler',
                settings,
                settings.cell.scheduler_groups,
                mock.Mock(),
                metrics,
            )
        ):
            observer = start.call_args.args[-1]
            observer(True)
            observer(False)
    assert metrics.gauge.mock_calls == [
        mock.call('disk_full.here', 1),
        mock.call('disk_full.here', 0),
    ]


load_tests = function_tests(globals())
