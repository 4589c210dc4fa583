"""Relaying the endpoint's answer to the entry."""

from __future__ import annotations

from typing import Final

import aiohttp
import attrs

from yuccarouter.admission import calls, errors, events, slots, stream
from yuccarouter_common import stream_events
from yuccarouter_common.proto import router_pb2

_CHUNK_BYTES: Final = 64 * 1024
_OK: Final = 200
_TOO_MANY_REQUESTS: Final = 429
_CLIENT_ERROR: Final = 400
_SERVER_ERROR: Final = 500
_GATEWAY_ERRORS: Final = frozenset((502, 503, 504))


@attrs.frozen
class Answer:
    """A complete answer of the endpoint.

    ``body`` is empty for a stream, whose events have already been relayed.
    """

    done: router_pb2.Done
    body: bytes = b''

    @property
    def is_served(self) -> bool:
        """Whether the endpoint has served the request without an error."""
        return self.done.status < _CLIENT_ERROR


async def relay_engine_stream(
    response: aiohttp.ClientResponse,
    writer: events.EventWriter,
    slot: slots.Slot,
    reader: stream.EventReader,
) -> Answer:
    """Relay an engine's events as they arrive.

    Raises ``BrokenCallError`` when the stream ends before its last event.
    """
    if response.status != _OK:
        return await read_complete_answer(response, engine=True)
    async for received in response.content.iter_any():
        payload = reader.feed(received)
        if reader.has_text:
            slot.mark_first_token()
        if payload:
            await writer.send_chunk(payload, is_last=reader.done)
        if reader.done:
            # The rest may be a second answer, or never end.
            break
    if not reader.done:
        raise errors.BrokenCallError('the stream ended before its last event')
    return Answer(
        router_pb2.Done(
            usage=reader.usage,
            status=response.status,
            content_type=response.content_type,
            finish_reason=reader.finish_reason,
        )
    )


async def read_complete_answer(
    response: aiohttp.ClientResponse, *, engine: bool
) -> Answer:
    """Read an answer to its end.

    Raises ``BrokenCallError`` for an answer that is too large, for one that is
    not final, and for an engine's statuses that mean that it can't serve the
    request.
    """
    if response.status < _OK:
        # aiohttp skips interim answers, but not a switch to another protocol.
        raise errors.BrokenCallError('the endpoint switched protocols')
    body = await calls.read_body(response)
    done = router_pb2.Done(
        status=response.status,
        content_type=response.headers.get('Content-Type', ''),
    )
    if engine:
        if _is_engine_fault(response.status):
            raise errors.BrokenCallError(
                f'the engine answered {response.status}'
            )
        copy_usage_and_finish_reason(body, done)
    return Answer(done, body)


async def write_body(writer: events.EventWriter, body: bytes) -> None:
    """Send a complete body in chunks of bounded size."""
    for start in range(0, len(body), _CHUNK_BYTES):
        end = start + _CHUNK_BYTES
        # Each chunk is written before the next, to keep their order.
        await writer.send_chunk(body[start:end], is_last=end >= len(body))


def is_gateway_error(status: int) -> bool:
    """Return whether a plain service's status means that it is unavailable."""
    return status in _GATEWAY_ERRORS


def _is_engine_fault(status: int) -> bool:
    return status == _TOO_MANY_REQUESTS or status >= _SERVER_ERROR


def copy_usage_and_finish_reason(body: bytes, done: router_pb2.Done) -> None:
    """Copy the usage and finish reason of an engine's answer to ``done``.

    Raises ``BrokenCallError`` when the answer is not of the expected form.
    """
    document = stream.parse_object(body)
    done.usage.CopyFrom(stream.parse_usage(document))
    answer = stream_events.StreamEvent(body, document=document)
    done.finish_reason = answer.finish_reason
