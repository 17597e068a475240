"""Metrics over statsd or as a page of text; silent when neither is set."""

import typing

import prometheus_client
import statsd

_MS: typing.Final = 1000
# Upper bounds in seconds, from one sync of a disk to a caller's patience.
DURATION_BOUNDS_S: typing.Final = (
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
)


class Metrics(typing.Protocol):
    """The few calls that the programs make."""

    def incr(self, name: str, count: int = 1) -> None:
        """Count an event."""

    def gauge(self, name: str, level: float) -> None:
        """Report a level."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration."""


class NullMetrics:
    """Drops every metric."""

    def incr(self, name: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, level: float) -> None:
        """Drop a level."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Drop a duration."""


class PrometheusMetrics:
    """Keeps metrics for a page in the Prometheus text format."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            'cassiahold_events',
            'Events by name.',
            ('name',),
            registry=self._registry,
        )
        self._levels = prometheus_client.Gauge(
            'cassiahold_level',
            'Levels by name.',
            ('name',),
            registry=self._registry,
        )
        self._durations = prometheus_client.Histogram(
            'cassiahold_duration_seconds',
            'Durations by name.',
            ('name',),
            buckets=DURATION_BOUNDS_S,
            registry=self._registry,
        )

    def incr(self, name: str, count: int = 1) -> None:
        """Count an event."""
        self._events.labels(name).inc(count)

    def gauge(self, name: str, level: float) -> None:
        """Report a level."""
        self._levels.labels(name).set(level)

    def timing(self, name: str, milliseconds: float) -> None:
        """Report a duration."""
        self._durations.labels(name).observe(milliseconds / _MS)

    def render_text(self) -> bytes:
        """Return every metric as text."""
        return prometheus_client.generate_latest(self._registry)


def create_metrics(address: str, prefix: str) -> Metrics:
    """Return a statsd client for ``ip:port``, or a silent one for ''."""
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(':')
    return typing.cast(
        Metrics, statsd.StatsClient(host, int(port), prefix=prefix)
    )
