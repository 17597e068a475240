"""Tests of the measured load of a cell."""

from state_fixtures import StateFixture, attempt_key, step_spec

from cassiahold.core.ids import QueueName, WorkerId
from cassiahold.core.testing import function_tests
from cassiahold.workflows.load import measure_load


def test_allocated_cores_and_waiting_steps_are_counted() -> None:
    cell = StateFixture('w', 'away')
    cell.submit('running', step_spec(1))
    cell.start((attempt_key('running', 0, 0), 'w'))
    cell.submit('waiting', step_spec(2))
    load = measure_load(cell.state, {WorkerId('w')})
    assert (load.cores_m, load.allocated_cores_m) == (4000, 1000)
    assert load.waiting_by_queue == {QueueName('plans'): 1}


load_tests = function_tests(globals())
