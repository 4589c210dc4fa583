"""What the gateway needs of the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import aiohttp
    from aiohttp import web

    from yuccarouter.gateway import model


@attrs.frozen
class Entry:
    """The newest record of a key; ``value`` is empty once it was removed."""

    key: str
    value: bytes
    offset: int


@attrs.frozen
class Page:
    """Records of a topic and the offset at which to read on."""

    entries: tuple[Entry, ...]
    next_offset: int


class CompactedError(Exception):
    """Records at the wanted offset were removed: read the newest ones."""


class OffsetConflictError(Exception):
    """A conditional append found other records at its offset."""


class Store(Protocol):
    """Topics of keyed records.

    All calls raise ``yuccarouter_common.platform.errors.PlatformError`` when
    the store can't be used.
    """

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key."""

    async def read(self, topic: str, offset: int, wait_ms: int) -> Page:
        """Return the records from ``offset``; raises ``CompactedError``."""

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes]],
        expected_offset: int | None,
    ) -> int:
        """Append all records or none and return the offset after them.

        Raises ``OffsetConflictError`` unless the topic ends at
        ``expected_offset``.
        """


@attrs.frozen
class Attempt:
    """What the gateway adds to a call when it sends it to an endpoint."""

    endpoint: str
    deadline_ms: float
    organisation: str
    priority: int
    model: str
    last_event_id: str


@attrs.frozen
class Topics:
    """Names of the topics for orders, endpoints and the gateway's state."""

    orders: str
    endpoints: str
    state: str


@attrs.frozen
class Platform:
    """The platform's wire forms, as functions.

    ``decode_configuration``, ``decode_order``, ``decode_evacuation`` and
    ``decode_announcement`` return ``None`` for records that are not of their
    sort, and raise ``yuccarouter_common.records.ShapeError`` for those that
    can't be read.
    """

    topics: Topics
    decode_call: Callable[[web.BaseRequest], model.Call]
    encode_attempt: Callable[[model.Call, Attempt], tuple[tuple[str, str], ...]]
    decode_answer: Callable[[aiohttp.ClientResponse], model.AnswerHead]
    decode_configuration: Callable[[Entry], model.Configuration | None]
    decode_order: Callable[[Entry], model.RolloutOrder | None]
    decode_evacuation: Callable[[Entry], model.Evacuation | None]
    decode_announcement: Callable[[Entry], model.Announcement | None]
    encode_rollout_status: Callable[
        [model.RolloutOrder, str], tuple[str, bytes]
    ]
