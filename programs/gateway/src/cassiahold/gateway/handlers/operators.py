"""HTTP handlers for operators: configuration, keys, status, membership."""

import concurrent.futures
import typing

import msgspec

from cassiahold.agreement.messages import Membership
from cassiahold.cellstate.coordinator_state import (
    ApplyConfiguration,
    Change,
    GrantKey,
    WithdrawKey,
)
from cassiahold.config.document import Configuration, Key
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import (
    ChangeId,
    GroupName,
    KeyId,
    ReplicaId,
    TeamName,
    WorkerId,
)
from cassiahold.gateway.authorization import Authorizer
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)
from cassiahold.gateway.scheduler_groups import SchedulerGroups
from cassiahold.wire import messages
from cassiahold.wire.group_client import GroupClient

_CALL_TIMEOUT_S: typing.Final = 5.0
_STATUS_TIMEOUT_S: typing.Final = 2.0
_Version = typing.Annotated[int, msgspec.Meta(ge=0, le=messages.MAX_AMOUNT)]


class ConfigurationBody(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """JSON body that replaces the configuration.

    It is refused unless ``base_version`` is still the current version.
    """

    change_id: ChangeId
    base_version: _Version
    configuration: Configuration


class GrantBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body that adds a key to a team.

    It holds only the hash of the key's secret.
    """

    change_id: ChangeId
    team: TeamName
    key: Key


class WithdrawBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body that withdraws a key."""

    change_id: ChangeId
    key_id: KeyId


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body that starts or ends the drain of a worker."""

    data_centre: GroupName
    worker: WorkerId
    is_draining: bool


class MembersBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body that sets the voters and learners of a group."""

    group: GroupName
    voters: list[ReplicaId]
    learners: list[ReplicaId] = []


class DataCentreStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Status of one data centre, or the error that it could not be read."""

    data_centre: GroupName
    status: messages.SchedulerStatus | None = None
    error: str = ''


class CellStatus(msgspec.Struct, frozen=True):
    """Status of the cell.

    ``waiting_for`` lists where the current version of the configuration is
    not in force yet.  ``error`` is set when the coordinator group could not
    be reached.
    """

    version: int
    waiting_for: list[str]
    centres: list[DataCentreStatus]
    error: str = ''


class OperatorHandlers:
    """Handles operators' requests; each needs the operators' key."""

    def __init__(
        self,
        authorizer: Authorizer,
        scheduler_groups: SchedulerGroups,
        coordinator: GroupClient,
    ) -> None:
        self._authorizer = authorizer
        self._scheduler_groups = scheduler_groups
        self._coordinator = coordinator

    def routes(self) -> list[Route]:
        """Return the routes of operators."""
        return [
            route('GET', '/v1/configuration', self.get_configuration),
            route('POST', '/v1/configuration', self.apply_configuration),
            route('POST', '/v1/keys/grant', self.grant_key),
            route('POST', '/v1/keys/withdraw', self.withdraw_key),
            route('GET', '/v1/status', self.get_status),
            route('POST', '/v1/workers/drain', self.drain_worker),
            route('POST', '/v1/groups/members', self.change_members),
        ]

    def get_configuration(self, request: HttpRequest) -> HttpResponse:
        """Respond with the configuration and its version."""
        self._require_operator(request)
        return json_response(self._current_configuration(_CALL_TIMEOUT_S))

    def apply_configuration(self, request: HttpRequest) -> HttpResponse:
        """Replace the configuration."""
        self._require_operator(request)
        body = request.decode_json(ConfigurationBody)
        return self._change_configuration(
            ApplyConfiguration(
                body.change_id, body.base_version, body.configuration
            )
        )

    def grant_key(self, request: HttpRequest) -> HttpResponse:
        """Add a key to a team."""
        self._require_operator(request)
        body = request.decode_json(GrantBody)
        return self._change_configuration(
            GrantKey(body.change_id, body.team, body.key)
        )

    def withdraw_key(self, request: HttpRequest) -> HttpResponse:
        """Withdraw a key."""
        self._require_operator(request)
        body = request.decode_json(WithdrawBody)
        return self._change_configuration(
            WithdrawKey(body.change_id, body.key_id)
        )

    def get_status(self, request: HttpRequest) -> HttpResponse:
        """Respond with the status of every data centre.

        The data centres are asked in parallel; one that cannot be reached
        is listed with its error.
        """
        self._require_operator(request)
        group_names = self._scheduler_groups.names
        with concurrent.futures.ThreadPoolExecutor(len(group_names)) as pool:
            statuses = list(pool.map(self._data_centre_status, group_names))
        try:
            current = self._current_configuration(_STATUS_TIMEOUT_S)
        except CassiaholdError as exc:
            return json_response(CellStatus(0, [], statuses, str(exc)))
        return json_response(
            CellStatus(current.version, current.waiting_for, statuses)
        )

    def drain_worker(self, request: HttpRequest) -> HttpResponse:
        """Stop or resume placing tasks on a worker."""
        self._require_operator(request)
        body = request.decode_json(DrainBody)
        reply = self._scheduler_groups.call(
            body.data_centre,
            messages.Drain(body.worker, body.is_draining),
            _CALL_TIMEOUT_S,
        )
        return json_response(reply)

    def change_members(self, request: HttpRequest) -> HttpResponse:
        """Change the voters and learners of a group."""
        self._require_operator(request)
        body = request.decode_json(MembersBody)
        change = messages.ChangeMembers(
            Membership(tuple(body.voters), tuple(body.learners))
        )
        if body.group == self._coordinator.group:
            reply = self._coordinator.call(change, _CALL_TIMEOUT_S)
        else:
            reply = self._scheduler_groups.call(
                body.group, change, _CALL_TIMEOUT_S
            )
        return json_response(reply)

    def _require_operator(self, request: HttpRequest) -> None:
        self._authorizer.require_operator(request.header('Authorization'))

    def _change_configuration(self, change: Change) -> HttpResponse:
        reply = self._coordinator.call(
            messages.ChangeConfiguration(change), _CALL_TIMEOUT_S
        )
        return json_response(reply)

    def _current_configuration(
        self, timeout_s: float
    ) -> messages.CurrentConfiguration:
        reply = self._coordinator.call(messages.GetConfiguration(), timeout_s)
        return typing.cast(messages.CurrentConfiguration, reply)

    def _data_centre_status(self, group: GroupName) -> DataCentreStatus:
        try:
            reply = self._scheduler_groups.call(
                group, messages.GetStatus(), _STATUS_TIMEOUT_S
            )
        except CassiaholdError as exc:
            return DataCentreStatus(group, error=str(exc))
        return DataCentreStatus(
            group, typing.cast(messages.SchedulerStatus, reply)
        )
