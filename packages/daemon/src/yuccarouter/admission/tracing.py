"""Trace spans of an attempt at the agent and at its endpoint."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from yuccarouter_common import telemetry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarouter_common.proto import router_pb2


@contextlib.contextmanager
def attempt_span(name: str, request: router_pb2.RunRequest) -> Iterator[None]:
    """Trace a span and put it into the request's ``traceparent``."""
    parent = telemetry.parent_context({'traceparent': request.traceparent})
    # The request carries the parent. Making the span the current one as well
    # would cost a fifth more.
    span = telemetry.tracer().start_span(
        name, context=parent, attributes={'attempt_id': request.attempt_id}
    )
    # Without tracing in this process the caller's context is passed on.
    request.traceparent = telemetry.traceparent(span) or request.traceparent
    try:
        yield
    finally:
        span.end()
