"""Tests of the actor of one replica."""

import concurrent.futures
import contextlib
import errno
import pathlib
import tempfile
import threading
import typing
from unittest import mock

from cassiahold.agreement.messages import Envelope, Membership
from cassiahold.agreement.node import RaftNode, RaftTiming
from cassiahold.agreement.replica import (
    Call,
    LeaseLapsedError,
    Proposal,
    Replica,
    ReplicaSetup,
    Tick,
)
from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import GroupName, ReplicaId
from cassiahold.core.testing import function_tests
from cassiahold.journal import Journal, OsDisk

REPLICA = ReplicaId('a')
REPLY_TIMEOUT_S = 5.0


class FaultyService:
    """A service whose handler raises what a request names."""

    def apply(self, payload: bytes) -> typing.Any:
        return payload

    def snapshot(self) -> bytes:
        return b''

    def restore(self, state: bytes) -> None:
        raise AssertionError('nothing is stored')

    def start_leading(self, term: int, now: float) -> None:
        """Nothing to do."""

    def stop_leading(self) -> None:
        """Nothing to do."""

    def due_commands(self, now: float) -> list[bytes]:
        return []

    def handle_request(self, request: typing.Any, now: float) -> typing.Any:
        if isinstance(request, Exception):
            raise request
        return request


class NoPeers:
    """Transport of a group of one replica."""

    def send(self, envelopes: list[Envelope]) -> None:
        raise AssertionError('the group has no other replica')


@contextlib.contextmanager
def single_replica() -> typing.Iterator[typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        replica = Replica.start(
            ReplicaSetup(
                GroupName('g'),
                REPLICA,
                Membership((REPLICA,)),
                RaftTiming(0.02, 0.05),
                max_log_records=100,
                max_log_bytes=1000,
                seed=1,
            ),
            ReplicaStorage(Journal(pathlib.Path(folder))),
            FaultyService(),
            NoPeers(),
        )
        try:
            yield replica
        finally:
            replica.stop()


def ask(replica: typing.Any, request: typing.Any) -> typing.Any:
    """Return the reply, or the kind of the error, once the replica leads."""
    while True:
        future: concurrent.futures.Future[typing.Any] = (
            concurrent.futures.Future()
        )
        replica.tell(Tick())
        replica.tell(Call(request, future))
        try:
            return future.result(REPLY_TIMEOUT_S)
        except CassiaholdError as exc:
            if exc.kind is not ErrorKind.NO_QUORUM:
                return exc.kind


def test_unexpected_error_of_a_request_does_not_stop_the_replica() -> None:
    with single_replica() as replica:
        assert ask(replica, 'first') == 'first'
        assert ask(replica, KeyError('worker')) is ErrorKind.INTERNAL
        assert ask(replica, 'second') == 'second'


def test_replica_that_fails_logs_the_kind_of_its_error() -> None:
    logged = threading.Event()
    log = mock.Mock(side_effect=lambda *_, **__: logged.set())
    with (
        mock.patch('cassiahold.core.logs.error', log),
        single_replica() as replica,
    ):
        replica.tell('no message')
        assert logged.wait(5.0)
    assert log.call_args.kwargs['kind'] == 'TypeError'


def test_callers_of_a_replica_that_fails_are_answered() -> None:
    # They waited until their time was up.
    future: concurrent.futures.Future[typing.Any] = concurrent.futures.Future()
    failure = OSError(errno.EIO, 'input/output error')
    with (
        mock.patch('cassiahold.core.logs.error'),
        single_replica() as replica,
    ):
        ask(replica, 'first')
        with mock.patch.object(OsDisk, 'sync', side_effect=failure):
            proposal = Proposal(b'command', lambda outcome: outcome)
            replica.tell(Call(proposal, future))
            error = future.exception(REPLY_TIMEOUT_S)
    assert isinstance(error, CassiaholdError)
    assert error.kind is ErrorKind.OUTCOME_UNKNOWN


def test_leader_without_a_lease_is_told_from_a_follower() -> None:
    future: concurrent.futures.Future[typing.Any] = concurrent.futures.Future()
    with single_replica() as replica:
        ask(replica, 'first')
        with mock.patch.object(RaftNode, 'has_valid_lease', return_value=False):
            replica.tell(Call('second', future))
            error = future.exception(REPLY_TIMEOUT_S)
    assert isinstance(error, LeaseLapsedError)


load_tests = function_tests(globals())
