"""One bounded pass of the planner over everything that waits."""

import functools
import heapq
import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.states import JobKind
from cassiahold.policy import gangs
from cassiahold.policy.cell import NO_PREFERENCE, PlacementPreference
from cassiahold.policy.decisions import StartDecision, task_key
from cassiahold.policy.preemption import (
    Eviction,
    RunningTask,
    find_cheapest_eviction,
)
from cassiahold.policy.reservations import GANG_RESERVATION_DELAY_S
from cassiahold.policy.teams import Bounds, TeamUsage
from cassiahold.policy.waiting import EquivalenceClass, TeamBook, WaitingJob

if typing.TYPE_CHECKING:
    from cassiahold.policy.planner import Planner

MAX_EVICTIONS_PER_ROUND: typing.Final = 16
# A team this far below its entitlement may have others stopped for it.
SHARE_TOLERANCE: typing.Final = 0.03
STARVED_AFTER_S: typing.Final = 5.0


class PlanningRound:
    """One bounded pass over the teams."""

    def __init__(self, planner: 'Planner', now: float, max_starts: int) -> None:
        self.start_groups: list[list[StartDecision]] = []
        self.evictions: list[Eviction] = []
        self.blocked_gangs: list[WaitingJob] = []
        self.starts_left = max_starts
        self._planner = planner
        self._now = now
        # Capacity only shrinks during a round, so a shape that did not fit
        # once does not fit again.
        self._requests_without_room: set[tuple[typing.Any, ...]] = set()
        self._blocked_jobs: list[WaitingJob] = []

    def place_urgent(self) -> None:
        """Place urgent work within its budget, oldest first."""
        lanes = [
            (next(iter(lane.values())).since, team, key)
            for team, book in self._planner.book.by_team.items()
            for key, lane in book.jobs_by_class.items()
            if key.is_urgent
        ]
        heapq.heapify(lanes)
        while (
            lanes and self.starts_left > 0 and self._is_within_urgent_budget()
        ):
            _, team, key = heapq.heappop(lanes)
            if not self._place_oldest(team, key):
                continue
            head = self._oldest_in_class(team, key)
            if head is not None:
                heapq.heappush(lanes, (head.since, team, key))

    def place_by_share(self) -> None:
        """Place from the team that is furthest below its weight."""
        planner = self._planner
        teams = [
            (self._weighted_share(team), team) for team in planner.book.by_team
        ]
        heapq.heapify(teams)
        lanes_by_team: dict[TeamName, list[tuple[float, EquivalenceClass]]] = {}
        while teams and self.starts_left > 0:
            _, team = heapq.heappop(teams)
            book = planner.book.by_team.get(team)
            if book is None:
                continue
            if team not in lanes_by_team:
                lanes_by_team[team] = book.oldest_classes()
            if self._place_for_team(team, book, lanes_by_team[team]):
                heapq.heappush(teams, (self._weighted_share(team), team))

    def stop_tasks_over_limits(self) -> bool:
        """Stop the youngest tasks of teams above a lowered limit.

        Returns whether any team is still above.
        """
        planner = self._planner
        is_any_over = False
        for team, usage in planner.usage_by_team.items():
            bounds = planner.bounds_by_team.get(team, Bounds())
            is_over = usage.task_count > bounds.tasks or not (
                usage.resources.fits_in(bounds.limit)
            )
            if is_over:
                is_any_over = True
                self._stop_youngest(team, usage, bounds)
        return is_any_over

    def _stop_youngest(
        self, team: TeamName, usage: TeamUsage, limits: Bounds
    ) -> None:
        planner = self._planner
        tasks = [
            task for task in planner.task_by_key.values() if task.team == team
        ]
        resources = usage.resources
        count = usage.task_count
        for task in tasks:
            if task.is_stopping:
                resources -= task.resources
                count -= 1
        for task in reversed(tasks):
            if count <= limits.tasks and resources.fits_in(limits.limit):
                return
            if task.is_stopping or not task.is_idempotent:
                continue
            task.is_stopping = True
            resources -= task.resources
            count -= 1

    def reserve_for_blocked_jobs(self) -> None:
        """Keep workers free for gangs, and for jobs of starved teams.

        Small tasks would else take every place that becomes free before a
        larger one fits.
        """
        planner = self._planner
        waiting = [
            job
            for job in self.blocked_gangs
            if self._now - job.since >= GANG_RESERVATION_DELAY_S
            and planner.fits_team_limits(
                job.team, job.shape.resources * len(job.pending)
            )
        ]
        waiting.extend(self._starved_jobs)
        for job in sorted(waiting, key=lambda job: job.since):
            planner.holds.reserve_for(job, self._now)

    @functools.cached_property
    def _entitled_share_by_team(self) -> dict[TeamName, float]:
        return self._planner.entitled()

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
            wanted = self._entitled_share_by_team.get(team, 0.0) * (
                1 - SHARE_TOLERANCE
            )
            if planner.share_of(team) >= wanted:
                planner.clear_blocked(team)
            elif planner.mark_blocked(team, self._now) >= STARVED_AFTER_S:
                starved.append(job)
        return starved

    def evict_for_urgent(self) -> None:
        """Stop cheap tasks so that blocked urgent work can start."""
        for job in self._blocked_jobs:
            if (
                job.is_urgent
                and not job.is_gang
                and self._is_within_urgent_budget()
            ):
                self._evict(job, lambda _: True, len(job.pending))

    def evict_for_shares(self) -> None:
        """Stop tasks of teams above their entitlement for those below."""
        if not self._starved_jobs:
            return
        planner = self._planner
        over = {
            team
            for team in planner.usage_by_team
            if planner.share_of(team)
            > self._entitled_share_by_team.get(team, 0.0)
            * (1 + SHARE_TOLERANCE)
        }
        for job in self._starved_jobs:
            self._evict(
                job, functools.partial(self._may_stop_for_share, over), 1
            )

    def _may_stop_for_share(
        self, over: set[TeamName], task: RunningTask
    ) -> bool:
        """Tell whether waiting for a task's own end would take too long."""
        if task.team not in over:
            return False
        ran_s = self._now - task.started_at
        run_s = self._planner.estimator.run_time(task.team, task.name, None)
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
            found = find_cheapest_eviction(
                planner.cell,
                planner.task_by_key,
                planner.sample_workers(),
                job.shape,
                may_stop,
                self._now,
            )
            if found is None:
                return
            for victim in found.victims:
                victim.is_stopping = True
            self.evictions.append(found)

    def _is_within_urgent_budget(self) -> bool:
        planner = self._planner
        held = planner.urgent_allocated.dominant_share(planner.cell.capacity)
        return held < planner.urgent_budget

    def _weighted_share(self, team: TeamName) -> float:
        bounds = self._planner.bounds_by_team.get(team)
        weight = bounds.weight if bounds else 1.0
        return self._planner.share_of(team) / weight

    def _oldest_in_class(
        self, team: TeamName, key: EquivalenceClass
    ) -> WaitingJob | None:
        book = self._planner.book.by_team.get(team)
        lane = book.jobs_by_class.get(key) if book else None
        return next(iter(lane.values())) if lane else None

    def _place_for_team(
        self,
        team: TeamName,
        book: TeamBook,
        lanes: list[tuple[float, EquivalenceClass]],
    ) -> bool:
        while lanes:
            _, key = lanes[0]
            if key in book.jobs_by_class and self._place_oldest(team, key):
                head = self._oldest_in_class(team, key)
                if head is None:
                    heapq.heappop(lanes)
                else:
                    heapq.heapreplace(lanes, (head.since, key))
                return True
            heapq.heappop(lanes)
        return False

    def _place_oldest(self, team: TeamName, key: EquivalenceClass) -> bool:
        job = self._oldest_in_class(team, key)
        if job is None:
            return False
        if job.is_gang:
            return self._place_gang(job)
        if not self._planner.fits_team_limits(team, job.shape.resources):
            return False
        wish = self._preference_for(job)
        blocked = (job.shape, wish.reservation_job, wish.may_backfill)
        if blocked in self._requests_without_room:
            self._blocked_jobs.append(job)
            return False
        worker = self._planner.cell.find(job.shape, wish)
        if worker is None:
            self._requests_without_room.add(blocked)
            self._blocked_jobs.append(job)
            return False
        index = self._planner.book.take(job)[0]
        resources = job.shape.resources
        self._planner.cell.take(worker, task_key(job.id, index), resources)
        self.start_groups.append([self._record_start(job, index, worker.id)])
        return True

    def _place_gang(self, job: WaitingJob) -> bool:
        planner = self._planner
        count = len(job.pending)
        if not planner.fits_team_limits(job.team, job.shape.resources * count):
            return False
        placed = gangs.place_gang(
            planner.cell,
            job,
            lambda index: task_key(job.id, index),
            has_reservation=job.id in planner.holds.by_job,
        )
        if placed is None:
            self.blocked_gangs.append(job)
            return False
        planner.book.take(job, count)
        self.start_groups.append(
            [
                self._record_start(
                    job, placement.task_index, placement.worker.id
                )
                for placement in placed
            ]
        )
        planner.holds.release(job.id)
        return True

    def _record_start(
        self, job: WaitingJob, index: int, worker: WorkerId
    ) -> StartDecision:
        self.starts_left -= 1
        resources = job.shape.resources
        self._planner.started(
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

    def _preference_for(self, job: WaitingJob) -> PlacementPreference:
        planner = self._planner
        backfill = planner.holds.may_backfill(job, self._now)
        held = job.id if job.id in planner.holds.by_job else ''
        is_service = job.kind is JobKind.SERVICE
        if not (job.is_urgent or is_service or backfill or held):
            return NO_PREFERENCE
        return PlacementPreference(
            prefers_speed=is_service or job.is_urgent,
            task_count_by_rack=planner.task_count_by_rack(job.id)
            if is_service
            else None,
            reservation_job=held,
            may_backfill=backfill,
        )
