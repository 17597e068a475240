"""The network between leaders and simulated workers, and its faults."""

import enum
import typing

import msgspec
from model_simulation import Simulation
from model_worker import Incarnation

from cassiahold.cell.clients import (
    PollRequest,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.workflows.sessions import PollReply

CONNECT_TIMEOUT_S = 0.3
REFUSAL_S = 0.002
MIN_LATENCY_S = 0.001
MAX_LATENCY_S = 0.005
MAX_SLOW_LATENCY_S = 0.3

WorkerRequest = StartRequest | StopRequest | PollRequest
Outcome = typing.Callable[[], typing.Any]
OutcomeCallback = typing.Callable[[Outcome], None]


class Fate(enum.Enum):
    """What happens to a request; ``LATE`` is carried out seconds later."""

    ANSWERED = 'answered'
    LOST = 'lost'
    REPLY_LOST = 'reply lost'
    LATE = 'late'


class NetworkFaults(msgspec.Struct):
    """Probabilities of faults of requests, and what late ones do.

    ``lease_from_arrival`` counts the lease of a late request from when it is
    carried out; with ``outlives_restart`` the next incarnation of the worker
    carries it out, too.
    """

    lost: float = 0.0
    reply_lost: float = 0.0
    late: float = 0.0
    slow: float = 0.0
    min_late_s: float = 2.0
    max_late_s: float = 12.0
    lease_from_arrival: bool = False
    outlives_restart: bool = False


class WorkerLink:
    """The link to one worker; ``incarnation`` is None while it is down.

    ``loses_heartbeats`` cuts only what the worker says of itself.
    """

    def __init__(
        self, simulation: Simulation, name: str, faults: NetworkFaults
    ) -> None:
        self.name = name
        self.is_cut = False
        self.loses_heartbeats = False
        self.incarnation: Incarnation | None = None
        # A test sets the fates of the next starts and polls here.
        self.planned_start_fates: list[Fate] = []
        self.planned_poll_fates: list[Fate] = []
        self._simulation = simulation
        self._faults = faults

    def send(
        self, request: WorkerRequest, timeout_s: float, report: OutcomeCallback
    ) -> None:
        """Send a request; ``report`` gets a call that returns or raises."""
        _Exchange(self, self._simulation, request, report).send(
            timeout_s, self._choose_fate(request), self._faults
        )

    def latency_s(self) -> float:
        slowest_s = MAX_LATENCY_S
        if self._simulation.chance(self._faults.slow):
            slowest_s = MAX_SLOW_LATENCY_S
        return self._simulation.random.uniform(MIN_LATENCY_S, slowest_s)

    def _choose_fate(self, request: WorkerRequest) -> Fate:
        if isinstance(request, StartRequest) and self.planned_start_fates:
            return self.planned_start_fates.pop(0)
        if isinstance(request, PollRequest) and self.planned_poll_fates:
            return self.planned_poll_fates.pop(0)
        draw = self._simulation.random.random()
        for fate, probability in (
            (Fate.LOST, self._faults.lost),
            (Fate.REPLY_LOST, self._faults.reply_lost),
            (Fate.LATE, self._faults.late),
        ):
            if draw < probability:
                return fate
            draw -= probability
        return Fate.ANSWERED


class _Exchange:
    """One request and its reply; only the first outcome is reported."""

    def __init__(
        self,
        link: WorkerLink,
        simulation: Simulation,
        request: WorkerRequest,
        report: OutcomeCallback,
    ) -> None:
        self._link = link
        self._simulation = simulation
        self._request = request
        self._report = report
        self._is_finished = False

    def send(self, timeout_s: float, fate: Fate, faults: NetworkFaults) -> None:
        if self._link.is_cut and self._simulation.chance(0.5):
            self._fail_after(CONNECT_TIMEOUT_S, ErrorKind.UNREACHABLE)
            return
        if self._link.incarnation is None:
            if self._simulation.chance(0.2):
                self._fail_after(CONNECT_TIMEOUT_S, ErrorKind.UNREACHABLE)
            else:
                self._refuse_connection()
            return
        self._fail_after(timeout_s, ErrorKind.OUTCOME_UNKNOWN)
        if fate is not Fate.ANSWERED:
            self._simulation.record(
                f'{self._link.name} {fate.value}: {describe(self._request)}'
            )
        if fate is Fate.LATE:
            self._carry_out_late(faults)
        elif fate is not Fate.LOST and not self._link.is_cut:
            self._simulation.schedule(
                self._link.latency_s(),
                lambda: self._carry_out(0.0, fate is Fate.ANSWERED),
            )

    def _carry_out_late(self, faults: NetworkFaults) -> None:
        delay_s = self._simulation.random.uniform(
            faults.min_late_s, faults.max_late_s
        )
        receiver = self._link.incarnation

        def arrive() -> None:
            if not faults.outlives_restart and (
                self._link.incarnation is not receiver
            ):
                return
            self._simulation.record(
                f'{self._link.name} carries out late: {describe(self._request)}'
            )
            self._carry_out(
                delay_s if faults.lease_from_arrival else 0.0, False
            )

        self._simulation.schedule(delay_s, arrive)

    def _carry_out(self, late_by_s: float, is_answered: bool) -> None:
        incarnation = self._link.incarnation
        if incarnation is None:
            return

        def reply(content: WorkerReply | PollReply) -> None:
            if is_answered and not self._link.is_cut:
                self._simulation.schedule(
                    self._link.latency_s(),
                    lambda: self._finish(lambda: content),
                )

        try:
            _carry_out(incarnation, self._request, late_by_s, reply)
        except CassiaholdError as exc:
            if is_answered:
                self._finish(_raising(exc))

    def _refuse_connection(self) -> None:
        refused = CassiaholdError(ErrorKind.UNREACHABLE, 'refused')
        self._raise_after(REFUSAL_S, refused)

    def _fail_after(self, delay_s: float, kind: ErrorKind) -> None:
        self._raise_after(delay_s, CassiaholdError(kind, 'no reply'))

    def _raise_after(self, delay_s: float, error: CassiaholdError) -> None:
        self._simulation.schedule(
            delay_s, lambda: self._finish(_raising(error))
        )

    def _finish(self, outcome: Outcome) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._report(outcome)


def _carry_out(
    incarnation: Incarnation,
    request: WorkerRequest,
    late_by_s: float,
    reply: typing.Callable[[typing.Any], None],
) -> None:
    if isinstance(request, PollRequest):
        incarnation.poll(request, late_by_s, reply)
    elif isinstance(request, StartRequest):
        reply(incarnation.start(request, late_by_s))
    else:
        reply(incarnation.stop(request))


def _raising(error: CassiaholdError) -> Outcome:
    def outcome() -> typing.NoReturn:
        raise error

    return outcome


def describe(request: WorkerRequest) -> str:
    if isinstance(request, PollRequest):
        return (
            f'poll, fence {request.fence}, last stored end '
            f'{request.last_stored_end}, lease {request.lease_until_ms}'
        )
    kind = 'start' if isinstance(request, StartRequest) else 'stop'
    task = request.attempt.task
    number = request.attempt.attempt_number
    return (
        f'{kind}, fence {request.fence}, '
        f'{task.step.job}.{task.task_index}#{number}'
    )
