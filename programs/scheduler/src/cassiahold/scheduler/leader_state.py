"""What only the leader of a scheduler group keeps in memory."""

import typing

import msgspec

from cassiahold.routing.ledger import SlotLedger
from cassiahold.scheduler.control_loop import ControlLoop
from cassiahold.scheduler.planner_projection import PlannerProjection
from cassiahold.scheduler.sessions import SessionTable
from cassiahold.scheduler.worker_reports import ReportProcessor


class LeaderState(msgspec.Struct):
    """State that only the leader keeps; each new leader rebuilds it."""

    term: int
    projection: PlannerProjection
    report_processor: ReportProcessor
    sessions: SessionTable
    ledger: SlotLedger
    control_loop: ControlLoop
    confirmed_epoch: int = 0


# Returns the state of this replica as leader; raises ``NO_QUORUM`` on others.
LeaderGetter = typing.Callable[[], LeaderState]
