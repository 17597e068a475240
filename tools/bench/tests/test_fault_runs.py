"""Runs the protocol code under random faults and with planted defects.

A seed that once violated a property stays as a regression test; the comment
at it names the defect.  The tests with planted defects check that the fault
machines detect them.
"""

import typing
from unittest import mock

from cassiahold.agreement.node import RaftNode
from cassiahold.bench.faults.seed_runner import run_examples, run_seed
from cassiahold.cellstate import incarnations
from cassiahold.cellstate.quotas import QuotaLedger
from cassiahold.core.testing import function_tests
from cassiahold.routing.ledger import SlotLedger
from cassiahold.scheduler import worker_requests
from cassiahold.scheduler.service import SchedulerService


def assert_no_violation(machine: str, seeds: typing.Iterable[int]) -> None:
    for seed in seeds:
        _, violation = run_seed(machine, seed)
        assert violation is None, violation


def has_violation(machine: str, seeds: typing.Iterable[int]) -> bool:
    return any(run_seed(machine, seed)[1] is not None for seed in seeds)


def test_agreement_keeps_its_properties() -> None:
    run_examples('agreement', max_examples=15, step_count=15)
    # 48: a leader had a lease before any replica had acknowledged it.
    assert_no_violation('agreement', (0, 1, 48))


def test_scheduling_keeps_its_properties() -> None:
    run_examples('scheduling', max_examples=10, step_count=10)
    # 7: a late report of an ended incarnation removed a worker's tasks.
    assert_no_violation('scheduling', (0, 1, 7))


def test_tasks_that_crash_workers_are_given_up_and_hold_no_work() -> None:
    assert_no_violation('crashing', range(6))


def test_crashes_that_are_not_counted_are_detected() -> None:
    with mock.patch.object(incarnations, 'count_crash', lambda *_: None):
        assert has_violation('crashing', range(6))


def test_a_start_that_is_never_taken_back_is_detected() -> None:
    with mock.patch.object(worker_requests, 'unlisted_results', lambda *_: []):
        assert has_violation('crashing', range(6))


def test_escrow_keeps_its_properties() -> None:
    run_examples('escrow', max_examples=40, step_count=20)
    assert_no_violation('escrow', range(40))


def test_slots_keep_their_properties() -> None:
    run_examples('slots', max_examples=10, step_count=10)
    # 1: holdings of an ended incarnation hid those of the current one.
    # 14: a new leader dropped slots of targets that had not reported yet.
    # 197: a gateway kept counting slots whose lease had expired.
    # 201: a late report reverted the leaving state of a target.
    # 293: a gateway failed between its report and that of the target.
    assert_no_violation('slots', (1, 14, 197, 201, 293))


def test_voting_within_a_lease_is_detected() -> None:
    original = RaftNode.on_vote_request

    def ignore_lease(node: RaftNode, request: typing.Any, now: float) -> None:
        node._leader_heard_at = float('-inf')
        original(node, request, now)

    with mock.patch.object(RaftNode, 'on_vote_request', ignore_lease):
        assert has_violation('agreement', range(60))


def test_ignoring_leases_of_an_earlier_leader_is_detected() -> None:
    original = SchedulerService.start_leading

    def forget_leases(service: SchedulerService, term: int, now: float) -> None:
        original(service, term, now)
        for (
            session
        ) in service._leader_state().sessions.session_by_worker.values():
            session.lease_expires_at = now

    with mock.patch.object(SchedulerService, 'start_leading', forget_leases):
        assert has_violation('scheduling', range(5))


def test_granting_before_all_holders_are_known_is_detected() -> None:
    with mock.patch.object(
        SlotLedger, '_knows_all_holders', lambda ledger, now: True
    ):
        assert has_violation('slots', range(10))


def test_offering_before_a_confirmation_is_detected() -> None:
    original = QuotaLedger.rebalance

    def confirm_all_offers(
        ledger: QuotaLedger, team: typing.Any, targets: typing.Any
    ) -> None:
        for record in ledger.quotas_by_centre.values():
            record.max_held_by_team = dict(record.offer.quota_by_team)
            record.max_held_by_team.pop(team, None)
        original(ledger, team, targets)

    with mock.patch.object(QuotaLedger, 'rebalance', confirm_all_offers):
        assert has_violation('escrow', range(20))


load_tests = function_tests(globals())
