"""What a team may run and what it runs."""

import msgspec

from cassiahold.core.resources import NOTHING, Resources


class Bounds(msgspec.Struct, frozen=True):
    """A team's weight and what it may run here."""

    weight: float = 1.0
    limit: Resources = NOTHING
    tasks: int = 0


class TeamUsage(msgspec.Struct):
    """What a team runs, with starts that are not yet confirmed."""

    resources: Resources = NOTHING
    task_count: int = 0
