"""Tests of malformed bodies of callers, operators, workers and targets."""

import io
import json
import typing
from unittest import mock

import msgspec

from cassiahold.core.exceptions import ErrorKind
from cassiahold.core.ids import DataCentre, GroupName
from cassiahold.core.metrics import NullMetrics
from cassiahold.core.testing import expect_error, function_tests
from cassiahold.gateway.handlers.reports import ReportHandlers
from cassiahold.gateway.http import (
    Application,
    HttpRequest,
    HttpResponse,
    route,
)
from cassiahold.wire import messages
from cassiahold.wire.transport import CallEnvelope

NESTED = b'[' * 100_000 + b']' * 100_000
WORKER_REPORT: dict[str, typing.Any] = {
    'worker': 'w',
    'incarnation': 1_700_000_000_000_000_000,
    'data_centre': 'z',
    'sequence': 1,
    'capacity': {'cores_m': 1},
}
TARGET_REPORT: dict[str, typing.Any] = {
    'target': 't',
    'incarnation': 1_700_000_000_000_000_000,
    'data_centre': 'z',
    'service': 's',
    'address': '10.0.0.9:80',
    'slots': 4,
    'connections': 60,
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


def test_path_with_a_line_break_at_its_end_does_not_exist() -> None:
    statuses: list[str] = []
    application = Application(
        [route('PUT', '/v1/config', lambda _: HttpResponse(200, b''))],
        NullMetrics(),
    )
    for path in ('/v1/config', '/v1/config\n', '/v1/config/'):
        environ = {'REQUEST_METHOD': 'PUT', 'PATH_INFO': path}
        application(environ, lambda status, _: statuses.append(status[:3]))
    assert statuses == ['200', '404', '404']


def report_handlers() -> ReportHandlers:
    authorizer = mock.Mock()
    groups = mock.Mock()
    groups.call.side_effect = lambda _, report, __: encode(report) and {}
    return ReportHandlers(authorizer, groups, DataCentre('z'))


def encode(report: typing.Any) -> bytes:
    return msgspec.msgpack.encode(CallEnvelope(GroupName('z'), report))


def test_reports_with_values_out_of_range_are_malformed() -> None:
    """The messages between the processes cannot hold such integers."""
    handlers = report_handlers()
    attempt = {'attempt': 'j/0/1'}
    documents: list[dict[str, typing.Any]] = []
    for number in (-1, 2**64, 10**400, 1e300, True):
        documents.extend(
            {**WORKER_REPORT, name: number}
            for name in ('incarnation', 'sequence', 'term', 'speed')
        )
        documents.extend(
            (
                {**WORKER_REPORT, 'capacity': {'memory_mb': number}},
                {**WORKER_REPORT, 'running': [{**attempt, 'cores_m': number}]},
                {
                    **WORKER_REPORT,
                    'ended': [{**attempt, 'how': 'done', 'ran_s': number}],
                },
            )
        )
    for document in documents:
        request = make_request(json.dumps(document).encode())
        expect_error(
            ErrorKind.BAD_REQUEST,
            lambda request=request: handlers.report_worker(request),
        )
    content = json.dumps(WORKER_REPORT).encode()
    assert handlers.report_worker(make_request(content)).status == 200


def test_targets_with_values_out_of_range_are_malformed() -> None:
    """Such an address reached the sockets of every gateway."""
    handlers = report_handlers()
    numbers = (-1, 0, 2**64, 10**400, 1.5, True)
    addresses = (
        '',
        '10.0.0.9:0',
        '10.0.0.9:99999',
        '10.0.0 9:80',
        'target:x',
        '10.0.0.9:\u0661',
    )
    documents = [
        {**TARGET_REPORT, name: number}
        for name in ('slots', 'connections')
        for number in numbers
    ]
    documents.extend(
        {**TARGET_REPORT, 'incarnation': number}
        for number in numbers
        if number != 0
    )
    documents.extend(
        {**TARGET_REPORT, 'address': address} for address in addresses
    )
    for document in documents:
        request = make_request(json.dumps(document).encode())
        expect_error(
            ErrorKind.BAD_REQUEST,
            lambda request=request: handlers.report_target(request),
        )
    content = json.dumps(TARGET_REPORT).encode()
    assert handlers.report_target(make_request(content)).status == 200


load_tests = function_tests(globals())
