"""Counts of the jobs of which no task has started."""

import collections
import typing

from cassiahold.workflows.configuration import QueuePlace
from cassiahold.workflows.model import JobRecord, JobState


class UnstartedJobs:
    """Counts the jobs of each queue whose state is ``QUEUED``."""

    def __init__(self, records: typing.Iterable[JobRecord]) -> None:
        self._count_by_place = collections.Counter(
            record.place
            for record in records
            if record.state is JobState.QUEUED
        )

    def count(self, place: QueuePlace | None) -> int:
        """Return the number of unstarted jobs of a queue."""
        return self._count_by_place[place]

    def add(self, record: JobRecord) -> None:
        """Count a job that has just been accepted."""
        self._count_by_place[record.place] += 1

    def remove(self, record: JobRecord) -> None:
        """Count a job no more: it is about to leave the state ``QUEUED``."""
        if record.state is JobState.QUEUED:
            self._count_by_place[record.place] -= 1
