"""Amounts of processors, memory and accelerators."""

import typing

import msgspec


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """An exact amount: integers, so that sums never drift.

    ``cores_m`` is in thousandths of a core, ``memory_mb`` in megabytes.
    """

    cores_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cores_m + other.cores_m,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cores_m - other.cores_m,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, factor: int) -> 'Resources':
        return Resources(
            self.cores_m * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
        )

    def fits_in(self, room: 'Resources') -> bool:
        """Tell whether every dimension is within ``room``."""
        return (
            self.cores_m <= room.cores_m
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def elementwise_max(self, other: 'Resources') -> 'Resources':
        """Return the larger amount in each dimension."""
        return Resources(
            max(self.cores_m, other.cores_m),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def elementwise_min(self, other: 'Resources') -> 'Resources':
        """Return the smaller amount in each dimension."""
        return Resources(
            min(self.cores_m, other.cores_m),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def dominant_share(self, total: 'Resources') -> float:
        """Return the largest fraction of ``total`` over the dimensions."""
        share = 0.0
        if total.cores_m:
            share = self.cores_m / total.cores_m
        if total.memory_mb:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators:
            share = max(share, self.accelerators / total.accelerators)
        return share


NO_RESOURCES: typing.Final = Resources()


def is_within_limit(used: Resources, limit: Resources) -> bool:
    """Tell whether an amount keeps a limit in which 0 means none."""
    return all(
        not most or amount <= most
        for amount, most in (
            (used.cores_m, limit.cores_m),
            (used.memory_mb, limit.memory_mb),
            (used.accelerators, limit.accelerators),
        )
    )
