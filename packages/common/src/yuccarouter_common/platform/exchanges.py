"""Sends HTTP requests to platform services and converts the errors."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, Final, TypeVar

import aiohttp
import attrs

from yuccarouter_common import records, turn_timeouts
from yuccarouter_common.platform import errors

if TYPE_CHECKING:
    from collections.abc import Mapping

_HTTP_OK: Final = 200
_HTTP_CLIENT_ERROR: Final = 400
_HTTP_TOO_MANY_REQUESTS: Final = 429
_HTTP_SERVER_ERROR: Final = 500
_HTTP_UNAVAILABLE: Final = 503
# Used when a 429 has no Retry-After that is a number of seconds.
_DEFAULT_RETRY_AFTER_MS: Final = 1000
# The conversion of thousands of digits raises an error of its own.
_SECONDS: Final = re.compile('[0-9]{1,9}')
_MS_PER_S: Final = 1000

_Answer = TypeVar('_Answer')
_ONLY_OK: Final = frozenset((_HTTP_OK,))
# Calls are limited by ``turn_timeouts`` instead.
_UNLIMITED: Final = aiohttp.ClientTimeout(total=None)


@attrs.frozen
class Request:
    """An HTTP request to a platform service.

    ``has_side_effects`` means that after a lost answer it is not known whether
    the request took effect.
    """

    service: str
    method: str
    url: str
    timeout_s: float
    body: bytes | None = None
    query: dict[str, str] = attrs.field(factory=dict)
    has_side_effects: bool = False


@attrs.frozen
class Answer:
    """Status, body and headers of an expected answer."""

    status: int
    body: bytes
    headers: Mapping[str, str]


def new_session() -> aiohttp.ClientSession:
    """Return a session for requests to platform services.

    Each request has a connection of its own: on a reused one, a second or late
    answer would be taken for the answer to the next request, so that a refused
    append counted as written.
    """
    connector = aiohttp.TCPConnector(force_close=True)
    return aiohttp.ClientSession(connector=connector)


async def send(session: aiohttp.ClientSession, request: Request) -> bytes:
    """Return the body of a 200 answer; raises as ``send_expecting``."""
    answer = await send_expecting(session, request, _ONLY_OK)
    return answer.body


async def send_expecting(
    session: aiohttp.ClientSession,
    request: Request,
    expected: frozenset[int],
) -> Answer:
    """Return the answer to a request if its status is in ``expected``.

    Raises ``RateLimitedError`` for 429, ``UnavailableError`` when nothing took
    effect, and ``AnswerLostError`` when that is not known. A request without
    side effects never raises ``AnswerLostError``.
    """
    try:
        async with (
            turn_timeouts.limit(request.timeout_s),
            session.request(
                request.method,
                request.url,
                data=request.body,
                params=request.query,
                timeout=_UNLIMITED,
            ) as response,
        ):
            return await _read(request, response, expected)
    except aiohttp.ClientConnectorError as fault:
        raise errors.UnavailableError(
            f'{request.service} is unreachable'
        ) from fault
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
        if request.has_side_effects:
            raise errors.AnswerLostError(
                f'answer of {request.service} lost'
            ) from fault
        raise errors.UnavailableError(
            f'{request.service} does not answer'
        ) from fault


def structure(service: str, answer: bytes, kind: type[_Answer]) -> _Answer:
    """Convert a JSON answer to ``kind``; raises ``BadAnswerError``."""
    try:
        return records.structure(records.loads(answer), kind)
    except records.ShapeError as fault:
        raise errors.BadAnswerError(
            f'bad answer of {service}: {fault}'
        ) from fault


async def _read(
    request: Request,
    response: aiohttp.ClientResponse,
    expected: frozenset[int],
) -> Answer:
    answer = await response.read()
    if response.status in expected:
        return Answer(response.status, answer, response.headers)
    if response.status == _HTTP_TOO_MANY_REQUESTS:
        raise errors.RateLimitedError(
            f'{request.service} limits the request rate',
            _retry_after_ms(response),
        )
    if request.has_side_effects:
        raise _status_error(request.service, response.status)
    raise errors.UnavailableError(
        f'{request.service} answered with status {response.status}'
    )


def _status_error(service: str, status: int) -> errors.PlatformError:
    """Return the error for a failed request that has side effects.

    Only a 4xx and a 503 mean that nothing took effect: other server errors may
    come from a gateway that timed out while the service still runs the request,
    and a status below 400 is no refusal.
    """
    message = f'{service} answered with status {status}'
    is_rejected = _HTTP_CLIENT_ERROR <= status < _HTTP_SERVER_ERROR
    if is_rejected or status == _HTTP_UNAVAILABLE:
        return errors.UnavailableError(message)
    return errors.AnswerLostError(message)


def _retry_after_ms(response: aiohttp.ClientResponse) -> int:
    seconds = response.headers.get('Retry-After', '')
    if _SECONDS.fullmatch(seconds):
        return int(seconds) * _MS_PER_S
    return _DEFAULT_RETRY_AFTER_MS
