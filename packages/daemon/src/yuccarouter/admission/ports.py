"""Interfaces of admission to the other parts of the agent."""

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
    """Registry partitions that this agent owns or can reach."""

    async def claim(
        self, request: router_pb2.ClaimRequest
    ) -> router_pb2.ClaimReply:
        """Claim a key for an attempt."""

    async def record(
        self, request: router_pb2.RecordRequest
    ) -> router_pb2.RecordReply:
        """Record the outcome of an attempt or the release of a claim."""


class Usage(Protocol):
    """Usage of attempts that entries have not billed yet."""

    def record_usage(
        self,
        request: router_pb2.RunRequest,
        usage: router_pb2.Usage,
        is_complete: bool,
    ) -> None:
        """Record the usage of an attempt.

        ``is_complete`` is false when the answer was cut off.
        """

    def settle(self, request: router_pb2.SettleRequest) -> None:
        """Remove usage that an entry has billed or discarded."""


@attrs.frozen
class EndpointLocation:
    """The agent's endpoint, where it runs, and its address.

    ``url`` is the endpoint's base URL without a trailing slash.
    """

    endpoint: str
    vm: str
    data_centre: str
    pool: str
    url: str


@attrs.frozen
class Dependencies:
    """Parts of the agent that admission depends on."""

    configuration: ConfigurationView
    catch_up: CatchUp
    registry: Registry
    usage: Usage
