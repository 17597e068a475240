"""Tests of what callers see of jobs when queues and teams change."""

import msgspec
from leader_fixtures import CONFIGURATION, LeaderFixture, make_leader, submit

from cassiahold.cell import requests
from cassiahold.core.clock import boottime_s
from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import QueueName, TeamName
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.workflows.configuration import QueuePolicy, TeamPolicy
from cassiahold.workflows.model import JobState

(QUEUE,) = CONFIGURATION.queues
(TEAM,) = CONFIGURATION.teams


def adopt(
    leader: LeaderFixture,
    queues: tuple[QueuePolicy, ...] = (QUEUE,),
    teams: tuple[TeamPolicy, ...] = (TEAM,),
) -> None:
    """Store the next version of the configuration."""
    following = msgspec.structs.replace(
        CONFIGURATION,
        version=leader.service.state.configuration.version + 1,
        queues=queues,
        teams=teams,
    )
    leader.handle(requests.PutCellConfiguration(following, b'source'))


def state_of(leader: LeaderFixture, path: str, key: str = 'key') -> JobState:
    return leader.handle(requests.GetWork('h', path, key)).state


def pending(leader: LeaderFixture, path: str = '/q/') -> int:
    return leader.handle(requests.GetWork('h', path, 'key')).unstarted_jobs


def test_jobs_of_a_renamed_queue_stay_known_and_start() -> None:
    # Their state was answered as that of unknown jobs, and none started.
    leader = make_leader()
    submit(leader, '/q/1')
    adopt(leader, (msgspec.structs.replace(QUEUE, name=QueueName('new')),))
    assert state_of(leader, '/q/1') is JobState.QUEUED
    assert pending(leader) == 1
    leader.send_heartbeat('w')
    leader.reply_to_poll('w')
    leader.apply_due_commands(boottime_s() + 0.1)
    assert len(leader.sender.starts) == 1


def test_jobs_of_a_moved_queue_are_known_at_its_new_place() -> None:
    leader = make_leader()
    submit(leader, '/q/1')
    adopt(leader, (msgspec.structs.replace(QUEUE, prefix='/r/'),))
    assert state_of(leader, '/r/1') is JobState.QUEUED
    assert pending(leader, '/r/') == 1
    expect_error(ErrorKind.NOT_FOUND, lambda: state_of(leader, '/q/1'))


def test_jobs_are_known_at_both_places_that_exchanged_their_names() -> None:
    other = msgspec.structs.replace(QUEUE, name=QueueName('o'), prefix='/o/')
    leader = make_leader()
    adopt(leader, (QUEUE, other))
    submit(leader, '/q/1')
    adopt(
        leader,
        (
            msgspec.structs.replace(QUEUE, name=other.name),
            msgspec.structs.replace(other, name=QUEUE.name),
        ),
    )
    assert state_of(leader, '/q/1') is JobState.QUEUED
    assert state_of(leader, '/o/1') is JobState.QUEUED
    assert pending(leader) == 1
    assert pending(leader, '/o/') == 0


def test_jobs_are_known_after_their_queue_was_removed_and_returned() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    adopt(leader, ())
    expect_error(ErrorKind.NOT_FOUND, lambda: state_of(leader, '/q/1'))
    leader.service.restore(leader.service.snapshot())
    leader.start_next_term()
    adopt(leader, (msgspec.structs.replace(QUEUE, name=QueueName('new')),))
    assert leader.job_state('/q/1') in {JobState.QUEUED, JobState.ACTIVE}


def test_renamed_team_reaches_its_jobs() -> None:
    leader = make_leader('w')
    submit(leader, '/q/1')
    renamed = TeamPolicy(TeamName('new'), ('key', 'key-2'))
    adopt(leader, teams=(renamed,))
    for key in renamed.keys:
        assert state_of(leader, '/q/1', key).value in {'queued', 'active'}


def test_job_is_known_to_the_key_that_submitted_it() -> None:
    # The key has moved to another team, and the job's team has another one.
    leader = make_leader()
    submit(leader, '/q/1')
    adopt(
        leader,
        teams=(
            TeamPolicy(TEAM.name, ('key-2',)),
            TeamPolicy(TeamName('o'), ('key', 'key-3')),
        ),
    )
    assert state_of(leader, '/q/1', 'key') is JobState.QUEUED
    assert state_of(leader, '/q/1', 'key-2') is JobState.QUEUED
    expect_error(
        ErrorKind.JOB_UNKNOWN, lambda: state_of(leader, '/q/1', 'key-3')
    )


def test_withdrawn_key_opens_no_job_of_a_queue_that_is_not_public() -> None:
    public = msgspec.structs.replace(
        QUEUE, name=QueueName('p'), prefix='/p/', is_public=True
    )
    leader = make_leader()
    submit(leader, '/q/1')
    adopt(leader, (QUEUE, public), (TeamPolicy(TEAM.name, ('key-2',)),))
    expect_error(ErrorKind.UNKNOWN_KEY, lambda: state_of(leader, '/q/1'))
    expect_error(ErrorKind.JOB_UNKNOWN, lambda: state_of(leader, '/p/1'))
    expect_error(ErrorKind.JOB_UNKNOWN, lambda: state_of(leader, '/p/1', ''))
    assert state_of(leader, '/p/1', 'key-2') is JobState.QUEUED


load_tests = function_tests(globals())
