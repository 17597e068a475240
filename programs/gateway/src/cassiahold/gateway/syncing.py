"""Threads that renew what the gateway holds under leases."""

import threading
import time
import typing

from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import CassiaholdError
from cassiahold.core.ids import GatewayId, TeamName
from cassiahold.gateway.access import Access, HeldConfiguration
from cassiahold.gateway.router import Renew, RouterRef
from cassiahold.routing.dispatcher import SlotGrant
from cassiahold.wire.group_client import GroupClient
from cassiahold.wire.messages import (
    ConfigurationLease,
    ConfigurationSync,
    GatewaySync,
    HeldSlots,
    SlotDemand,
    SlotGrants,
)

_CALL_TIMEOUT_S = 2.0
_CLOSE_TIMEOUT_S = 0.1


class Repeater:
    """Calls a function again and again until closed."""

    def __init__(
        self, name: str, pause_s: float, work: typing.Callable[[], None]
    ) -> None:
        self._pause_s = pause_s
        self._work = work
        self._name = name
        self._failing = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stop; a call in progress is abandoned with its thread."""
        self._stopped.set()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._work()
            except CassiaholdError as exc:
                self._note(failing=True, detail=exc.detail)
            else:
                self._note(failing=False, detail='')
            self._stopped.wait(self._pause_s)

    def _note(self, *, failing: bool, detail: str) -> None:
        if failing != self._failing:
            self._failing = failing
            logs.info(
                'sync_changed', sync=self._name, failing=failing, detail=detail
            )


class ConfigurationRenewal:
    """Keeps the lease on the configuration."""

    def __init__(
        self, settings: Settings, coordinator: GroupClient, access: Access
    ) -> None:
        self._settings = settings
        self._coordinator = coordinator
        self._access = access

    def renew(self) -> None:
        """Renew once; the lease counts from before the request left."""
        sent_at = time.monotonic()
        held = self._access.held
        own = self._settings.own_host
        lease = self._coordinator.call(
            ConfigurationSync(GatewayId(own.name), own.name, held.version),
            _CALL_TIMEOUT_S,
        )
        if not isinstance(lease, ConfigurationLease):
            return
        until = sent_at + lease.lease_s
        update = lease.update
        if update is not None and lease.version >= held.version:
            logs.info('configuration_in_force', version=lease.version)
            held = HeldConfiguration(
                lease.version,
                update.configuration,
                update.team_by_key,
                update.key_by_id,
                until,
            )
        elif lease.version == held.version:
            held = HeldConfiguration(
                held.version,
                held.configuration,
                held.team_by_key,
                held.key_by_id,
                until,
            )
        else:
            return
        self._access.take(held)


class SlotRenewal:
    """Keeps the lease on slots of targets."""

    def __init__(
        self,
        settings: Settings,
        scheduler: GroupClient,
        router: RouterRef,
        access: Access,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._router = router
        self._access = access
        self._incarnation = time.time_ns()
        self._sequence = 0

    def renew(self) -> None:
        """Report demand and holdings and take the grants."""
        self._sequence += 1
        sent_at = time.monotonic()
        view = self._router.view()
        sync = GatewaySync(
            GatewayId(self._settings.own_host.name),
            self._incarnation,
            self._sequence,
            [
                SlotDemand(service, waiting)
                for service, waiting in view.demand.items()
            ],
            [
                HeldSlots(target, incarnation, kept, in_use)
                for target, incarnation, kept, in_use in view.holdings
            ],
        )
        grants = self._scheduler.call(sync, _CALL_TIMEOUT_S)
        if isinstance(grants, SlotGrants):
            self._router.renew(
                Renew(
                    [
                        SlotGrant(
                            granted.target,
                            granted.incarnation,
                            granted.service,
                            granted.address,
                            granted.slots,
                            granted.connections,
                            granted.is_leaving,
                        )
                        for granted in grants.granted
                    ],
                    sent_at + grants.lease_s,
                    self._weights(),
                )
            )

    def _weights(self) -> dict[TeamName, float]:
        teams = self._access.held.configuration.team_by_name
        return {name: float(team.share) for name, team in teams.items()}
