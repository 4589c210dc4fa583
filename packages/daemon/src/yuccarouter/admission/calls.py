"""HTTP calls to the endpoint, which track whether they were sent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace
from typing import Any, Final

import aiohttp
import attrs

from yuccarouter.admission import errors
from yuccarouter_common.proto import router_pb2

_CONNECT_TIMEOUT_S: Final = 1.0
# Ends calls without a deadline when the endpoint hangs.
_READ_TIMEOUT_S: Final = 300.0
_CANCEL_TIMEOUT_S: Final = 2.0
_CHUNK_BYTES: Final = 64 * 1024
# Bounds the memory for one answer or report of the endpoint.
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_COMPLETIONS_PATH: Final = '/v1/chat/completions'
_JSON: Final = 'application/json'


@attrs.define
class CallProgress:
    """Progress of one call; ``on_sent`` runs when its headers are sent.

    ``sent`` is set before the first byte is sent, so a call whose ``sent`` is
    false has certainly not run.
    """

    on_sent: Callable[[], Awaitable[None]] | None = None
    sent: bool = False


def new_session() -> aiohttp.ClientSession:
    """Return the session that all calls to the endpoint share.

    Each call has a connection of its own: on a reused one, a second or late
    answer would be taken for the answer to the next call. The agent's
    concurrency limiter bounds the calls, so the connector has no limit.
    """
    trace_config = aiohttp.TraceConfig()
    trace_config.on_connection_create_start.append(_on_connection)
    trace_config.on_request_headers_sent.append(_on_headers_sent)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        # The calls of different callers must not share cookies.
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace_config],
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
            sock_read=_READ_TIMEOUT_S,
        ),
        auto_decompress=False,
    )


@contextlib.asynccontextmanager
async def open_call(
    session: aiohttp.ClientSession,
    url: str,
    request: router_pb2.RunRequest,
    body: bytes,
    progress: CallProgress,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send an attempt to the endpoint and yield its open response.

    Raises ``NotConnectedError`` when nothing was sent, and
    ``BrokenCallError`` when the call failed later.
    """
    path = request.path if request.service else _COMPLETIONS_PATH
    try:
        async with session.request(
            request.method or 'POST',
            f'{url}/{path.lstrip("/")}',
            data=body,
            headers=_headers(request),
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            yield response
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
        if progress.sent:
            raise errors.BrokenCallError(f'call failed: {fault}') from fault
        raise errors.NotConnectedError(f'not connected: {fault}') from fault


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read an answer to its end.

    Raises ``BrokenCallError`` when it is too large.
    """
    body = bytearray()
    async for part in response.content.iter_chunked(_CHUNK_BYTES):
        body += part
        if len(body) > _MAX_BODY_BYTES:
            raise errors.BrokenCallError('the answer is too large')
    return bytes(body)


async def cancel(
    session: aiohttp.ClientSession, url: str, attempt_id: str
) -> bool:
    """Cancel a stream at the engine; return whether that succeeded."""
    try:
        async with session.post(
            f'{url}/streams/{attempt_id}/cancel',
            timeout=aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S),
        ) as response:
            return response.ok
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return False


def _headers(request: router_pb2.RunRequest) -> dict[str, str]:
    headers = {
        'X-Request-Id': request.attempt_id,
        'X-Attempt-Id': request.attempt_id,
    }
    if request.traceparent:
        headers['traceparent'] = request.traceparent
    if not request.service:
        return {**headers, 'Content-Type': _JSON}
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    if request.content_type:
        headers['Content-Type'] = request.content_type
    return headers


async def _on_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, details: Any
) -> None:
    progress: CallProgress | None = context.trace_request_ctx
    # aiohttp repeats GET, PUT and DELETE calls on a new connection when the
    # first one breaks. A repeat could run a non-idempotent call twice.
    if progress is not None and progress.sent:
        raise aiohttp.ClientConnectionError('connection lost')


async def _on_headers_sent(
    session: aiohttp.ClientSession, context: SimpleNamespace, details: Any
) -> None:
    progress: CallProgress | None = context.trace_request_ctx
    if progress is not None:
        progress.sent = True
        if progress.on_sent is not None:
            await progress.on_sent()
