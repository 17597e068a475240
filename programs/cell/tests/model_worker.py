"""A simulated worker that follows the protocol of the workers.

Each incarnation has a clock, a fence and a memory of its own.
"""

import typing

import msgspec
from model_invariants import EndedRun, InvariantChecker, JobModel
from model_simulation import Simulation

from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import JobId
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    StepKey,
    TaskKey,
)
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

MAX_LEASE_S = 6.0
GANG_TIMEOUT_S = 3.0
KILL_TIMEOUT_S = 1.0
MAX_REPORTED_ENDS = 500
TASK_CORES_M = 1000
_MS = 1000

PollCallback = typing.Callable[[PollReply], None]


class Run(msgspec.Struct):
    """An attempt in progress and how it will end."""

    attempt: AttemptKey
    job: JobModel
    outcome: AttemptOutcome
    is_stopping: bool = False


class Gangs:
    """The members of each run of a gang that are present."""

    def __init__(self) -> None:
        self._members: dict[
            tuple[StepKey, int], dict[TaskKey, Incarnation]
        ] = {}

    def join(
        self, incarnation: 'Incarnation', attempt: AttemptKey
    ) -> dict[TaskKey, 'Incarnation']:
        key = (attempt.task.step, attempt.attempt_number)
        members = self._members.setdefault(key, {})
        members[attempt.task] = incarnation
        return members

    def leave(self, attempt: AttemptKey) -> dict[TaskKey, 'Incarnation']:
        """Remove a member; return the others."""
        key = (attempt.task.step, attempt.attempt_number)
        members = self._members.get(key, {})
        members.pop(attempt.task, None)
        return dict(members)


