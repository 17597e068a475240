"""Random orders of reports, crashes, leaders and snapshots, by seed."""

import collections
import random
import typing

import msgspec
from leader_driver import RED, LeaderDriver, running_leader
from simulated_worker import SimulatedWorker

from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core.ids import AttemptId, DataCentre, JobId
from cassiahold.core.states import FailureReason, JobKind, JobOutcome
from cassiahold.core.testing import function_tests

SEEDS: typing.Final = range(25)
MAX_STARTS: typing.Final = 5
STEP_S: typing.Final = 0.1
TROUBLE_STEPS: typing.Final = 600
SUBMIT_STEPS: typing.Final = 150
QUIET_STEPS: typing.Final = 1800


class History:
    """A cell with trouble first and quiet afterwards."""

    def __init__(self, driver: LeaderDriver, seed: int) -> None:
        self.driver = driver
        self.chance = random.Random(seed)
        self.term = 1
        self.payloads: list[bytes] = []
        self.initial = driver.service.snapshot()
        self._apply = driver.service.apply
        driver.service.apply = self._record
        self.crashing: set[JobId] = set()
        self.sound: list[JobId] = []
        self.workers = [
            SimulatedWorker(
                f'w{number}', driver, self.chance, self._crashes_worker
            )
            for number in range(4)
        ]

    def run(self) -> None:
        for number in range(TROUBLE_STEPS):
            if number % SUBMIT_STEPS == 0:
                self._submit(number)
            self._trouble()
            self._step(0.1)
        for worker in self.workers:
            worker.cut_until = 0.0
            if worker.is_leaving:
                worker.crash()
        for _ in range(QUIET_STEPS):
            self._step(0.0)

    def _submit(self, number: int) -> None:
        submit = self.driver.submit
        gang = JobKind.GANG
        self.crashing.add(submit(f'crashing {number}', tasks=2))
        self.crashing.add(submit(f'crashing gang {number}', tasks=2, kind=gang))
        self.sound.append(submit(f'sound {number}', tasks=4))
        self.sound.append(submit(f'gang {number}', tasks=3, kind=gang))
        self.sound.append(submit(f'once {number}', tasks=2, idempotent=False))

    def _record(self, payload: bytes) -> typing.Any:
        self.payloads.append(payload)
        return self._apply(payload)

    def _crashes_worker(self, attempt: AttemptId) -> bool:
        job, index, _ = attempt.split('/')
        return job in self.crashing and index == '0'

    def _step(self, loss_chance: float) -> None:
        self.driver.advance(STEP_S)
        for worker in self.workers:
            worker.step(loss_chance)
        self._check_one_attempt_runs()

    def _trouble(self) -> None:
        event = self.chance.random()
        worker = self.chance.choice(self.workers)
        if event < 0.004:
            self.term += 1
            self.driver.change_leader(self.term)
        elif event < 0.008:
            self.term += 1
            self.driver.service.stop_leading()
            self.driver.service.restore(self.driver.service.snapshot())
            self.driver.service.start_leading(self.term, self.driver.now)
        elif event < 0.012:
            worker.cut_until = self.driver.now + 20 * self.chance.random()
        elif event < 0.014:
            worker.crash()
        elif event < 0.016:
            worker.is_leaving = True
        elif event < 0.03 and worker.has_told_leaving:
            worker.restart()

    def _check_one_attempt_runs(self) -> None:
        running = collections.Counter(
            attempt.rpartition('/')[0]
            for worker in self.workers
            for attempt in worker.ends_at
        )
        assert not running or max(running.values()) == 1, running

    def starts_by_crashing_task(self) -> collections.Counter[str]:
        return collections.Counter(
            attempt.rpartition('/')[0]
            for worker in self.workers
            for attempt in worker.executed
            if self._crashes_worker(attempt)
        )


def check_history(seed: int) -> None:
    with running_leader(workers=0) as driver:
        history = History(driver, seed)
        history.run()
        state = driver.state
        uncounted = sum(worker.uncounted_restarts for worker in history.workers)
        for task, starts in history.starts_by_crashing_task().items():
            assert starts <= MAX_STARTS + uncounted, (task, starts)
        for job in history.crashing:
            record = state.job_by_id[job]
            assert record.outcome is JobOutcome.FAILED, record
            assert record.failure_reason is FailureReason.CRASHES
        for job in history.sound:
            assert state.job_by_id[job].is_finished, state.job_by_id[job]
        check_crashes(history)
        assert not state.team_usage(RED).tasks
        check_replay(history)


def check_crashes(history: History) -> None:
    """Each crash that a job names happened, and is named once."""
    worker_by_name = {worker.name: worker for worker in history.workers}
    for record in history.driver.state.job_by_id.values():
        named = [
            (crash.worker, crash.incarnation, crash.index, crash.attempt)
            for crash in record.crashes
        ]
        assert len(named) == len(set(named))
        for worker, incarnation, _, _ in named:
            crashed = worker_by_name[worker].crashed_incarnations
            assert incarnation in crashed, (worker, incarnation)
        if record.is_given_up:
            assert len({crash[:2] for crash in named}) >= 3


def check_replay(history: History) -> None:
    """The log gives the same state through any snapshot."""
    state = SchedulerState(DataCentre('here'))
    state.restore(history.initial)
    snapshot_at = history.chance.randrange(len(history.payloads))
    for number, payload in enumerate(history.payloads):
        state.apply(payload)
        if number == snapshot_at:
            state.restore(state.snapshot())
    decode = msgspec.msgpack.decode
    expected = decode(history.driver.state.snapshot())
    assert decode(state.snapshot()) == expected


def test_random_histories_count_each_crash_once_and_hold_no_work() -> None:
    for seed in SEEDS:
        try:
            check_history(seed)
        except Exception as exc:
            raise AssertionError(f'seed {seed}') from exc


load_tests = function_tests(globals())
