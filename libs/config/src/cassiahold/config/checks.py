"""Registered checks of a configuration, each finding with id and hint."""

import collections
import enum
import typing

import msgspec

from cassiahold.config.document import Configuration, Queue, Service
from cassiahold.core.ids import TeamName


class Level(enum.Enum):
    """How grave a finding is; an error stops the configuration."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(msgspec.Struct, frozen=True):
    """One thing that a check found."""

    id: str
    level: Level
    message: str
    hint: str


Check = typing.Callable[[Configuration], typing.Iterator[Finding]]
_REGISTERED: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to those that ``run_checks`` runs."""
    _REGISTERED.append(check)
    return check


def run_checks(configuration: Configuration) -> list[Finding]:
    """Run every registered check, errors first."""
    findings = [
        finding for check in _REGISTERED for finding in check(configuration)
    ]
    return sorted(findings, key=lambda found: (found.level.value, found.id))


def find_errors(configuration: Configuration) -> list[Finding]:
    """Return only the findings that stop the configuration."""
    return [
        finding
        for finding in run_checks(configuration)
        if finding.level is Level.ERROR
    ]


@register
def check_unique_names(
    configuration: Configuration,
) -> typing.Iterator[Finding]:
    """Names of teams, queues, services and keys must be unique."""
    names_by_sort: dict[str, list[str]] = {
        'team': [team.name for team in configuration.teams],
        'queue': [queue.name for queue in configuration.queues],
        'service': [service.name for service in configuration.services],
        'key': [str(key_id) for key_id in configuration.key_ids],
    }
    for sort, names in names_by_sort.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield Finding(
                    'config.E001',
                    Level.ERROR,
                    f'{sort} {name!r} is defined {count} times',
                    f'Give each {sort} its own name.',
                )


@register
def check_known_teams(configuration: Configuration) -> typing.Iterator[Finding]:
    """Queues and services must belong to a defined team."""
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
def check_limits(configuration: Configuration) -> typing.Iterator[Finding]:
    """A limit of zero stops everything of the team."""
    for team in configuration.teams:
        if not team.limit.tasks or not team.limit.cores:
            yield Finding(
                'config.W001',
                Level.WARNING,
                f'the limit of team {team.name!r} lets nothing run',
                'Raise cores and tasks, or remove the team.',
            )


@register
def check_keyless_teams(
    configuration: Configuration,
) -> typing.Iterator[Finding]:
    """A keyed queue of a team without declared keys needs a granted key."""
    for queue in configuration.queues:
        team = configuration.team_by_name.get(TeamName(queue.team))
        if team is not None and not team.keys and not queue.open:
            yield Finding(
                'config.W002',
                Level.WARNING,
                f'queue {queue.name!r} is keyed but {team.name!r} has no key',
                f'Run "cassiahold key grant {team.name}" after applying.',
            )


@register
def check_open_urgent(configuration: Configuration) -> typing.Iterator[Finding]:
    """Anybody could use up the urgent budget through an open queue."""
    for queue in configuration.queues:
        if queue.open and queue.may_be_urgent:
            yield Finding(
                'config.W003',
                Level.WARNING,
                f'queue {queue.name!r} is open to all and may be urgent',
                'Require a key, or do not let the queue be urgent.',
            )
