"""The cell's configuration: queues, teams and services set by operators."""

import collections
import typing

import msgspec

from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import QueueName, ServiceName, TeamName
from cassiahold.core.resources import NO_RESOURCES, Resources


class AdvisorPolicy(msgspec.Struct, frozen=True):
    """Expected durations of a queue's advisor.

    A query takes ``decision_s`` plus ``per_worker_s`` for each worker in it;
    the tickets of its reply are valid for ``validity_s``.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


class QueuePlace(typing.NamedTuple):
    """Where callers reach a queue."""

    host: str
    prefix: str


class QueuePolicy(msgspec.Struct, frozen=True):
    """A queue: its host and path prefix for callers and how its jobs run.

    ``priority`` 0 comes first.  A job is on time within ``objective_s``
    plus ``slack_factor`` times its longest chain of estimated durations.
    A public queue also accepts requests without the key of a team.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    priority: int = 0
    max_attempts: int = msgspec.field(name='attempts', default=1)
    slack_factor: float = msgspec.field(name='slack', default=1.0)
    objective_s: float = 1.0
    timeout_s: float = 1.0
    is_public: bool = msgspec.field(name='is_open', default=False)
    advisor: AdvisorPolicy | None = None

    @property
    def place(self) -> QueuePlace:
        """Return what identifies the queue."""
        return QueuePlace(self.host, self.prefix)


class ServicePolicy(msgspec.Struct, frozen=True):
    """A pool of workers that queues refer to by name."""

    name: ServiceName
    enforces_capacity: bool = msgspec.field(
        name='guards_capacity', default=False
    )
    is_standby: bool = False


class TeamPolicy(msgspec.Struct, frozen=True):
    """A team: its API keys, its share under contention and its limit.

    A limit of 0 in a dimension means that it is unlimited.
    """

    name: TeamName
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = NO_RESOURCES


class CellConfiguration(msgspec.Struct, frozen=True):
    """Everything that operators can change while the cell runs."""

    version: int = 0
    queues: tuple[QueuePolicy, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    teams: tuple[TeamPolicy, ...] = ()


class FormerPolicies(msgspec.Struct, frozen=True, array_like=True):
    """Last policies of removed queues and teams that still have jobs."""

    queues: tuple[QueuePolicy, ...] = ()
    teams: tuple[TeamPolicy, ...] = ()


NO_FORMER_POLICIES: typing.Final = FormerPolicies()


class ConfigurationIndex:
    """Indexes over one configuration by name, place, key and path.

    ``queue_by_place`` and ``team_by_name`` also contain what was removed and
    still has jobs; the other indexes contain what callers can use.
    """

    def __init__(
        self,
        configuration: CellConfiguration,
        former: FormerPolicies = NO_FORMER_POLICIES,
    ) -> None:
        self.configuration = configuration
        self.queue_by_name = {
            queue.name: queue for queue in configuration.queues
        }
        self.queue_by_place = {
            queue.place: queue
            for queue in (*former.queues, *configuration.queues)
        }
        self.team_by_name = {
            team.name: team for team in (*former.teams, *configuration.teams)
        }
        self._configured_places = {
            queue.place for queue in configuration.queues
        }
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
        """Return the queue of a host with the longest prefix of a path."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def accepting_queue(
        self, place: QueuePlace | None, name: QueueName
    ) -> QueuePolicy | None:
        """Return the configured queue at a place, by its name without one."""
        if place is None:
            return self.queue_by_name.get(name)
        if place not in self._configured_places:
            return None
        return self.queue_by_place[place]


def validate_configuration(configuration: CellConfiguration) -> None:
    """Raise ``BAD_CONFIGURATION`` for the first inconsistency found."""
    services = {service.name for service in configuration.services}
    host_prefixes: set[tuple[str, str]] = set()
    for queue in configuration.queues:
        _validate_queue(queue, services)
        host_prefix = (queue.host, queue.prefix)
        if host_prefix in host_prefixes:
            raise _configuration_error(
                f'two queues share the host and prefix {host_prefix}'
            )
        host_prefixes.add(host_prefix)
    _validate_keys(configuration.teams)


def _validate_queue(queue: QueuePolicy, services: set[ServiceName]) -> None:
    if queue.service not in services:
        raise _configuration_error(
            f'queue {queue.name!r} refers to unknown service {queue.service!r}'
        )
    if queue.timeout_s <= 0:
        raise _configuration_error(
            f'queue {queue.name!r} has a timeout of {queue.timeout_s} s; '
            'expected more than 0 s'
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
