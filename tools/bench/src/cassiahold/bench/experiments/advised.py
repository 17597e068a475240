"""How much work is on time in a full cell whose advisors must be asked."""

import random
import typing

import msgspec

from cassiahold.bench.experiments.advised_cell import (
    AdvisedCell,
    Kind,
    on_time_part,
)
from cassiahold.bench.experiments.rows import Row, at_least
from cassiahold.core.resources import Resources


class AdvisedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes of the experiment and its targets; the first kind is urgent."""

    workers: int
    cores_m: int
    speeds: list[float]
    kinds: list[Kind]
    lanes: int
    few_lanes: int
    arrive_s: float
    burst_from_s: float
    until_s: float
    target_urgent: float
    target_worst: float
    seed: int


def run(settings: AdvisedSettings) -> list[Row]:
    """Play a burst of urgent work with many lanes for advice and with few."""
    parts = _play(settings, settings.lanes)
    fewer = _play(settings, settings.few_lanes)
    urgent = settings.kinds[0].queue
    baseline = f'{settings.few_lanes} lanes'
    return [
        at_least(
            'advised: urgent work on time at a burst',
            parts[urgent],
            settings.target_urgent,
            'part',
            baseline,
            fewer[urgent],
        ),
        at_least(
            'advised: worst queue on time at a burst',
            min(parts.values()),
            settings.target_worst,
            'part',
            baseline,
            min(fewer.values()),
        ),
    ]


def _play(settings: AdvisedSettings, lanes: int) -> dict[str, float]:
    generator = random.Random(settings.seed)
    speeds: typing.Sequence[float] = [
        generator.choice(settings.speeds) for _ in range(settings.workers)
    ]
    cell = AdvisedCell(
        settings.kinds,
        speeds,
        Resources(settings.cores_m, 2 * settings.cores_m),
        lanes,
        settings.seed,
    )
    cell.run(settings.arrive_s, settings.burst_from_s, settings.until_s)
    return on_time_part(cell.job_by_id.values())
