"""Plays traces of the escrow specification against the allotment code."""

import pathlib
import random
import typing

import msgspec

from cassiahold.bench.specification.checking import load_program
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
LIMIT: typing.Final = 2
MAX_STEPS: typing.Final = 40


class CentreFigures(msgspec.Struct, frozen=True):
    """What the coordinator records of one data centre."""

    offered: int
    held: int


class EscrowTrace:
    """The explored specification and the code beside it."""

    def __init__(self, path: pathlib.Path) -> None:
        self._model = _build_with_names(path)

    def play(self, generator: random.Random) -> int:
        """Walk at random; raise ``AssertionError`` where the two differ.

        Returns the number of steps that both took.
        """
        book = QuotaLedger()
        book.set_limits(
            {TEAM: ResourceTotals(Resources(), LIMIT)}, [CENTRE_A, CENTRE_B]
        )
        for centre in (CENTRE_A, CENTRE_B):
            # The specification starts with both offers confirmed.
            book.confirm_offer(
                centre, book.quotas_by_centre[centre].offer.epoch
            )
        state = self._model.initial_states[0]
        first = {
            centre: book.quotas_by_centre[centre].offer.epoch
            for centre in (CENTRE_A, CENTRE_B)
        }
        for step in range(MAX_STEPS):
            action, state = self._step(state, generator)
            if not action:
                return step
            facts = self._facts(state)
            self._apply(book, action, facts, first)
            if not facts['dirty']:
                _compare(book, facts, action)
        return MAX_STEPS

    def _step(self, state: int, generator: random.Random) -> tuple[str, int]:
        actions = list(self._model.states[state].actions)
        action = generator.choice(actions)
        transition = next(iter(action.transitions))
        return next(iter(action.labels), ''), int(transition.column)

    def _facts(self, state: int) -> dict[str, int]:
        valuations = self._model.state_valuations
        return {
            str(variable.name): int(valuations.get_value(state, variable))
            for variable in valuations.get_all_variables()
        }

    def _apply(
        self,
        book: QuotaLedger,
        action: str,
        facts: dict[str, int],
        first: dict[DataCentre, int],
    ) -> None:
        if action.startswith('move'):
            part = int(action.removeprefix('move'))
            book.rebalance(
                TEAM,
                {
                    CENTRE_A: ResourceTotals(Resources(), part),
                    CENTRE_B: ResourceTotals(Resources(), LIMIT - part),
                },
            )
        elif action.startswith('confirm'):
            centre = CENTRE_A if action.endswith('a') else CENTRE_B
            newest = book.quotas_by_centre[centre].offer.epoch
            epoch = first[centre] + facts[f'x{centre}']
            assert epoch == newest, (action, epoch, newest)
            book.confirm_offer(centre, epoch)


def _compare(book: QuotaLedger, facts: dict[str, int], action: str) -> None:
    for centre in (CENTRE_A, CENTRE_B):
        wanted = CentreFigures(facts[f'o{centre}'], facts[f'h{centre}'])
        record = book.quotas_by_centre[centre]
        offered = record.offer.quota_by_team.get(TEAM, ZERO_TOTALS)
        held = record.max_held_by_team.get(TEAM, ZERO_TOTALS)
        found = CentreFigures(offered.tasks, held.tasks)
        assert found == wanted, (action, centre, found, wanted)


def _build_with_names(path: pathlib.Path) -> typing.Any:
    # The checker is large and only needed here.
    import stormpy

    options = stormpy.BuilderOptions()
    options.set_build_state_valuations()
    options.set_build_choice_labels()
    return stormpy.build_model(load_program(path), options=options)
