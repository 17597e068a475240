"""Tests of a process of the cell whose disk is full."""

import contextlib
import errno
import pathlib
import socket
import tempfile
import time
import typing
from unittest import mock

from cassiahold.cell.identity import load_identity
from cassiahold.cell.leader_client import LeaderClient
from cassiahold.cell.node import CellNode
from cassiahold.cell.requests import Locate
from cassiahold.cell.settings import CellSettings
from cassiahold.core.conf.settings import TlsSettings
from cassiahold.core.exceptions import DiskFullError, ErrorKind
from cassiahold.core.ids import DataCentre, HostName
from cassiahold.core.metrics import PrometheusMetrics
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.journal import OsDisk
from cassiahold.wire.security import TransportSecurity

NO_ROOM = OSError(errno.ENOSPC, 'no space left on device')
TIMEOUT_S = 10.0


def wait_until(condition: typing.Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


@contextlib.contextmanager
def running_replica(metrics: PrometheusMetrics) -> typing.Iterator[CellNode]:
    """Yield a process with the only replica of a cell."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        address = f'127.0.0.1:{probe.getsockname()[1]}'
    with tempfile.TemporaryDirectory() as folder:
        settings = CellSettings(
            HostName('h'),
            DataCentre('east'),
            address,
            (address,),
            data_folder=pathlib.Path(folder),
            is_bootstrap=True,
        )
        security = TransportSecurity(TlsSettings(mode='plain'), pathlib.Path())
        with contextlib.closing(
            CellNode(settings, security, metrics, workers=mock.Mock())
        ) as node:
            yield node


def is_leading(node: CellNode) -> bool:
    return getattr(node.handle(Locate()), 'leader', None) is not None


def test_an_identity_that_finds_no_room_is_a_full_disk() -> None:
    # The process ended, and was started again on the same full disk.
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(OsDisk, 'replace', side_effect=NO_ROOM),
    ):
        error = expect_error(
            ErrorKind.STORAGE_FAILED,
            lambda: load_identity(pathlib.Path(folder), 'h:1', ()),
        )
    assert isinstance(error, DiskFullError)


def test_a_process_with_a_full_disk_runs_on_and_is_not_ready() -> None:
    metrics = PrometheusMetrics()
    with (
        mock.patch('cassiahold.core.logs.error'),
        mock.patch.object(LeaderClient, 'leader_silence_s', return_value=0.0),
        running_replica(metrics) as node,
    ):
        with (
            mock.patch.object(OsDisk, 'append', side_effect=NO_ROOM),
            mock.patch.object(OsDisk, 'replace', side_effect=NO_ROOM),
        ):
            wait_until(lambda: not node.is_ready)
            assert node.is_alive
            assert b'name="disk_full"} 1.0' in metrics.render_text()
        wait_until(lambda: is_leading(node))
        assert node.is_ready
        assert b'name="disk_full"} 0.0' in metrics.render_text()


load_tests = function_tests(globals())
