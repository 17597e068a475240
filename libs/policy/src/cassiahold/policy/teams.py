"""What a team may run and what it runs."""

import msgspec

from cassiahold.core.resources import NO_RESOURCES, Resources


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's weight and what it may run here."""

    weight: float = 1.0
    max_resources: Resources = NO_RESOURCES
    max_tasks: int = 0


class Usage(msgspec.Struct):
    """What a team runs, with starts that are not yet confirmed."""

    resources: Resources = NO_RESOURCES
    tasks: int = 0
