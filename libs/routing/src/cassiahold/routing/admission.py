"""Estimates when a queued request will be served, for admission control.

The queues of a service are served by start-time fair queueing: each team has
a virtual time, the requests served divided by its weight, and the team with
the least goes next.
"""

import math
import typing

import msgspec

from cassiahold.core.exceptions import RetryHint
from cassiahold.core.ids import ServiceName


class TeamQueue(msgspec.Struct, frozen=True):
    """The queue of one team; ``virtual_time`` is that of its first request."""

    weight: float
    virtual_time: float
    length: int


class ServiceCapacity(msgspec.Struct, frozen=True):
    """What the targets of a service can do.

    ``service_s`` is the time of one request at the fastest of them.
    """

    requests_per_s: float
    service_s: float


class QueueEstimate(msgspec.Struct, frozen=True):
    """When a request that joins a queue now will be served.

    It waits for ``wait_s`` and is served in ``service_s``.
    """

    wait_s: float
    capacity: ServiceCapacity

    @property
    def response_s(self) -> float:
        """Return the time until the response."""
        return self.wait_s + self.capacity.service_s

    def full_queue_hint(self, service: ServiceName) -> RetryHint:
        """Return the hint for a request that finds its queue full.

        Half of the queue has been served when it returns, and the other half
        is still before it.
        """
        half_s = self.wait_s / 2
        return RetryHint(
            half_s,
            self.capacity.requests_per_s,
            service_s=half_s + self.capacity.service_s,
            resource=service,
        )


def estimate_wait(
    own: TeamQueue,
    others: typing.Iterable[TeamQueue],
    capacity: ServiceCapacity,
) -> QueueEstimate:
    """Return when the next request of a team will be served."""
    ahead = own.length + sum(_count_ahead(own, other) for other in others)
    return QueueEstimate((ahead + 1) / capacity.requests_per_s, capacity)


def _count_ahead(own: TeamQueue, other: TeamQueue) -> int:
    """Count another team's requests that go before the next one of a team."""
    virtual_start = own.virtual_time + own.length / own.weight
    lead = (virtual_start - other.virtual_time) * other.weight
    return min(max(math.floor(lead) + 1, 0), other.length)
