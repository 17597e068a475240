"""A worker in simulated time, as strict as the published protocol asks."""

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


class Running(msgspec.Struct):
    """An attempt that the stand-in runs."""

    resources: Resources
    ends_at: float
    fails: bool
    usage_factor: float


class SimulatedWorker:
    """Keeps the protocol; its clock may run fast or slow."""

    def __init__(
        self, worker_id: WorkerId, capacity: Resources, rate: float
    ) -> None:
        self.id = worker_id
        self.capacity = capacity
        self.rate = rate
        self.incarnation = 0
        self.sequence = 0
        self.term = 0
        self.lease_until = float('-inf')
        self.running: dict[AttemptId, Running] = {}
        self.ended: dict[AttemptId, EndedAttempt] = {}
        self.seen: set[AttemptId] = set()
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.fails_everything = False
        self.report_at = 0.0
        self.sent_at = 0.0

    def clock(self, now: float) -> float:
        """Return the worker's own time."""
        return now * self.rate

    def held(self) -> Resources:
        """Return what the running attempts hold."""
        return sum(
            (running.resources for running in self.running.values()),
            NO_RESOURCES,
        )

    def restart(self) -> None:
        """Lose everything, as a new incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self.lease_until = float('-inf')
        self.running.clear()
        self.ended.clear()
        self.seen.clear()

    def check_lease(self, now: float) -> None:
        """Stop every attempt once the lease has lapsed."""
        if self.clock(now) >= self.lease_until:
            self.running.clear()

    def finish_due(self, now: float) -> None:
        """End attempts whose time has come."""
        for attempt, running in list(self.running.items()):
            if now >= running.ends_at:
                failed = running.fails or self.fails_everything
                self.end(
                    attempt,
                    AttemptOutcome.FAILED if failed else AttemptOutcome.DONE,
                )

    def end(self, attempt: AttemptId, how: AttemptOutcome) -> None:
        """End one attempt and keep the news until it is confirmed."""
        if self.running.pop(attempt, None) is not None:
            self.ended[attempt] = EndedAttempt(attempt, how, ran_s=1.0)

    def report(self, now: float) -> WorkerReport:
        """Return the next report."""
        self.sequence += 1
        self.sent_at = self.clock(now)
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
                for attempt, running in self.running.items()
            ],
            ended=list(self.ended.values()),
        )

    def obey(self, orders: WorkerReportReply) -> list[WorkerCommand]:
        """Take an answer to the newest report; return the fresh starts."""
        if orders.term < self.term:
            return []
        self.term = orders.term
        self.lease_until = self.sent_at + orders.lease_s
        for attempt in orders.confirmed:
            self.ended.pop(attempt, None)
        starts = []
        for command in orders.commands:
            if command.command is CommandKind.START:
                if command.attempt not in self.seen:
                    self.seen.add(command.attempt)
                    starts.append(command)
            elif command.command is CommandKind.STOP:
                self.end(command.attempt, AttemptOutcome.STOPPED)
            elif command.command is CommandKind.CHECKPOINT:
                self.end(command.attempt, AttemptOutcome.CHECKPOINTED)
        return starts
