"""A cell of simulated workers with one leader at a time."""

import typing

import msgspec
from leader_fixtures import CONFIGURATION
from model_invariants import InvariantChecker, JobModel
from model_leader import LeaderProcess
from model_network import NetworkFaults, WorkerLink
from model_simulation import Simulation
from model_worker import TASK_CORES_M, Gangs, Incarnation

from cassiahold.cell import requests
from cassiahold.core.ids import DataCentre, JobId, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.workflows.model import (
    JobState,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkflowSpec,
)

HEARTBEAT_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
MEMORY_MB = 10
QUEUE_PREFIX = '/q/'


class HeartbeatFaults(msgspec.Struct):
    """Probabilities that a worker's call is lost, its reply is, or late."""

    lost: float = 0.0
    reply_lost: float = 0.0
    late: float = 0.0
    without_incarnation: float = 0.0


class ModelCell:
    """Workers, their links, and the process that leads.

    ``heartbeat_faults`` also hold for deregistrations.
    """

    def __init__(
        self,
        simulation: Simulation,
        names: typing.Sequence[str],
        network_faults: NetworkFaults,
        heartbeat_faults: HeartbeatFaults,
        capacity_tasks: int = 2,
    ) -> None:
        self.simulation = simulation
        self.network_faults = network_faults
        self.heartbeat_faults = heartbeat_faults
        self.capacity_m = capacity_tasks * TASK_CORES_M
        self.job_by_id: dict[JobId, JobModel] = {}
        self.checker = InvariantChecker(
            simulation, self.job_by_id, self._is_counted
        )
        self.link_by_worker = {
            WorkerId(name): WorkerLink(simulation, name, network_faults)
            for name in names
        }
        self._gangs = Gangs()
        self._term = 1
        self.leader = LeaderProcess(simulation, self.link_by_worker)
        self.leader.lead(self._term)
        self.leader.handle(
            requests.PutCellConfiguration(CONFIGURATION, b'source')
        )
        for worker in self.link_by_worker:
            self.start_worker(worker)

    @property
    def state_by_job(self) -> dict[JobId, JobState]:
        return {
            record.id: record.state
            for record in self.leader.service.state.job_by_id.values()
        }

    # Jobs.

    def submit(self, job: JobModel) -> None:
        self.job_by_id[job.job] = job
        step = StepSpec(
            job.tasks, Resources(TASK_CORES_M, MEMORY_MB), is_gang=job.is_gang
        )
        self.leader.handle(
            requests.SubmitWork(
                'h',
                f'{QUEUE_PREFIX}{job.job}',
                'key',
                WorkflowSpec('payload', (step,)),
            )
        )

    def cancel(self, job: JobId) -> None:
        if job in self.leader.service.state.job_by_id:
            self.simulation.record(f'cancel {job}')
            self.leader.handle(
                requests.CancelWork('h', f'{QUEUE_PREFIX}{job}', 'key')
            )

    def _is_counted(self, task: TaskKey) -> bool:
        record = self.leader.service.state.job_by_id.get(task.step.job)
        if record is None or not record.is_open:
            return True
        return record.step(task.step).tasks[task.task_index].is_done

    # Workers.

    def start_worker(self, worker: WorkerId, clock_rate: float = 1.0) -> None:
        incarnation = Incarnation(
            self.simulation,
            self.checker,
            self._gangs,
            self.job_by_id,
            worker,
            self.capacity_m,
            clock_rate,
        )
        self.simulation.record(f'{worker} begins, born {incarnation.born}')
        self.link_by_worker[worker].incarnation = incarnation
        self._beat(worker, incarnation)

    def crash_worker(self, worker: WorkerId) -> None:
        link = self.link_by_worker[worker]
        if link.incarnation is not None:
            link.incarnation.crash()
            link.incarnation = None

    def drain_worker(self, worker: WorkerId) -> None:
        incarnation = self.link_by_worker[worker].incarnation
        if incarnation is not None:
            self.simulation.record(f'{worker} drains')
            incarnation.is_draining = True

    def deregister(
        self, worker: WorkerId, incarnation: Incarnation, on_reply: typing.Any
    ) -> None:
        """Let an incarnation of a worker say that it leaves."""
        if not incarnation.is_up:
            return
        faults = self.heartbeat_faults
        is_unnamed = self.simulation.chance(faults.without_incarnation)
        born = 0 if is_unnamed else incarnation.born
        self.simulation.record(f'{worker} leaves, born {born}')
        self._call_leader(
            worker, requests.WorkerLeft(worker, born), lambda _: on_reply()
        )

    def _beat(self, worker: WorkerId, incarnation: Incarnation) -> None:
        if not incarnation.is_up:
            return
        self.checker.check_active(self.state_by_job)
        incarnation.sequence += 1
        info = WorkerInfo(
            worker,
            incarnation.born,
            f'{worker}:1',
            's',
            DataCentre('z'),
            Resources(self.capacity_m, 100 * MEMORY_MB),
            is_draining=incarnation.is_draining,
        )
        self._call_leader(
            worker, requests.WorkerBeat(info, incarnation.sequence)
        )
        self.simulation.schedule(
            HEARTBEAT_S, lambda: self._beat(worker, incarnation)
        )

    def _call_leader(
        self,
        worker: WorkerId,
        request: typing.Any,
        callback: typing.Callable[[typing.Any], typing.Any] | None = None,
    ) -> None:
        simulation = self.simulation
        faults = self.heartbeat_faults
        link = self.link_by_worker[worker]
        is_lost = simulation.chance(faults.lost) or link.loses_heartbeats
        delay_s = simulation.random.uniform(0.001, 0.005)
        if simulation.chance(faults.late):
            delay_s = simulation.random.uniform(0.5, 12)
            simulation.record(f'{worker} late by {delay_s:.3f}: {request}')
        elif is_lost or link.is_cut:
            return
        has_reply = not simulation.chance(faults.reply_lost)

        def arrive() -> None:
            leader = self.leader
            leader.run(
                lambda: leader.handle(request, callback if has_reply else None)
            )

        simulation.schedule(delay_s, arrive)

    # Leaders.

    def change_leader(self, *, keeps_uncommitted: bool) -> None:
        """Let another process lead, with a copy of the committed state."""
        self.simulation.record(f'leader changes, {keeps_uncommitted=}')
        snapshot = self.leader.service.snapshot()
        payloads = self.leader.depose()
        leader = LeaderProcess(self.simulation, self.link_by_worker)
        leader.service.restore(snapshot)
        if keeps_uncommitted:
            for payload in payloads:
                leader.service.apply(payload)
        self._term += 1
        self.leader = leader
        leader.lead(self._term)

    def freeze_leader(self, duration_s: float) -> None:
        self.simulation.record(f'leader freezes for {duration_s:.3f}')
        self.leader.frozen_until = self.simulation.now + duration_s
