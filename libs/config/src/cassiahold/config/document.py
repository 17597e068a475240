"""The configuration that operators write and the system accepts."""

import enum
import functools
import typing

import msgspec
import yaml

from cassiahold.core.ids import KeyId, QueueName, ServiceName, TeamName
from cassiahold.core.resources import Resources
from cassiahold.core.states import JobKind

MB_PER_GB: typing.Final = 1000
_Name = typing.Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
MAX_AMOUNT: typing.Final = 1_000_000_000
MAX_SHARE: typing.Final = 1_000_000
_Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Sha256 = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class Spread(enum.Enum):
    """Over what the tasks of one job are spread."""

    NONE = 'none'
    RACK = 'rack'


class Limit(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """The most that a team may run at once over the whole fleet."""

    cores: _Amount
    memory_gb: _Amount
    accelerators: _Count = 0
    tasks: _Count = 1_000_000

    @property
    def resources(self) -> Resources:
        """Return the limit without the number of tasks."""
        return Resources(
            int(self.cores * 1000),
            int(self.memory_gb * MB_PER_GB),
            self.accelerators,
        )


class Key(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A key by the hash of its secret; see ``new_key``."""

    id: _Name
    sha256: _Sha256


class Team(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A team with its weight when the cell is full and its upper limit."""

    name: _Name
    share: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARE)] = 1
    limit: Limit
    keys: tuple[Key, ...] = ()


class Queue(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Where jobs are submitted; an open one needs no key."""

    name: _Name
    team: _Name
    open: bool = False
    kinds: tuple[JobKind, ...] = tuple(JobKind)
    # Jobs of a queue that may be urgent bypass the shares within a budget.
    may_be_urgent: bool = False
    max_waiting_tasks: _Count = 100_000


class Service(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A service that callers reach through the gateways."""

    name: _Name
    team: _Name
    open: bool = False


class PlacementPolicy(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """How tasks are placed over the whole cell."""

    spread: Spread = Spread.NONE
    # Fraction of the cell that urgent work may hold beyond its shares.
    urgent_budget: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    # Starts that a worker may fail in a row before it is quarantined.
    quarantine_after: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 4
    # Times that an idempotent task is tried before it is given up.
    max_attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 5


class Configuration(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    dict=True,
):
    """Everything that operators decide about one cell."""

    teams: tuple[Team, ...] = ()
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    placement: PlacementPolicy = PlacementPolicy()

    @functools.cached_property
    def team_by_name(self) -> dict[TeamName, Team]:
        """Return the teams by name."""
        return {TeamName(team.name): team for team in self.teams}

    @functools.cached_property
    def queue_by_name(self) -> dict[QueueName, Queue]:
        """Return the queues by name."""
        return {QueueName(queue.name): queue for queue in self.queues}

    @functools.cached_property
    def service_by_name(self) -> dict[ServiceName, Service]:
        """Return the services by name."""
        return {ServiceName(service.name): service for service in self.services}

    @property
    def key_ids(self) -> list[KeyId]:
        """Return the ids of the keys of every team."""
        return [KeyId(key.id) for team in self.teams for key in team.keys]

    def to_yaml(self) -> str:
        """Return the text that ``cassiahold apply`` accepts."""
        plain = msgspec.to_builtins(self)
        return yaml.safe_dump(_tuples_to_lists(plain), sort_keys=False)


def _tuples_to_lists(plain: typing.Any) -> typing.Any:
    if isinstance(plain, dict):
        return {name: _tuples_to_lists(child) for name, child in plain.items()}
    if isinstance(plain, list | tuple):
        return [_tuples_to_lists(child) for child in plain]
    return plain
