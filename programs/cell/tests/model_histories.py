"""Random histories of the model: a seed decides the faults and their times."""

import typing

import msgspec
from model_cell import HeartbeatFaults, ModelCell
from model_invariants import JobModel
from model_network import Fate, NetworkFaults, WorkerLink
from model_simulation import Simulation, simulated_clocks
from model_worker import Incarnation

from cassiahold.core.ids import JobId, WorkerId

SETUP_S = 1.0
FAULTS_S = 25.0
# Late requests may still arrive; afterwards the cell has to finish its work.
CALM_S = 80.0
JOB_COUNT = 24
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.2
MAX_ATTEMPTS = 2
TASK_DURATIONS_S = (0.05, 0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 10.0)
# A worker that fails when a task has just ended is back before it is missed.
CHECK_INTERVAL_S = 0.02
MAX_FAILURE_DELAY_S = 0.4


class HistoryKind(msgspec.Struct, frozen=True):
    """Which faults may occur in a history.

    A crashed worker is back after ``min_restart_s`` at the earliest.
    """

    is_late: bool = True
    outlives_restart: bool = False
    lease_from_arrival: bool = False
    crashes: bool = True
    cuts: bool = True
    departures: bool = True
    leader_changes: bool = True
    fails: bool = True
    heartbeat_faults: bool = True
    min_restart_s: float = 0.1


class HistoryResult(msgspec.Struct):
    """What a history broke, its steps and how many attempts it started."""

    violations: list[str]
    steps: list[str]
    start_count: int


