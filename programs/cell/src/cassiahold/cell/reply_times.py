"""Timeouts of requests to workers, derived from the workers' reply times."""

import threading
import typing

from cassiahold.cell.settings import REQUEST_TIMEOUT_S
from cassiahold.core.clock import boottime_s
from cassiahold.core.ids import WorkerId

MIN_TIMEOUT_S: typing.Final = 0.1
_MEAN_GAIN: typing.Final = 0.125
_DEVIATION_GAIN: typing.Final = 0.25
_DEVIATIONS: typing.Final = 4.0
_TRIES_PER_DOUBLING: typing.Final = 2
_MAX_DOUBLINGS: typing.Final = 8
_MAX_WORKERS: typing.Final = 16_384
_ReplyT = typing.TypeVar('_ReplyT')


class _Estimate:
    """Smoothed mean and deviation of the reply times of one worker."""

    def __init__(self, first_s: float) -> None:
        self._mean_s = first_s
        self._deviation_s = first_s / 2

    def add(self, reply_s: float) -> None:
        error_s = reply_s - self._mean_s
        self._mean_s += _MEAN_GAIN * error_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(error_s) - self._deviation_s
        )

    def timeout_s(self) -> float:
        return self._mean_s + _DEVIATIONS * self._deviation_s


class ReplyTimes:
    """Thread-safe estimates of how long each worker takes to reply.

    A worker that never replied has the longest timeout.  The timeout grows with
    the tries of one request, as the worker may have become slower.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._estimate_by_worker: dict[WorkerId, _Estimate] = {}

    def timeout_s(self, worker: WorkerId, failed_tries: int = 0) -> float:
        """Return how long to wait for a reply that a worker sends at once."""
        with self._lock:
            estimate = self._estimate_by_worker.get(worker)
            if estimate is None:
                return REQUEST_TIMEOUT_S
            expected_s = max(estimate.timeout_s(), MIN_TIMEOUT_S)
        doublings = min(failed_tries // _TRIES_PER_DOUBLING, _MAX_DOUBLINGS)
        return min(expected_s * float(2**doublings), REQUEST_TIMEOUT_S)

    def record(self, worker: WorkerId, reply_s: float) -> None:
        """Record the time until a reply that a worker sent at once."""
        with self._lock:
            estimate = self._estimate_by_worker.get(worker)
            if estimate is not None:
                estimate.add(reply_s)
                return
            if len(self._estimate_by_worker) >= _MAX_WORKERS:
                self._estimate_by_worker.clear()
            self._estimate_by_worker[worker] = _Estimate(reply_s)

    def measure(
        self,
        worker: WorkerId,
        failed_tries: int,
        call: typing.Callable[[float], _ReplyT],
    ) -> _ReplyT:
        """Send a request with its timeout, and record how long it takes.

        Raises what ``call`` raises.
        """
        sent_at = boottime_s()
        reply = call(self.timeout_s(worker, failed_tries))
        self.record(worker, boottime_s() - sent_at)
        return reply
