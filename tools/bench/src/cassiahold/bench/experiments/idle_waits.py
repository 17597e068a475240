"""How long tasks wait although much of the capacity is free."""

import typing

from cassiahold.workflows.model import TaskKey


class IdleWaits:
    """Longest time that a task has waited beside free capacity."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._since_by_task: dict[TaskKey, float] = {}

    def record(self, waiting: typing.Iterable[TaskKey], now: float) -> None:
        """Record which tasks wait now; none if little capacity is free."""
        self._since_by_task = {
            task: self._since_by_task.get(task, now) for task in waiting
        }
        for since in self._since_by_task.values():
            self.longest_s = max(self.longest_s, now - since)
