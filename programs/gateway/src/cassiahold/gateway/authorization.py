"""Authorization of HTTP requests by the keys of teams, operators and workers.

Team keys are part of the configuration, which the gateway holds under a
lease.  Once the lease has lapsed, keys may have been withdrawn without the
gateway knowing, so requests that change anything are refused.
"""

import threading
import time

import msgspec

from cassiahold.config.document import Configuration, Key, Queue, Service
from cassiahold.config.keys import matches_key_hash
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import KeyId, QueueName, ServiceName, TeamName
from cassiahold.gateway.http import HttpRequest, describe_caller
from cassiahold.routing.retry_after import RefusedCaller

_BEARER = 'Bearer '
_ANONYMOUS = TeamName('')


class LeasedConfiguration(msgspec.Struct, frozen=True):
    """The configuration and the monotonic time at which its lease lapses."""

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]
    lease_expires_at: float


NO_CONFIGURATION = LeasedConfiguration(
    0, Configuration(), {}, {}, float('-inf')
)


class Authorizer:
    """Checks presented keys against the leased configuration.

    An empty ``operator_key_sha256`` rejects every operator; an empty
    ``worker_key_sha256`` admits every worker and target.  Thread-safe.
    """

    def __init__(
        self, operator_key_sha256: str, worker_key_sha256: str
    ) -> None:
        self._operator_key_sha256 = operator_key_sha256
        self._worker_key_sha256 = worker_key_sha256
        self._lock = threading.Lock()
        self._leased = NO_CONFIGURATION

    @property
    def leased(self) -> LeasedConfiguration:
        """Return the newest configuration, even if its lease has lapsed."""
        return self._leased

    def update(self, leased: LeasedConfiguration) -> None:
        """Replace the configuration unless a newer version is held."""
        with self._lock:
            if leased.version >= self._leased.version:
                self._leased = leased

    @property
    def has_valid_lease(self) -> bool:
        """Tell whether the lease on the configuration is valid."""
        return time.monotonic() < self._leased.lease_expires_at

    def get_queue(self, name: str) -> Queue:
        """Return a queue.

        Raises ``NOT_FOUND``, or ``CONFIGURATION_EXPIRED`` when the queue is
        unknown and the configuration may be outdated.
        """
        queue = self._leased.configuration.queue_by_name.get(QueueName(name))
        if queue is None:
            self._require_lease()
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'queue {name!r} does not exist'
            )
        return queue

    def get_service(self, name: str) -> Service:
        """Return a service; raises as ``get_queue`` does."""
        services = self._leased.configuration.service_by_name
        service = services.get(ServiceName(name))
        if service is None:
            self._require_lease()
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'service {name!r} does not exist'
            )
        return service

    def authorize_work(
        self, header: str, queue_or_service: Queue | Service
    ) -> TeamName:
        """Return the team that is charged for work of a queue or service.

        A queue or service marked as open needs neither a key nor a valid
        lease.  Raises ``CONFIGURATION_EXPIRED``, ``UNKNOWN_KEY`` or
        ``WRONG_TEAM``.
        """
        team = TeamName(queue_or_service.team)
        if queue_or_service.open:
            return team
        self._require_lease()
        key_team = self.authenticate_team(header)
        if key_team != team:
            raise CassiaholdError(
                ErrorKind.WRONG_TEAM,
                f'{queue_or_service.name!r} belongs to team {team!r}, the '
                f'presented key to team {key_team!r}',
            )
        return team

    def authorize_change(self, header: str) -> TeamName | None:
        """Return the team whose work may be changed; None means any team.

        Operators may change work of every team, whether or not the lease is
        valid.
        """
        if self._is_operator(header):
            return None
        self._require_lease()
        return self.authenticate_team(header)

    def authorize_read(self, header: str) -> TeamName | None:
        """Return the team whose work may be read; None means any team.

        Reads are allowed after the lease has lapsed.
        """
        if self._is_operator(header):
            return None
        return self.authenticate_team(header)

    def require_operator(self, header: str) -> None:
        """Raise ``UNKNOWN_KEY`` unless the operators' key is presented."""
        if not self._is_operator(header):
            raise _unknown_key_error("the request needs the operators' key")

    def require_worker(self, header: str) -> None:
        """Raise ``UNKNOWN_KEY`` unless the workers' key is presented.

        Workers and targets share one key.
        """
        if not self._worker_key_sha256:
            return
        if not matches_key_hash(_bearer_token(header), self._worker_key_sha256):
            raise _unknown_key_error(
                'the request needs the key of workers and targets'
            )

    def authenticate_team(self, header: str) -> TeamName:
        """Return the team of the presented key; raises ``UNKNOWN_KEY``."""
        key_id, _, secret = _bearer_token(header).partition('.')
        key = self._leased.key_by_id.get(KeyId(key_id))
        if key is None or not matches_key_hash(secret, key.sha256):
            raise _unknown_key_error('the key is missing, unknown or withdrawn')
        return self._leased.team_by_key[KeyId(key_id)]

    def describe_caller(self, request: HttpRequest) -> RefusedCaller:
        """Return the team and the share of a request that was refused.

        Callers without a valid key count as one team.
        """
        caller = describe_caller(request)
        try:
            team = self.authenticate_team(request.header('Authorization'))
        except CassiaholdError:
            return msgspec.structs.replace(caller, team=_ANONYMOUS)
        record = self._leased.configuration.team_by_name.get(team)
        weight = float(record.share) if record else 1.0
        return msgspec.structs.replace(caller, team=team, weight=weight)

    def _require_lease(self) -> None:
        if not self.has_valid_lease:
            raise CassiaholdError(
                ErrorKind.CONFIGURATION_EXPIRED,
                'the configuration lease of this gateway has lapsed; it '
                'cannot reach the coordinator group',
            )

    def _is_operator(self, header: str) -> bool:
        if not self._operator_key_sha256:
            return False
        return matches_key_hash(
            _bearer_token(header), self._operator_key_sha256
        )


def _bearer_token(header: str) -> str:
    if header.startswith(_BEARER):
        return header.removeprefix(_BEARER).strip()
    return ''


def _unknown_key_error(detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.UNKNOWN_KEY, detail)
