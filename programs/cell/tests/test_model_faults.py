"""Directed histories of the model: a few workers and planned faults."""

import contextlib
import typing

from model_cell import HeartbeatFaults, ModelCell
from model_invariants import JobModel
from model_network import Fate, NetworkFaults, WorkerLink
from model_simulation import Simulation, simulated_clocks

from cassiahold.core.ids import JobId, WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import JobState

V = WorkerId('v')
W = WorkerId('w')
JOB = JobId('j')
SETUP_S = 3.0


@contextlib.contextmanager
def running_cell(
    faults: NetworkFaults | None = None,
) -> typing.Iterator[ModelCell]:
    """Run a cell with the worker ``w`` alone until ``start_worker``."""
    simulation = Simulation(seed=1)
    with simulated_clocks(simulation):
        cell = ModelCell(
            simulation, ('w',), faults or NetworkFaults(), HeartbeatFaults()
        )
        cell.link_by_worker[V] = WorkerLink(simulation, V, cell.network_faults)
        simulation.run_for(SETUP_S)
        yield cell


def submit(cell: ModelCell, work_s: float) -> None:
    cell.submit(JobModel(JOB, work_s, 0.0, max_attempts=2))


def cut_off(cell: ModelCell, worker: WorkerId) -> None:
    cell.link_by_worker[worker].is_cut = True


def check_all(cell: ModelCell) -> None:
    """Check that nothing was violated and that the job is complete."""
    assert not cell.checker.violations, '\n'.join(cell.simulation.history)
    assert cell.state_by_job[JOB] is JobState.COMPLETE


def deregister(cell: ModelCell, worker: WorkerId) -> None:
    """Let a worker deregister without an acknowledgement."""
    incarnation = cell.link_by_worker[worker].incarnation
    assert incarnation is not None
    cell.deregister(worker, incarnation, lambda: None)


def start_unnoticed(cell: ModelCell, worker: WorkerId) -> None:
    """Start a worker whose heartbeats are lost from now on."""
    cell.heartbeat_faults.lost = 1.0
    cell.start_worker(worker)


def test_start_is_not_tried_again_after_its_attempt_has_ended() -> None:
    # The reply to the start is lost, the end is acknowledged, and the worker
    # restarts under its id before the next try.
    with running_cell() as cell:
        cell.link_by_worker[W].planned_start_fates = [Fate.REPLY_LOST]
        submit(cell, work_s=0.05)
        cell.simulation.run_for(0.2)
        assert cell.state_by_job[JOB] is JobState.COMPLETE
        cell.crash_worker(W)
        cell.simulation.run_for(0.1)
        start_unnoticed(cell, W)
        cell.simulation.run_for(3)
        check_all(cell)


def test_worker_cut_off_after_it_deregistered_keeps_its_attempts() -> None:
    # The deregistration was not acknowledged, so the worker runs on.
    with running_cell() as cell:
        submit(cell, work_s=2.0)
        cell.simulation.run_for(0.2)
        cell.start_worker(V)
        cell.drain_worker(W)
        cell.simulation.run_for(0.6)
        deregister(cell, W)
        cell.simulation.run_for(0.01)
        cut_off(cell, W)
        cell.simulation.run_for(20)
        check_all(cell)


def test_done_of_an_attempt_that_was_replaced_is_not_acknowledged() -> None:
    # The end counts; but a later attempt started after it, and the worker's
    # lease has not expired since.
    with running_cell() as cell:
        submit(cell, work_s=1.0)
        cell.simulation.run_for(0.2)
        cell.start_worker(V)
        cell.drain_worker(W)
        cell.simulation.run_for(0.6)
        deregister(cell, W)
        cell.simulation.run_for(0.01)
        cut_off(cell, W)
        cell.simulation.run_for(2)
        cell.link_by_worker[W].is_cut = False
        cell.simulation.run_for(5)
        check_all(cell)


def test_lease_of_a_restarted_worker_is_not_taken_for_a_shorter_one() -> None:
    # On the clock of the new incarnation the end of the lease is far away, so
    # the worker holds the longest lease that it accepts.
    with running_cell() as cell:
        cell.crash_worker(W)
        cell.simulation.run_for(0.1)
        start_unnoticed(cell, W)
        submit(cell, work_s=30.0)
        cell.simulation.run_for(0.1)
        cut_off(cell, W)
        cell.heartbeat_faults.lost = 0.0
        cell.start_worker(V)
        cell.simulation.run_for(60)
        check_all(cell)


def test_late_start_of_an_ended_attempt_reaches_no_new_incarnation() -> None:
    # The second try was answered; the first is carried out after a restart.
    faults = NetworkFaults(
        min_late_s=2.0, max_late_s=2.0, outlives_restart=True
    )
    with running_cell(faults) as cell:
        cell.link_by_worker[W].planned_start_fates = [Fate.LATE]
        submit(cell, work_s=0.05)
        cell.simulation.run_for(1.7)
        assert cell.state_by_job[JOB] is JobState.COMPLETE
        cell.crash_worker(W)
        cell.simulation.run_for(0.2)
        start_unnoticed(cell, W)
        cell.simulation.run_for(10)
        check_all(cell)


def test_slow_poll_discards_no_end_of_a_worker_that_has_restarted() -> None:
    # The poll acknowledges an end of the earlier incarnation; the new one has
    # run an attempt that was sent under the same fence.
    faults = NetworkFaults(
        min_late_s=0.3, max_late_s=0.3, outlives_restart=True
    )
    with running_cell(faults) as cell:
        fates = [Fate.ANSWERED, Fate.LATE]
        cell.link_by_worker[W].planned_poll_fates = fates
        cell.submit(JobModel(JobId('first'), 0.05, 0.0, max_attempts=2))
        cell.simulation.run_for(0.13)
        cell.crash_worker(W)
        cell.simulation.run_for(0.1)
        start_unnoticed(cell, W)
        submit(cell, work_s=0.05)
        cell.simulation.run_for(10)
        check_all(cell)


load_tests = function_tests(globals())
