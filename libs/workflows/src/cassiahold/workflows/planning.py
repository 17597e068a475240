"""Placement of waiting tasks on workers, and queries to advisors.

Each pass goes through the waiting steps, the most urgent first, and decides
which tasks start on which workers and which queries are sent to advisors.  A
step that waits for its first advisor reply costs no placement work.
"""

from cassiahold.workflows.advisor_queries import AdvisorQueries
from cassiahold.workflows.advisor_replies import AdvisorReplyCache
from cassiahold.workflows.crashes import is_suspect
from cassiahold.workflows.gang_placement import GangPlacement
from cassiahold.workflows.health import HealthTracker
from cassiahold.workflows.placement import Placement
from cassiahold.workflows.plans import Plan, PlanningContext
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.steps import active_attempts, startable_tasks
from cassiahold.workflows.suspect_placement import SuspectPlacement
from cassiahold.workflows.suspects import select_doubted_tasks
from cassiahold.workflows.urgency import Backlog, Candidate


class Planner:
    """Plans placement passes over the waiting steps of one state."""

    def __init__(
        self,
        state: WorkflowState,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
    ) -> None:
        self._state = state
        self._advisor_replies = advisor_replies
        self._health = health
        self._backlog = Backlog(state)

    def plan(self, context: PlanningContext) -> Plan:
        """Return starts and advisor queries, the most urgent first."""
        candidates = self._backlog.candidates(context.unix_time_s)
        if not candidates:
            return Plan()
        return _PlanningPass(
            self._state, self._advisor_replies, self._health, context
        ).run(candidates)


class _PlanningPass:
    """One pass; deducts the resources of each start that it plans."""

    def __init__(
        self,
        state: WorkflowState,
        advisor_replies: AdvisorReplyCache,
        health: HealthTracker,
        context: PlanningContext,
    ) -> None:
        self._placement = Placement(state, advisor_replies, health, context)
        self._queries = AdvisorQueries(self._placement)
        self._suspects = SuspectPlacement(self._placement, self._queries)
        self._gangs = GangPlacement(
            self._placement, self._queries, self._suspects
        )

    def run(self, candidates: list[Candidate]) -> Plan:
        """Place the tasks of every candidate or query its advisor."""
        for candidate in candidates:
            if self._awaits_first_reply(candidate):
                continue
            tasks = startable_tasks(candidate.record, candidate.key)
            if candidate.spec.is_gang:
                self._gangs.place(candidate, tasks)
            else:
                self._place_step(candidate, tasks)
        self._suspects.place_postponed()
        return self._placement.plan

    def _awaits_first_reply(self, candidate: Candidate) -> bool:
        return (
            candidate.queue.advisor is not None
            and self._placement.advisor_replies.has_pending_query(candidate.key)
            and not self._placement.advisor_replies.has_allowed_workers(
                candidate.key
            )
        )

    def _place_step(self, candidate: Candidate, tasks: list[int]) -> None:
        step = candidate.record.step(candidate.key)
        if step.is_doubted and not self._suspects.has_settled_task(candidate):
            active_count = len(active_attempts(candidate.record, candidate.key))
            tasks = select_doubted_tasks(tasks, step.tasks, active_count)
            self._suspects.place_or_postpone(
                candidate, tasks, is_step_doubted=True
            )
            return
        records = step.tasks
        suspects = [index for index in tasks if is_suspect(records[index])]
        if suspects:
            tasks = [index for index in tasks if index not in suspects]
            self._suspects.place_or_postpone(
                candidate, suspects, is_step_doubted=False
            )
        if tasks:
            self._place_tasks(candidate, tasks)

    def _place_tasks(self, candidate: Candidate, tasks: list[int]) -> None:
        allowed_count = self._placement.count_within_limit(
            candidate, len(tasks)
        )
        if not allowed_count:
            return
        workers = self._placement.eligible_workers(candidate)
        starts = self._placement.assign_tasks(
            candidate, tasks[:allowed_count], workers
        )
        self._placement.plan.start_groups.extend([start] for start in starts)
        if len(starts) < allowed_count:
            self._queries.query_for_tasks(
                candidate, allowed_count - len(starts)
            )
