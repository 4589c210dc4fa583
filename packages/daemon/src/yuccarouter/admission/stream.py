"""Parsing of an engine's server-sent events and of the usage in them."""

from __future__ import annotations

from typing import Any, Final

import attrs
import cattrs
import orjson

from yuccarouter.admission import errors
from yuccarouter_common import stream_events
from yuccarouter_common.proto import router_pb2

# Bounds the memory of one stream; an engine's events are far smaller.
_MAX_EVENT_BYTES: Final = 1 << 20


@attrs.frozen
class _Usage:
    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.define
class EventReader:
    """Splits a stream into events and keeps its usage and finish reason.

    ``done`` is set at the stream's last event. What follows does not belong to
    the stream, such as a second answer on the same connection, and is dropped.
    ``usage.completion_tokens`` counts events with text until the engine's own
    usage arrives. ``hide_usage`` drops the usage event for callers that did
    not ask for it.
    """

    hide_usage: bool
    usage: router_pb2.Usage = attrs.field(factory=router_pb2.Usage)
    finish_reason: str = ''
    done: bool = False
    has_text: bool = False
    _incomplete: bytes = b''

    def feed(self, received: bytes) -> bytes:
        """Return the events that are complete with the received bytes.

        Raises ``BrokenCallError`` when an event is too large or invalid.
        """
        parts = (self._incomplete + received).split(stream_events.END_OF_EVENT)
        self._incomplete = parts.pop()
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise errors.BrokenCallError('the engine sent an oversized event')
        kept = []
        for part in parts:
            if self.done:
                break
            event = stream_events.parse(part)
            if self._keep(event):
                kept.append(event.raw)
        return b''.join(kept)

    def _keep(self, event: stream_events.StreamEvent) -> bool:
        if not event.is_valid:
            raise errors.BrokenCallError(
                'the engine sent a line that is no field of an event, or data '
                'that is not a JSON object'
            )
        if event.is_done:
            self.done = True
        if event.document is None:
            return True
        self.finish_reason = event.finish_reason or self.finish_reason
        if event.text:
            self.has_text = True
            self.usage.completion_tokens += 1
        if event.document.get('usage'):
            self.usage = parse_usage(event.document)
            return event.has_choices or not self.hide_usage
        return True


def parse_usage(document: dict[str, Any]) -> router_pb2.Usage:
    """Return the usage in an engine's answer or usage event.

    Raises ``BrokenCallError`` when it is not of the expected form.
    """
    document_usage = document.get('usage') or {}
    try:
        usage = cattrs.structure(document_usage, _Usage)
        return router_pb2.Usage(
            prompt_tokens=usage.prompt_tokens,
            completion_tokens=usage.completion_tokens,
        )
    except (
        cattrs.BaseValidationError,
        AttributeError,
        OverflowError,
        TypeError,
        ValueError,
    ) as fault:
        raise errors.BrokenCallError('the usage is invalid') from fault


def parse_object(text: bytes) -> dict[str, Any]:
    """Return the JSON object in an engine's answer.

    Raises ``BrokenCallError`` when it is not a JSON object.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as fault:
        raise errors.BrokenCallError('the answer is not JSON') from fault
    if isinstance(document, dict):
        return document
    raise errors.BrokenCallError('the answer is not a JSON object')
