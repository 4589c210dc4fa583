"""Parses the events of a streamed chat completion."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import attrs
import orjson

END_OF_EVENT: Final = b'\n\n'
_DATA: Final = b'data:'
# The empty name is that of comments.
_FIELDS: Final = frozenset((b'', b'data', b'event', b'id', b'retry'))
_DONE: Final = b'[DONE]'


@attrs.frozen
class StreamEvent:
    """One event of a stream.

    ``document`` is ``None`` for the final ``[DONE]``, for comments and for
    invalid events. ``is_valid`` is false for data that is not a JSON object,
    and for events with a line that is no field, such as the head of another
    answer.
    """

    raw: bytes
    is_done: bool = False
    is_valid: bool = True
    document: dict[str, Any] | None = None

    @property
    def has_choices(self) -> bool:
        """Whether the event carries part of the answer."""
        return bool(self._choices())

    @property
    def finish_reason(self) -> str:
        """Why the answer has ended, empty before its end."""
        reasons = [choice.get('finish_reason') for choice in self._choices()]
        return next(
            (reason for reason in reasons if isinstance(reason, str)), ''
        )

    @property
    def text(self) -> str:
        """Text that this event adds to the answer."""
        contents = [delta.get('content') for delta in self._deltas()]
        return ''.join(
            [content for content in contents if isinstance(content, str)]
        )

    @property
    def is_opening(self) -> bool:
        """Whether the event only announces the role of the answer."""
        return not self.text and any(
            'role' in delta for delta in self._deltas()
        )

    @property
    def is_closing(self) -> bool:
        """Whether the event only says why the answer has ended."""
        return not self.text and bool(self.finish_reason)

    def _choices(self) -> list[dict[str, Any]]:
        if self.document is None:
            return []
        choices = self.document.get('choices')
        if not isinstance(choices, list):
            return []
        return [choice for choice in choices if isinstance(choice, dict)]

    def _deltas(self) -> list[dict[str, Any]]:
        deltas = [choice.get('delta') for choice in self._choices()]
        return [delta for delta in deltas if isinstance(delta, dict)]


def split(data: bytes) -> Iterator[StreamEvent]:
    """Yield the events in ``data``, which must contain complete events only.

    Invalid events are yielded too: agents check what their engine sends, so an
    entry forwards all events of an agent.
    """
    for raw in data.split(END_OF_EVENT):
        if raw.strip():
            yield parse(raw)


def with_id(event: StreamEvent, stream_id: str) -> StreamEvent:
    """Return the event with its id replaced by ``stream_id``."""
    if event.document is None or event.document.get('id') == stream_id:
        return event
    document = {**event.document, 'id': stream_id}
    return StreamEvent(
        raw=b''.join((b'data: ', orjson.dumps(document), END_OF_EVENT)),
        document=document,
    )


def parse(event: bytes) -> StreamEvent:
    """Parse one event without the empty line that ends it."""
    raw = event + END_OF_EVENT
    lines = event.split(b'\n')
    names = {line.partition(b':')[0].strip() for line in lines}
    if not names <= _FIELDS:
        return StreamEvent(raw, is_valid=False)
    for line in lines:
        if not line.startswith(_DATA):
            continue
        text = line[len(_DATA) :].strip()
        if text == _DONE:
            return StreamEvent(raw, is_done=True)
        try:
            document = orjson.loads(text)
        except orjson.JSONDecodeError:
            return StreamEvent(raw, is_valid=False)
        if not isinstance(document, dict):
            return StreamEvent(raw, is_valid=False)
        return StreamEvent(raw, document=document)
    return StreamEvent(raw)
