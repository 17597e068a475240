"""One planning round: a bounded number of starts and evictions.

A round places urgent jobs first, then serves the teams by their weighted
dominant shares.  What stays blocked may get a reservation, or tasks of other
teams may be evicted for it.
"""

import functools
import heapq
import typing

from cassiahold.core.ids import TeamName, WorkerId
from cassiahold.core.states import JobKind
from cassiahold.policy import gangs
from cassiahold.policy.decisions import StartDecision, task_key
from cassiahold.policy.preemption import (
    Eviction,
    RunningTask,
    find_cheapest_eviction,
)
from cassiahold.policy.reservations import GANG_RESERVATION_DELAY_S
from cassiahold.policy.shapes import TaskShape
from cassiahold.policy.teams import TeamLimits, TeamUsage
from cassiahold.policy.waiting_jobs import (
    EquivalenceClass,
    TeamWaitingJobs,
    WaitingJob,
)
from cassiahold.policy.worker_pool import NO_PREFERENCE, PlacementPreference

if typing.TYPE_CHECKING:
    from cassiahold.policy.planner import Planner

MAX_EVICTIONS_PER_ROUND: typing.Final = 16
# To restore fair shares, tasks are stopped only for teams that are below their
# entitled share by more than this fraction, and only of teams that are above
# theirs by more than it.
SHARE_TOLERANCE: typing.Final = 0.03
# A team that has been blocked below its share for this long is starved.  Tasks
# that started less than this ago, or end within it, are not stopped for it.
STARVED_AFTER_S: typing.Final = 5.0


