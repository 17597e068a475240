"""Metrics, sent to statsd, exposed to Prometheus or discarded."""

import typing

import prometheus_client
import statsd

_MS_PER_S: typing.Final = 1000
# Upper bounds of the histogram buckets, from the duration of one disk sync to
# the longest pause of a refused caller.
DURATION_BUCKETS_S: typing.Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


class Metrics(typing.Protocol):
    """The interface through which programs report metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Discards all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, level: float) -> None:
        """Discard a level."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discard a duration."""


class PrometheusMetrics:
    """Collects metrics and renders them in the Prometheus text format."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = prometheus_client.Counter(
            'cassiahold_events',
            'Events by name.',
            ('name',),
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            'cassiahold_level',
            'Levels by name.',
            ('name',),
            registry=self._registry,
        )
        self._durations = prometheus_client.Histogram(
            'cassiahold_duration_seconds',
            'Durations by name.',
            ('name',),
            buckets=DURATION_BUCKETS_S,
            registry=self._registry,
        )

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to the counter of an event."""
        self._counters.labels(name).inc(count)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(level)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in its histogram."""
        self._durations.labels(name).observe(milliseconds / _MS_PER_S)

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def create_metrics(address: str, prefix: str) -> Metrics:
    """Return a statsd client for ``ip:port``; '' discards all metrics."""
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(':')
    return typing.cast(
        Metrics, statsd.StatsClient(host, int(port), prefix=prefix)
    )
