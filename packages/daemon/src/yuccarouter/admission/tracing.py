"""Spans of an attempt at the agent and at its endpoint."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from yuccarouter_common import telemetry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarouter_common.proto import router_pb2


@contextlib.contextmanager
def hop(name: str, request: router_pb2.RunRequest) -> Iterator[None]:
    """Put a span around a hop; the next hop gets it as its parent."""
    parent = telemetry.parent_context({'traceparent': request.traceparent})
    # The parent goes on in the request. Making the span the current one as
    # well costs a fifth more.
    span = telemetry.tracer().start_span(
        name, context=parent, attributes={'attempt_id': request.attempt_id}
    )
    # Without tracing in this process the caller's context goes on.
    request.traceparent = telemetry.traceparent(span) or request.traceparent
    try:
        yield
    finally:
        span.end()
