"""Shared fixtures of the tests of the request sender's threads."""

import typing

from cassiahold.cell.clients import (
    PollRequest,
    ReplyStatus,
    StartRequest,
    StopRequest,
    WorkerReply,
)
from cassiahold.core.ids import DataCentre, JobId, WorkerId
from cassiahold.core.resources import Resources
from cassiahold.workflows.advisor_replies import AdvisorReply
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey, WorkerInfo
from cassiahold.workflows.sessions import PollReply

WORKER = WorkerInfo(
    WorkerId('w'), 1, 'w:80', 's', DataCentre('east'), Resources(1000)
)
TIMEOUT_S = 5.0
# Within the time after which a worker without polls counts as silent.
REPEATED_REPORT_S = 1.5


def attempt_of(job: str) -> AttemptKey:
    return AttemptKey(TaskKey(StepKey(JobId(job), 0, 0), 0), 1)


class UnusedLeaderClient:
    """Stands in for the client of other hosts, which the test never calls."""


class ReplyingClient:
    """A client of workers and of the advisor; every request gets a reply."""

    def start(self, request: StartRequest, timeout_s: float) -> WorkerReply:
        return WorkerReply(ReplyStatus.NO_CAPACITY)

    def stop(self, request: StopRequest, timeout_s: float) -> WorkerReply:
        return WorkerReply(ReplyStatus.DONE)

    def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        return PollReply(1, 1000, (), ())

    def advise(
        self, step: StepKey, workers: typing.Any, timeout_s: float
    ) -> AdvisorReply:
        return AdvisorReply({}, 1.0)
