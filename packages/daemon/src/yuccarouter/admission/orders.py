"""Orders to the endpoint, checked against fencing numbers."""

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
    """Sends a controller's orders to one endpoint.

    The highest fencing number received is kept for each lease. An order with a
    lower number comes from a former lease holder. It is rejected here when the
    endpoint does not check fencing numbers; other endpoints get every order and
    check it themselves.
    """

    location: ports.EndpointLocation
    pool: Callable[[], model.Pool]
    session: aiohttp.ClientSession
    _highest_number: dict[str, int] = attrs.field(factory=dict)
    _locks: collections.defaultdict[str, asyncio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Lock)
    )

    def raise_fencing_number(self, lease: str, number: int) -> None:
        """Reject orders of the lease with numbers below ``number``."""
        if number > self._highest_number.get(lease, 0):
            self._highest_number[lease] = number

    async def send(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        """Send one order and return the endpoint's answer."""
        # Orders of a lease are sent one at a time: an order that passed the
        # check must not reach the endpoint after a newer one.
        async with self._locks[request.lease]:
            reply = await self._check_and_send(request)
        counters.ORDERS.labels(reply.code or 'accepted').inc()
        return reply

    async def _check_and_send(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        highest_number = self._highest_number.get(request.lease, 0)
        is_stale = request.fencing_number < highest_number
        if is_stale and not self.pool().checks_fencing:
            return _rejected(
                _STALE, f'a newer fencing number, {highest_number}, is known'
            )
        if request.fencing_number > highest_number:
            self._highest_number[request.lease] = request.fencing_number
            eliot.log_message(
                'FencingNumberRaised',
                lease=request.lease,
                fencing_number=request.fencing_number,
            )
        return await self._post(request)

    async def _post(
        self, request: router_pb2.OrderRequest
    ) -> router_pb2.OrderReply:
        try:
            async with self.session.post(
                f'{self.location.url}/orders',
                data=_body(request),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                return _reply(response)
        except aiohttp.ClientConnectorError:
            return _rejected('no_endpoint', 'no connection to the endpoint')
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as fault:
            # The order may have taken effect. Orders are idempotent, so the
            # controller repeats it.
            return _rejected(
                'outcome_unknown', f'the call for the order failed: {fault}'
            )


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
        f'the endpoint answered with status {response.status}',
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
