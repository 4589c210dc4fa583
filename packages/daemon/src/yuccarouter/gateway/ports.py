"""Interfaces between the gateway and the platform that it runs on."""

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
    """A record of a keyed topic; an empty ``value`` is a tombstone.

    ``offset`` grows also across restores of the store, as in ``offsets``.
    """

    key: str
    value: bytes
    offset: int


@attrs.frozen
class Page:
    """Records of a topic and the offset of the next read."""

    entries: tuple[Entry, ...]
    next_offset: int


class CompactedError(Exception):
    """The records at the requested offset are not in the store.

    They were compacted, or the store was restored from an older copy.

    The reader has to load the newest record of each key instead.
    """


class OffsetConflictError(Exception):
    """The topic does not end at the offset that an append expected."""


class Store(Protocol):
    """A log store with topics of keyed records.

    All calls raise ``yuccarouter_common.platform.errors.PlatformError`` if they
    fail.
    """

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key."""

    async def read(self, topic: str, offset: int, wait_ms: int) -> Page:
        """Return the records from ``offset`` on.

        If there are none, the call waits up to ``wait_ms`` for the next record.
        Raises ``CompactedError``.
        """

    async def append(
        self,
        topic: str,
        entries: Sequence[tuple[str, bytes]],
        expected_offset: int | None,
    ) -> int:
        """Append all records or none and return the offset after them.

        Raises ``OffsetConflictError`` if ``expected_offset`` is given and the
        topic does not end there.
        """


@attrs.frozen
class Attempt:
    """Data that the gateway adds to a call for one attempt.

    ``deadline_ms`` is the remaining time. ``last_event_id`` is the id of the
    event after which a stream resumes, empty at its start.
    """

    endpoint: str
    deadline_ms: float
    organisation: str
    priority: int
    model: str
    last_event_id: str


@attrs.frozen
class Topics:
    """Names of the topics of operators' orders, endpoints and shared state."""

    orders: str
    endpoints: str
    state: str


@attrs.frozen
class Platform:
    """Codecs of the platform's wire formats.

    ``decode_configuration``, ``decode_order``, ``decode_evacuation`` and
    ``decode_announcement`` return ``None`` for records of another type, and
    raise ``yuccarouter_common.records.ShapeError`` for malformed ones.
    ``event_fields`` are the fields that events of the endpoints' streams have
    besides those of the standard.
    """

    topics: Topics
    event_fields: frozenset[bytes]
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
