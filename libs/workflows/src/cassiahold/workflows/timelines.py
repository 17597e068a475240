"""Times at which jobs reached the stages of their processing.

Times are seconds of the leader's steady clock; stages that a job reached under
an earlier leader are not known.
"""

import msgspec

from cassiahold.core.ids import JobId


class Timeline(msgspec.Struct):
    """When a job's first task reached each stage; None when not observed."""

    accepted_at: float | None = None
    queried_at: float | None = None
    replied_at: float | None = None
    placed_at: float | None = None
    started_at: float | None = None
    failed_attempts: int = 0

    def stage_durations(self) -> dict[str, float]:
        """Return the seconds between stages by metric name.

        ``to_ask_s`` ends with the first query to an advisor, ``advice_s``
        with its reply, ``room_s`` with the first start in the log and
        ``order_s`` with the worker's confirmation of it.
        """
        stages = (
            ('to_ask_s', self.accepted_at, self.queried_at),
            ('advice_s', self.queried_at, self.replied_at),
            ('room_s', self.replied_at or self.accepted_at, self.placed_at),
            ('order_s', self.placed_at, self.started_at),
        )
        return {
            name: until - since
            for name, since, until in stages
            if since is not None and until is not None
        }


class JobTimelines:
    """Registry of the timelines of unfinished jobs."""

    def __init__(self) -> None:
        self._timeline_by_job: dict[JobId, Timeline] = {}

    def record_accepted(self, job: JobId, now: float) -> None:
        """Record that a job was stored."""
        self._timeline_by_job[job] = Timeline(now)

    def record_query(self, job: JobId, now: float) -> None:
        """Record the first query to an advisor."""
        timeline = self._timeline_of(job)
        if timeline.queried_at is None:
            timeline.queried_at = now

    def record_reply(self, job: JobId, now: float) -> None:
        """Record the first reply of an advisor."""
        timeline = self._timeline_by_job.get(job)
        if timeline is not None and timeline.replied_at is None:
            timeline.replied_at = now

    def record_placement(self, job: JobId, now: float) -> None:
        """Record the first start in the log."""
        timeline = self._timeline_of(job)
        if timeline.placed_at is None:
            timeline.placed_at = now

    def record_start(self, job: JobId, now: float) -> None:
        """Record the first start that a worker confirmed."""
        timeline = self._timeline_by_job.get(job)
        if timeline is not None and timeline.started_at is None:
            timeline.started_at = now

    def record_failure(self, job: JobId) -> None:
        """Count a failed attempt."""
        timeline = self._timeline_by_job.get(job)
        if timeline is not None:
            timeline.failed_attempts += 1

    def remove(self, job: JobId) -> Timeline:
        """Remove a job and return its timeline, empty for an unknown job."""
        return self._timeline_by_job.pop(job, Timeline())

    def _timeline_of(self, job: JobId) -> Timeline:
        return self._timeline_by_job.setdefault(job, Timeline())
