"""Adoption of a configuration: what it changes in the jobs."""

from cassiahold.workflows.configuration import (
    CellConfiguration,
    FormerPolicies,
)
from cassiahold.workflows.identities import (
    IdentityChanges,
    Successions,
    find_successions,
)
from cassiahold.workflows.snapshots import ReplicatedData


def adopt_configuration(
    data: ReplicatedData, configuration: CellConfiguration
) -> IdentityChanges:
    """Replace the configuration and let the jobs follow their queues."""
    known_queues = (*data.former.queues, *data.configuration.queues)
    known_teams = (*data.former.teams, *data.configuration.teams)
    successions = find_successions(known_queues, known_teams, configuration)
    data.former = FormerPolicies(
        tuple(
            queue
            for queue in known_queues
            if queue.place not in successions.place_by_former
        ),
        tuple(
            team
            for team in known_teams
            if team.name not in successions.team_by_former
        ),
    )
    data.configuration = configuration
    _follow(data, successions)
    forget_unused_policies(data)
    return IdentityChanges(
        {
            former: place
            for former, place in successions.place_by_former.items()
            if former != place
        },
        {
            former: team
            for former, team in successions.team_by_former.items()
            if former != team
        },
        data.former,
    )


def forget_unused_policies(data: ReplicatedData) -> None:
    """Forget the removed queues and teams that have no jobs any more."""
    if not data.former.queues and not data.former.teams:
        return
    places = {record.place for record in data.job_by_id.values()}
    teams = {record.team for record in data.job_by_id.values()}
    data.former = FormerPolicies(
        tuple(queue for queue in data.former.queues if queue.place in places),
        tuple(team for team in data.former.teams if team.name in teams),
    )


def _follow(data: ReplicatedData, successions: Successions) -> None:
    """Set the queue and the team of each job to their successors."""
    index = data.index()
    for record in data.job_by_id.values():
        record.team = successions.team_by_former.get(record.team, record.team)
        if record.place is None:
            continue
        record.place = successions.place_by_former.get(
            record.place, record.place
        )
        record.queue = index.queue_by_place[record.place].name
