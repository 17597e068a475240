"""A worker in simulated time that follows the published protocol strictly."""

import msgspec

from cassiahold.core.ids import AttemptId, DataCentre, WorkerId
from cassiahold.core.resources import NO_RESOURCES, Resources
from cassiahold.core.states import AttemptOutcome, CommandKind
from cassiahold.wire.messages import (
    EndedAttempt,
    RunningAttempt,
    WorkerCommand,
    WorkerReport,
    WorkerReportReply,
)


class RunningAttemptState(msgspec.Struct):
    """An attempt in progress; ``usage_factor`` is usage over allocation."""

    resources: Resources
    ends_at: float
    will_fail: bool
    usage_factor: float


class SimulatedWorker:
    """A worker whose clock runs at ``clock_rate`` times the simulated time."""

    def __init__(
        self, worker_id: WorkerId, capacity: Resources, clock_rate: float
    ) -> None:
        self.id = worker_id
        self.capacity = capacity
        self.clock_rate = clock_rate
        self.incarnation = 0
        self.sequence = 0
        self.term = 0
        self.lease_until = float('-inf')
        self.running_by_attempt: dict[AttemptId, RunningAttemptState] = {}
        self.ended_by_attempt: dict[AttemptId, EndedAttempt] = {}
        self.known_attempts: set[AttemptId] = set()
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.fails_every_attempt = False
        self.next_report_at = 0.0
        self.sent_at = 0.0

    def local_time(self, now: float) -> float:
        """Return the time of the worker's clock."""
        return now * self.clock_rate

    def allocated_resources(self) -> Resources:
        """Return the resources allocated to the running attempts."""
        return sum(
            (running.resources for running in self.running_by_attempt.values()),
            NO_RESOURCES,
        )

    def restart(self) -> None:
        """Lose all state and start as a new incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self.lease_until = float('-inf')
        self.running_by_attempt.clear()
        self.ended_by_attempt.clear()
        self.known_attempts.clear()

    def stop_if_lease_expired(self, now: float) -> None:
        """Drop every attempt once the lease has expired."""
        if self.local_time(now) >= self.lease_until:
            self.running_by_attempt.clear()

    def end_due_attempts(self, now: float) -> None:
        """End the attempts whose run time is over."""
        for attempt, running in list(self.running_by_attempt.items()):
            if now >= running.ends_at:
                failed = running.will_fail or self.fails_every_attempt
                self.end_attempt(
                    attempt,
                    AttemptOutcome.FAILED if failed else AttemptOutcome.DONE,
                )

    def end_attempt(self, attempt: AttemptId, outcome: AttemptOutcome) -> None:
        """End one attempt; report it until the scheduler confirms it."""
        if self.running_by_attempt.pop(attempt, None) is not None:
            self.ended_by_attempt[attempt] = EndedAttempt(
                attempt, outcome, ran_s=1.0
            )

    def make_report(self, now: float) -> WorkerReport:
        """Return the next report and note when it was sent."""
        self.sequence += 1
        self.sent_at = self.local_time(now)
        return WorkerReport(
            worker=self.id,
            incarnation=self.incarnation,
            data_centre=DataCentre('here'),
            sequence=self.sequence,
            term=self.term,
            capacity=self.capacity,
            running=[
                RunningAttempt(
                    attempt,
                    int(running.resources.cores_m * running.usage_factor),
                    int(running.resources.memory_mb * running.usage_factor),
                )
                for attempt, running in self.running_by_attempt.items()
            ],
            ended=list(self.ended_by_attempt.values()),
        )

    def handle_reply(self, reply: WorkerReportReply) -> list[WorkerCommand]:
        """Apply the reply to the newest report; return new start commands."""
        if reply.term < self.term:
            return []
        self.term = reply.term
        self.lease_until = self.sent_at + reply.lease_s
        for attempt in reply.confirmed:
            self.ended_by_attempt.pop(attempt, None)
        starts = []
        for command in reply.commands:
            if command.command is CommandKind.START:
                if command.attempt not in self.known_attempts:
                    self.known_attempts.add(command.attempt)
                    starts.append(command)
            elif command.command is CommandKind.STOP:
                self.end_attempt(command.attempt, AttemptOutcome.STOPPED)
            elif command.command is CommandKind.CHECKPOINT:
                self.end_attempt(command.attempt, AttemptOutcome.CHECKPOINTED)
        return starts
