"""Property test of the count of the jobs that no worker has begun."""

import typing

from hypothesis import given, settings, strategies
from state_fixtures import (
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
)

from cassiahold.core.ids import JobId
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.configuration import QueuePlace
from cassiahold.workflows.model import AttemptOutcome

JOBS = ('a', 'b', 'c', 'd')
QUEUES = ('plans', 'bookings')
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                'submit',
                'start',
                'begin',
                'cancel',
                'restore',
                'rename',
                *AttemptOutcome,
            )
        ),
        strategies.sampled_from(JOBS),
        strategies.sampled_from(QUEUES),
    ),
    max_size=60,
)
_Step = tuple[str | AttemptOutcome, str, str]


class _History:
    """Applies steps to a state and tracks what the count has to be."""

    def __init__(self) -> None:
        self.cell = StateFixture('w', config=_two_queues('', 1))
        self._attempt_by_job: dict[str, int] = {}
        self._version = 1
        self.pending_by_queue: dict[str, set[str]] = {
            queue: set() for queue in QUEUES
        }

    def apply(self, step: _Step) -> None:
        action, job, queue = step
        if action == 'submit':
            self._submit(job, queue)
        elif action == 'restore':
            self.cell.state.restore(self.cell.state.snapshot())
        elif action == 'rename':
            self._version += 1
            following = _two_queues(f'-{self._version}', self._version)
            self.cell.apply(commands.PutConfiguration(following, b''))
        elif job in self._attempt_by_job:
            self._change(action, job)

    def check(self) -> None:
        for queue, jobs in self.pending_by_queue.items():
            place = QueuePlace('host', f'/{queue}/')
            assert self.cell.state.count_unstarted_jobs(place) == len(jobs)

    def _submit(self, job: str, queue: str) -> None:
        name = self.cell.state.configuration_index.queue_by_place[
            QueuePlace('host', f'/{queue}/')
        ].name
        if self.cell.submit(job, step_spec(), queue=name).is_first:
            self._attempt_by_job[job] = 0
            self.pending_by_queue[queue].add(job)

    def _change(self, action: typing.Any, job: str) -> None:
        attempt = attempt_key(job, 0, 0, self._attempt_by_job[job])
        if action == 'start':
            following = attempt_key(job, 0, 0, self._attempt_by_job[job] + 1)
            if self.cell.start((following, 'w')):
                self._attempt_by_job[job] += 1
        elif action == 'begin':
            self.cell.apply(
                commands.EndAttempts([], 1.0, begun_jobs=(JobId(job),))
            )
            self._remove(job)
        elif action == 'cancel':
            self.cell.apply(commands.CancelJob(JobId(job), 1.0))
            self._remove(job)
        else:
            self._end(job, attempt, action)

    def _end(
        self, job: str, attempt: typing.Any, outcome: AttemptOutcome
    ) -> None:
        active = self.cell.state.find_attempt(attempt.task)
        self.cell.end(attempt, 'w', outcome)
        if active is not None and outcome is not AttemptOutcome.LOST:
            self._remove(job)

    def _remove(self, job: str) -> None:
        for jobs in self.pending_by_queue.values():
            jobs.discard(job)


def _two_queues(suffix: str, version: int):
    queues = (queue_policy(queue) for queue in QUEUES)
    return configuration(
        *(_renamed(queue, f'{queue.name}{suffix}') for queue in queues),
        version=version,
    )


def _renamed(queue: typing.Any, name: str) -> typing.Any:
    return type(queue)(
        name,
        queue.host,
        queue.prefix,
        queue.service,
        max_attempts=queue.max_attempts,
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_count_of_unstarted_jobs_follows_what_has_begun(
    steps: list[_Step],
) -> None:
    history = _History()
    for step in steps:
        history.apply(step)
        history.check()


load_tests = function_tests(globals())
