"""Tests of the thread that synchronises groups with the coordinator."""

import queue
import typing
from unittest import mock

from cassiahold.agreement.replica import NotLeaderError
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName
from cassiahold.core.testing import function_tests
from cassiahold.scheduler.coordinator_sync import CoordinatorSync

TIMEOUT_S = 2.0
GROUPS = [GroupName('faulty'), GroupName('sound')]


class FaultyReplicaServer:
    """Fails the calls of one group and records those of the other."""

    def __init__(self, failure: Exception) -> None:
        self._failure = failure
        self.calls: queue.SimpleQueue[GroupName] = queue.SimpleQueue()

    def call_local(self, group: GroupName, request: typing.Any) -> None:
        if group == 'faulty':
            raise self._failure
        self.calls.put(group)


def log_while_syncing(failure: Exception) -> mock.Mock:
    """Return the log after two rounds, in which one group fails."""
    server = FaultyReplicaServer(failure)
    with (
        mock.patch('threading.excepthook'),
        mock.patch('cassiahold.core.logs.error') as log,
    ):
        sync = CoordinatorSync(server, GROUPS, mock.Mock(), 0.01)
        try:
            for _ in range(2):
                server.calls.get(timeout=TIMEOUT_S)
        finally:
            sync.close()
    return log


def test_synchronisation_goes_on_after_an_unexpected_error() -> None:
    # The thread ended, and the other group was not synchronised either.
    log = log_while_syncing(ValueError('unexpected'))
    assert log.call_args.kwargs['kind'] == 'ValueError'


def test_error_of_a_local_replica_is_not_taken_for_a_leader_elsewhere() -> None:
    # It was passed over in silence.
    log = log_while_syncing(CassiaholdError(ErrorKind.INTERNAL, 'faulty'))
    assert log.call_args.kwargs['kind'] == 'internal'


def test_group_that_is_led_elsewhere_is_no_error() -> None:
    assert not log_while_syncing(NotLeaderError(None)).called


load_tests = function_tests(globals())
