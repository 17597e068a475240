"""Which jobs have begun, and counts of those that have not.

A job has begun once a worker has begun one of its tasks.  A start that is
planned or sent proves nothing: the worker may refuse it, or never get it.
"""

import collections
import typing

from cassiahold.workflows.configuration import QueuePlace
from cassiahold.workflows.model import JobRecord, JobState


class UnstartedJobs:
    """Counts the jobs of each queue that are open and have not begun.

    Those are the ones whose state is ``QUEUED``.
    """

    def __init__(self, records: typing.Iterable[JobRecord]) -> None:
        self._count_by_place = collections.Counter(
            record.place
            for record in records
            if record.state is JobState.QUEUED
        )

    def count(self, place: QueuePlace | None) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._count_by_place[place]

    def add(self, record: JobRecord) -> None:
        """Count a job that has just been accepted."""
        self._count_by_place[record.place] += 1

    def record_begin(self, record: JobRecord) -> None:
        """Record that a worker has begun a task of an open job."""
        if record.state is JobState.QUEUED:
            self._count_by_place[record.place] -= 1
            record.state = JobState.ACTIVE

    def record_finish(self, record: JobRecord) -> None:
        """Record that a job is about to get a final state."""
        if record.state is JobState.QUEUED:
            self._count_by_place[record.place] -= 1
