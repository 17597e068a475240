"""The targets of one service at a gateway, and the choice of one."""

import statistics
import typing

import msgspec

from cassiahold.core.exceptions import InvariantError
from cassiahold.core.ids import TargetId
from cassiahold.routing.admission import ServiceCapacity
from cassiahold.routing.health import MIN_UNEJECTED_FRACTION, TargetHealth
from cassiahold.routing.slots import Endpoint, SlotGrant, SlotRequest

_DEFAULT_LATENCY_S: typing.Final = 0.001  # before the first response


class Target(msgspec.Struct):
    """A target's grant, its health and how many of its slots are in use."""

    grant: SlotGrant
    health: TargetHealth
    in_use: int = 0

    def usable_slots(self, now: float) -> int:
        """Return how many requests may be in progress at the target."""
        usable = max(int(self.grant.slots * self.health.slot_fraction(now)), 1)
        return min(usable, self.grant.slots)

    def free_slots(self, now: float) -> int:
        """Return how many more requests may be sent to the target."""
        return self.usable_slots(now) - self.in_use

    def occupy_slot(self) -> Endpoint:
        """Count one more request; return where to send it.

        Raises ``InvariantError`` when no granted slot is free or the target
        is leaving.
        """
        grant = self.grant
        if self.in_use >= grant.slots:
            raise InvariantError(
                1,
                f'request assigned to target {grant.target!r}, whose '
                f'{grant.slots} granted slots are all in use',
            )
        if grant.is_leaving:
            raise InvariantError(
                8,
                f'request assigned to target {grant.target!r}, '
                'which is leaving',
            )
        self.in_use += 1
        return Endpoint(
            grant.target,
            grant.incarnation,
            grant.address,
            grant.max_connections,
        )


TargetById = dict[TargetId, Target]


def choose_target(
    target_by_id: TargetById, request: SlotRequest, now: float
) -> Target | None:
    """Return the best target with a free slot that a request may use."""
    if request.excluded_targets:
        allowed = _targets_of_retry(target_by_id, request, now)
        return min(
            (target for target in allowed if target.free_slots(now) > 0),
            key=_expected_latency_s,
            default=None,
        )
    usable = [
        target
        for target in _open_targets(target_by_id)
        if target.free_slots(now) > 0
    ]
    healthy = [target for target in usable if not target.health.is_ejected(now)]
    if healthy:
        return min(healthy, key=_expected_latency_s)
    # Ejected targets serve only when no other target has a free slot.
    return usable[0] if usable else None


def limit_ejections(
    target_by_id: TargetById, ejected: Target, now: float
) -> None:
    """Use a target again at once when too many others are ejected, too."""
    targets = target_by_id.values()
    ejected_count = sum(target.health.is_ejected(now) for target in targets)
    if ejected_count > len(targets) * (1 - MIN_UNEJECTED_FRACTION):
        ejected.health.ejected_until = now


def serving_targets(target_by_id: TargetById, now: float) -> list[Target]:
    """Return the targets that get requests: ejected ones only without others.

    Leaving targets get no requests.
    """
    staying = [
        target
        for target in target_by_id.values()
        if not target.grant.is_leaving
    ]
    return [
        target for target in staying if not target.health.is_ejected(now)
    ] or staying


def measure_capacity(
    target_by_id: TargetById, now: float
) -> ServiceCapacity | None:
    """Return what the serving targets can do, None before the first response.

    A target without responses counts as one of average latency.
    """
    targets = serving_targets(target_by_id, now)
    latencies_s = [
        target.health.latency_s
        for target in targets
        if target.health.latency_s > 0
    ]
    if not latencies_s:
        return None
    mean_s = statistics.fmean(latencies_s)
    requests_per_s = sum(
        target.usable_slots(now) / (target.health.latency_s or mean_s)
        for target in targets
    )
    if requests_per_s <= 0:
        return None
    return ServiceCapacity(requests_per_s, min(latencies_s))


def _targets_of_retry(
    target_by_id: TargetById, request: SlotRequest, now: float
) -> list[Target]:
    """Return the targets that a request that has failed may use.

    These are healthy targets where it has not failed, whether or not they
    have a free slot now.  If there are none, waiting for one would only use
    up the time until the deadline: then all healthy targets, or else all.
    """
    open_targets = _open_targets(target_by_id)
    healthy = [
        target for target in open_targets if not target.health.is_ejected(now)
    ]
    others = [
        target
        for target in healthy
        if target.grant.target not in request.excluded_targets
    ]
    return others or healthy or open_targets


def _open_targets(target_by_id: TargetById) -> list[Target]:
    return [
        target
        for target in target_by_id.values()
        if target.grant.slots > 0 and not target.grant.is_leaving
    ]


def _expected_latency_s(target: Target) -> float:
    latency_s = target.health.latency_s or _DEFAULT_LATENCY_S
    return latency_s * (target.in_use + 1) / target.grant.slots
