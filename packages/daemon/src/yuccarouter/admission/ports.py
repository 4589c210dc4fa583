"""What admission needs from the other parts of the agent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

from yuccarouter_common import model
from yuccarouter_common.proto import router_pb2

ConfigurationView = Callable[[], model.Configuration]
CatchUp = Callable[[model.Position], Awaitable[None]]
Clock = Callable[[], float]
Write = Callable[[router_pb2.RunEvent], Awaitable[None]]


class Registry(Protocol):
    """The registry partitions that this agent owns or reaches."""

    async def claim(
        self, request: router_pb2.ClaimRequest
    ) -> router_pb2.ClaimReply:
        """Claim a key for an attempt."""

    async def record(
        self, request: router_pb2.RecordRequest
    ) -> router_pb2.RecordReply:
        """Record an outcome or a release."""


class Usage(Protocol):
    """The usage that this agent holds until it is billed."""

    def record_usage(
        self,
        request: router_pb2.RunRequest,
        usage: router_pb2.Usage,
        is_complete: bool,
    ) -> None:
        """Hold the usage of an attempt; ``is_complete`` is false for a part."""

    def settle(self, request: router_pb2.SettleRequest) -> None:
        """Drop usage that an entry has billed or discarded."""


@attrs.frozen
class EndpointLocation:
    """The endpoint beside the agent and where it is.

    ``url`` is the endpoint's base URL without a trailing slash.
    """

    endpoint: str
    vm: str
    data_centre: str
    pool: str
    url: str


@attrs.frozen
class Dependencies:
    """The parts of the agent that admission uses."""

    configuration: ConfigurationView
    catch_up: CatchUp
    registry: Registry
    usage: Usage
