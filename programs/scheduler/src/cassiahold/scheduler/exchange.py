"""The exchange of a scheduler group's leader with the coordinator."""

import contextlib
import threading

from cassiahold.core import logs
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import GroupName
from cassiahold.scheduler.handlers import BuildSync, TakeUpdate
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.messages import SchedulerSync, SchedulerUpdate
from cassiahold.wire.replica_server import ReplicaServer

_CALL_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.1


class CoordinatorExchange:
    """One thread that keeps every led group up to date."""

    def __init__(
        self,
        host: ReplicaServer,
        groups: list[GroupName],
        coordinator: GroupClient,
        pause_s: float,
    ) -> None:
        self._host = host
        self._groups = groups
        self._coordinator = coordinator
        self._pause_s = pause_s
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
        while not self._stopped.wait(self._pause_s):
            for group in self._groups:
                self._exchange(group)

    def _exchange(self, group: GroupName) -> None:
        try:
            sync = self._host.call_local(group, BuildSync())
        except CassiaholdError:
            return  # Another replica leads this group.
        if not isinstance(sync, SchedulerSync):
            return
        try:
            update = self._coordinator.call(sync, _CALL_TIMEOUT_S)
        except CassiaholdError as exc:
            self._note_reachable(reachable=False, detail=exc.detail)
            return
        self._note_reachable(reachable=True, detail='')
        if isinstance(update, SchedulerUpdate) and (
            update.configuration is not None or update.offer is not None
        ):
            with contextlib.suppress(CassiaholdError):
                self._host.call_local(group, TakeUpdate(update))

    def _note_reachable(self, *, reachable: bool, detail: str) -> None:
        if reachable != self._was_reachable:
            self._was_reachable = reachable
            logs.info(
                'coordinator_reachable',
                reachable=reachable,
                detail=detail,
            )
