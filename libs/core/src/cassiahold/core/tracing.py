"""Traces with a span for each hop, carried in W3C trace headers."""

import contextlib
import enum
import pathlib
import typing

from opentelemetry import propagate, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace import export as trace_export

_EXPORT_INTERVAL_MS: typing.Final = 500


class TraceExporter(enum.Enum):
    """Where finished spans go."""

    NONE = 'none'
    CONSOLE = 'console'
    FILE = 'file'


def _format_span(span: typing.Any) -> str:
    return str(span.to_json(indent=None)) + '\n'


def set_up_tracing(
    program: str, exporter: TraceExporter, path: str = ''
) -> contextlib.ExitStack:
    """Install the tracer provider and return the stack that closes it."""
    stack = contextlib.ExitStack()
    if exporter is TraceExporter.NONE:
        return stack
    options: dict[str, typing.Any] = {'formatter': _format_span}
    if exporter is TraceExporter.FILE:
        options['out'] = stack.enter_context(
            pathlib.Path(path).open('a', buffering=1)
        )
    provider = TracerProvider(
        resource=resources.Resource.create({'service.name': program})
    )
    provider.add_span_processor(
        trace_export.BatchSpanProcessor(
            trace_export.ConsoleSpanExporter(**options),
            schedule_delay_millis=_EXPORT_INTERVAL_MS,
        )
    )
    trace.set_tracer_provider(provider)
    stack.callback(provider.shutdown)
    return stack


@contextlib.contextmanager
def span(name: str, parent: str = '') -> typing.Iterator[str]:
    """Open a span and yield the ``traceparent`` to send onwards.

    ``parent`` is the ``traceparent`` that came with the request; empty
    starts a new trace or continues the one open in this thread.
    """
    context = propagate.extract({'traceparent': parent}) if parent else None
    tracer = trace.get_tracer('cassiahold')
    with tracer.start_as_current_span(name, context=context):
        carrier: dict[str, str] = {}
        propagate.inject(carrier)
        yield carrier.get('traceparent', parent)
