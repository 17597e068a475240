"""What operators may ask."""

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
from cassiahold.gateway.access import Access
from cassiahold.gateway.homes import Homes
from cassiahold.gateway.http import (
    HttpRequest,
    HttpResponse,
    Route,
    json_response,
    route,
)
from cassiahold.wire import messages
from cassiahold.wire.group_client import GroupClient

_CALL_TIMEOUT_S: typing.Final = 5.0
_STATUS_TIMEOUT_S: typing.Final = 2.0


class ConfigurationBody(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Body of a change of the whole configuration."""

    change_id: ChangeId
    base_version: int
    configuration: Configuration


class GrantBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a grant of a key; only the hash of its secret travels."""

    change_id: ChangeId
    team: TeamName
    key: Key


class WithdrawBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a withdrawal of a key."""

    change_id: ChangeId
    key_id: KeyId


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a drain of a worker."""

    data_centre: GroupName
    worker: WorkerId
    is_draining: bool


class MembersBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change of a group's members."""

    group: GroupName
    voters: list[ReplicaId]
    learners: list[ReplicaId] = []


class CentreStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """One data centre's figures, or why there are none."""

    data_centre: GroupName
    status: messages.SchedulerStatus | None = None
    error: str = ''


class CellStatus(msgspec.Struct, frozen=True):
    """Figures of the whole cell."""

    version: int
    waiting_for: list[str]
    centres: list[CentreStatus]
    error: str = ''


class OperatorHandlers:
    """Routes for operators."""

    def __init__(
        self, access: Access, homes: Homes, coordinator: GroupClient
    ) -> None:
        self._access = access
        self._homes = homes
        self._coordinator = coordinator

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            route('GET', '/v1/configuration', self.get),
            route('POST', '/v1/configuration', self.apply),
            route('POST', '/v1/keys/grant', self.grant),
            route('POST', '/v1/keys/withdraw', self.withdraw),
            route('GET', '/v1/status', self.status),
            route('POST', '/v1/workers/drain', self.drain),
            route('POST', '/v1/groups/members', self.members),
        ]

    def get(self, request: HttpRequest) -> HttpResponse:
        """Return the configuration in force."""
        self._check(request)
        return json_response(self._current(_CALL_TIMEOUT_S))

    def apply(self, request: HttpRequest) -> HttpResponse:
        """Replace the configuration."""
        self._check(request)
        body = request.decode(ConfigurationBody)
        return self._change(
            ApplyConfiguration(
                body.change_id, body.base_version, body.configuration
            )
        )

    def grant(self, request: HttpRequest) -> HttpResponse:
        """Add a key to a team."""
        self._check(request)
        body = request.decode(GrantBody)
        return self._change(GrantKey(body.change_id, body.team, body.key))

    def withdraw(self, request: HttpRequest) -> HttpResponse:
        """Take a key back."""
        self._check(request)
        body = request.decode(WithdrawBody)
        return self._change(WithdrawKey(body.change_id, body.key_id))

    def status(self, request: HttpRequest) -> HttpResponse:
        """Return figures of every data centre that can be reached."""
        self._check(request)
        groups = self._homes.groups
        with concurrent.futures.ThreadPoolExecutor(len(groups)) as pool:
            centres = list(pool.map(self._centre_status, groups))
        try:
            current = self._current(_STATUS_TIMEOUT_S)
        except CassiaholdError as exc:
            return json_response(CellStatus(0, [], centres, str(exc)))
        return json_response(
            CellStatus(current.version, current.waiting_for, centres)
        )

    def drain(self, request: HttpRequest) -> HttpResponse:
        """Stop or resume placing on a worker."""
        self._check(request)
        body = request.decode(DrainBody)
        reply = self._homes.call(
            body.data_centre,
            messages.Drain(body.worker, body.is_draining),
            _CALL_TIMEOUT_S,
        )
        return json_response(reply)

    def members(self, request: HttpRequest) -> HttpResponse:
        """Change who votes and learns in a group."""
        self._check(request)
        body = request.decode(MembersBody)
        change = messages.ChangeMembers(
            Membership(tuple(body.voters), tuple(body.learners))
        )
        if body.group == self._coordinator.group:
            reply = self._coordinator.call(change, _CALL_TIMEOUT_S)
        else:
            reply = self._homes.call(body.group, change, _CALL_TIMEOUT_S)
        return json_response(reply)

    def _check(self, request: HttpRequest) -> None:
        self._access.check_operator(request.header('Authorization'))

    def _change(self, change: Change) -> HttpResponse:
        reply = self._coordinator.call(
            messages.ChangeConfiguration(change), _CALL_TIMEOUT_S
        )
        return json_response(reply)

    def _current(self, timeout_s: float) -> messages.CurrentConfiguration:
        reply = self._coordinator.call(messages.GetConfiguration(), timeout_s)
        return typing.cast(messages.CurrentConfiguration, reply)

    def _centre_status(self, group: GroupName) -> CentreStatus:
        try:
            reply = self._homes.call(
                group, messages.GetStatus(), _STATUS_TIMEOUT_S
            )
        except CassiaholdError as exc:
            return CentreStatus(group, error=str(exc))
        return CentreStatus(group, typing.cast(messages.SchedulerStatus, reply))
