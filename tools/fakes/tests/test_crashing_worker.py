"""Tests of the fake worker that crashes under a task."""

import json
import typing

from cassiahold.core.states import CommandKind
from cassiahold.core.testing import function_tests
from cassiahold.fakes.worker import (
    AttemptCommand,
    FakeWorker,
    JournalEvent,
    ReportReply,
    WorkerPlan,
)

PLAN: typing.Final = WorkerPlan('w', 'here', 'r', 4.0, 8.0, restart_s=2.0)


class ReplyingWorker(FakeWorker):
    """A fake worker whose reports are answered with the given commands."""

    commands: list[AttemptCommand]

    def _exchange_report(self) -> ReportReply:
        return ReportReply(1, 10.0, 1.0, self.commands, [])


def start_command(attempt: str, **payload: object) -> AttemptCommand:
    return AttemptCommand(
        CommandKind.START, attempt, 100, 100, payload=json.dumps(payload)
    )


def worker_with(
    events: list[JournalEvent], commands: list[AttemptCommand]
) -> ReplyingWorker:
    worker = ReplyingWorker(PLAN, ['127.0.0.1:1'], 'key', events.append)
    worker.commands = commands
    worker._send_report()
    return worker


def test_a_task_that_crashes_its_worker_ends_all_attempts() -> None:
    events: list[JournalEvent] = []
    worker = worker_with(
        events,
        [
            start_command('j.1/0/1', run_s=0.0, crashes_worker=True),
            start_command('j.2/0/1', run_s=60.0),
        ],
    )
    assert worker.running_count == 2
    incarnation = worker._incarnation
    now = worker._attempt_by_id['j.1/0/1'].ends_at
    worker._end_due_attempts(now)
    assert worker.running_count == 0
    assert not worker._ended_by_id
    assert worker._incarnation > incarnation
    assert worker.crash_count == 1
    assert sorted(
        event.attempt for event in events if event.kind == 'end crashed'
    ) == ['j.1/0/1', 'j.2/0/1']


def test_a_crashed_worker_is_silent_until_it_has_restarted() -> None:
    worker = worker_with([], [])
    worker.crash(100.0)
    assert worker.is_down(101.9)
    assert not worker.is_down(102.0)


load_tests = function_tests(globals())
