"""What identifies queues and teams over changes of the configuration.

A queue is identified by its place, the host and prefix at which callers reach
its jobs; its name may change.  If its place is given up and its name appears at
a new one, it has moved there.

A team is identified by its name, to which its limit belongs.  If its name is
given up, it continues as the team that holds most of its keys.

A service is identified by its name, under which its workers register.

A queue or team without a successor has been removed.  It is kept as long as it
has jobs, which go on under its last policy, and returns under the same rules.
"""

import collections
import typing

import msgspec

from cassiahold.core.ids import QueueName, TeamName
from cassiahold.workflows.configuration import (
    CellConfiguration,
    FormerPolicies,
    QueuePlace,
    QueuePolicy,
    TeamPolicy,
)


class Successions(msgspec.Struct, frozen=True):
    """How the queues and teams known so far continue in a configuration.

    Those that are not contained have been removed.
    """

    place_by_former: dict[QueuePlace, QueuePlace]
    team_by_former: dict[TeamName, TeamName]


class IdentityChanges(msgspec.Struct, frozen=True):
    """Queues that moved and teams that were renamed, by what they were.

    ``removed`` are the queues and teams without a successor whose jobs go on
    under their last policy.
    """

    place_by_former: dict[QueuePlace, QueuePlace]
    team_by_former: dict[TeamName, TeamName]
    removed: FormerPolicies

    def __bool__(self) -> bool:
        """Tell whether anything but policies has changed."""
        return bool(
            self.place_by_former
            or self.team_by_former
            or self.removed.queues
            or self.removed.teams
        )


def find_successions(
    known_queues: typing.Iterable[QueuePolicy],
    known_teams: typing.Iterable[TeamPolicy],
    configuration: CellConfiguration,
) -> Successions:
    """Return how known queues and teams continue in a new configuration."""
    return Successions(
        _queue_successions(tuple(known_queues), configuration.queues),
        _team_successions(known_teams, configuration.teams),
    )


def _queue_successions(
    known_queues: typing.Collection[QueuePolicy],
    queues: typing.Collection[QueuePolicy],
) -> dict[QueuePlace, QueuePlace]:
    known_places = {queue.place for queue in known_queues}
    places = {queue.place for queue in queues}
    new_place_by_name: dict[QueueName, QueuePlace] = {}
    for queue in queues:
        if queue.place not in known_places:
            new_place_by_name.setdefault(queue.name, queue.place)
    return {
        known.place: (
            known.place
            if known.place in places
            else new_place_by_name[known.name]
        )
        for known in known_queues
        if known.place in places or known.name in new_place_by_name
    }


def _team_successions(
    known_teams: typing.Iterable[TeamPolicy],
    teams: typing.Collection[TeamPolicy],
) -> dict[TeamName, TeamName]:
    names = {team.name for team in teams}
    name_by_key = {key: team.name for team in teams for key in team.keys}
    successions: dict[TeamName, TeamName] = {}
    for known in known_teams:
        holders = collections.Counter(
            name_by_key[key] for key in known.keys if key in name_by_key
        )
        if known.name in names:
            successions[known.name] = known.name
        elif holders:
            successions[known.name] = max(holders, key=holders.__getitem__)
    return successions
