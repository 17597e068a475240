"""Progress of attempts, and when one that makes none counts as stalled.

Workers report progress in whole percents, so a sound task of some minutes shows
none for seconds.  How long it may take is judged by the pace of the task.

Times are seconds of the leader's steady clock.
"""

import typing

import msgspec

from cassiahold.core.ids import WorkerId
from cassiahold.workflows.model import AttemptKey, StepKey, TaskKey

COMPLETE_PERCENT: typing.Final = 100
MIN_STALL_TIMEOUT_S: typing.Final = 2.0
MAX_STALL_TIMEOUT_S: typing.Final = 3600.0
# A task may take this many times as long as its caller has estimated.
ESTIMATE_TOLERANCE: typing.Final = 8.0
# A percent may take this many times as long as the slowest one so far.
PACE_TOLERANCE: typing.Final = 4.0


class AttemptProgress(msgspec.Struct):
    """What is known of the progress of an attempt.

    ``s_per_percent`` is the slowest pace seen.  The attempt may have started
    long before ``started_at`` unless ``is_start_known``.  It is stopped, again
    and again until it ends, once it ``has_stalled``.
    """

    worker: WorkerId
    started_at: float
    percent: int
    progressed_at: float
    is_start_known: bool = True
    s_per_percent: float = 0.0
    has_stalled: bool = False

    def record(self, percent: int, now: float) -> bool:
        """Record a reported percentage; tell whether it has changed."""
        if percent == self.percent:
            return False
        if self.percent:
            # Until the first percent it may have waited for its gang.
            elapsed_s = now - self.progressed_at
            change = max(percent - self.percent, 1)
            self.s_per_percent = max(self.s_per_percent, elapsed_s / change)
        self.percent = percent
        self.progressed_at = now
        return True

    def is_still(self, timeout_s: float, now: float) -> bool:
        """Tell whether there was no progress for some time before the end."""
        if self.percent >= COMPLETE_PERCENT:
            return False
        return self.has_stalled or now >= self.progressed_at + timeout_s


class StallTimeouts:
    """Decides how long the attempts of each task may make no progress.

    The timeout of a task doubles each time that one of its attempts stalls:
    the estimate may be far too low.
    """

    def __init__(self) -> None:
        self._stalls_by_step: dict[StepKey, dict[int, int]] = {}

    def timeout_s(
        self, task: TaskKey, progress: AttemptProgress, expected_s: float
    ) -> float:
        """Return after which time without progress an attempt is stalled."""
        expected_pace_s = expected_s / COMPLETE_PERCENT
        timeout_s = max(
            MIN_STALL_TIMEOUT_S,
            ESTIMATE_TOLERANCE * expected_pace_s,
            PACE_TOLERANCE * progress.s_per_percent,
        )
        doubled_s = timeout_s * (1 << self.count_stalls(task))
        return min(doubled_s, MAX_STALL_TIMEOUT_S)

    def count_stalls(self, task: TaskKey) -> int:
        """Return how many attempts of a task have stalled."""
        return self._stalls_by_step.get(task.step, {}).get(task.task_index, 0)

    def record_stall(self, attempt: AttemptKey) -> None:
        """Record that an attempt has stalled."""
        task = attempt.task
        stalls = self._stalls_by_step.setdefault(task.step, {})
        stalls[task.task_index] = self.count_stalls(task) + 1

    def forget_step(self, step: StepKey) -> None:
        """Forget a step of which no task will start any more."""
        self._stalls_by_step.pop(step, None)
