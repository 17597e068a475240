"""The steps that are ready and have a task to start."""

import typing

from cassiahold.core.ids import JobId
from cassiahold.workflows.model import JobRecord, StepKey
from cassiahold.workflows.steps import has_startable_tasks, step_keys


class WaitingSteps:
    """Tracks which steps of the open jobs wait.

    An update looks at all tasks of a step, so a command marks the steps that
    it changes and updates each of them once.  ``on_closed`` is called for a
    step of which no task will start any more.
    """

    def __init__(
        self,
        job_by_id: typing.Mapping[JobId, JobRecord],
        on_closed: typing.Callable[[StepKey], None],
    ) -> None:
        self._job_by_id = job_by_id
        self._on_closed = on_closed
        self._waiting: dict[StepKey, None] = {}
        self._marked: dict[StepKey, None] = {}

    def keys(self) -> list[StepKey]:
        """Return the keys of the steps that wait."""
        return list(self._waiting)

    def mark(self, key: StepKey) -> None:
        """Mark a step to be updated."""
        self._marked[key] = None

    def mark_job(self, record: JobRecord) -> None:
        """Mark all steps of a job to be updated."""
        self._marked.update(dict.fromkeys(step_keys(record)))

    def update(self) -> None:
        """Update the marked steps."""
        for key in self._marked:
            self._update_step(self._job_by_id[key.job], key)
        self._marked.clear()

    def _update_step(self, record: JobRecord, key: StepKey) -> None:
        if record.is_open and has_startable_tasks(record, key):
            self._waiting[key] = None
            return
        self._waiting.pop(key, None)
        if not record.is_open or not record.step(key).remaining_tasks:
            self._on_closed(key)
