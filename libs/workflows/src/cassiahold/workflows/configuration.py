"""Queues, teams and services as the cell's operators define them."""

import collections
import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import QueueName, ServiceName, TeamName
from cassiahold.core.resources import NOTHING, Resources


class AdvisorPolicy(msgspec.Struct, frozen=True):
    """How long a queue's advisor takes and how long its answers hold."""

    decision_s: float
    per_worker_s: float
    validity_s: float


class QueuePolicy(msgspec.Struct, frozen=True):
    """A queue: where callers reach it and how its work is run.

    ``priority`` 0 comes first.  A job is on time within ``objective_s``
    plus ``slack`` times its longest chain of work.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int = 0
    attempts: int = 1
    slack: float = 1.0
    objective_s: float = 1.0
    timeout_s: float = 1.0
    is_public: bool = msgspec.field(name='is_open', default=False)
    advisor: AdvisorPolicy | None = None


class ServicePolicy(msgspec.Struct, frozen=True):
    """A pool of workers."""

    name: ServiceName
    enforces_capacity: bool = msgspec.field(
        name='guards_capacity', default=False
    )
    is_standby: bool = False


class TeamPolicy(msgspec.Struct, frozen=True):
    """A team: its keys, its share when all is full and its upper limit."""

    name: TeamName
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = NOTHING


class CellConfiguration(msgspec.Struct, frozen=True):
    """Everything that operators change while the cell runs."""

    version: int = 0
    queues: tuple[QueuePolicy, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    teams: tuple[TeamPolicy, ...] = ()


class ConfigurationIndex:
    """Look-ups in one configuration."""

    def __init__(self, configuration: CellConfiguration) -> None:
        self.configuration = configuration
        self.queue_by_name = {
            queue.name: queue for queue in configuration.queues
        }
        self.team_by_name = {team.name: team for team in configuration.teams}
        self.team_by_key = {
            key: team for team in configuration.teams for key in team.keys
        }
        self._queues_by_host: dict[str, list[QueuePolicy]]
        self._queues_by_host = collections.defaultdict(list)
        for queue in configuration.queues:
            self._queues_by_host[queue.host].append(queue)
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of a path."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def check_configuration(configuration: CellConfiguration) -> None:
    """Raise ``BAD_CONFIGURATION`` naming the first inconsistency."""
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for queue in configuration.queues:
        _validate_queue(queue, services)
        place = (queue.host, queue.prefix)
        if place in places:
            raise _configuration_error(f'two queues share the place {place}')
        places.add(place)
    _validate_keys(configuration.teams)


def _validate_queue(queue: QueuePolicy, services: set[ServiceName]) -> None:
    if queue.service not in services:
        raise _configuration_error(
            f'queue {queue.name!r} names the unknown service {queue.service!r}'
        )
    if queue.timeout_s <= 0:
        raise _configuration_error(
            f'queue {queue.name!r} has the time-out {queue.timeout_s} s; '
            'expected more than 0'
        )


def _validate_keys(teams: typing.Iterable[TeamPolicy]) -> None:
    owner_by_key: dict[str, TeamName] = {}
    for team in teams:
        for key in team.keys:
            owner = owner_by_key.setdefault(key, team.name)
            if owner != team.name:
                raise _configuration_error(
                    f'teams {owner!r} and {team.name!r} share a key'
                )


def _configuration_error(detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.BAD_CONFIGURATION, detail)
