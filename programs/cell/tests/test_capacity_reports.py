"""Tests of workers' reports of their capacity in every order, without I/O.

The commands wait in a log, so that reports and polls can arrive in between.
"""

import typing

from leader_fixtures import CONFIGURATION, RecordingSender

from cassiahold.agreement.replica import Proposal
from cassiahold.cell import local_requests as local
from cassiahold.cell import requests
from cassiahold.cell.request_sender import MAX_START_AGE_S
from cassiahold.cell.service import CellService
from cassiahold.cell.settings import REQUEST_TIMEOUT_S, CellSettings
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import DataCentre, HostName, WorkerId
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows.model import StepSpec, WorkerInfo, WorkflowSpec
from cassiahold.workflows.sessions import (
    EndedAttempt,
    PollReply,
    RunningAttempt,
)

LARGE = Resources(4000, 400)
SMALL = Resources(1000, 400)
SHRINK_COUNTS_AFTER_S = 4.0


class LoggedCell:
    """A leading service whose proposals wait until they are committed."""

    def __init__(self) -> None:
        self.term = 0
        self.pending: list[Proposal] = []
        self.change_leader(b'')
        self.send(requests.PutCellConfiguration(CONFIGURATION, b'source'))
        self.commit()

    def change_leader(self, snapshot: bytes | None = None) -> None:
        """Let another replica lead, which knows what is committed."""
        state = self.service.snapshot() if snapshot is None else snapshot
        self.pending.clear()
        self.sender = RecordingSender()
        settings = CellSettings(HostName('a'), DataCentre('z'), 'a:1', ())
        self.service = CellService(settings, self.sender, NullMetrics())
        if state:
            self.service.restore(state)
        self.term += 1
        self.service.start_leading(self.term, boottime_s())

    def send(self, request: typing.Any) -> bool:
        """Handle a request; return whether it is acknowledged at once."""
        reply = self.service.handle_request(request, boottime_s())
        if isinstance(reply, Proposal):
            self.pending.append(reply)
            return False
        return True

    def commit(self) -> None:
        """Apply the commands that wait in the log."""
        while self.pending:
            proposal = self.pending.pop(0)
            proposal.make_reply(self.service.apply(proposal.payload))

    def report(
        self, sequence: int, capacity: Resources, incarnation: int = 1
    ) -> bool:
        """Handle a heartbeat of the worker w."""
        info = WorkerInfo(
            WorkerId('w'), incarnation, 'w:1', 's', DataCentre('z'), capacity
        )
        return self.send(requests.WorkerBeat(info, sequence))

    def poll(
        self,
        running: tuple[RunningAttempt, ...] = (),
        ended: tuple[EndedAttempt, ...] = (),
        incarnation: int = 1,
    ) -> bool:
        """Handle the worker's reply to a poll."""
        worker = WorkerId('w')
        reply = PollReply(incarnation, 1000, running, ended)
        fence = self.sender.fence_by_worker[worker]
        return self.send(local.PollDone(worker, fence, reply, boottime_s()))

    @property
    def capacity(self) -> Resources:
        """Return the capacity of the worker in the replicated state."""
        return self.service.state.worker_by_id[WorkerId('w')].info.capacity


def test_late_report_does_not_widen_the_capacity_at_a_new_leader() -> None:
    cell = LoggedCell()
    for sequence, capacity in ((1, LARGE), (3, SMALL)):
        cell.report(sequence, capacity)
        cell.commit()
    cell.change_leader()
    for sequence in (1, 2):
        cell.report(sequence, LARGE)
        cell.commit()
        assert cell.capacity == SMALL
    cell.report(4, LARGE)
    cell.commit()
    assert cell.capacity == LARGE


def test_report_that_undoes_an_uncommitted_growth_is_stored() -> None:
    cell = LoggedCell()
    cell.report(1, SMALL)
    cell.commit()
    cell.report(2, LARGE)
    assert not cell.report(3, SMALL)
    cell.commit()
    assert cell.capacity == SMALL


def test_missing_report_does_not_widen_the_capacity_at_a_new_leader() -> None:
    # The worker grew for a moment; that report overtakes no newer one.
    cell = LoggedCell()
    cell.report(1, SMALL)
    cell.commit()
    cell.report(3, SMALL)
    cell.commit()
    cell.change_leader()
    cell.report(2, LARGE)
    cell.commit()
    assert cell.capacity == SMALL
    # Two changes of leader, the second before the report arrives.
    cell.report(5, SMALL)
    cell.commit()
    cell.change_leader()
    cell.report(4, LARGE)
    cell.commit()
    assert cell.capacity == SMALL


def test_unchanged_reports_in_order_are_not_stored() -> None:
    cell = LoggedCell()
    cell.report(1, SMALL)
    cell.commit()
    assert all(cell.report(sequence, SMALL) for sequence in range(2, 9))


def test_poll_of_a_new_incarnation_does_not_restore_the_old_capacity() -> None:
    # The reply is handled while the first report is not committed yet.
    cell = LoggedCell()
    cell.report(9, LARGE)
    cell.commit()
    cell.report(1, SMALL, incarnation=2)
    cell.poll(incarnation=2)
    cell.commit()
    assert cell.capacity == SMALL


def test_poll_of_a_new_incarnation_does_not_undo_a_shrink() -> None:
    # The last report of the earlier incarnation is not committed yet.
    cell = LoggedCell()
    cell.report(1, LARGE)
    cell.commit()
    cell.report(2, SMALL)
    for _ in range(2):
        cell.poll(incarnation=2)
    cell.commit()
    assert cell.capacity == SMALL


def test_queued_start_is_given_up_before_a_shrink_counts() -> None:
    assert MAX_START_AGE_S + REQUEST_TIMEOUT_S < SHRINK_COUNTS_AFTER_S


def test_no_start_counts_on_the_capacity_of_an_earlier_incarnation() -> None:
    # The worker had returned as a smaller machine under its id, and a poll
    # found it before its first report arrived.
    cell = LoggedCell()
    cell.report(1, LARGE)
    cell.commit()
    for _ in range(2):
        cell.poll(incarnation=2)
        cell.commit()
    spec = WorkflowSpec('payload', (StepSpec(1, LARGE),))
    cell.send(requests.SubmitWork('h', '/q/1', 'key', spec))
    cell.commit()
    for payload in cell.service.due_commands(boottime_s() + 0.1):
        cell.service.apply(payload)
    sent = [start.worker for start in cell.sender.starts]
    cell.report(1, SMALL, incarnation=2)
    cell.commit()
    assert not sent, sent


load_tests = function_tests(globals())
