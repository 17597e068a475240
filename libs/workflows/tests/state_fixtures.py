"""Shared fixtures: a replicated state and builders of its objects."""

import typing

from cassiahold.core.ids import (
    DataCentre,
    JobId,
    QueueName,
    ServiceName,
    TeamName,
    WorkerId,
)
from cassiahold.core.resources import Resources
from cassiahold.workflows import commands
from cassiahold.workflows.configuration import (
    AdvisorPolicy,
    CellConfiguration,
    QueuePolicy,
    ServicePolicy,
    TeamPolicy,
)
from cassiahold.workflows.model import (
    AttemptKey,
    AttemptOutcome,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerInfo,
    WorkflowSpec,
)
from cassiahold.workflows.state import WorkflowState

QUEUE = QueueName('plans')
TEAM = TeamName('desk')
CORES = Resources(cores_m=1000, memory_mb=100)
BIG = Resources(cores_m=4000, memory_mb=4000)


def queue_policy(
    name: str = 'plans', priority: int = 0, *, has_advisor: bool = False
) -> QueuePolicy:
    return QueuePolicy(
        QueueName(name),
        'host',
        f'/{name}/',
        ServiceName('svc'),
        priority=priority,
        max_attempts=2,
        slack_factor=2.0,
        objective_s=1.0,
        advisor=AdvisorPolicy(0.1, 0.02, 2.0) if has_advisor else None,
    )


def configuration(
    *queues: QueuePolicy, version: int = 1, limit: Resources | None = None
) -> CellConfiguration:
    return CellConfiguration(
        version,
        queues or (queue_policy(),),
        (ServicePolicy(ServiceName('svc')),),
        (TeamPolicy(TEAM, ('key',), limit=limit or Resources()),),
    )


def worker_info(
    name: str, incarnation: int = 1, **options: typing.Any
) -> WorkerInfo:
    return WorkerInfo(
        WorkerId(name),
        incarnation,
        f'{name}:80',
        'svc',
        DataCentre('east'),
        options.pop('capacity', BIG),
        **options,
    )


class StateFixture:
    """A replicated state with workers and shortcuts for its commands."""

    def __init__(self, *names: str, config: CellConfiguration | None = None):
        self.state = WorkflowState()
        self.apply(
            commands.PutConfiguration(config or configuration(), b'source')
        )
        for name in names:
            self.apply(commands.RegisterWorker(worker_info(name)))
        self.state.drain_effects()

    def apply(self, command: commands.Command) -> typing.Any:
        return self.state.apply(commands.encode_command(command))

    def submit(self, name: str, *steps: StepSpec, **options: typing.Any):
        spec = WorkflowSpec('payload', steps, **options.pop('spec', {}))
        accepted_at = options.pop('accepted_at', 0.0)
        queue_name = QueueName(options.pop('queue', QUEUE))
        team = options.pop('team', TEAM)
        return self.apply(
            commands.AcceptJob(JobId(name), queue_name, team, spec, accepted_at)
        )

    def start(
        self, *starts: tuple[AttemptKey, str], incarnation: int = 1
    ) -> int:
        group = [
            commands.AttemptStart(attempt, WorkerId(worker), incarnation)
            for attempt, worker in starts
        ]
        return self.apply(commands.StartAttempts(1, [group]))

    def end(
        self,
        attempt: AttemptKey,
        worker: str,
        outcome: AttemptOutcome,
        checkpoint: str = '',
    ) -> None:
        self.apply(
            commands.EndAttempts(
                [
                    commands.AttemptResult(
                        attempt, WorkerId(worker), outcome, checkpoint
                    )
                ],
                1.0,
            )
        )

    def job(self, name: str) -> typing.Any:
        return self.state.job_by_id[JobId(name)]


def attempt_key(
    job: str, step_index: int, task_index: int, attempt_number: int = 1
) -> AttemptKey:
    return AttemptKey(
        TaskKey(StepKey(JobId(job), 0, step_index), task_index), attempt_number
    )


def step_spec(tasks: int = 1, **options: typing.Any) -> StepSpec:
    return StepSpec(
        tasks=tasks, resources=options.pop('resources', CORES), **options
    )
