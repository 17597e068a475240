"""Replays random traces of the escrow specification on the quota ledger."""

import pathlib
import random
import typing

import msgspec

from cassiahold.bench.specification.model_checking import load_program
from cassiahold.cellstate.quotas import (
    ZERO_TOTALS,
    QuotaLedger,
    ResourceTotals,
)
from cassiahold.core.ids import DataCentre, TeamName
from cassiahold.core.resources import Resources

CENTRE_A: typing.Final = DataCentre('a')
CENTRE_B: typing.Final = DataCentre('b')
TEAM: typing.Final = TeamName('red')
LIMIT_TASKS: typing.Final = 2
MAX_STEPS: typing.Final = 40


class CentreQuota(msgspec.Struct, frozen=True):
    """Part of a team's limit that the coordinator records for a data centre.

    ``max_held_tasks`` is the most that the data centre may believe it has.
    """

    offered_tasks: int
    max_held_tasks: int


class EscrowTraceReplay:
    """The explored specification, for replays on a ``QuotaLedger``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._model = _build_labelled_model(path)

    def replay(self, generator: random.Random) -> int:
        """Replay a random trace and return the number of its steps.

        Raises ``AssertionError`` if the ledger and the specification differ.
        """
        ledger = QuotaLedger()
        ledger.set_limits(
            {TEAM: ResourceTotals(Resources(), LIMIT_TASKS)},
            [CENTRE_A, CENTRE_B],
        )
        for centre in (CENTRE_A, CENTRE_B):
            # The specification starts with both offers confirmed.
            ledger.confirm_offer(
                centre, ledger.quotas_by_centre[centre].offer.epoch
            )
        state = self._model.initial_states[0]
        initial_epoch_by_centre = {
            centre: ledger.quotas_by_centre[centre].offer.epoch
            for centre in (CENTRE_A, CENTRE_B)
        }
        for step in range(MAX_STEPS):
            action, state = self._random_step(state, generator)
            if not action:
                return step
            variables = self._state_variables(state)
            self._apply_action(
                ledger, action, variables, initial_epoch_by_centre
            )
            if not variables['dirty']:
                _assert_quotas_match(ledger, variables, action)
        return MAX_STEPS

    def _random_step(
        self, state: int, generator: random.Random
    ) -> tuple[str, int]:
        actions = list(self._model.states[state].actions)
        action = generator.choice(actions)
        transition = next(iter(action.transitions))
        return next(iter(action.labels), ''), int(transition.column)

    def _state_variables(self, state: int) -> dict[str, int]:
        valuations = self._model.state_valuations
        return {
            str(variable.name): int(valuations.get_value(state, variable))
            for variable in valuations.get_all_variables()
        }

    def _apply_action(
        self,
        ledger: QuotaLedger,
        action: str,
        variables: dict[str, int],
        initial_epoch_by_centre: dict[DataCentre, int],
    ) -> None:
        if action.startswith('move'):
            quota_tasks = int(action.removeprefix('move'))
            ledger.rebalance(
                TEAM,
                {
                    CENTRE_A: ResourceTotals(Resources(), quota_tasks),
                    CENTRE_B: ResourceTotals(
                        Resources(), LIMIT_TASKS - quota_tasks
                    ),
                },
            )
        elif action.startswith('confirm'):
            centre = CENTRE_A if action.endswith('a') else CENTRE_B
            newest = ledger.quotas_by_centre[centre].offer.epoch
            epoch = initial_epoch_by_centre[centre] + variables[f'x{centre}']
            assert epoch == newest, (action, epoch, newest)
            ledger.confirm_offer(centre, epoch)


def _assert_quotas_match(
    ledger: QuotaLedger, variables: dict[str, int], action: str
) -> None:
    for centre in (CENTRE_A, CENTRE_B):
        expected = CentreQuota(variables[f'o{centre}'], variables[f'h{centre}'])
        record = ledger.quotas_by_centre[centre]
        offered = record.offer.quota_by_team.get(TEAM, ZERO_TOTALS)
        held = record.max_held_by_team.get(TEAM, ZERO_TOTALS)
        found = CentreQuota(offered.tasks, held.tasks)
        assert found == expected, (action, centre, found, expected)


def _build_labelled_model(path: pathlib.Path) -> typing.Any:
    # Imported here, because the checker is large and rarely needed.
    import stormpy

    options = stormpy.BuilderOptions()
    options.set_build_state_valuations()
    options.set_build_choice_labels()
    return stormpy.build_model(load_program(path), options=options)
