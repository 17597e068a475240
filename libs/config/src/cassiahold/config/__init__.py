"""Configuration of a cell as Python objects that print its YAML file."""

from cassiahold.config.document import (
    Configuration,
    Key,
    Limit,
    PlacementPolicy,
    Queue,
    Service,
    Spread,
    Team,
)
from cassiahold.config.keys import new_key

__all__ = (
    'Configuration',
    'Key',
    'Limit',
    'PlacementPolicy',
    'Queue',
    'Service',
    'Spread',
    'Team',
    'new_key',
)
