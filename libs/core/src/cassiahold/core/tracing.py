"""OpenTelemetry traces across processes, propagated as W3C ``traceparent``."""

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
    """Where finished spans are written."""

    NONE = 'none'
    CONSOLE = 'console'
    FILE = 'file'


def _format_span(span: typing.Any) -> str:
    return str(span.to_json(indent=None)) + '\n'


def set_up_tracing(
    program: str, exporter: TraceExporter, path: str = ''
) -> contextlib.ExitStack:
    """Install the tracer provider and return a stack that shuts it down.

    ``path`` is the file for ``TraceExporter.FILE``.
    """
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
    """Open a span and yield the ``traceparent`` for requests made in it.

    ``parent`` is the ``traceparent`` of the incoming request.  Without one,
    the span belongs to the current trace of this thread or to a new one.
    """
    context = propagate.extract({'traceparent': parent}) if parent else None
    tracer = trace.get_tracer('cassiahold')
    with tracer.start_as_current_span(name, context=context):
        carrier: dict[str, str] = {}
        propagate.inject(carrier)
        yield carrier.get('traceparent', parent)
