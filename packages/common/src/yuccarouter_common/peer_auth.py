"""Authentication of calls between daemons by a shared key."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any, Final

import grpc
from grpc import aio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    _Handler = grpc.RpcMethodHandler[Any, Any]
    _Continue = Callable[[grpc.HandlerCallDetails], Awaitable[_Handler | None]]

_HEADER: Final = 'x-peer-key'


def metadata(peer_key: str) -> tuple[tuple[str, str], ...]:
    """Return the call metadata that carries the key."""
    return ((_HEADER, peer_key),)


class PeerKeyInterceptor(aio.ServerInterceptor):
    """Rejects calls that do not carry this deployment's key."""

    def __init__(self, peer_key: str) -> None:
        self._peer_key = peer_key.encode()

    async def intercept_service(
        self,
        continuation: _Continue,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> _Handler | None:
        """Return the call's handler, or a rejecting one for a wrong key."""
        value = dict(handler_call_details.invocation_metadata).get(_HEADER, '')
        call_key = value if isinstance(value, bytes) else value.encode()
        handler = await continuation(handler_call_details)
        if handler is None or hmac.compare_digest(call_key, self._peer_key):
            return handler
        return _rejecting_handler(handler)


def _rejecting_handler(handler: Any) -> _Handler:
    async def reject(request: Any, call: Any) -> Any:
        await call.abort(
            grpc.StatusCode.UNAUTHENTICATED, 'peer key is missing or wrong'
        )

    async def reject_stream(request: Any, call: Any) -> Any:
        yield await reject(request, call)

    if handler.response_streaming:
        return grpc.unary_stream_rpc_method_handler(
            reject_stream,
            handler.request_deserializer,
            handler.response_serializer,
        )
    return grpc.unary_unary_rpc_method_handler(
        reject, handler.request_deserializer, handler.response_serializer
    )
