"""A worker that obeys the protocol, on a simulated clock, for tests."""

import random
import typing

from leader_driver import LeaderDriver, ended_attempt, running_attempt

from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import AttemptId
from cassiahold.core.states import AttemptOutcome, CommandKind
from cassiahold.wire import messages

RUN_S = 2.0
LEASE_S = 10.0
RESTART_S = 1.0


class SimulatedWorker:
    """Runs attempts for a while; a crashing one soon crashes it."""

    def __init__(
        self,
        name: str,
        driver: LeaderDriver,
        chance: random.Random,
        crashes_worker: typing.Callable[[AttemptId], bool],
    ) -> None:
        self.name = name
        self.incarnation = 1
        self.crashed_incarnations: set[int] = set()
        self.executed: list[AttemptId] = []
        self.ends_at: dict[AttemptId, float] = {}
        self.ended: dict[AttemptId, AttemptOutcome] = {}
        self.is_leaving = False
        # Whether the leader certainly knows that the worker leaves.
        self.has_told_leaving = False
        self.uncounted_restarts = 0
        self.cut_until = 0.0
        self._driver = driver
        self._chance = chance
        self._crashes_worker = crashes_worker
        self._known: set[AttemptId] = set()
        self._sequence = 0
        self._term = 0
        self._report_at = 0.0
        self._lease_ends_at = driver.now
        self._back_at = 0.0

    def step(self, loss_chance: float) -> None:
        """Let ends and crashes happen that are due, and report if due."""
        now = self._driver.now
        if now < self._back_at:
            return
        if now >= self._lease_ends_at:
            self.ends_at.clear()
        for attempt, ends_at in list(self.ends_at.items()):
            if now < ends_at:
                continue
            if self._crashes_worker(attempt):
                self.crash()
                return
            self.ends_at.pop(attempt)
            self.ended[attempt] = AttemptOutcome.DONE
        if now >= self._report_at and now >= self.cut_until:
            self._report(loss_chance)

    def crash(self) -> None:
        """End with all attempts; come back in a new incarnation."""
        if not self.has_told_leaving:
            self.crashed_incarnations.add(self.incarnation)
        self.restart()

    def restart(self) -> None:
        """Come back in a new incarnation that knows no attempts."""
        self.incarnation += 1
        # A leader that may have been told counts no crash.
        self.uncounted_restarts += self.is_leaving
        self.is_leaving = False
        self.has_told_leaving = False
        self.ends_at.clear()
        self.ended.clear()
        self._known.clear()
        self._sequence = 0
        self._back_at = self._driver.now + RESTART_S
        self._lease_ends_at = self._driver.now

    def _report(self, loss_chance: float) -> None:
        now = self._driver.now
        self._report_at = now + 0.3
        self._sequence += 1
        try:
            reply = self._send()
        except CassiaholdError:
            return
        if self._chance.random() < loss_chance or reply.term < self._term:
            return
        self._term = reply.term
        self.has_told_leaving = self.is_leaving
        self._lease_ends_at = now + LEASE_S
        self._report_at = now + reply.report_in_s
        for attempt in reply.confirmed:
            self.ended.pop(attempt, None)
        for command in reply.commands:
            self._obey(command, now)

    def _send(self) -> messages.WorkerReportReply:
        return self._driver.report(
            self.name,
            incarnation=self.incarnation,
            sequence=self._sequence,
            term=self._term,
            running=[running_attempt(attempt, 1) for attempt in self.ends_at],
            ended=[
                ended_attempt(attempt, outcome)
                for attempt, outcome in self.ended.items()
            ],
            leaving=self.is_leaving,
        )

    def _obey(self, command: messages.WorkerCommand, now: float) -> None:
        attempt = command.attempt
        if command.command is CommandKind.START:
            if attempt in self._known:
                return
            self._known.add(attempt)
            self.executed.append(attempt)
            run_s = 0.1 if self._crashes_worker(attempt) else RUN_S
            self.ends_at[attempt] = now + run_s * (0.5 + self._chance.random())
        elif attempt in self.ends_at:
            self.ends_at.pop(attempt)
            self.ended[attempt] = AttemptOutcome.STOPPED
