"""One HTTP exchange with a platform service, with its errors converted."""

from __future__ import annotations

import asyncio
from typing import Final, TypeVar

import aiohttp
import attrs

from yuccarouter_common import records
from yuccarouter_common.platform import errors

_HTTP_OK: Final = 200
_HTTP_TOO_MANY: Final = 429
_HTTP_SERVER_ERROR: Final = 500
_HTTP_UNAVAILABLE: Final = 503
# Used when a 429 has no Retry-After that is a number of seconds.
_DEFAULT_RETRY_MS: Final = 1000

_Answer = TypeVar('_Answer')
_ONLY_OK: Final = frozenset((_HTTP_OK,))


@attrs.frozen
class Request:
    """What to send to a service.

    ``has_effect`` says that a lost answer leaves open whether the call took
    effect.
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
    """Status and body of an expected answer."""

    status: int
    body: bytes


async def send(session: aiohttp.ClientSession, exchange: Request) -> bytes:
    """Return the body of a 200; raises what ``exchange_for`` raises."""
    answer = await send_expecting(session, exchange, _ONLY_OK)
    return answer.body


async def send_expecting(
    session: aiohttp.ClientSession,
    exchange: Request,
    expected: frozenset[int],
) -> Answer:
    """Return an answer whose status is an expected one.

    Raises ``RateLimitedError`` for 429, ``UnavailableError`` when nothing took
    effect, and ``AnswerLostError`` when that is not known. A call without an
    effect never raises the last.
    """
    try:
        async with session.request(
            exchange.method,
            exchange.url,
            data=exchange.body,
            params=exchange.query,
            timeout=aiohttp.ClientTimeout(total=exchange.timeout_s),
        ) as response:
            return await _read(exchange, response, expected)
    except aiohttp.ClientConnectorError as fault:
        raise errors.UnavailableError(
            f'{exchange.service} is unreachable'
        ) from fault
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
        if exchange.has_side_effects:
            raise errors.AnswerLostError(
                f'answer of {exchange.service} lost'
            ) from fault
        raise errors.UnavailableError(
            f'{exchange.service} does not answer'
        ) from fault


def structure(service: str, answer: bytes, kind: type[_Answer]) -> _Answer:
    """Parse an answer; raises ``BadAnswerError``."""
    try:
        return records.structure(records.loads(answer), kind)
    except records.ShapeError as fault:
        raise errors.BadAnswerError(
            f'bad answer of {service}: {fault}'
        ) from fault


async def _read(
    exchange: Request,
    response: aiohttp.ClientResponse,
    expected: frozenset[int],
) -> Answer:
    answer = await response.read()
    if response.status in expected:
        return Answer(response.status, answer)
    if response.status == _HTTP_TOO_MANY:
        raise errors.RateLimitedError(
            f'{exchange.service} limits the rate',
            _retry_after_ms(response),
        )
    if exchange.has_side_effects:
        raise _status_error(exchange.service, response.status)
    raise errors.UnavailableError(
        f'{exchange.service} answered {response.status}'
    )


def _status_error(service: str, status: int) -> errors.PlatformError:
    """Return the error for a status, of a call that has an effect.

    Only a 4xx and a 503 say that nothing took effect: other server errors may
    come from a gateway that gave up on a call that goes on.
    """
    message = f'{service} answered {status}'
    if status < _HTTP_SERVER_ERROR or status == _HTTP_UNAVAILABLE:
        return errors.UnavailableError(message)
    return errors.AnswerLostError(message)


def _retry_after_ms(response: aiohttp.ClientResponse) -> int:
    seconds = response.headers.get('Retry-After', '')
    return int(seconds) * 1000 if seconds.isdecimal() else _DEFAULT_RETRY_MS
