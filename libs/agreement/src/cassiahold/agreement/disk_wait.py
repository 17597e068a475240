"""Wait of a replica until its disk has room again."""

import typing

from cassiahold.agreement.storage import ReplicaStorage
from cassiahold.core import logs
from cassiahold.core.exceptions import DiskFullError
from cassiahold.core.ids import GroupName, ReplicaId

ROOM_CHECK_INTERVAL_S: typing.Final = 0.25
# A disk with less room than this would be full again at once.
MIN_ROOM_BYTES: typing.Final = 65_536

# Called with True when the disk is full, with False when it has room again.
DiskFullObserver = typing.Callable[[bool], None]


class DiskWait:
    """Tells whether a replica waits for room on its disk, and for how long.

    Times are seconds of the replica's clock.
    """

    def __init__(
        self,
        group: GroupName,
        replica: ReplicaId,
        storage: ReplicaStorage,
        observer: DiskFullObserver | None,
    ) -> None:
        self._group = group
        self._replica = replica
        self._storage = storage
        self._observer = observer or _ignore
        self._needed_bytes = 0
        self._began_at = 0.0
        self._next_check_at = 0.0
        self.is_waiting = False
        self._observer(False)

    def begin(self, error: DiskFullError, now: float) -> None:
        """Wait until the disk takes as much as the write that failed."""
        self._needed_bytes = max(error.needed_bytes, MIN_ROOM_BYTES)
        self._next_check_at = now + ROOM_CHECK_INTERVAL_S
        if self.is_waiting:
            return
        self.is_waiting = True
        self._began_at = now
        self._observer(True)
        logs.error(
            'disk_full',
            group=self._group,
            replica=self._replica,
            reason=error.detail,
            needed_bytes=error.needed_bytes,
        )

    def has_room(self, now: float) -> bool:
        """Check at intervals whether the disk has room again."""
        if now < self._next_check_at:
            return False
        self._next_check_at = now + ROOM_CHECK_INTERVAL_S
        return self._storage.has_room(self._needed_bytes)

    def end(self, now: float) -> None:
        """Record that the replica goes on."""
        self.is_waiting = False
        self._observer(False)
        logs.info(
            'disk_has_room',
            group=self._group,
            replica=self._replica,
            full_s=now - self._began_at,
        )


def _ignore(is_full: bool) -> None:
    """Observe nothing."""
