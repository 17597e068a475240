"""Tests of what a caller is told about the tries of a request."""

import pathlib
import typing

from cassiahold.cell import requests
from cassiahold.cell.discovery import ReplicaDirectory
from cassiahold.cell.leader_client import MIN_FINISH_S, LeaderClient
from cassiahold.core.clock import boottime_s
from cassiahold.core.conf.settings import TlsSettings
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import ReplicaId
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.wire.security import TransportSecurity

LOST_REPLY = CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'no reply')
NO_LEADER = CassiaholdError(ErrorKind.NO_QUORUM, 'not the leader')
OVERLOADED = CassiaholdError(ErrorKind.OVERLOADED, 'too many calls')
REQUEST = requests.GetWork('host', '/queue/1', 'key')
TIMEOUT_S = 5.0
FINISH_S = 0.2


class ScriptedLeaderClient(LeaderClient):
    """A client whose calls have prepared outcomes, in order."""

    def __init__(
        self, *outcomes: typing.Any, seeds: tuple[str, ...] = ('a:1',)
    ) -> None:
        super().__init__(
            ReplicaDirectory(seeds),
            TransportSecurity(TlsSettings(mode='plain'), pathlib.Path()),
        )
        self._outcomes = list(outcomes)

    def call(self, *_: typing.Any) -> typing.Any:
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, CassiaholdError):
            raise outcome
        return outcome


def test_refusal_after_a_lost_reply_does_not_say_that_nothing_ran() -> None:
    """The first try may have been stored: "not run" would be untrue."""
    client = ScriptedLeaderClient(LOST_REPLY, OVERLOADED)
    expect_error(
        ErrorKind.OUTCOME_UNKNOWN,
        lambda: client.call_leader(REQUEST, TIMEOUT_S),
    )


def test_refusal_of_the_only_try_is_passed_on() -> None:
    client = ScriptedLeaderClient(OVERLOADED)
    expect_error(
        ErrorKind.OVERLOADED, lambda: client.call_leader(REQUEST, TIMEOUT_S)
    )


def test_overloaded_follower_does_not_refuse_for_the_leader() -> None:
    """After a fail-over, callers may reach a busy follower first."""
    seeds = ('a:1', 'b:1')
    client = ScriptedLeaderClient(OVERLOADED, 'reply', seeds=seeds)
    assert client.call_leader(REQUEST, TIMEOUT_S) == 'reply'
    refused = ScriptedLeaderClient(OVERLOADED, NO_LEADER, seeds=seeds)
    expect_error(
        ErrorKind.OVERLOADED, lambda: refused.call_leader(REQUEST, TIMEOUT_S)
    )
    assert refused.leader_silence_s() > TIMEOUT_S


def test_overloaded_leader_is_asked_once() -> None:
    directory = ReplicaDirectory(('a:1', 'b:1'))
    directory.suggest_leader(ReplicaId('b:1'))
    client = ScriptedLeaderClient(OVERLOADED)
    client._directory = directory
    expect_error(
        ErrorKind.OVERLOADED, lambda: client.call_leader(REQUEST, TIMEOUT_S)
    )
    assert client.leader_silence_s() < TIMEOUT_S


def test_reply_of_a_later_try_is_returned() -> None:
    client = ScriptedLeaderClient(LOST_REPLY, 'reply')
    assert client.call_leader(REQUEST, TIMEOUT_S) == 'reply'


def test_unknown_outcome_is_resolved_beyond_the_time_of_a_refusal() -> None:
    """The leader is killed with a submission on its way to it.

    Callers cannot repeat a request whose outcome is unknown, so the client
    goes on until the next leader tells; what no leader has received is
    refused in time to be tried elsewhere.
    """
    lost = ScriptedLeaderClient(LOST_REPLY, *(NO_LEADER,) * 20, 'stored')
    assert lost.call_leader(REQUEST, 0.05, TIMEOUT_S) == 'stored'
    refused = ScriptedLeaderClient(*(NO_LEADER,) * 20, 'stored')
    expect_error(
        ErrorKind.NO_QUORUM,
        lambda: refused.call_leader(REQUEST, 0.05, TIMEOUT_S),
    )


def test_request_without_time_is_not_taken_for_a_lost_leader() -> None:
    """A caller's deadline of 0 ms says nothing about the leader."""
    client = ScriptedLeaderClient('reply')
    for timeout_s in (0.0, -1.0, 0.001):
        expect_error(
            ErrorKind.DEADLINE_TOO_SHORT,
            lambda timeout_s=timeout_s: client.call_leader(REQUEST, timeout_s),
        )
    assert client.call_leader(REQUEST, TIMEOUT_S) == 'reply'


class StoppedLeaderClient(ScriptedLeaderClient):
    """A client whose process is told to stop during the first try."""

    def call(self, *arguments: typing.Any) -> typing.Any:
        if not self._outcomes:
            raise NO_LEADER
        self.finish_by(boottime_s() + FINISH_S)
        return super().call(*arguments)


def test_requests_in_progress_end_before_the_process() -> None:
    # A host that was stopped ended while they still waited for a leader.
    for outcomes, kind in (
        ((LOST_REPLY,), ErrorKind.OUTCOME_UNKNOWN),
        ((NO_LEADER,), ErrorKind.NO_QUORUM),
    ):
        client = StoppedLeaderClient(*outcomes)
        started_at = boottime_s()
        expect_error(
            kind,
            lambda client=client: client.call_leader(
                REQUEST, TIMEOUT_S, 2 * TIMEOUT_S
            ),
        )
        assert boottime_s() < started_at + TIMEOUT_S / 2


def test_request_is_refused_at_once_when_the_process_ends_too_soon() -> None:
    client = ScriptedLeaderClient('reply')
    client.finish_by(boottime_s() + MIN_FINISH_S / 2)
    expect_error(
        ErrorKind.LEAVING, lambda: client.call_leader(REQUEST, TIMEOUT_S)
    )
    client.finish_by(boottime_s() + TIMEOUT_S)
    assert client.call_leader(REQUEST, TIMEOUT_S) == 'reply'


class SilentReplica(LeaderClient):
    """A client whose only replica never replies."""

    def __init__(self) -> None:
        super().__init__(
            ReplicaDirectory(('a:1',)),
            TransportSecurity(TlsSettings(mode='plain'), pathlib.Path()),
        )
        self.sent_requests: list[typing.Any] = []

    def _call_remote(
        self, address: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        self.sent_requests.append(request)
        self._directory.mark_unreachable(address)
        raise LOST_REPLY


def test_silent_replica_is_probed_before_it_gets_another_request() -> None:
    """All core hosts lose power while hundreds of submissions arrive.

    Only those on their way at that moment have an unknown outcome; the later
    ones have certainly not run, so that their callers may send them again.
    """
    client = SilentReplica()
    expect_error(
        ErrorKind.OUTCOME_UNKNOWN, lambda: client.call_leader(REQUEST, 0.01)
    )
    for _ in range(3):
        expect_error(
            ErrorKind.NO_QUORUM, lambda: client.call_leader(REQUEST, 0.01)
        )
    assert client.sent_requests.count(REQUEST) == 1


load_tests = function_tests(globals())
