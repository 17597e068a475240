"""A configured state of a scheduler group, and commands for it, for tests."""

import typing

from cassiahold.cellstate import scheduler_commands as commands
from cassiahold.cellstate.jobs import JobSpec
from cassiahold.cellstate.quotas import QuotaOffer, ResourceTotals
from cassiahold.cellstate.scheduler_state import SchedulerState
from cassiahold.config import Configuration, Limit, Queue, Team
from cassiahold.core.ids import (
    DataCentre,
    JobId,
    RequestId,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.core.states import AttemptOutcome, JobOutcome

RED = TeamName('red')
W1, W2 = WorkerId('w1'), WorkerId('w2')
SIZE = Resources(4000, 8000, 0)
TASK = Resources(1000, 1000, 0)


def configured_state(tasks: int = 10) -> SchedulerState:
    state = SchedulerState(DataCentre('p'))
    limit = Limit(cores=100, memory_gb=100)
    state.apply_command(
        commands.AdoptConfiguration(
            1,
            Configuration(
                teams=(Team(name='red', limit=limit),),
                queues=(Queue(name='jobs', team='red', max_waiting_tasks=20),),
            ),
        )
    )
    quota = ResourceTotals(Resources(100_000, 100_000), tasks)
    state.apply_command(commands.AdoptQuotaOffer(QuotaOffer(1, {RED: quota})))
    for worker in (W1, W2):
        register_worker(state, worker, 1)
    return state


def register_worker(
    state: SchedulerState, worker: WorkerId, incarnation: int
) -> None:
    state.apply_command(
        commands.RegisterWorker(worker, incarnation, SIZE, '', 'r', 1.0, 0.0)
    )


def submit(
    state: SchedulerState, request: str = 'a', **fields: typing.Any
) -> JobId:
    outcome = submit_raw(state, request, **fields)
    assert outcome.error is None, outcome
    return typing.cast(JobId, outcome.job)


def submit_raw(
    state: SchedulerState, request: str = 'a', **fields: typing.Any
) -> typing.Any:
    spec = JobSpec(queue='jobs', **fields)
    return state.apply_command(
        commands.SubmitJob(RED, RequestId(request), repr(spec), spec, 100.0)
    )


def start(
    state: SchedulerState,
    job: JobId,
    index: int = 0,
    worker: WorkerId = W1,
    resources: Resources = TASK,
) -> int:
    attempt = state.job_by_id[job].tasks[index].attempt + 1
    attempt_start = commands.AttemptStart(
        job, index, attempt, worker, resources
    )
    return int(state.apply_command(commands.StartTasks([[attempt_start]])))


def end(
    state: SchedulerState,
    job: JobId,
    attempt_outcome: AttemptOutcome = AttemptOutcome.DONE,
    index: int = 0,
    attempt: int | None = None,
) -> None:
    number = attempt or state.job_by_id[job].tasks[index].attempt
    ended = commands.AttemptResult(job, index, number, attempt_outcome)
    state.apply_command(commands.EndTasks([ended], 200.0))


def lose(state: SchedulerState, worker: WorkerId = W1) -> None:
    state.apply_command(commands.MarkWorkersLost([worker], 200.0))


def outcome(state: SchedulerState, job: JobId) -> JobOutcome:
    return state.job_by_id[job].outcome