class _History:
    """Draws the faults of one history and lets them happen."""

    def __init__(self, simulation: Simulation, kind: HistoryKind) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._kind = kind
        self._is_calm = False
        names = ['u', 'v', 'w'][: self._random.randint(1, 3)]
        self.cell = ModelCell(
            simulation,
            names,
            NetworkFaults(
                lease_from_arrival=kind.lease_from_arrival,
                outlives_restart=kind.outlives_restart,
            ),
            HeartbeatFaults(),
        )
        self._workers = list(self.cell.link_by_worker)

    def run(self) -> None:
        self._simulation.run_for(SETUP_S)
        self._begin_faults()
        for number in range(JOB_COUNT):
            self._simulation.schedule(
                self._random.uniform(0, FAULTS_S * 0.9),
                lambda number=number: self._submit(JobId(f'j{number}')),
            )
        self._simulation.schedule(0, self._disturb)
        self._simulation.run_for(FAULTS_S)
        self._end_faults()
        self._simulation.run_for(CALM_S)
        self.cell.checker.check_finished(self.cell.state_by_job)

    def _submit(self, job: JobId) -> None:
        is_gang = len(self._workers) > 1 and self._simulation.chance(0.15)
        fails = self._kind.fails and self._simulation.chance(0.2)
        self.cell.submit(
            JobModel(
                job,
                self._random.choice(TASK_DURATIONS_S),
                self._random.choice((0.3, 1.0)) if fails else 0.0,
                MAX_ATTEMPTS,
                tasks=2 if is_gang else self._random.choice((1, 1, 1, 2)),
                is_gang=is_gang,
            )
        )
        if self._simulation.chance(0.05):
            self._simulation.schedule(
                self._random.uniform(0, 3), lambda: self.cell.cancel(job)
            )

    # Faults.

    def _begin_faults(self) -> None:
        draw = self._random.choice
        network = self.cell.network_faults
        network.lost = draw((0.0, 0.0, 0.05, 0.2))
        network.reply_lost = draw((0.0, 0.0, 0.05, 0.2))
        network.late = draw((0.0, 0.05, 0.2)) if self._kind.is_late else 0.0
        network.slow = draw((0.0, 0.0, 0.3, 1.0))
        if self._kind.heartbeat_faults:
            heartbeats = self.cell.heartbeat_faults
            heartbeats.lost = draw((0.0, 0.0, 0.3, 0.8))
            heartbeats.reply_lost = draw((0.0, 0.0, 0.3, 0.8))
            heartbeats.late = draw((0.0, 0.0, 0.3, 0.8))
            heartbeats.without_incarnation = draw((0.0, 0.0, 1.0))

    def _end_faults(self) -> None:
        self._is_calm = True
        network = self.cell.network_faults
        network.lost = network.reply_lost = network.late = network.slow = 0.0
        heartbeats = self.cell.heartbeat_faults
        heartbeats.lost = heartbeats.reply_lost = heartbeats.late = 0.0
        for worker in self._workers:
            link = self.cell.link_by_worker[worker]
            link.is_cut = False
            link.loses_heartbeats = False
            if link.incarnation is None:
                self.cell.start_worker(worker)

    def _disturb(self) -> None:
        if self._is_calm:
            return
        self._random.choice(self._possible_faults())()
        self._simulation.schedule(
            self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S), self._disturb
        )

    def _possible_faults(self) -> list[typing.Callable[[], None]]:
        kind = self._kind
        faults = [self._do_nothing]
        if kind.crashes:
            faults.extend([self._crash] * 3)
            faults.append(self._plan_crash_after_start)
        if kind.cuts:
            faults.extend([self._cut] * 3)
        if kind.departures:
            faults.append(self._drain)
        if kind.leader_changes:
            faults.extend((self._change_leader, self._freeze_leader))
        return faults

    def _do_nothing(self) -> None:
        """Leave a pause."""

    def _crash(self) -> None:
        worker = self._random.choice(self._workers)
        if self.cell.link_by_worker[worker].incarnation is not None:
            self.cell.crash_worker(worker)
            self._restart_after(self._restart_delay_s(), worker)

    def _plan_crash_after_start(self) -> None:
        """Let a worker fail soon after the next start, which gets no reply."""
        worker = self._random.choice(self._workers)
        link = self.cell.link_by_worker[worker]
        if link.incarnation is None or link.incarnation.running:
            return
        incarnation = link.incarnation
        link.planned_start_fates = [Fate.REPLY_LOST]

        def check() -> None:
            if link.incarnation is not incarnation:
                return
            if not incarnation.running:
                self._simulation.schedule(CHECK_INTERVAL_S, check)
                return
            self._simulation.schedule(
                self._random.uniform(0, MAX_FAILURE_DELAY_S),
                lambda: self._restart_unnoticed(worker, incarnation),
            )

        check()

    def _restart_unnoticed(
        self, worker: WorkerId, incarnation: Incarnation
    ) -> None:
        link = self.cell.link_by_worker[worker]
        if link.incarnation is not incarnation:
            return
        self.cell.crash_worker(worker)
        link.loses_heartbeats = True
        self._restart_after(
            self._kind.min_restart_s + self._random.uniform(0, 0.2), worker
        )
        self._simulation.schedule(
            self._kind.min_restart_s + self._random.uniform(0.3, 2),
            lambda: self._hear(link),
        )

    def _hear(self, link: WorkerLink) -> None:
        link.loses_heartbeats = False

    def _restart_delay_s(self) -> float:
        longest_s = self._random.choice((0.2, 2.0, 10.0))
        return self._kind.min_restart_s + self._random.uniform(0, longest_s)

    def _restart_after(self, delay_s: float, worker: WorkerId) -> None:
        def restart() -> None:
            if self.cell.link_by_worker[worker].incarnation is None:
                rate = self._random.choice((1.0, 0.98))
                self.cell.start_worker(worker, rate)

        self._simulation.schedule(delay_s, restart)

    def _cut(self) -> None:
        worker = self._random.choice(self._workers)
        link = self.cell.link_by_worker[worker]
        if link.is_cut:
            return
        link.is_cut = True
        self._simulation.record(f'{worker} is cut off')

        def heal() -> None:
            link.is_cut = False
            self._simulation.record(f'{worker} is reachable again')

        self._simulation.schedule(
            self._random.uniform(0.1, self._random.choice((1.0, 4.0, 15.0))),
            heal,
        )

    def _drain(self) -> None:
        worker = self._random.choice(self._workers)
        self.cell.drain_worker(worker)
        self._simulation.schedule(
            self._random.uniform(0.5, 4), lambda: self._leave(worker)
        )

    def _leave(self, worker: WorkerId) -> None:
        """Deregister; end on the acknowledgement or some seconds later."""
        incarnation = self.cell.link_by_worker[worker].incarnation
        if incarnation is None or not incarnation.is_draining:
            return

        def end() -> None:
            if self.cell.link_by_worker[worker].incarnation is incarnation:
                self.cell.crash_worker(worker)
                self._restart_after(self._restart_delay_s(), worker)

        self.cell.deregister(worker, incarnation, end)
        if self._simulation.chance(0.5):
            self._simulation.schedule(
                self._random.uniform(0.1, 3),
                lambda: self.cell.deregister(worker, incarnation, end),
            )
        self._simulation.schedule(self._random.uniform(1, 5), end)

    def _change_leader(self) -> None:
        self.cell.change_leader(keeps_uncommitted=self._simulation.chance(0.5))

    def _freeze_leader(self) -> None:
        duration_s = self._random.uniform(0.1, 4)
        self.cell.freeze_leader(duration_s)
        if duration_s > 1:
            # Another process leads before this one runs again.
            self._simulation.schedule(
                self._random.uniform(0.8, duration_s), self._change_leader
            )


def run_history(seed: int, kind: HistoryKind) -> HistoryResult:
    """Run one history and return what it broke."""
    simulation = Simulation(seed)
    with simulated_clocks(simulation):
        history = _History(simulation, kind)
        history.run()
    checker = history.cell.checker
    return HistoryResult(
        checker.violations, simulation.history, checker.start_count
    )
