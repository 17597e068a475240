"""When a refused or failed request is sent again.

The gateway's pause is obeyed; without one, pauses grow exponentially with
full jitter.  No try begins after the caller's deadline.  Nothing here reads a
clock.
"""

import email.utils
import random
import typing

from cassiahold.core.exceptions import (
    CassiaholdError,
    ErrorKind,
    ExecutionStatus,
    RetryAdvice,
    RetryAfter,
)

MAX_PAUSE_S: typing.Final = 30.0
FIRST_BACKOFF_S: typing.Final = 0.3
MAX_BACKOFF_S: typing.Final = 5.0
# Of the pause: callers with the same pause do not return together.
JITTER_SHARE: typing.Final = 0.2
_MS_PER_S: typing.Final = 1000


class Retries:
    """Decides on the further tries of one request.

    ``deadline`` is the time at which its caller gives up.
    """

    def __init__(self, deadline: float, rng: random.Random) -> None:
        self._deadline = deadline
        self._rng = rng
        self._failed_tries = 0
        self._unknown_outcome: CassiaholdError | None = None

    def pause_s(self, exc: CassiaholdError, now: float) -> float:
        """Return the pause before the next try after a failed one.

        Raises the error to report when there is none: the given error, or
        ``OUTCOME_UNKNOWN`` if an earlier try may have been carried out.
        """
        self._failed_tries += 1
        if exc.response.execution is ExecutionStatus.MAY_HAVE_RUN:
            self._unknown_outcome = exc
        time_left_s = self._deadline - now
        pause_s = self._shortest_pause_s(exc)
        may_retry = exc.retry_advice is not RetryAdvice.DO_NOT_RETRY
        if not may_retry or pause_s >= time_left_s:
            raise self._error_to_report(exc)
        jitter_s = min(JITTER_SHARE * pause_s, (time_left_s - pause_s) / 2)
        return pause_s + self._rng.uniform(0, jitter_s)

    def _shortest_pause_s(self, exc: CassiaholdError) -> float:
        if exc.retry_after is not None:
            return min(exc.retry_after.delay_s, MAX_PAUSE_S)
        backoff_s = FIRST_BACKOFF_S * 2 ** (self._failed_tries - 1)
        return self._rng.uniform(0, min(backoff_s, MAX_BACKOFF_S))

    def _error_to_report(self, exc: CassiaholdError) -> CassiaholdError:
        if self._unknown_outcome is None or self._unknown_outcome is exc:
            return exc
        return unknown_outcome_error(exc)


def unknown_outcome_error(refusal: CassiaholdError) -> CassiaholdError:
    """Return the error for a request refused after a try without response.

    The refusal holds for its own try only; the earlier one may have been
    carried out.
    """
    error = CassiaholdError(
        ErrorKind.OUTCOME_UNKNOWN,
        f'an earlier try got no response; the last one: {refusal}',
    )
    error.retry_after = refusal.retry_after
    return error


def parse_retry_after(
    precise_ms: str, retry_after: str, unix_time_s: float
) -> RetryAfter | None:
    """Return the pause in the headers of a response, None without one.

    ``precise_ms`` is preferred to the standard header, which has whole
    seconds or a date.
    """
    if precise_ms.isdecimal():
        return RetryAfter(int(precise_ms) / _MS_PER_S)
    if retry_after.isdecimal():
        return RetryAfter(float(retry_after), int(retry_after))
    try:
        date = email.utils.parsedate_to_datetime(retry_after)
    except ValueError:
        return None
    return RetryAfter(max(date.timestamp() - unix_time_s, 0.0))
