"""Tests of the times at which jobs reach their stages."""

from cassiahold.core.ids import JobId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.timelines import JobTimelines

JOB = JobId('j')


def test_only_the_first_event_of_each_stage_counts() -> None:
    timelines = JobTimelines()
    timelines.record_accepted(JOB, 1.0)
    timelines.record_query(JOB, 1.5)
    timelines.record_reply(JOB, 2.5)
    timelines.record_placement(JOB, 4.5)
    timelines.record_placement(JOB, 9.0)
    timelines.record_start(JOB, 5.0)
    timelines.record_failure(JOB)
    timeline = timelines.remove(JOB)
    assert timeline.stage_durations() == {
        'to_ask_s': 0.5,
        'advice_s': 1.0,
        'room_s': 2.0,
        'order_s': 0.5,
    }
    assert timeline.failed_attempts == 1
    assert not timelines.remove(JOB).stage_durations()


def test_job_of_an_earlier_leader_has_only_observed_stages() -> None:
    timelines = JobTimelines()
    timelines.record_placement(JOB, 3.0)
    timelines.record_start(JOB, 3.25)
    assert timelines.remove(JOB).stage_durations() == {'order_s': 0.25}


load_tests = function_tests(globals())
