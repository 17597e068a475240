"""Renewal of the gateway's leases on the configuration and on slots.

A lease counts from before its request was sent, so that it lapses at the
gateway before the group that granted it considers it lapsed.
"""

import threading
import time
import typing

from cassiahold.core import logs
from cassiahold.core.conf.settings import Settings
from cassiahold.core.exceptions import detail_of, kind_name
from cassiahold.core.ids import GatewayId, TeamName
from cassiahold.gateway.authorization import Authorizer, LeasedConfiguration
from cassiahold.gateway.router import RenewGrants, RouterRef
from cassiahold.routing.slots import SlotGrant
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


class PeriodicThread:
    """Calls a function at intervals in its own thread until closed.

    Errors do not end the thread.  They are logged when the calls begin or
    cease to fail or fail with another kind of error.
    """

    def __init__(
        self, name: str, interval_s: float, function: typing.Callable[[], None]
    ) -> None:
        self._interval_s = interval_s
        self._function = function
        self._name = name
        self._failure_kind = ''  # while the calls fail
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
                self._function()
            except Exception as exc:  # noqa: BLE001
                self._log_change(kind_name(exc), detail_of(exc))
            else:
                self._log_change('', '')
            self._stopped.wait(self._interval_s)

    def _log_change(self, failure_kind: str, detail: str) -> None:
        if failure_kind != self._failure_kind:
            self._failure_kind = failure_kind
            logs.info(
                'sync_changed',
                sync=self._name,
                failing=bool(failure_kind),
                kind=failure_kind,
                detail=detail,
            )


class ConfigurationLeaseRenewer:
    """Renews the lease on the configuration with the coordinator group."""

    def __init__(
        self,
        settings: Settings,
        coordinator: GroupClient,
        authorizer: Authorizer,
    ) -> None:
        self._settings = settings
        self._coordinator = coordinator
        self._authorizer = authorizer

    def renew(self) -> None:
        """Renew the lease and adopt a newer configuration if there is one."""
        sent_at = time.monotonic()
        leased = self._authorizer.leased
        own = self._settings.own_host
        lease = self._coordinator.call(
            ConfigurationSync(GatewayId(own.name), own.name, leased.version),
            _CALL_TIMEOUT_S,
        )
        if not isinstance(lease, ConfigurationLease):
            return
        lease_expires_at = sent_at + lease.lease_s
        update = lease.update
        if update is not None and lease.version >= leased.version:
            logs.info('configuration_in_force', version=lease.version)
            leased = LeasedConfiguration(
                lease.version,
                update.configuration,
                update.team_by_key,
                update.key_by_id,
                lease_expires_at,
            )
        elif lease.version == leased.version:
            leased = LeasedConfiguration(
                leased.version,
                leased.configuration,
                leased.team_by_key,
                leased.key_by_id,
                lease_expires_at,
            )
        else:
            return
        self._authorizer.update(leased)


class SlotLeaseRenewer:
    """Renews the lease on slots with the scheduler group of the data centre."""

    def __init__(
        self,
        settings: Settings,
        scheduler: GroupClient,
        router: RouterRef,
        authorizer: Authorizer,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._router = router
        self._authorizer = authorizer
        self._incarnation = time.time_ns()
        self._sequence = 0

    def renew(self) -> None:
        """Report demand and holdings and use the grants returned."""
        self._sequence += 1
        sent_at = time.monotonic()
        usage = self._router.slot_usage()
        sync = GatewaySync(
            GatewayId(self._settings.own_host.name),
            self._incarnation,
            self._sequence,
            [
                SlotDemand(service, demand)
                for service, demand in usage.demand_by_service.items()
            ],
            [
                HeldSlots(target, incarnation, held, in_use)
                for target, incarnation, held, in_use in usage.holdings
            ],
        )
        grants = self._scheduler.call(sync, _CALL_TIMEOUT_S)
        if isinstance(grants, SlotGrants):
            self._router.renew_grants(
                RenewGrants(
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
                    self._weight_by_team(),
                )
            )

    def _weight_by_team(self) -> dict[TeamName, float]:
        teams = self._authorizer.leased.configuration.team_by_name
        return {name: float(team.share) for name, team in teams.items()}
