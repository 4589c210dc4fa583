"""The gRPC calls that an entry serves to other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccarouter.membership import relay
from yuccarouter_common.proto import router_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccarouter.membership import digests
    from yuccarouter_common.proto import router_pb2


class MembershipServicer(router_pb2_grpc.PeerServicer):
    """Serves digests of this data centre's endpoints and batches appends."""

    def __init__(
        self, source: digests.Source, batcher: relay.AppendBatcher
    ) -> None:
        self._source = source
        self._batcher = batcher

    async def Endpoints(  # noqa: N802
        self, request: router_pb2.EndpointsRequest, context: Any
    ) -> AsyncIterator[router_pb2.EndpointDigest]:
        """Stream digests of the endpoints of this data centre."""
        async for digest in self._source.stream(request, context):
            yield digest

    async def Append(  # noqa: N802
        self, request: router_pb2.AppendRequest, context: Any
    ) -> router_pb2.AppendReply:
        """Append the rows of a sender together with those of other senders."""
        return await relay.handle_append(self._batcher, request)
