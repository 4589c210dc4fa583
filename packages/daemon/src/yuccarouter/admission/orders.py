"""Orders to the endpoint, guarded by fencing numbers."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Final

import aiohttp
import attrs
import eliot
import orjson

from yuccarouter.admission import counters, ports
from yuccarouter_common import model
from yuccarouter_common.proto import router_pb2

_TIMEOUT_S: Final = 30.0
_DEFAULT_RETRY_MS: Final = 1000
_MS: Final = 1000
_STALE: Final = 'stale_fencing_number'
_CODES: Final[dict[int, str]] = {409: _STALE, 429: 'rate_limited'}


@attrs.define(eq=False)
class Orders:
    """Passes orders on to one endpoint, the newest lease holder's only.

    The highest fencing number seen is kept for each lease. It decides for
    endpoints that don't check the number themselves; the others get every
    order and decide on their own.
    """

    place: ports.EndpointLocation
    pool: Callable[[], model.Pool]
    session: aiohttp.ClientSession
    _highest: dict[str, int] = attrs.field(factory=dict)
    _locks: collections.defaultdict[str, asyncio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Lock)
    )

    def raise_fencing_number(self, lease: str, number: int) -> None:
        """Reject orders of the lease with numbers below ``number``."""
        if number > self._highest.get(lease, 0):
            self._highest[lease] = number

    async def give(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        """Pass one order on and return the endpoint's answer."""
        # One order at a time for each lease: an order that passed the check
        # must not reach the endpoint after a newer one.
        async with self._locks[request.lease]:
            reply = await self._check_and_send(request)
        counters.ORDERS.labels(reply.code or 'accepted').inc()
        return reply

    async def _check_and_send(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        highest = self._highest.get(request.lease, 0)
        is_stale = request.fencing_number < highest
        if is_stale and not self.pool().checks_fencing:
            return _rejected(
                _STALE, f'fencing number {highest} has been seen already'
            )
        if request.fencing_number > highest:
            self._highest[request.lease] = request.fencing_number
            eliot.log_message(
                'FencingNumberRaised',
                lease=request.lease,
                fencing_number=request.fencing_number,
            )
        return await self._send(request)

    async def _send(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        try:
            async with self.session.post(
                f'{self.place.url}/orders',
                data=_body(request),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                return _reply(response)
        except aiohttp.ClientConnectorError:
            return _rejected('no_endpoint', 'no connection to the endpoint')
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
            # The order may have taken effect; orders are idempotent, so the
            # controller repeats it.
            return _rejected('outcome_unknown', f'the order broke: {fault}')


def _body(request: router_pb2.OrderRequest) -> bytes:
    return orjson.dumps(
        {
            'order': request.order,
            'model': request.model,
            'version': request.version,
            'adapter': request.adapter,
            'role': request.role,
            'fencing_number': request.fencing_number,
        }
    )


def _reply(response: aiohttp.ClientResponse) -> router_pb2.OrderReply:
    if response.ok:
        return router_pb2.OrderReply(accepted=True)
    reply = _rejected(
        _CODES.get(response.status, 'upstream_failed'),
        f'the endpoint said {response.status}',
    )
    reply.retry_after_ms = _retry_after_ms(response)
    return reply


def _retry_after_ms(response: aiohttp.ClientResponse) -> int:
    try:
        return int(float(response.headers['Retry-After']) * _MS)
    except (KeyError, ValueError):
        return _DEFAULT_RETRY_MS


def _rejected(code: str, message: str) -> router_pb2.OrderReply:
    return router_pb2.OrderReply(
        accepted=False,
        code=code,
        message=message,
        retry_after_ms=_DEFAULT_RETRY_MS,
    )
