"""Tests of the stages that a job passes."""

from cassiahold.core.ids import JobId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.timelines import Timelines

JOB = JobId('j')


def test_waits_are_told_apart_and_only_the_first_counts() -> None:
    timelines = Timelines()
    timelines.accepted(JOB, 1.0)
    timelines.asked(JOB, 1.5)
    timelines.advised(JOB, 2.5)
    timelines.placed(JOB, 4.5)
    timelines.placed(JOB, 9.0)
    timelines.begun(JOB, 5.0)
    timelines.failed(JOB)
    timeline = timelines.finish(JOB)
    assert timeline.durations() == {
        'to_ask_s': 0.5,
        'advice_s': 1.0,
        'room_s': 2.0,
        'order_s': 0.5,
    }
    assert timeline.failed_runs == 1
    assert not timelines.finish(JOB).durations()


def test_a_job_of_an_earlier_leader_has_only_the_stages_seen() -> None:
    timelines = Timelines()
    timelines.placed(JOB, 3.0)
    timelines.begun(JOB, 3.25)
    assert timelines.finish(JOB).durations() == {'order_s': 0.25}


load_tests = function_tests(globals())
