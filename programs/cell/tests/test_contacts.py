"""Tests of the schedule by which a process contacts the leader."""

from cassiahold.cell.contacts import (
    CONTACT_INTERVAL_S,
    OFFER_INTERVAL_S,
    ContactSchedule,
)
from cassiahold.core.testing import function_tests


def test_first_contact_is_due_at_once() -> None:
    assert not ContactSchedule().pause_s(5.0, None, 9.0)


def test_replies_to_callers_put_off_contacts_until_the_next_offer() -> None:
    """A hundred hosts that all serve callers: one contact in two seconds."""
    schedule = ContactSchedule()
    schedule.record_offer(10.0, 'a:1')
    assert schedule.pause_s(10.5, 'a:1', 0.1) > 0
    assert not schedule.pause_s(10.0 + OFFER_INTERVAL_S, 'a:1', 0.1)


def test_silent_leader_is_contacted_before_the_host_counts_as_cut_off() -> None:
    schedule = ContactSchedule()
    schedule.record_offer(10.0, 'a:1')
    assert schedule.pause_s(10.4, 'a:1', 0.4) == CONTACT_INTERVAL_S - 0.4
    assert not schedule.pause_s(11.0, 'a:1', CONTACT_INTERVAL_S)


def test_new_leader_learns_its_helpers_at_once() -> None:
    schedule = ContactSchedule()
    schedule.record_offer(10.0, 'a:1')
    assert not schedule.pause_s(10.1, 'b:1', 0.0)


load_tests = function_tests(globals())