class PlanningRound:
    """The state of one planning round and the decisions it has made.

    ``start_groups`` are groups of tasks that start together, ``evictions``
    the running tasks to stop, and ``starts_left`` how many more starts the
    round may make.
    """

    def __init__(self, planner: 'Planner', now: float, max_starts: int) -> None:
        self.start_groups: list[list[StartDecision]] = []
        self.evictions: list[Eviction] = []
        self.blocked_gangs: list[WaitingJob] = []
        self.starts_left = max_starts
        self._planner = planner
        self._now = now
        # Capacity only shrinks during a round, so a shape that did not fit
        # once does not fit again.
        self._unplaceable_requests: set[tuple[typing.Any, ...]] = set()
        self._blocked_jobs: list[WaitingJob] = []

    def place_suspects(self) -> None:
        """Place tasks that may crash their workers, each on trial.

        They come first: a worker that is free of recent starts would otherwise
        always be taken by other tasks.
        """
        suspect_jobs = [
            job
            for team_jobs in self._planner.waiting_jobs.jobs_by_team.values()
            for job in team_jobs.suspect_job_by_id.values()
        ]
        suspects = (
            (job, index)
            for job in sorted(suspect_jobs, key=lambda job: job.waiting_since)
            for index in tuple(job.suspect_indexes)
        )
        blocked_shapes: set[TaskShape] = set()
        for job, index in suspects:
            if self.starts_left <= 0:
                return
            if job.shape not in blocked_shapes:
                self._place_suspect(job, index, blocked_shapes)

    def place_urgent(self) -> None:
        """Place urgent jobs within their budget, oldest first."""
        classes = [
            (next(iter(jobs.values())).waiting_since, team, job_class)
            for team, team_jobs in (
                self._planner.waiting_jobs.jobs_by_team.items()
            )
            for job_class, jobs in team_jobs.jobs_by_class.items()
            if job_class.is_urgent
        ]
        heapq.heapify(classes)
        while (
            classes and self.starts_left > 0 and self._is_within_urgent_budget()
        ):
            _, team, job_class = heapq.heappop(classes)
            if not self._place_oldest(team, job_class):
                continue
            oldest = self._oldest_in_class(team, job_class)
            if oldest is not None:
                heapq.heappush(classes, (oldest.waiting_since, team, job_class))

    def place_by_share(self) -> None:
        """Place jobs of the team whose share is lowest for its weight."""
        planner = self._planner
        teams = [
            (self._weighted_share(team), team)
            for team in planner.waiting_jobs.jobs_by_team
        ]
        heapq.heapify(teams)
        classes_by_team: dict[
            TeamName, list[tuple[float, EquivalenceClass]]
        ] = {}
        while teams and self.starts_left > 0:
            _, team = heapq.heappop(teams)
            team_jobs = planner.waiting_jobs.jobs_by_team.get(team)
            if team_jobs is None:
                continue
            if team not in classes_by_team:
                classes_by_team[team] = team_jobs.oldest_classes()
            if self._place_for_team(team, team_jobs, classes_by_team[team]):
                heapq.heappush(teams, (self._weighted_share(team), team))

    def stop_tasks_over_limits(self) -> bool:
        """Stop the youngest tasks of teams above a lowered limit.

        Returns whether any team is still above its limits; tasks that are
        stopping count until they have ended.
        """
        planner = self._planner
        is_any_over = False
        for team, usage in planner.usage_by_team.items():
            limits = planner.limits_by_team.get(team, TeamLimits())
            is_over = usage.task_count > limits.max_tasks or not (
                usage.resources.fits_in(limits.max_resources)
            )
            if is_over:
                is_any_over = True
                self._stop_youngest(team, usage, limits)
        return is_any_over

    def _stop_youngest(
        self, team: TeamName, usage: TeamUsage, limits: TeamLimits
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
            if count <= limits.max_tasks and resources.fits_in(
                limits.max_resources
            ):
                return
            if task.is_stopping or not task.is_idempotent:
                continue
            task.is_stopping = True
            resources -= task.resources
            count -= 1

    def reserve_for_blocked_jobs(self) -> None:
        """Reserve workers for gangs and for jobs of starved teams.

        Otherwise small tasks would take all capacity that becomes free before
        a larger task fits.
        """
        planner = self._planner
        candidates = [
            job
            for job in self.blocked_gangs
            if self._now - job.waiting_since >= GANG_RESERVATION_DELAY_S
            and planner.fits_team_limits(
                job.team, job.shape.resources * len(job.pending_indexes)
            )
        ]
        candidates.extend(self._starved_jobs)
        for job in sorted(candidates, key=lambda job: job.waiting_since):
            planner.reservations.reserve_for(job, self._now)

    @functools.cached_property
    def _entitled_share_by_team(self) -> dict[TeamName, float]:
        return self._planner.entitled_shares()

    @functools.cached_property
    def _starved_jobs(self) -> list[WaitingJob]:
        """The first blocked job of each starved team, urgent jobs excepted.

        First read when all placements have been made, so the cached value
        stays valid for the rest of the round.
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
            min_share = self._entitled_share_by_team.get(team, 0.0) * (
                1 - SHARE_TOLERANCE
            )
            if planner.dominant_share(team) >= min_share:
                planner.clear_blocked(team)
            elif planner.mark_blocked(team, self._now) >= STARVED_AFTER_S:
                starved.append(job)
        return starved

    def evict_for_urgent(self) -> None:
        """Evict the cheapest tasks so that blocked urgent jobs can start."""
        for job in self._blocked_jobs:
            if (
                job.is_urgent
                and not job.is_gang
                and self._is_within_urgent_budget()
            ):
                self._evict(job, lambda _: True, len(job.pending_indexes))

    def evict_for_shares(self) -> None:
        """Evict tasks of teams above their share for starved teams."""
        if not self._starved_jobs:
            return
        planner = self._planner
        teams_above_share = {
            team
            for team in planner.usage_by_team
            if planner.dominant_share(team)
            > self._entitled_share_by_team.get(team, 0.0)
            * (1 + SHARE_TOLERANCE)
        }
        for job in self._starved_jobs:
            self._evict(
                job,
                functools.partial(self._may_stop_for_share, teams_above_share),
                1,
            )

    def _may_stop_for_share(
        self, teams_above_share: set[TeamName], task: RunningTask
    ) -> bool:
        # A task that has just started, or is about to end, is left running.
        if task.team not in teams_above_share:
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
        max_evictions: int,
    ) -> None:
        planner = self._planner
        for _ in range(max_evictions):
            if len(self.evictions) >= MAX_EVICTIONS_PER_ROUND:
                return
            eviction = find_cheapest_eviction(
                planner.worker_pool,
                planner.task_by_key,
                planner.sample_workers(),
                job.shape,
                may_stop,
                self._now,
            )
            if eviction is None:
                return
            for victim in eviction.victims:
                victim.is_stopping = True
            self.evictions.append(eviction)

    def _is_within_urgent_budget(self) -> bool:
        planner = self._planner
        urgent_share = planner.urgent_allocated.dominant_share(
            planner.worker_pool.capacity
        )
        return urgent_share < planner.urgent_budget

    def _weighted_share(self, team: TeamName) -> float:
        limits = self._planner.limits_by_team.get(team)
        weight = limits.weight if limits else 1.0
        return self._planner.dominant_share(team) / weight

    def _oldest_in_class(
        self, team: TeamName, job_class: EquivalenceClass
    ) -> WaitingJob | None:
        team_jobs = self._planner.waiting_jobs.jobs_by_team.get(team)
        jobs = team_jobs.jobs_by_class.get(job_class) if team_jobs else None
        return next(iter(jobs.values())) if jobs else None

    def _place_for_team(
        self,
        team: TeamName,
        team_jobs: TeamWaitingJobs,
        classes: list[tuple[float, EquivalenceClass]],
    ) -> bool:
        while classes:
            _, job_class = classes[0]
            if job_class in team_jobs.jobs_by_class and self._place_oldest(
                team, job_class
            ):
                oldest = self._oldest_in_class(team, job_class)
                if oldest is None:
                    heapq.heappop(classes)
                else:
                    heapq.heapreplace(
                        classes, (oldest.waiting_since, job_class)
                    )
                return True
            heapq.heappop(classes)
        return False

    def _place_oldest(
        self, team: TeamName, job_class: EquivalenceClass
    ) -> bool:
        job = self._oldest_in_class(team, job_class)
        if job is None:
            return False
        if job.is_gang:
            return self._place_gang(job)
        if not self._planner.fits_team_limits(team, job.shape.resources):
            return False
        preference = self._preference_for(job)
        request = (
            job.shape,
            preference.reservation_job,
            preference.may_backfill,
        )
        if request in self._unplaceable_requests:
            self._blocked_jobs.append(job)
            return False
        worker = self._planner.worker_pool.find_worker(job.shape, preference)
        if worker is None:
            self._unplaceable_requests.add(request)
            self._blocked_jobs.append(job)
            return False
        index = self._planner.waiting_jobs.pop_tasks(job)[0]
        resources = job.shape.resources
        self._planner.worker_pool.allocate(
            worker, task_key(job.id, index), resources
        )
        self.start_groups.append([self._record_start(job, index, worker.id)])
        return True

    def _place_suspect(
        self, job: WaitingJob, index: int, blocked_shapes: set[TaskShape]
    ) -> None:
        planner = self._planner
        resources = job.shape.resources
        if not planner.fits_team_limits(job.team, resources):
            return
        if job.is_urgent and not self._is_within_urgent_budget():
            return
        key = task_key(job.id, index)
        worker = planner.trials.find_worker(key, job.shape, self._now)
        if worker is None:
            if not planner.trials.is_held_for(key):
                blocked_shapes.add(job.shape)
            return
        planner.waiting_jobs.remove_task(job.id, index)
        planner.worker_pool.allocate(worker, key, resources)
        self.start_groups.append(
            [self._record_start(job, index, worker.id, is_suspect=True)]
        )

    def _place_gang(self, job: WaitingJob) -> bool:
        planner = self._planner
        task_count = len(job.pending_indexes)
        if not planner.fits_team_limits(
            job.team, job.shape.resources * task_count
        ):
            return False
        placements = gangs.place_gang(
            planner.worker_pool,
            job,
            lambda index: task_key(job.id, index),
            has_reservation=job.id in planner.reservations.reservation_by_job,
        )
        if placements is None:
            self.blocked_gangs.append(job)
            return False
        planner.waiting_jobs.pop_tasks(job, task_count)
        self.start_groups.append(
            [
                self._record_start(
                    job,
                    placement.task_index,
                    placement.worker.id,
                    is_suspect=job.has_suspect_member,
                )
                for placement in placements
            ]
        )
        planner.reservations.release(job.id)
        return True

    def _record_start(
        self,
        job: WaitingJob,
        index: int,
        worker: WorkerId,
        *,
        is_suspect: bool = False,
    ) -> StartDecision:
        self.starts_left -= 1
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
                is_suspect=is_suspect,
            )
        )
        return StartDecision(job.id, index, worker, resources)

    def _preference_for(self, job: WaitingJob) -> PlacementPreference:
        planner = self._planner
        may_backfill = planner.reservations.may_backfill(job, self._now)
        reservation_job = (
            job.id if job.id in planner.reservations.reservation_by_job else ''
        )
        is_service = job.kind is JobKind.SERVICE
        if not (job.is_urgent or is_service or may_backfill or reservation_job):
            return NO_PREFERENCE
        return PlacementPreference(
            prefers_speed=is_service or job.is_urgent,
            task_count_by_rack=planner.task_count_by_rack(job.id)
            if is_service
            else None,
            reservation_job=reservation_job,
            may_backfill=may_backfill,
        )
