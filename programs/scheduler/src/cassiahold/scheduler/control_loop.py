"""What the leader does of itself: starts, losses, expiries, pruning."""

import time
import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.core import logs
from cassiahold.core.ids import DataCentre, WorkerId
from cassiahold.core.metrics import Metrics
from cassiahold.scheduler.mirror import Mirror
from cassiahold.scheduler.sessions import SessionTable

LOST_CHECK_S: typing.Final = 0.25
MIN_PLAN_INTERVAL_S: typing.Final = 0.02
IDLE_PLAN_PAUSE_S: typing.Final = 0.5
RETENTION_S: typing.Final = 86_400.0
PRUNE_PAUSE_S: typing.Final = 300.0


class Chores:
    """Commands that are due, asked for after every flush of the actor."""

    def __init__(
        self,
        centre: DataCentre,
        state: SchedulerState,
        mirror: Mirror,
        sessions: SessionTable,
        metrics: Metrics,
    ) -> None:
        self._centre = centre
        self._state = state
        self._mirror = mirror
        self._sessions = sessions
        self._metrics = metrics
        self._lost_check_at = 0.0
        self._plan_at = 0.0
        self._prune_at = 0.0
        # Losses that are proposed but not yet committed.
        self._lost_pending: set[WorkerId] = set()

    def due(self, now: float) -> list[commands.SchedulerCommand]:
        """Return the commands that are due."""
        commands_due: list[commands.SchedulerCommand] = []
        commands_due.extend(self._expire())
        if now >= self._lost_check_at:
            self._lost_check_at = now + LOST_CHECK_S
            commands_due.extend(self._lose(now))
            commands_due.extend(self._prune(now))
        commands_due.extend(self._plan(now))
        return commands_due

    def heard(self, worker: WorkerId) -> None:
        """Note that a worker reports again."""
        self._lost_pending.discard(worker)

    def _expire(self) -> typing.Iterator[commands.ExpireTasks]:
        deadlines = self._mirror.deadlines
        wall = time.time()
        due = []
        while deadlines and deadlines[0][0] <= wall:
            due.append(self._mirror.pop_deadline())
        if due:
            yield commands.ExpireTasks(due, wall)

    def _lose(self, now: float) -> typing.Iterator[commands.MarkWorkersLost]:
        lapsed = [
            worker
            for worker in self._sessions.lapsed(now)
            if worker not in self._lost_pending
        ]
        lost, gone = [], []
        for worker in lapsed:
            record = self._state.worker_by_id.get(worker)
            if record is None:
                self._sessions.forget(worker)
            elif record.is_draining:
                gone.append(worker)
            elif not record.is_lost:
                lost.append(worker)
        for workers, forget in ((lost, False), (gone, True)):
            if workers:
                self._lost_pending.update(workers)
                logs.warning(
                    'workers_lost',
                    centre=self._centre,
                    count=len(workers),
                    first=workers[0],
                    left=forget,
                )
                yield commands.MarkWorkersLost(workers, time.time(), forget)

    def _prune(self, now: float) -> typing.Iterator[commands.PruneJobs]:
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_PAUSE_S
            yield commands.PruneJobs(time.time() - RETENTION_S)

    def _plan(self, now: float) -> typing.Iterator[commands.StartTasks]:
        mirror = self._mirror
        mirror.release_delayed(now)
        for worker in mirror.planner.failure_tracker.end_expired_quarantines(
            now
        ):
            mirror.set_standing(worker)
        if now < self._plan_at:
            return
        if not mirror.is_dirty and now < self._plan_at + IDLE_PLAN_PAUSE_S:
            return
        mirror.is_dirty = False
        plan = mirror.planner.plan(now)
        self._metrics.timing(
            f'plan.{self._centre}', (time.monotonic() - now) * 1000
        )
        self._plan_at = now + MIN_PLAN_INTERVAL_S
        if not plan.is_complete:
            mirror.is_dirty = True
        for eviction in plan.evictions:
            logs.info(
                'evicting',
                worker=eviction.worker,
                tasks=len(eviction.victims),
                price=eviction.price,
            )
        if plan.start_groups:
            yield commands.StartTasks(
                [
                    [self._start(decision) for decision in group]
                    for group in plan.start_groups
                ]
            )

    def _start(self, decision: typing.Any) -> commands.AttemptStart:
        record = self._state.job_by_id[decision.job]
        return commands.AttemptStart(
            decision.job,
            decision.index,
            record.tasks[decision.index].attempt + 1,
            decision.worker,
            decision.resources,
        )
