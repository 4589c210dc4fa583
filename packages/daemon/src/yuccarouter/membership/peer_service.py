"""What an entry serves to other entries about membership."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccarouter_common.proto import router_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccarouter.membership import digests
    from yuccarouter_common.proto import router_pb2


class PeerService(router_pb2_grpc.PeerServicer):
    """Serves digests of this data centre's endpoints."""

    def __init__(self, source: digests.Source) -> None:
        self._source = source

    async def Endpoints(  # noqa: N802
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> AsyncIterator[router_pb2.EndpointDigest]:
        """Stream digests of the endpoints of this data centre."""
        async for digest in self._source.stream(request, context):
            yield digest
