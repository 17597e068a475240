"""The leader's control loop: commands that no request has asked for.

It starts planned tasks, expires tasks past their deadline, declares workers
lost and prunes finished jobs.
"""

import time
import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.cellstate.worker_crashes import AttemptEvidence
from cassiahold.core import logs
from cassiahold.core.ids import AttemptId, DataCentre, WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.scheduler.crash_evidence import weigh_worker
from cassiahold.scheduler.planner_projection import PlannerProjection
from cassiahold.scheduler.sessions import SessionTable

LEASE_CHECK_INTERVAL_S: typing.Final = 0.25
MIN_PLAN_INTERVAL_S: typing.Final = 0.02
IDLE_PLAN_INTERVAL_S: typing.Final = 0.5  # while nothing has changed
JOB_RETENTION_S: typing.Final = 86_400.0  # of finished jobs
PRUNE_INTERVAL_S: typing.Final = 300.0


class ControlLoop:
    """Produces the commands that are due.

    The replica's actor asks for them after every flush of its log.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        state: SchedulerState,
        projection: PlannerProjection,
        sessions: SessionTable,
        metrics: Metrics,
    ) -> None:
        self._data_centre = data_centre
        self._state = state
        self._projection = projection
        self._sessions = sessions
        self._metrics = metrics
        self._next_lease_check_at = 0.0
        self._next_plan_at = 0.0
        self._next_prune_at = 0.0
        # Workers declared lost by a command that may not be committed yet.
        self._is_departed_by_pending_loss: dict[WorkerId, bool] = {}

    def due_commands(self, now: float) -> list[commands.SchedulerCommand]:
        """Return the commands to propose now."""
        commands_due: list[commands.SchedulerCommand] = []
        commands_due.extend(self._expire_tasks())
        if now >= self._next_lease_check_at:
            self._next_lease_check_at = now + LEASE_CHECK_INTERVAL_S
            commands_due.extend(self._mark_workers_lost(now))
            commands_due.extend(self._prune_jobs(now))
        commands_due.extend(self._plan_starts(now))
        return commands_due

    def is_loss_pending(self, worker: WorkerId) -> bool:
        """Tell whether a worker is being declared lost.

        It must not get a lease before that has been committed: its tasks are
        then placed elsewhere.
        """
        return worker in self._is_departed_by_pending_loss

    def record_applied(self) -> None:
        """Note which declared losses the last command has committed."""
        self._is_departed_by_pending_loss = {
            worker: is_departed
            for worker, is_departed in self._is_departed_by_pending_loss.items()
            if not self._is_committed(worker, is_departed=is_departed)
        }

    def _is_committed(self, worker: WorkerId, *, is_departed: bool) -> bool:
        record = self._state.worker_by_id.get(worker)
        return record is None or (record.is_lost and not is_departed)

    def _expire_tasks(self) -> typing.Iterator[commands.ExpireTasks]:
        deadlines = self._projection.deadline_heap
        wall_time = time.time()
        expired_jobs = []
        while deadlines and deadlines[0][0] <= wall_time:
            expired_jobs.append(self._projection.pop_deadline())
        if expired_jobs:
            yield commands.ExpireTasks(expired_jobs, wall_time)

    def _mark_workers_lost(
        self, now: float
    ) -> typing.Iterator[commands.MarkWorkersLost]:
        lapsed = [
            worker
            for worker in self._sessions.lapsed_workers(now)
            if worker not in self._is_departed_by_pending_loss
        ]
        lost, departed = [], []
        for worker in lapsed:
            record = self._state.worker_by_id.get(worker)
            if record is None:
                self._sessions.close_session(worker)
            elif record.is_leaving and not record.is_draining:
                departed.append(worker)
            elif not record.is_lost:
                lost.append(worker)
        for workers, is_departed in ((lost, False), (departed, True)):
            if workers:
                self._is_departed_by_pending_loss.update(
                    dict.fromkeys(workers, is_departed)
                )
                logs.warning(
                    'workers_lost',
                    centre=self._data_centre,
                    count=len(workers),
                    first=workers[0],
                    left=is_departed,
                )
                yield commands.MarkWorkersLost(
                    workers, time.time(), is_departed, self._evidence(workers)
                )

    def _evidence(
        self, workers: list[WorkerId]
    ) -> dict[AttemptId, AttemptEvidence]:
        evidence_by_attempt: dict[AttemptId, AttemptEvidence] = {}
        for worker in workers:
            evidence_by_attempt.update(
                weigh_worker(
                    self._state.worker_by_id[worker],
                    self._sessions.session_by_worker[worker],
                    self._state,
                )
            )
        return evidence_by_attempt

    def _prune_jobs(self, now: float) -> typing.Iterator[commands.PruneJobs]:
        if now >= self._next_prune_at:
            self._next_prune_at = now + PRUNE_INTERVAL_S
            yield commands.PruneJobs(time.time() - JOB_RETENTION_S)

    def _plan_starts(self, now: float) -> typing.Iterator[commands.StartTasks]:
        projection = self._projection
        projection.queue_delayed(now)
        for (
            worker
        ) in projection.planner.failure_tracker.end_expired_quarantines(now):
            projection.update_worker_state(worker)
        if now < self._next_plan_at:
            return
        if (
            not projection.needs_plan
            and now < self._next_plan_at + IDLE_PLAN_INTERVAL_S
        ):
            return
        projection.needs_plan = False
        plan = projection.planner.plan(now)
        self._metrics.timing(
            f'plan.{self._data_centre}', (time.monotonic() - now) * 1000
        )
        self._next_plan_at = now + MIN_PLAN_INTERVAL_S
        if not plan.is_complete:
            projection.needs_plan = True
        for eviction in plan.evictions:
            logs.info(
                'evicting',
                worker=eviction.worker,
                tasks=len(eviction.victims),
                price=eviction.preemption_cost,
            )
        if plan.start_groups:
            yield commands.StartTasks(
                [
                    [self._start_command(decision) for decision in decisions]
                    for decisions in plan.start_groups
                ]
            )

    def _start_command(self, decision: typing.Any) -> commands.AttemptStart:
        record = self._state.job_by_id[decision.job]
        return commands.AttemptStart(
            decision.job,
            decision.index,
            record.tasks[decision.index].attempt + 1,
            decision.worker,
            decision.resources,
        )
