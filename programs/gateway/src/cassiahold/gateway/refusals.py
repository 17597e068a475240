"""Tells the callers of refused requests when to try again.

The place that refused a request describes its load in the error's hint; the
pause itself is chosen here, where the request came in, since only here the
caller and its deadline are known.
"""

import random
import threading
import typing

from cassiahold.core.conf.settings import RetrySettings
from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    RetryAdvice,
    RetryAfter,
    RetryHint,
)
from cassiahold.core.metrics import Metrics
from cassiahold.routing.retry_after import (
    RefusedCaller,
    ReturnSchedule,
    whole_seconds,
)

RETRY_AFTER_HEADER: typing.Final = 'Retry-After'
RETRY_AFTER_MS_HEADER: typing.Final = 'Cassiahold-Retry-After-Ms'
_MS_PER_S: typing.Final = 1000


class RefusalPolicy:
    """Sets the pause of each error that allows a later try.

    There is a schedule of returns for each kind of error and each resource
    that is named in a hint.  Thread-safe.
    """

    def __init__(
        self,
        settings: RetrySettings,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._schedule_by_resource: dict[
            tuple[ErrorKind, str], ReturnSchedule
        ] = {}

    def apply(
        self, exc: CassiaholdError, caller: RefusedCaller, now: float
    ) -> None:
        """Set the pause of an error, or say that no try can be in time."""
        if exc.response.retry is not RetryAdvice.RETRY_LATER:
            return
        hint = exc.hint or RetryHint(self._settings.default_delay_s)
        with self._lock:
            decision = self._schedule(exc.kind, hint).decide(hint, caller, now)
        if decision.delay_s is None:
            exc.retry_advice = RetryAdvice.DO_NOT_RETRY
            self._metrics.incr(f'retry_too_late.{exc.kind.value}')
            exc.detail = (
                f'{exc.detail}; a try has a chance after '
                f'{decision.earliest_s:.1f} s, but the caller has '
                f'{caller.time_left_s:.1f} s left'
            )
            return
        self._metrics.timing(
            f'retry_after.{exc.kind.value}', decision.delay_s * _MS_PER_S
        )
        exc.retry_after = RetryAfter(
            decision.delay_s,
            whole_seconds(
                decision.delay_s, decision.earliest_s, caller.time_left_s
            ),
        )

    def _schedule(self, kind: ErrorKind, hint: RetryHint) -> ReturnSchedule:
        key = (kind, hint.resource)
        schedule = self._schedule_by_resource.get(key)
        if schedule is None:
            schedule = ReturnSchedule(self._settings, self._rng)
            self._schedule_by_resource[key] = schedule
        return schedule


def retry_headers(exc: CassiaholdError) -> list[tuple[str, str]]:
    """Return the headers that tell the caller when to try again.

    ``Retry-After`` has whole seconds and is absent if none is in time.
    """
    retry_after = exc.retry_after
    if retry_after is None:
        return []
    milliseconds = round(retry_after.delay_s * _MS_PER_S)
    headers = [(RETRY_AFTER_MS_HEADER, str(milliseconds))]
    if retry_after.whole_s is not None:
        headers.append((RETRY_AFTER_HEADER, str(retry_after.whole_s)))
    return headers
