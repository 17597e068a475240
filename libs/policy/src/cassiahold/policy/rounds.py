"""One bounded pass of the planner over everything that waits."""

import functools
import heapq
import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.states import JobKind
from cassiahold.policy import gangs
from cassiahold.policy.decisions import StartDecision, task_key
from cassiahold.policy.holds import HOLD_AFTER_S
from cassiahold.policy.preemption import (
    Eviction,
    RunningTask,
    cheapest_eviction,
)
from cassiahold.policy.teams import TeamLimits, Usage
from cassiahold.policy.waiting_jobs import LaneKey, TeamWaitingJobs, WaitingJob
from cassiahold.policy.worker_pool import ANY, Wish

if typing.TYPE_CHECKING:
    from cassiahold.policy.planner import Planner

MAX_EVICTIONS_PER_ROUND: typing.Final = 16
# A team this far below its entitlement may have others stopped for it.
SHARE_TOLERANCE: typing.Final = 0.03
STARVED_AFTER_S: typing.Final = 5.0


class Round:
    """One bounded pass over the teams."""

    def __init__(self, planner: 'Planner', now: float, starts: int) -> None:
        self.starts: list[list[StartDecision]] = []
        self.evictions: list[Eviction] = []
        self.blocked_gangs: list[WaitingJob] = []
        self.left = starts
        self._planner = planner
        self._now = now
        # Capacity only shrinks during a round, so a shape that did not fit
        # once does not fit again.
        self._no_room: set[tuple[typing.Any, ...]] = set()
        self._blocked_jobs: list[WaitingJob] = []

    def place_urgent(self) -> None:
        """Place urgent work within its budget, oldest first."""
        lanes = [
            (next(iter(lane.values())).waiting_since, team, key)
            for team, book in self._planner.waiting_jobs.jobs_by_team.items()
            for key, lane in book.lane_by_key.items()
            if key.is_urgent
        ]
        heapq.heapify(lanes)
        while lanes and self.left > 0 and self._within_budget():
            _, team, key = heapq.heappop(lanes)
            if not self._place_head(team, key):
                continue
            head = self._head(team, key)
            if head is not None:
                heapq.heappush(lanes, (head.waiting_since, team, key))

    def place_by_share(self) -> None:
        """Place from the team that is furthest below its weight."""
        planner = self._planner
        teams = [
            (self._rank(team), team)
            for team in planner.waiting_jobs.jobs_by_team
        ]
        heapq.heapify(teams)
        lanes_by_team: dict[TeamName, list[tuple[float, LaneKey]]] = {}
        while teams and self.left > 0:
            _, team = heapq.heappop(teams)
            book = planner.waiting_jobs.jobs_by_team.get(team)
            if book is None:
                continue
            if team not in lanes_by_team:
                lanes_by_team[team] = book.oldest_lanes()
            if self._place_for(team, book, lanes_by_team[team]):
                heapq.heappush(teams, (self._rank(team), team))

    def stop_over_limit(self) -> bool:
        """Stop the youngest tasks of teams above a lowered limit.

        Returns whether any team is still above.
        """
        planner = self._planner
        is_any_over = False
        for team, usage in planner.usage_by_team.items():
            bounds = planner.limits_by_team.get(team, TeamLimits())
            is_over = usage.tasks > bounds.max_tasks or not (
                usage.resources.fits_in(bounds.max_resources)
            )
            if is_over:
                is_any_over = True
                self._stop_youngest(team, usage, bounds)
        return is_any_over

    def _stop_youngest(
        self, team: TeamName, usage: Usage, bounds: TeamLimits
    ) -> None:
        planner = self._planner
        tasks = [
            task for task in planner.task_by_key.values() if task.team == team
        ]
        resources = usage.resources
        count = usage.tasks
        for task in tasks:
            if task.is_stopping:
                resources -= task.resources
                count -= 1
        for task in reversed(tasks):
            if count <= bounds.max_tasks and resources.fits_in(
                bounds.max_resources
            ):
                return
            if task.is_stopping or not task.is_idempotent:
                continue
            task.is_stopping = True
            resources -= task.resources
            count -= 1

    def keep_room(self) -> None:
        """Keep workers free for gangs, and for jobs of starved teams.

        Small tasks would else take every place that becomes free before a
        larger one fits.
        """
        planner = self._planner
        waiting = [
            job
            for job in self.blocked_gangs
            if self._now - job.waiting_since >= HOLD_AFTER_S
            and planner.room_for(
                job.team, job.shape.resources * len(job.pending_indexes)
            )
        ]
        waiting.extend(self._starved_jobs)
        for job in sorted(waiting, key=lambda job: job.waiting_since):
            planner.reservations.keep_room_for(job, self._now)

    @functools.cached_property
    def _entitled(self) -> dict[TeamName, float]:
        return self._planner.entitled_shares()

    @functools.cached_property
    def _starved_jobs(self) -> list[WaitingJob]:
        """The first blocked job of each team far below its share.

        Asked for only once everything has been placed, so that it holds for
        the rest of the round.
        """
        planner = self._planner
        job_by_team: dict[TeamName, WaitingJob] = {}
        for job in self._blocked_jobs:
            if not job.is_urgent:
                job_by_team.setdefault(job.team, job)
        if not job_by_team:
            return []
        starved = []
        for team, job in job_by_team.items():
            wanted = self._entitled.get(team, 0.0) * (1 - SHARE_TOLERANCE)
            if planner.dominant_share(team) >= wanted:
                planner.unblocked(team)
            elif planner.blocked_for(team, self._now) >= STARVED_AFTER_S:
                starved.append(job)
        return starved

    def evict_for_urgent(self) -> None:
        """Stop cheap tasks so that blocked urgent work can start."""
        for job in self._blocked_jobs:
            if job.is_urgent and not job.is_gang and self._within_budget():
                self._evict(job, lambda _: True, len(job.pending_indexes))

    def evict_for_shares(self) -> None:
        """Stop tasks of teams above their entitlement for those below."""
        if not self._starved_jobs:
            return
        planner = self._planner
        over = {
            team
            for team in planner.usage_by_team
            if planner.dominant_share(team)
            > self._entitled.get(team, 0.0) * (1 + SHARE_TOLERANCE)
        }
        for job in self._starved_jobs:
            self._evict(job, functools.partial(self._overstays, over), 1)

    def _overstays(self, over: set[TeamName], task: RunningTask) -> bool:
        """Tell whether waiting for a task's own end would take too long."""
        if task.team not in over:
            return False
        ran_s = self._now - task.started_at
        run_s = self._planner.estimator.estimate_run_s(
            task.team, task.name, None
        )
        if run_s is not None and run_s - ran_s < STARVED_AFTER_S:
            return False
        return ran_s >= STARVED_AFTER_S

    def _evict(
        self,
        job: WaitingJob,
        may_stop: typing.Callable[[RunningTask], bool],
        tasks: int,
    ) -> None:
        planner = self._planner
        for _ in range(tasks):
            if len(self.evictions) >= MAX_EVICTIONS_PER_ROUND:
                return
            found = cheapest_eviction(
                planner.worker_pool,
                planner.task_by_key,
                planner.sample(),
                job.shape,
                may_stop,
                self._now,
            )
            if found is None:
                return
            for victim in found.victims:
                victim.is_stopping = True
            self.evictions.append(found)

    def _within_budget(self) -> bool:
        planner = self._planner
        held = planner.urgent_held.dominant_share(planner.worker_pool.capacity)
        return held < planner.urgent_budget

    def _rank(self, team: TeamName) -> float:
        bounds = self._planner.limits_by_team.get(team)
        weight = bounds.weight if bounds else 1.0
        return self._planner.dominant_share(team) / weight

    def _head(self, team: TeamName, key: LaneKey) -> WaitingJob | None:
        book = self._planner.waiting_jobs.jobs_by_team.get(team)
        lane = book.lane_by_key.get(key) if book else None
        return next(iter(lane.values())) if lane else None

    def _place_for(
        self,
        team: TeamName,
        book: TeamWaitingJobs,
        lanes: list[tuple[float, LaneKey]],
    ) -> bool:
        while lanes:
            _, key = lanes[0]
            if key in book.lane_by_key and self._place_head(team, key):
                head = self._head(team, key)
                if head is None:
                    heapq.heappop(lanes)
                else:
                    heapq.heapreplace(lanes, (head.waiting_since, key))
                return True
            heapq.heappop(lanes)
        return False

    def _place_head(self, team: TeamName, key: LaneKey) -> bool:
        job = self._head(team, key)
        if job is None:
            return False
        if job.is_gang:
            return self._place_gang(job)
        if not self._planner.room_for(team, job.shape.resources):
            return False
        wish = self._wish_for(job)
        blocked = (job.shape, wish.gang, wish.is_backfill)
        if blocked in self._no_room:
            self._blocked_jobs.append(job)
            return False
        worker = self._planner.worker_pool.find_worker(job.shape, wish)
        if worker is None:
            self._no_room.add(blocked)
            self._blocked_jobs.append(job)
            return False
        index = self._planner.waiting_jobs.pop_tasks(job)[0]
        resources = job.shape.resources
        self._planner.worker_pool.allocate(
            worker, task_key(job.id, index), resources
        )
        self.starts.append([self._decide(job, index, worker.id)])
        return True

    def _place_gang(self, job: WaitingJob) -> bool:
        planner = self._planner
        count = len(job.pending_indexes)
        if not planner.room_for(job.team, job.shape.resources * count):
            return False
        placed = gangs.place_gang(
            planner.worker_pool,
            job,
            lambda index: task_key(job.id, index),
            is_held=job.id in planner.reservations.reservation_by_job,
        )
        if placed is None:
            self.blocked_gangs.append(job)
            return False
        planner.waiting_jobs.pop_tasks(job, count)
        self.starts.append(
            [
                self._decide(job, placement.task, placement.worker.id)
                for placement in placed
            ]
        )
        planner.reservations.drop(job.id)
        return True

    def _decide(
        self, job: WaitingJob, index: int, worker: WorkerId
    ) -> StartDecision:
        self.left -= 1
        resources = job.shape.resources
        self._planner.record_start(
            RunningTask(
                task_key(job.id, index),
                job.id,
                index,
                job.team,
                worker,
                resources,
                self._now,
                job.kind,
                job.name,
                job.is_urgent,
                job.is_idempotent,
            )
        )
        return StartDecision(job.id, index, worker, resources)

    def _wish_for(self, job: WaitingJob) -> Wish:
        planner = self._planner
        backfill = planner.reservations.may_backfill(job, self._now)
        held = (
            job.id if job.id in planner.reservations.reservation_by_job else ''
        )
        is_service = job.kind is JobKind.SERVICE
        if not (job.is_urgent or is_service or backfill or held):
            return ANY
        return Wish(
            prefers_speed=is_service or job.is_urgent,
            count_by_rack=planner.racks_of(job.id) if is_service else None,
            gang=held,
            is_backfill=backfill,
        )
