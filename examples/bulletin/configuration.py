"""Example configuration of a cell for a fertiliser price bulletin.

Run it to print the configuration: ``python configuration.py > prices.yaml``.
"""

import sys

from cassiahold.config import (
    Configuration,
    Limit,
    PlacementPolicy,
    Queue,
    Service,
    Team,
)
from cassiahold.core.states import JobKind

# Of the six teams, indices and merchants are large.
LARGE_TEAM_LIMIT = Limit(cores=260, memory_gb=480, tasks=2000)
SMALL_TEAM_LIMIT = Limit(cores=80, memory_gb=150, tasks=500)

CONFIGURATION = Configuration(
    teams=(
        Team(name='indices', share=5, limit=LARGE_TEAM_LIMIT),
        Team(name='merchants', share=4, limit=LARGE_TEAM_LIMIT),
        Team(name='munster', share=1, limit=SMALL_TEAM_LIMIT),
        Team(name='leinster', share=1, limit=SMALL_TEAM_LIMIT),
        Team(name='connacht', share=1, limit=SMALL_TEAM_LIMIT),
        Team(name='members', share=2, limit=SMALL_TEAM_LIMIT),
    ),
    queues=(
        Queue(
            name='regional-indices',
            team='indices',
            kinds=(JobKind.GANG, JobKind.BATCH),
            may_be_urgent=True,
        ),
        Queue(name='submissions', team='merchants'),
        Queue(name='munster-prices', team='munster'),
        Queue(name='leinster-prices', team='leinster'),
        Queue(name='connacht-prices', team='connacht'),
        Queue(name='look-ups', team='members', open=True),
    ),
    services=(Service(name='prices', team='members', open=True),),
    placement=PlacementPolicy(urgent_budget=0.2),
)

if __name__ == '__main__':
    sys.stdout.write(CONFIGURATION.to_yaml())
