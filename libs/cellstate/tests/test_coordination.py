"""Tests of the coordinator group's state."""

import msgspec

from cassiahold.cellstate.coordinator_state import (
    ApplyConfiguration,
    Change,
    ChangeOutcome,
    ConfirmQuotaOffer,
    CoordinatorState,
    GrantKey,
    RebalanceQuota,
    WithdrawKey,
)
from cassiahold.cellstate.quotas import ResourceTotals
from cassiahold.config import Configuration, Key, Limit, Queue, Team
from cassiahold.core.exceptions import ErrorKind, InvariantError
from cassiahold.core.ids import ChangeId, DataCentre, KeyId, TeamName
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests

P, Q = DataCentre('p'), DataCentre('q')
RED = TeamName('red')
HASH = '0' * 64


def configuration(tasks: int = 10, name: str = 'red') -> Configuration:
    limit = Limit(cores=10, memory_gb=10, tasks=tasks)
    return Configuration(teams=(Team(name=name, limit=limit),))


def apply(state: CoordinatorState, change: Change) -> ChangeOutcome:
    outcome = state.apply(msgspec.msgpack.encode(change))
    assert isinstance(outcome, ChangeOutcome)
    return outcome


def change(
    change_id: str, base: int, content: Configuration | None = None
) -> ApplyConfiguration:
    return ApplyConfiguration(
        ChangeId(change_id), base, content or configuration()
    )


def started() -> CoordinatorState:
    state = CoordinatorState([P, Q])
    apply(state, change('first', 0))
    return state


def confirm(state: CoordinatorState, centre: DataCentre, epoch: int) -> None:
    state.apply(msgspec.msgpack.encode(ConfirmQuotaOffer(centre, epoch)))


def offered(state: CoordinatorState, centre: DataCentre) -> int:
    offer = state.quota_ledger.quotas_by_centre[centre].offer
    return offer.quota_by_team.get(RED, ResourceTotals()).tasks


def test_of_two_changes_from_one_version_one_wins() -> None:
    state = started()
    assert apply(state, change('a', 1)).error is None
    loser = apply(state, change('b', 1))
    assert loser.error is ErrorKind.VERSION_CONFLICT
    assert 'version 2 is in force' in loser.detail
    assert state.configuration_version == 2


def test_a_resend_gets_the_first_answer_even_after_a_snapshot() -> None:
    state = started()
    first = apply(state, change('a', 1))
    refused = apply(state, change('b', 1))
    copy = CoordinatorState([P, Q])
    copy.restore(state.snapshot())
    assert apply(copy, change('a', 1)) == first
    assert apply(copy, change('b', 1)) == refused
    assert copy.configuration_version == 2


def test_a_change_id_names_one_change() -> None:
    state = started()
    apply(state, change('a', 1))
    other = apply(state, change('a', 1, configuration(tasks=3)))
    assert other.error is ErrorKind.REQUEST_ID_REUSED


def test_a_bad_configuration_is_refused_with_its_findings() -> None:
    bad = Configuration(queues=(Queue(name='jobs', team='nobody'),))
    outcome = apply(started(), change('a', 1, bad))
    assert outcome.error is ErrorKind.BAD_CONFIGURATION
    assert 'config.E002' in outcome.detail


def test_a_withdrawn_key_never_comes_back() -> None:
    state = started()
    key = Key(id='k', sha256=HASH)
    grant = GrantKey(ChangeId('g'), RED, key)
    assert apply(state, grant).error is None
    assert state.effective_configuration.team_by_key == {'k': RED}
    assert apply(state, WithdrawKey(ChangeId('w'), KeyId('k'))).error is None
    assert not state.effective_configuration.team_by_key
    again = apply(state, GrantKey(ChangeId('g2'), RED, key))
    assert again.error is ErrorKind.BAD_CONFIGURATION
    limit = Limit(cores=1, memory_gb=1)
    with_key = Configuration(
        teams=(Team(name='red', limit=limit, keys=(key,)),)
    )
    outcome = apply(state, change('c', state.configuration_version, with_key))
    assert 'cannot come back' in outcome.detail


def test_a_removed_team_loses_its_granted_keys() -> None:
    state = started()
    apply(state, GrantKey(ChangeId('g'), RED, Key(id='k', sha256=HASH)))
    apply(
        state,
        change('a', state.configuration_version, configuration(name='blue')),
    )
    apply(
        state,
        change('b', state.configuration_version, configuration(name='red')),
    )
    assert not state.effective_configuration.team_by_key


def test_growth_waits_until_the_giver_has_confirmed() -> None:
    state = started()
    assert (offered(state, P), offered(state, Q)) == (5, 5)
    move = RebalanceQuota(
        RED,
        {P: ResourceTotals(Resources(), 1), Q: ResourceTotals(Resources(), 9)},
    )
    state.apply(msgspec.msgpack.encode(move))
    assert (offered(state, P), offered(state, Q)) == (1, 5)
    epoch = state.quota_ledger.quotas_by_centre[P].offer.epoch
    confirm(state, P, epoch - 1)
    assert offered(state, Q) == 5
    confirm(state, P, epoch)
    assert offered(state, Q) == 9


def test_a_lowered_limit_is_in_force_once_confirmed() -> None:
    state = started()
    apply(state, change('a', 1, configuration(tasks=4)))
    assert state.quota_ledger.centres_above_offer() == {RED: [P, Q]}
    for centre in (P, Q):
        epoch = state.quota_ledger.quotas_by_centre[centre].offer.epoch
        confirm(state, centre, epoch)
    assert not state.quota_ledger.centres_above_offer()


def test_targets_above_the_limit_break_the_program() -> None:
    try:
        started().quota_ledger.rebalance(
            RED, {P: ResourceTotals(Resources(), 11)}
        )
    except InvariantError as exc:
        assert exc.property_number == 4
    else:
        raise AssertionError('property 4 is not asserted')


def test_a_move_that_came_too_late_is_ignored() -> None:
    state = started()
    move = RebalanceQuota(RED, {P: ResourceTotals(Resources(), 11)})
    assert state.apply(msgspec.msgpack.encode(move)) is False


load_tests = function_tests(globals())
