"""System checks of a configuration.

Each registered check yields findings, which have an id, a level and a hint.
"""

import collections
import enum
import typing

import msgspec

from cassiahold.config.document import Configuration, Queue, Service
from cassiahold.core.ids import TeamName


class Level(enum.Enum):
    """Severity of a finding; a configuration with an error is rejected."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(msgspec.Struct, frozen=True):
    """A message of a check, with a hint how to solve the problem."""

    id: str
    level: Level
    message: str
    hint: str


Check = typing.Callable[[Configuration], typing.Iterator[Finding]]
_REGISTERED_CHECKS: list[Check] = []


def register(check: Check) -> Check:
    """Register a check, so that ``run_checks`` runs it; a decorator."""
    _REGISTERED_CHECKS.append(check)
    return check


def run_checks(configuration: Configuration) -> list[Finding]:
    """Run every registered check and return the findings, errors first."""
    findings = [
        finding
        for check in _REGISTERED_CHECKS
        for finding in check(configuration)
    ]
    return sorted(findings, key=lambda found: (found.level.value, found.id))


def find_errors(configuration: Configuration) -> list[Finding]:
    """Return the findings for which a configuration is rejected."""
    return [
        finding
        for finding in run_checks(configuration)
        if finding.level is Level.ERROR
    ]


@register
def check_unique_names(
    configuration: Configuration,
) -> typing.Iterator[Finding]:
    """Check that names of teams, queues, services and keys are unique."""
    names_by_kind: dict[str, list[str]] = {
        'team': [team.name for team in configuration.teams],
        'queue': [queue.name for queue in configuration.queues],
        'service': [service.name for service in configuration.services],
        'key': [str(key_id) for key_id in configuration.key_ids],
    }
    for kind, names in names_by_kind.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield Finding(
                    'config.E001',
                    Level.ERROR,
                    f'{kind} {name!r} is defined {count} times',
                    f'Give each {kind} a unique name.',
                )


@register
def check_known_teams(configuration: Configuration) -> typing.Iterator[Finding]:
    """Check that queues and services belong to a defined team."""
    known = configuration.team_by_name
    owners: list[Queue | Service] = [
        *configuration.queues,
        *configuration.services,
    ]
    for owner in owners:
        if owner.team not in known:
            yield Finding(
                'config.E002',
                Level.ERROR,
                f'{owner.name!r} belongs to unknown team {owner.team!r}',
                f'Define the team or use one of {sorted(known)}.',
            )


@register
def check_zero_limits(configuration: Configuration) -> typing.Iterator[Finding]:
    """Check for a limit of zero, which lets none of a team's tasks run."""
    for team in configuration.teams:
        if not team.limit.tasks or not team.limit.cores:
            yield Finding(
                'config.W001',
                Level.WARNING,
                f'the limit of team {team.name!r} lets no task run',
                'Raise cores and tasks, or remove the team.',
            )


@register
def check_keyless_teams(
    configuration: Configuration,
) -> typing.Iterator[Finding]:
    """Check for queues that need a key while their team declares none.

    Such a queue can be used only with a key that is granted separately.
    """
    for queue in configuration.queues:
        team = configuration.team_by_name.get(TeamName(queue.team))
        if team is not None and not team.keys and not queue.open:
            yield Finding(
                'config.W002',
                Level.WARNING,
                f'queue {queue.name!r} needs a key but {team.name!r} has none',
                f'Run "cassiahold key grant {team.name}" after applying.',
            )


@register
def check_open_urgent(configuration: Configuration) -> typing.Iterator[Finding]:
    """Check for open queues that may be urgent.

    Any caller could use up the urgent budget through such a queue.
    """
    for queue in configuration.queues:
        if queue.open and queue.may_be_urgent:
            yield Finding(
                'config.W003',
                Level.WARNING,
                f'queue {queue.name!r} is open to all and may be urgent',
                'Require a key, or do not let the queue be urgent.',
            )
