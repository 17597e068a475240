"""Tests of malformed bodies of callers, operators, workers and targets."""

import io
import json
import typing

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.http import HttpRequest
from cassiahold.wire import messages

NESTED = b'[' * 100_000 + b']' * 100_000
WORKER_REPORT: dict[str, typing.Any] = {
    'worker': 'w',
    'incarnation': 1_700_000_000_000_000_000,
    'data_centre': 'z',
    'sequence': 1,
    'capacity': {'cores_m': 1},
}


def make_request(content: bytes) -> HttpRequest:
    return HttpRequest(
        {
            'REQUEST_METHOD': 'POST',
            'CONTENT_LENGTH': str(len(content)),
            'wsgi.input': io.BytesIO(content),
        }
    )


def test_deeply_nested_report_is_malformed() -> None:
    """Nested arrays in an unknown field of the capacity got a 500."""
    report = json.dumps({**WORKER_REPORT, 'capacity': {'unknown': 'x'}})
    content = report.encode().replace(b'"x"', NESTED)
    expect_error(
        ErrorKind.BAD_REQUEST,
        lambda: make_request(content).decode_json(messages.WorkerReport),
    )


load_tests = function_tests(globals())
