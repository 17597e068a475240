"""The configuration of a cell as operators write it."""

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
    """Failure domain over which the tasks of a job are spread."""

    NONE = 'none'
    RACK = 'rack'


class Limit(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """The most that a team may run at once in the whole cell."""

    cores: _Amount
    memory_gb: _Amount
    accelerators: _Count = 0
    tasks: _Count = 1_000_000

    @property
    def resources(self) -> Resources:
        """Return the limit of resources; it leaves out the number of tasks."""
        return Resources(
            int(self.cores * 1000),
            int(self.memory_gb * MB_PER_GB),
            self.accelerators,
        )


class Key(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A key, stored as the hash of its secret; see ``new_key``."""

    id: _Name
    sha256: _Sha256


class Team(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A team: its share when the cell is full, its limit and its keys."""

    name: _Name
    share: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARE)] = 1
    limit: Limit
    keys: tuple[Key, ...] = ()


class Queue(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A queue for the jobs of a team; an open one needs no key."""

    name: _Name
    team: _Name
    open: bool = False
    kinds: tuple[JobKind, ...] = tuple(JobKind)
    # Jobs of such a queue may exceed their team's share within a budget.
    may_be_urgent: bool = False
    max_waiting_tasks: _Count = 100_000


class Service(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """A service for live requests through the gateways."""

    name: _Name
    team: _Name
    open: bool = False


class PlacementPolicy(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Placement rules of the whole cell."""

    spread: Spread = Spread.NONE
    # Fraction of the cell that urgent work may use beyond its shares.
    urgent_budget: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.2
    # Consecutive failed starts after which a worker is quarantined.
    quarantine_after: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 4
    # Failed attempts after which an idempotent task is given up.
    max_attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=100)] = 5


class Configuration(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
    dict=True,
):
    """The complete configuration of a cell."""

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
        """Return the ids of all keys of all teams."""
        return [KeyId(key.id) for team in self.teams for key in team.keys]

    def to_yaml(self) -> str:
        """Return the YAML text that ``cassiahold apply`` accepts."""
        builtins = msgspec.to_builtins(self)
        return yaml.safe_dump(_tuples_to_lists(builtins), sort_keys=False)


def _tuples_to_lists(node: typing.Any) -> typing.Any:
    if isinstance(node, dict):
        return {name: _tuples_to_lists(child) for name, child in node.items()}
    if isinstance(node, list | tuple):
        return [_tuples_to_lists(child) for child in node]
    return node
