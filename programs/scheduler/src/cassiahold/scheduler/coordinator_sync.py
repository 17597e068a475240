"""Periodic synchronisation of scheduler groups with the coordinator group.

The leader of a group reports its adopted versions and its teams' demand; the
coordinator returns a newer configuration and a newer quota offer.
"""

import functools
import threading

from cassiahold.agreement.replica import NotLeaderError
from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import GroupName
from cassiahold.core.loops import run_step
from cassiahold.scheduler.handlers import (
    AdoptCoordinatorUpdate,
    BuildCoordinatorSync,
)
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.messages import SchedulerSync, SchedulerUpdate
from cassiahold.wire.replica_server import ReplicaServer

_CALL_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.1


class CoordinatorSync:
    """A thread that synchronises every group whose leader is on this host."""

    def __init__(
        self,
        replica_server: ReplicaServer,
        groups: list[GroupName],
        coordinator: GroupClient,
        interval_s: float,
    ) -> None:
        self._replica_server = replica_server
        self._groups = groups
        self._coordinator = coordinator
        self._interval_s = interval_s
        self._stopped = threading.Event()
        self._was_reachable = True
        self._thread = threading.Thread(
            target=self._run, name='exchange', daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop; a call in progress is abandoned with its thread."""
        self._stopped.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopped.wait(self._interval_s):
            for group in self._groups:
                run_step(
                    f'exchange {group}',
                    functools.partial(self._sync_group, group),
                )

    def _sync_group(self, group: GroupName) -> None:
        try:
            sync = self._replica_server.call_local(
                group, BuildCoordinatorSync()
            )
        except NotLeaderError:
            return  # The leader of this group is on another host.
        if not isinstance(sync, SchedulerSync):
            return
        try:
            update = self._coordinator.call(sync, _CALL_TIMEOUT_S)
        except CassiaholdError as exc:
            self._log_reachability(is_reachable=False, detail=exc.detail)
            return
        self._log_reachability(is_reachable=True, detail='')
        if isinstance(update, SchedulerUpdate) and (
            update.configuration is not None or update.offer is not None
        ):
            self._replica_server.call_local(
                group, AdoptCoordinatorUpdate(update)
            )

    def _log_reachability(self, *, is_reachable: bool, detail: str) -> None:
        if is_reachable != self._was_reachable:
            self._was_reachable = is_reachable
            logs.info(
                'coordinator_reachable',
                reachable=is_reachable,
                detail=detail,
            )
