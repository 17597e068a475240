"""Who may do what: keys of teams, operators and workers."""

import threading
import time

import msgspec

from cassiahold.config.document import Configuration, Key, Queue, Service
from cassiahold.config.keys import matches_key_hash
from cassiahold.core.exceptions import CassiaholdError, ErrorKind
from cassiahold.core.ids import KeyId, QueueName, ServiceName, TeamName

_BEARER = 'Bearer '


class HeldConfiguration(msgspec.Struct, frozen=True):
    """Configuration and when its lease lapses, by the monotonic clock."""

    version: int
    configuration: Configuration
    team_by_key: dict[KeyId, TeamName]
    key_by_id: dict[KeyId, Key]
    lease_until: float


NOTHING_HELD = HeldConfiguration(0, Configuration(), {}, {}, float('-inf'))


class Access:
    """Checks keys against the configuration that is held."""

    def __init__(
        self, operator_key_sha256: str, worker_key_sha256: str
    ) -> None:
        self._operator_key_sha256 = operator_key_sha256
        self._worker_key_sha256 = worker_key_sha256
        self._lock = threading.Lock()
        self._held = NOTHING_HELD

    @property
    def held(self) -> HeldConfiguration:
        """Return the configuration that is held, lapsed or not."""
        return self._held

    def take(self, held: HeldConfiguration) -> None:
        """Hold newer configuration, or the same for longer."""
        with self._lock:
            if held.version >= self._held.version:
                self._held = held

    @property
    def is_current(self) -> bool:
        """Tell whether the lease on the configuration holds."""
        return time.monotonic() < self._held.lease_until

    def queue(self, name: str) -> Queue:
        """Return a queue; raises ``NOT_FOUND``."""
        queue = self._held.configuration.queue_by_name.get(QueueName(name))
        if queue is None:
            self._require_current()
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'queue {name!r} does not exist'
            )
        return queue

    def service(self, name: str) -> Service:
        """Return a service; raises ``NOT_FOUND``."""
        services = self._held.configuration.service_by_name
        service = services.get(ServiceName(name))
        if service is None:
            self._require_current()
            raise CassiaholdError(
                ErrorKind.NOT_FOUND, f'service {name!r} does not exist'
            )
        return service

    def check_work(self, header: str, owner: Queue | Service) -> TeamName:
        """Return the team that work for a queue or service counts for.

        Work that is open to all needs neither key nor lease.
        """
        team = TeamName(owner.team)
        if owner.open:
            return team
        self._require_current()
        holder = self.team_of(header)
        if holder != team:
            raise CassiaholdError(
                ErrorKind.WRONG_TEAM,
                f'{owner.name!r} belongs to team {team!r}, the key to '
                f'{holder!r}',
            )
        return team

    def check_change(self, header: str) -> TeamName | None:
        """Return the team that may change its work; None for operators."""
        if self._is_operator(header):
            return None
        self._require_current()
        return self.team_of(header)

    def check_read(self, header: str) -> TeamName | None:
        """Return the team that may read; the lease may have lapsed."""
        if self._is_operator(header):
            return None
        return self.team_of(header)

    def check_operator(self, header: str) -> None:
        """Raise unless the operators' key is presented."""
        if not self._is_operator(header):
            raise _unknown_key("this needs the operators' key")

    def check_worker(self, header: str) -> None:
        """Raise unless the key of workers and targets is presented."""
        if not self._worker_key_sha256:
            return
        if not matches_key_hash(_token(header), self._worker_key_sha256):
            raise _unknown_key('this needs the key of workers and targets')

    def team_of(self, header: str) -> TeamName:
        """Return the team whose key is presented; raises otherwise."""
        key_id, _, secret = _token(header).partition('.')
        key = self._held.key_by_id.get(KeyId(key_id))
        if key is None or not matches_key_hash(secret, key.sha256):
            raise _unknown_key('the key is missing, unknown or withdrawn')
        return self._held.team_by_key[KeyId(key_id)]

    def _require_current(self) -> None:
        if not self.is_current:
            raise CassiaholdError(
                ErrorKind.CONFIGURATION_EXPIRED,
                'this gateway cannot reach the coordinator group',
            )

    def _is_operator(self, header: str) -> bool:
        if not self._operator_key_sha256:
            return False
        return matches_key_hash(_token(header), self._operator_key_sha256)


def _token(header: str) -> str:
    if header.startswith(_BEARER):
        return header.removeprefix(_BEARER).strip()
    return ''


def _unknown_key(detail: str) -> CassiaholdError:
    return CassiaholdError(ErrorKind.UNKNOWN_KEY, detail)
