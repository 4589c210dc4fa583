"""Reading an engine's server-sent events: whole events and their usage."""

from __future__ import annotations

from typing import Any, Final

import attrs
import cattrs
import orjson

from yuccarouter.admission import errors
from yuccarouter_common import stream_events
from yuccarouter_common.proto import router_pb2

# An engine's event is far smaller; this bounds the memory of one stream.
_MAX_EVENT_BYTES: Final = 1 << 20


@attrs.frozen
class _Usage:
    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.define
class EventReader:
    """Splits a stream into whole events and keeps what they say at the end.

    ``completion_tokens`` counts events with text until the engine's own
    usage arrives. ``hide_usage`` drops the usage event, which callers that
    did not ask for it don't expect.
    """

    hide_usage: bool
    usage: router_pb2.Usage = attrs.field(factory=router_pb2.Usage)
    finish_reason: str = ''
    done: bool = False
    has_text: bool = False
    _rest: bytes = b''

    def feed(self, received: bytes) -> bytes:
        """Return the whole events among the bytes received so far.

        Raises ``BrokenCallError`` when an event is too large or not JSON.
        """
        parts = (self._rest + received).split(stream_events.END_OF_EVENT)
        self._rest = parts.pop()
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise errors.BrokenCallError('the engine sent an oversized event')
        found = [stream_events.parse(part) for part in parts]
        return b''.join([event.raw for event in found if self._keep(event)])

    def _keep(self, event: stream_events.StreamEvent) -> bool:
        if not event.is_valid:
            raise errors.BrokenCallError('the engine sent no JSON object')
        if event.is_done:
            self.done = True
        if event.document is None:
            return True
        self.finish_reason = event.finish_reason or self.finish_reason
        if event.text:
            self.has_text = True
            self.usage.completion_tokens += 1
        if event.document.get('usage'):
            self.usage = usage_of(event.document)
            return event.has_choices or not self.hide_usage
        return True


def usage_of(document: dict[str, Any]) -> router_pb2.Usage:
    """Return the usage that an engine's answer or last event states.

    Raises ``BrokenCallError`` when it is not of the expected form.
    """
    stated = document.get('usage') or {}
    try:
        usage = cattrs.structure(stated, _Usage)
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


def read_object(text: bytes) -> dict[str, Any]:
    """Return the JSON object that an engine has sent.

    Raises ``BrokenCallError`` when it is none.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as fault:
        raise errors.BrokenCallError('the engine sent no JSON') from fault
    if isinstance(document, dict):
        return document
    raise errors.BrokenCallError('the engine sent no JSON object')
