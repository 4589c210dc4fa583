"""Reading the text out of an engine's server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import attrs
import orjson

END_OF_EVENT: Final = b'\n\n'
_DATA: Final = b'data:'
_DONE: Final = b'[DONE]'


@attrs.frozen
class StreamEvent:
    """One event of a stream.

    ``document`` is ``None`` for the final ``[DONE]`` and for comments.
    """

    raw: bytes
    is_done: bool = False
    document: dict[str, Any] | None = None

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
        return not self.text and any(
            choice.get('finish_reason') for choice in self._choices()
        )

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
    """Yield the events in ``data``, which holds whole events only.

    An event that is not JSON is passed on as it is; the agent rejects an
    engine that sends one.
    """
    for raw in data.split(END_OF_EVENT):
        if raw.strip():
            yield _parse(raw + END_OF_EVENT)


def with_id(event: StreamEvent, stream_id: str) -> StreamEvent:
    """Return the event under the id of the stream that the caller sees."""
    if event.document is None or event.document.get('id') == stream_id:
        return event
    document = {**event.document, 'id': stream_id}
    return StreamEvent(
        raw=b''.join((b'data: ', orjson.dumps(document), END_OF_EVENT)),
        document=document,
    )


def _parse(raw: bytes) -> StreamEvent:
    for line in raw.split(b'\n'):
        if not line.startswith(_DATA):
            continue
        text = line[len(_DATA) :].strip()
        if text == _DONE:
            return StreamEvent(raw, is_done=True)
        try:
            document = orjson.loads(text)
        except orjson.JSONDecodeError:
            return StreamEvent(raw)
        return StreamEvent(
            raw, document=document if isinstance(document, dict) else None
        )
    return StreamEvent(raw)
