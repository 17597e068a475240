"""Tests of queues and teams that change their names, places and keys."""

import itertools
import typing

import msgspec
from state_fixtures import (
    CORES,
    StateFixture,
    attempt_key,
    configuration,
    queue_policy,
    step_spec,
)

from cassiahold.core.ids import JobId, QueueName, TeamName
from cassiahold.core.resources import Resources
from cassiahold.core.testing import function_tests
from cassiahold.workflows import commands
from cassiahold.workflows.configuration import (
    CellConfiguration,
    QueuePlace,
    QueuePolicy,
    TeamPolicy,
)
from cassiahold.workflows.identities import find_successions
from cassiahold.workflows.model import (
    AttemptOutcome,
    JobState,
    WorkflowSpec,
)
from cassiahold.workflows.state import WorkflowState
from cassiahold.workflows.urgency import Backlog

PLACE = QueuePlace('host', '/plans/')
MOVED_PLACE = QueuePlace('host', '/moved/')
TWO_CORES = Resources(cores_m=2000)


def queue_at(name: str, place: QueuePlace = PLACE) -> QueuePolicy:
    return msgspec.structs.replace(
        queue_policy(name), host=place.host, prefix=place.prefix
    )


def adopt(cell: StateFixture, *queues: QueuePolicy, **options: typing.Any):
    """Adopt the next version with some queues, or with none at all."""
    version = cell.state.configuration.version + 1
    following = configuration(*queues, version=version, **options)
    if not queues:
        following = msgspec.structs.replace(following, queues=())
    assert cell.apply(commands.PutConfiguration(following, b'', 2.0))


def adopt_teams(cell: StateFixture, *teams: TeamPolicy) -> None:
    version = cell.state.configuration.version + 1
    following = msgspec.structs.replace(
        configuration(version=version), teams=teams
    )
    assert cell.apply(commands.PutConfiguration(following, b'', 2.0))


def candidate_queues(cell: StateFixture) -> list[QueuePolicy]:
    """Return the queues of the steps that may start."""
    return [
        candidate.queue for candidate in Backlog(cell.state).candidates(9.0)
    ]


def test_jobs_follow_a_queue_that_is_renamed() -> None:
    # They were unknown and never started under the new name.
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt(cell, queue_at('renamed'))
    assert [queue.name for queue in candidate_queues(cell)] == ['renamed']
    assert cell.state.count_unstarted_jobs(PLACE) == 1
    assert cell.job('j').queue == 'renamed'


def test_jobs_follow_a_queue_that_moves() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt(cell, queue_at('plans', MOVED_PLACE))
    assert [queue.place for queue in candidate_queues(cell)] == [MOVED_PLACE]
    assert cell.state.count_unstarted_jobs(PLACE) == 0
    assert cell.state.count_unstarted_jobs(MOVED_PLACE) == 1


def test_jobs_stay_at_their_place_when_two_queues_exchange_names() -> None:
    cell = StateFixture(
        'w',
        config=configuration(queue_at('a'), queue_at('b', MOVED_PLACE)),
    )
    cell.submit('j', step_spec(), queue='a')
    adopt(cell, queue_at('b'), queue_at('a', MOVED_PLACE))
    assert [queue.place for queue in candidate_queues(cell)] == [PLACE]
    assert cell.job('j').queue == 'b'


def test_jobs_of_a_removed_queue_go_on_under_its_last_policy() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt(cell)
    assert [queue.name for queue in candidate_queues(cell)] == ['plans']
    assert not cell.submit('k', step_spec()).is_first
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.DONE)
    assert cell.job('j').state is JobState.COMPLETE


def test_removed_queue_returns_at_its_place_or_under_its_name() -> None:
    for returned in (queue_at('other'), queue_at('plans', MOVED_PLACE)):
        cell = StateFixture('w')
        cell.submit('j', step_spec())
        adopt(cell)
        cell.state.restore(cell.state.snapshot())
        adopt(cell, queue_at('unrelated', QueuePlace('host', '/z/')))
        adopt(cell, returned)
        assert candidate_queues(cell) == [returned]
        assert cell.state.count_unstarted_jobs(returned.place) == 1


