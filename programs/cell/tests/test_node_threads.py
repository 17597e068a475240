"""Tests of the periodic threads of a process of the cell."""

import contextlib
import pathlib
import queue
import socket
import threading
import time
import typing
from unittest import mock

from cassiahold.cell.leader_client import LeaderClient
from cassiahold.cell.node import CellNode
from cassiahold.cell.settings import CellSettings
from cassiahold.core.conf.settings import TlsSettings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import DataCentre, HostName
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.testing import function_tests
from cassiahold.wire.security import TransportSecurity

TIMEOUT_S = 5.0


class FailsOnce:
    """Raises an unexpected error at the first call only."""

    def __init__(self) -> None:
        self._call_count = 0
        self.called_again = threading.Event()

    def __call__(self, *_: typing.Any) -> typing.Any:
        self._call_count += 1
        if self._call_count == 1:
            raise ValueError('unexpected')
        self.called_again.set()


@contextlib.contextmanager
def running_client() -> typing.Iterator[CellNode]:
    """Yield a process without a replica and without a leader."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        address = f'127.0.0.1:{probe.getsockname()[1]}'
    settings = CellSettings(HostName('h'), DataCentre('east'), address, ())
    security = TransportSecurity(TlsSettings(mode='plain'), pathlib.Path())
    with (
        mock.patch('threading.excepthook'),
        contextlib.closing(CellNode(settings, security, NullMetrics())) as node,
    ):
        yield node


def is_called_again(owner: type, method: str) -> bool:
    step = FailsOnce()
    with mock.patch.object(owner, method, step), running_client():
        return step.called_again.wait(TIMEOUT_S)


def test_offers_to_the_leader_go_on_after_an_unexpected_error() -> None:
    assert is_called_again(LeaderClient, 'call_leader')


def test_offer_that_the_leader_refuses_is_logged() -> None:
    # It was repeated without a line in the log.
    logged: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()

    def log(event: str, **fields: typing.Any) -> None:
        if event == 'contact_changed':
            logged.put(fields['kind'])

    refusal = CassiaholdError(ErrorKind.OVERLOADED, 'too many calls')
    with (
        mock.patch.object(LeaderClient, 'call_leader', side_effect=refusal),
        mock.patch('cassiahold.core.logs.info', log),
        running_client(),
    ):
        assert logged.get(timeout=TIMEOUT_S) == 'overloaded'
        time.sleep(0.5)
    assert logged.empty()


def test_search_for_the_leader_goes_on_after_an_unexpected_error() -> None:
    assert is_called_again(LeaderClient, 'locate_leader')


def test_requests_to_join_go_on_after_an_unexpected_error() -> None:
    step = FailsOnce()
    with (
        mock.patch.object(CellNode, '_join_if_not_member', step),
        running_client() as node,
    ):
        threading.Thread(target=node._join_periodically, daemon=True).start()
        assert step.called_again.wait(TIMEOUT_S)


def test_ticks_of_a_replica_go_on_after_an_unexpected_error() -> None:
    step = FailsOnce()
    with running_client() as node:
        node._replica = mock.Mock(tell=step)
        threading.Thread(target=node._tick_periodically, daemon=True).start()
        assert step.called_again.wait(TIMEOUT_S)


load_tests = function_tests(globals())
