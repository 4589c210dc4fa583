"""Tracing and logging, set up in the same way by every process."""

from __future__ import annotations

import collections
import functools
import sys
import threading
from typing import TYPE_CHECKING, Any, Final

import attrs
import eliot
from absl import logging
from opentelemetry import context, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.trace.propagation import tracecontext

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_KEPT_TRACES: Final = 2000
_TRACE_ID_FORMAT: Final = '032x'
_SPAN_ID_FORMAT: Final = '016x'
_NS_PER_MS: Final = 1_000_000
# Reads and writes only ``traceparent``; the library's default also parses
# baggage, which no process here sends.
_PROPAGATOR: Final = tracecontext.TraceContextTextMapPropagator()
_NO_PARENT: Final = context.Context()


@attrs.frozen
class Span:
    """A finished span as shown to operators; ``start_ms`` is Unix time."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    start_ms: float
    duration_ms: float
    attributes: dict[str, Any]


class SpanStore(sdk_trace.SpanProcessor):
    """Stores the spans of the newest traces for ``/traces/{trace_id}``."""

    def __init__(self, kept_traces: int = _MAX_KEPT_TRACES) -> None:
        super().__init__()
        self._kept_traces = kept_traces
        self._lock = threading.Lock()
        self._traces: collections.OrderedDict[str, list[Span]] = (
            collections.OrderedDict()
        )

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Store a finished span and evict the oldest trace over the limit."""
        finished = _finished_span(span)
        if finished is None:
            return
        with self._lock:
            self._traces.setdefault(finished.trace_id, []).append(finished)
            if len(self._traces) > self._kept_traces:
                self._traces.popitem(last=False)

    def spans_of(self, trace_id: str) -> list[Span]:
        """Return the finished spans of a trace, ordered by end time."""
        with self._lock:
            return list(self._traces.get(trace_id, ()))


def start_tracing(name: str) -> SpanStore:
    """Set up tracing for this process and return its span store."""
    store = SpanStore()
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource({'service.name': name})
    )
    provider.add_span_processor(store)
    trace.set_tracer_provider(provider)
    return store


def start_logging() -> None:
    """Write eliot's messages to standard error, one JSON object a line."""
    eliot.to_file(sys.stderr)
    # Hides the start and stop messages of internal services, which operators
    # do not need.
    logging.set_verbosity(logging.WARNING)


@functools.cache
def tracer() -> trace.Tracer:
    """Return the tracer of this process.

    The tracer is cached because it is needed several times per request, and
    the library builds a new one on each call, with a warning filter and an
    instrumentation scope.
    """
    return trace.get_tracer('yuccarouter')


def traceparent(span: trace.Span) -> str:
    """Return the W3C ``traceparent`` value with ``span`` as the parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
    return carrier.get('traceparent', '')


def parent_context(headers: Mapping[str, str]) -> context.Context:
    """Return the context in the ``traceparent`` header, empty without it."""
    header = headers.get('traceparent', '')
    if not header:
        return _NO_PARENT
    return _PROPAGATOR.extract({'traceparent': header})


def current_context() -> context.Context:
    """Return the trace context of the current span."""
    return context.get_current()


def trace_id(span: trace.Span) -> str:
    """Return the trace id of a span in hexadecimal digits."""
    return format(span.get_span_context().trace_id, _TRACE_ID_FORMAT)


def _finished_span(span: sdk_trace.ReadableSpan) -> Span | None:
    span_context = span.get_span_context()
    if span_context is None or span.start_time is None or span.end_time is None:
        return None
    parent = span.parent
    return Span(
        name=span.name,
        trace_id=format(span_context.trace_id, _TRACE_ID_FORMAT),
        span_id=format(span_context.span_id, _SPAN_ID_FORMAT),
        parent_id=format(parent.span_id, _SPAN_ID_FORMAT) if parent else '',
        start_ms=span.start_time / _NS_PER_MS,
        duration_ms=(span.end_time - span.start_time) / _NS_PER_MS,
        attributes=dict(span.attributes or {}),
    )