def test_removed_queue_is_forgotten_with_its_last_job() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt(cell)
    cell.apply(commands.CancelJob(JobId('j'), 3.0))
    cell.apply(commands.PruneJobs(4.0))
    adopt(cell, queue_at('plans', MOVED_PLACE))
    assert PLACE not in cell.state.configuration_index.queue_by_place
    assert cell.state.count_unstarted_jobs(MOVED_PLACE) == 0


def test_new_queue_at_an_abandoned_place_has_no_jobs() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt(cell, queue_at('plans', MOVED_PLACE))
    adopt(cell, queue_at('plans', MOVED_PLACE), queue_at('new'))
    assert cell.state.count_unstarted_jobs(PLACE) == 0
    assert cell.state.count_unstarted_jobs(MOVED_PLACE) == 1


def test_job_accepted_while_its_queue_is_renamed_is_stored() -> None:
    # The command was proposed under the earlier name.
    cell = StateFixture('w')
    adopt(cell, queue_at('renamed'))
    command = commands.AcceptJob(
        JobId('j'),
        QueueName('plans'),
        TeamName('desk'),
        WorkflowSpec('payload', (step_spec(),)),
        0.0,
        PLACE,
        'key',
    )
    assert cell.apply(command).is_first
    assert cell.job('j').queue == 'renamed'


def test_limit_of_a_team_holds_for_its_earlier_name() -> None:
    # Its attempts in progress counted for the name that it no longer has.
    cell = StateFixture('w')
    cell.submit('j', step_spec(3))
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    renamed = TeamPolicy(TeamName('new'), ('key', 'k2'), limit=TWO_CORES)
    adopt_teams(cell, renamed)
    assert cell.job('j').team == 'new'
    assert cell.state.usage_of(TeamName('new')) == CORES
    assert cell.start((attempt_key('j', 0, 1), 'w')) == 1
    assert cell.start((attempt_key('j', 0, 2), 'w')) == 0
    cell.end(attempt_key('j', 0, 0), 'w', AttemptOutcome.DONE)
    assert cell.state.usage_of(TeamName('new')) == CORES


def test_limit_of_a_removed_team_holds_for_its_jobs() -> None:
    cell = StateFixture('w', config=configuration(limit=CORES))
    cell.submit('j', step_spec(2))
    adopt_teams(cell)
    assert cell.start((attempt_key('j', 0, 0), 'w')) == 1
    assert cell.start((attempt_key('j', 0, 1), 'w')) == 0


def test_team_that_keeps_its_name_keeps_its_jobs_without_its_keys() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    adopt_teams(
        cell,
        TeamPolicy(TeamName('other'), ('key',)),
        TeamPolicy(TeamName('desk'), ()),
    )
    assert cell.job('j').team == 'desk'


def test_snapshot_of_an_earlier_version_has_the_places_of_its_queues() -> None:
    cell = StateFixture('w')
    cell.submit('j', step_spec())
    cell.job('j').place = None
    state = WorkflowState()
    state.restore(cell.state.snapshot())
    assert state.count_unstarted_jobs(PLACE) == 1


def test_each_queue_has_one_successor_at_most_that_is_configured() -> None:
    """Every change between configurations of two names and two places."""
    pairs = list(itertools.product(('a', 'b'), (PLACE, MOVED_PLACE)))
    choices = [
        tuple(itertools.starmap(queue_at, chosen))
        for size in (0, 1, 2)
        for chosen in itertools.combinations(pairs, size)
        if len({place for _, place in chosen}) == size
    ]
    for before, after in itertools.product(choices, choices):
        successions = find_successions(
            before, (), CellConfiguration(queues=after)
        )
        places = {queue.place for queue in after}
        for queue in before:
            place = successions.place_by_former.get(queue.place)
            assert place is None or place in places
            if queue.place in places:
                assert place == queue.place
            elif queue.name in {other.name for other in after} and (
                len(before) < 2
            ):
                assert place is not None


load_tests = function_tests(globals())