class Incarnation:
    """One incarnation of a worker.

    ``clock_rate`` is at least 0.98: the worker's clock may be 2% slow.
    """

    def __init__(
        self,
        simulation: Simulation,
        checker: InvariantChecker,
        gangs: Gangs,
        job_by_id: typing.Mapping[JobId, JobModel],
        name: str,
        capacity_m: int,
        clock_rate: float = 1.0,
    ) -> None:
        self.born = int(simulation.unix_time_s() * _MS)
        self.is_up = True
        self.sequence = 0
        self.is_draining = False
        self.fence = 0
        self._simulation = simulation
        self._checker = checker
        self._gangs = gangs
        self._job_by_id = job_by_id
        self._name = name
        self._capacity_m = capacity_m
        self._clock_rate = clock_rate
        self._started_at = simulation.now
        self._lease_until_ms = 0.0
        self._lease_expires_at = simulation.now
        self._run_by_task: dict[TaskKey, Run] = {}
        self._highest_by_task: dict[TaskKey, int] = {}
        self._ends: list[EndedRun] = []
        self._end_count = 0
        self._waiting_polls: list[PollCallback] = []

    @property
    def running(self) -> list[AttemptKey]:
        return [run.attempt for run in self._run_by_task.values()]

    @property
    def clock_ms(self) -> float:
        elapsed_s = self._simulation.now - self._started_at
        return elapsed_s * self._clock_rate * _MS

    def crash(self) -> None:
        self._simulation.record(f'{self._name} is gone')
        self.is_up = False
        self._waiting_polls.clear()
        runs = list(self._run_by_task.values())
        self._run_by_task.clear()
        for run in runs:
            self._checker.record_crashed_run(self._name, run.attempt)
            self._break_gang(run)

    def start(self, request: StartRequest, late_by_s: float) -> WorkerReply:
        if not self._accepts(request.fence):
            return self._reply(ReplyStatus.SUPERSEDED)
        attempt = request.attempt
        deadline_ms = request.lease_until_ms + late_by_s * _MS
        if deadline_ms <= self.clock_ms:
            return self._reply(ReplyStatus.DEADLINE_PASSED)
        self._extend_lease(deadline_ms)
        known = self._run_by_task.get(attempt.task)
        if known is not None and known.attempt == attempt:
            return self._reply(ReplyStatus.DONE)
        if attempt.attempt_number <= self._highest_by_task.get(attempt.task, 0):
            return self._reply(ReplyStatus.OBSOLETE)
        self._begin(attempt)
        return self._reply(ReplyStatus.DONE)

    def stop(self, request: StopRequest) -> WorkerReply:
        if not self._accepts(request.fence):
            return self._reply(ReplyStatus.SUPERSEDED)
        attempt = request.attempt
        task = attempt.task
        self._highest_by_task[task] = max(
            attempt.attempt_number, self._highest_by_task.get(task, 0)
        )
        run = self._run_by_task.get(task)
        if (
            run is not None
            and run.attempt.attempt_number <= attempt.attempt_number
            and not run.is_stopping
        ):
            run.is_stopping = True
            self._end_after(
                self._simulation.random.uniform(0, KILL_TIMEOUT_S),
                run,
                AttemptOutcome.STOPPED,
            )
        return self._reply(ReplyStatus.DONE)

    def poll(
        self, request: PollRequest, late_by_s: float, reply: PollCallback
    ) -> None:
        """Answer a poll, maybe after the next end; raises for a low fence."""
        if not self._accepts(request.fence):
            raise CassiaholdError(ErrorKind.OUTCOME_UNKNOWN, 'status 409')
        self._acknowledge(request.last_stored_end)
        if request.lease_until_ms is not None:
            self._extend_lease(request.lease_until_ms + late_by_s * _MS)
        if self._ends or not request.max_wait_s:
            reply(self._poll_reply())
            return
        self._waiting_polls.append(reply)
        self._simulation.schedule(
            request.max_wait_s, lambda: self._answer_poll(reply)
        )

    # Leases.

    def _accepts(self, fence: int) -> bool:
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend_lease(self, deadline_ms: float) -> None:
        until_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_S * _MS)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        duration_s = (until_ms - self.clock_ms) / _MS / self._clock_rate
        self._lease_expires_at = self._simulation.now + duration_s
        self._simulation.schedule(duration_s, self._check_lease)

    def _check_lease(self) -> None:
        if self.is_up and self._simulation.now >= self._lease_expires_at:
            for run in list(self._run_by_task.values()):
                self._end(run, AttemptOutcome.LEASE_EXPIRED)
            for ended in self._ends:
                ended.is_lapsed = True

    # Attempts.

    def _begin(self, attempt: AttemptKey) -> None:
        job = self._job_by_id[attempt.task.step.job]
        has_failed = self._simulation.chance(job.failure_probability)
        run = Run(
            attempt,
            job,
            AttemptOutcome.FAILED if has_failed else AttemptOutcome.DONE,
        )
        self._highest_by_task[attempt.task] = attempt.attempt_number
        self._checker.record_start(self._name, attempt)
        self._run_by_task[attempt.task] = run
        used_m = len(self._run_by_task) * TASK_CORES_M
        self._checker.check_capacity(self._name, used_m, self._capacity_m)
        if not job.is_gang:
            self._end_after(job.work_s, run, run.outcome)
            return
        members = self._gangs.join(self, attempt)
        if len(members) == job.tasks:
            self._simulation.schedule(
                job.work_s, lambda: self._end_gang(run, members)
            )
        self._simulation.schedule(
            GANG_TIMEOUT_S, lambda: self._end_if_alone(run, members)
        )

    def _end_gang(self, run: Run, members: dict[TaskKey, typing.Any]) -> None:
        """End all members as done, or one as failed and the others with it."""
        if len(members) < run.job.tasks or not self._is_running(run):
            return
        if run.outcome is AttemptOutcome.FAILED:
            self._end(run, AttemptOutcome.FAILED)
            return
        for task, incarnation in list(members.items()):
            incarnation.end_member(task)

    def end_member(self, task: TaskKey) -> None:
        """End a member of a gang as done, without breaking the gang."""
        run = self._run_by_task[task]
        self._gangs.leave(run.attempt)
        self._list_end(run, AttemptOutcome.DONE)

    def break_member(self, task: TaskKey) -> None:
        """End a member of a gang of which another member has ended."""
        run = self._run_by_task.get(task)
        if run is not None:
            self._gangs.leave(run.attempt)
            self._list_end(run, AttemptOutcome.GANG_MEMBER_ENDED)

    def _end_if_alone(
        self, run: Run, members: dict[TaskKey, typing.Any]
    ) -> None:
        if len(members) < run.job.tasks and self._is_running(run):
            self._end(run, AttemptOutcome.GANG_TIMED_OUT)

    def _end_after(
        self, delay_s: float, run: Run, outcome: AttemptOutcome
    ) -> None:
        self._simulation.schedule(
            delay_s,
            lambda: self._is_running(run) and self._end(run, outcome),
        )

    def _is_running(self, run: Run) -> bool:
        return self.is_up and self._run_by_task.get(run.attempt.task) is run

    def _end(self, run: Run, outcome: AttemptOutcome) -> None:
        if self._is_running(run):
            self._list_end(run, outcome)
            self._break_gang(run)

    def _break_gang(self, run: Run) -> None:
        if run.job.is_gang:
            for task, member in self._gangs.leave(run.attempt).items():
                member.break_member(task)

    def _list_end(self, run: Run, outcome: AttemptOutcome) -> None:
        self._run_by_task.pop(run.attempt.task)
        self._end_count += 1
        self._ends.append(
            self._checker.record_end(
                self._name, self._end_count, run.attempt, outcome
            )
        )
        for reply in list(self._waiting_polls):
            self._answer_poll(reply)

    # Replies.

    def _acknowledge(self, number: int) -> None:
        for ended in self._ends:
            if ended.number <= number:
                self._checker.record_acknowledged(self._name, ended)
        self._ends = [each for each in self._ends if each.number > number]

    def _answer_poll(self, reply: PollCallback) -> None:
        if reply in self._waiting_polls:
            self._waiting_polls.remove(reply)
            reply(self._poll_reply())

    def _poll_reply(self) -> PollReply:
        return PollReply(
            self.born,
            int(self.clock_ms),
            tuple(
                RunningAttempt(
                    run.attempt, '', int(self._simulation.now * _MS) % 100
                )
                for run in self._run_by_task.values()
            ),
            tuple(
                EndedAttempt(each.number, each.attempt, each.outcome, '')
                for each in self._ends[:MAX_REPORTED_ENDS]
            ),
            has_more_ends=len(self._ends) > MAX_REPORTED_ENDS,
        )

    def _reply(self, status: ReplyStatus) -> WorkerReply:
        return WorkerReply(status, int(self.clock_ms))
