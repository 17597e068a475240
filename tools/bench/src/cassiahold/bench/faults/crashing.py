"""Fault run of a scheduler group whose tasks crash their workers.

Besides the faults of the scheduling machine, a task of every ninth job ends
its worker shortly after each start.  Such tasks must be given up, and after a
while without faults no accepted job may still be open.
"""

import collections
import random
import typing

from cassiahold.bench.faults.scheduling import INITIAL_LIMIT, SchedulingMachine
from cassiahold.bench.faults.simulated_worker import SimulatedWorker
from cassiahold.core.ids import AttemptId

CRASHING_JOB_INTERVAL: typing.Final = 9
CRASH_DELAY_S: typing.Final = 0.1
MAX_CRASHES: typing.Final = 5
SETTLE_CHANCE: typing.Final = 0.1
SETTLE_STORMS: typing.Final = 40
SETTLE_TICKS: typing.Final = 100


class CrashingMachine(SchedulingMachine):
    """One scheduler group, its workers, and tasks that crash these."""

    def __init__(self) -> None:
        self.crash_count_by_task: collections.Counter[str] = (
            collections.Counter()
        )
        self._started_at_by_attempt: dict[AttemptId, float] = {}
        self._is_settling = False
        super().__init__()

    def run_random_storm(self, generator: random.Random) -> None:
        """Run one storm, and sometimes wait until no job is open."""
        super().run_random_storm(generator)
        if generator.random() < SETTLE_CHANCE:
            self.settle()

    def check_properties(self) -> None:
        """Check replies, and that no task crashes workers for ever."""
        super().check_properties()
        for task, crashes in self.crash_count_by_task.items():
            assert crashes <= MAX_CRASHES, ('crashes', task, crashes)

    def settle(self) -> None:
        """End all faults and check that every accepted job ends."""
        self._is_settling = True
        self._set_limit(INITIAL_LIMIT)
        for worker in self.worker_by_id.values():
            worker.paused_until = 0
            worker.cut_until = 0
            worker.fails_every_attempt = False
        for _ in range(SETTLE_STORMS):
            self.storm(0, SETTLE_TICKS, 0.0, 0.0)
        for job, record in self.leader.state.job_by_id.items():
            assert record.is_finished, ('held', job, record.tasks)
        self._is_settling = False

    def submit(self, generator: random.Random) -> None:
        """Submit a random job, unless the machine settles."""
        if not self._is_settling:
            super().submit(generator)

    def _advance_worker(
        self,
        worker: SimulatedWorker,
        generator: random.Random,
        loss_probability: float,
    ) -> None:
        crashing = self._crashing_attempt(worker)
        if crashing is not None:
            self.crash_count_by_task[crashing.rpartition('/')[0]] += 1
            worker.restart()
            return
        super()._advance_worker(worker, generator, loss_probability)

    def _crashing_attempt(self, worker: SimulatedWorker) -> AttemptId | None:
        if self.now < worker.paused_until:
            return None
        for attempt in filter(_crashes_worker, worker.running_by_attempt):
            started_at = self._started_at_by_attempt.setdefault(
                attempt, self.now
            )
            if self.now - started_at >= CRASH_DELAY_S:
                return attempt
        return None


def _crashes_worker(attempt: AttemptId) -> bool:
    job, index, _ = attempt.split('/')
    job_number = int(job.rpartition('.')[2])
    return index == '0' and job_number % CRASHING_JOB_INTERVAL == 0
