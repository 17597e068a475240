"""Checks whether a specification can reach a state labelled "bad".

The specifications are written in the PRISM language and explored by Storm,
a probabilistic model checker.  All choices are nondeterministic, so a state
is reachable if some order of events leads to it.
"""

import pathlib
import re
import sys
import tempfile
import time
import typing

import msgspec

MODELS: typing.Final = pathlib.Path('models')
_GUARD_PATTERN: typing.Final = re.compile(r'^const bool (\w+);', re.MULTILINE)
_BAD_STATE_PROPERTY: typing.Final = 'Pmax=? [F "bad"]'


class ExplorationResult(msgspec.Struct, frozen=True):
    """Size of the state space and whether a bad state is reachable in it."""

    states: int
    is_bad_reachable: bool


def find_guards(path: pathlib.Path) -> list[str]:
    """Return the guards of a specification: constants without a value."""
    return _GUARD_PATTERN.findall(path.read_text())


def load_program(path: pathlib.Path, disabled_guard: str = '') -> typing.Any:
    """Return the parsed specification, with one guard disabled if named."""
    # Imported here, because the checker is large and rarely needed.
    import stormpy

    text = _GUARD_PATTERN.sub(
        lambda match: (
            f'const bool {match.group(1)} = '
            f'{"false" if match.group(1) == disabled_guard else "true"};'
        ),
        path.read_text(),
    )
    with tempfile.NamedTemporaryFile('w', suffix='.prism') as stream:
        stream.write(text)
        stream.flush()
        return stormpy.parse_prism_program(stream.name)


def explore(path: pathlib.Path, disabled_guard: str = '') -> ExplorationResult:
    """Explore every state, with one guard disabled if it is named."""
    import stormpy

    program = load_program(path, disabled_guard)
    properties = stormpy.parse_properties(_BAD_STATE_PROPERTY, program)
    model = stormpy.build_model(program, properties)
    outcome = stormpy.model_checking(model, properties[0])
    max_probability = outcome.get_value(model.initial_states[0])
    return ExplorationResult(model.nr_states, max_probability > 0)


def check_specifications(folder: pathlib.Path = MODELS) -> int:
    """Check every specification, in full and without each of its guards.

    Returns 0 if each property holds with all guards and fails without any
    one of them, else 1.
    """
    unexpected_count = 0
    for path in sorted(folder.glob('*.prism')):
        started_at = time.monotonic()
        guarded = explore(path)
        unexpected_count += guarded.is_bad_reachable
        verdict = 'REFUTED' if guarded.is_bad_reachable else 'proved'
        sys.stdout.write(
            f'{path.stem}: {guarded.states} states, property {verdict}\n'
        )
        for guard in find_guards(path):
            unguarded = explore(path, disabled_guard=guard)
            unexpected_count += not unguarded.is_bad_reachable
            found = 'refuted' if unguarded.is_bad_reachable else 'STILL PROVED'
            sys.stdout.write(
                f'  without {guard}: {unguarded.states} states, {found}\n'
            )
        sys.stdout.write(f'  {time.monotonic() - started_at:.1f} s\n')
    return int(unexpected_count > 0)
