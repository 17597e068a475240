"""Limits and current usage of a team in one data centre."""

import msgspec

from cassiahold.core.resources import NO_RESOURCES, Resources


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's weight in sharing, and the most that it may run at once."""

    weight: float = 1.0
    max_resources: Resources = NO_RESOURCES
    max_tasks: int = 0


class TeamUsage(msgspec.Struct):
    """What a team runs, including starts that are not yet committed."""

    resources: Resources = NO_RESOURCES
    task_count: int = 0
