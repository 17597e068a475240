"""Example configuration of a cell for a wheelchair loan service.

Run it to print the configuration: ``python configuration.py > loans.yaml``.
"""

import sys

from cassiahold.config import (
    Configuration,
    Limit,
    PlacementPolicy,
    Queue,
    Service,
    Spread,
    Team,
)
from cassiahold.core.states import JobKind

# Of the six teams, loans and claims are large.
LARGE_TEAM_LIMIT = Limit(cores=900, memory_gb=2000, tasks=4000)
SMALL_TEAM_LIMIT = Limit(cores=300, memory_gb=650, tasks=1000)

CONFIGURATION = Configuration(
    teams=(
        Team(name='loans', share=5, limit=LARGE_TEAM_LIMIT),
        Team(name='claims', share=4, limit=LARGE_TEAM_LIMIT),
        Team(name='fitting', share=2, limit=SMALL_TEAM_LIMIT),
        Team(name='drivers', share=1, limit=SMALL_TEAM_LIMIT),
        Team(name='workshop', share=1, limit=SMALL_TEAM_LIMIT),
        Team(name='families', share=1, limit=SMALL_TEAM_LIMIT),
    ),
    queues=(
        Queue(name='bookings', team='loans', may_be_urgent=True),
        Queue(name='insurer-claims', team='claims'),
        Queue(name='fitting-plans', team='fitting'),
        Queue(name='routes', team='drivers', kinds=(JobKind.GANG,)),
        Queue(name='repairs', team='workshop'),
        Queue(name='questions', team='families', open=True),
    ),
    services=(Service(name='availability', team='loans', open=True),),
    placement=PlacementPolicy(spread=Spread.RACK, urgent_budget=0.2),
)

if __name__ == '__main__':
    sys.stdout.write(CONFIGURATION.to_yaml())
