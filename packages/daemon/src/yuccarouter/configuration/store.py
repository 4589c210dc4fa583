"""The configuration that a process holds."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from yuccarouter.configuration import freshness as freshnesses
from yuccarouter.configuration import recent_records
from yuccarouter_common import history, model, records

_MAX_VOIDS: Final = 256
_MS: Final = 1000


@attrs.frozen
class ConfigurationChanged:
    """The configuration has moved on from ``previous`` to ``current``."""

    previous: model.Configuration
    current: model.Configuration


Listener = Callable[[ConfigurationChanged], None]


class Store:
    """Holds one configuration, which only moves forward.

    ``recent`` holds records for peers and ``freshness`` tells how long ago
    the position was known to be the newest. ``rewound`` is set while the log
    holds another history than the one applied. ``clock`` returns monotonic
    seconds.
    """

    def __init__(
        self,
        clock: freshnesses.Clock = time.monotonic,
        recent: recent_records.RecentRecords | None = None,
    ) -> None:
        self.rewound = False
        # Offset of the newest snapshot seen, or from which the store began.
        self.snapshot_offset = -1
        self.freshness = freshnesses.Freshness(clock)
        self.recent = recent or recent_records.RecentRecords()
        self._current = model.Configuration()
        self._tip_digest = 0
        self._state_digest: tuple[model.Position, int] | None = None
        self._voids: collections.deque[model.VoidChange] = collections.deque(
            maxlen=_MAX_VOIDS,
        )
        self._listeners: list[Listener] = []
        self._moved = asyncio.Event()

    def current(self) -> model.Configuration:
        """Return the configuration in effect."""
        return self._current

    @property
    def position(self) -> model.Position:
        """The position of the configuration in effect."""
        return self._current.position

    @property
    def ready(self) -> bool:
        """Whether any configuration has been found."""
        return self.position.offset >= 0

    def void_changes(self) -> tuple[model.VoidChange, ...]:
        """Return recent changes without effect, oldest first."""
        return tuple(self._voids)

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call ``listener`` after each change; returns its removal."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def apply(self, offset: int, payload: Any) -> bool:
        """Apply the record at ``offset`` when it is the next one.

        Returns whether the position has changed. A record at or before the
        position, or one that leaves a gap, has no effect; only a snapshot of
        a later generation is applied from anywhere.
        """
        is_next = offset == self.position.offset + 1
        if not (is_next or _is_snapshot(payload)):
            return False
        changed, void = history.apply_payload(self._current, offset, payload)
        new_generation = changed.position.generation > self.position.generation
        if not (is_next or new_generation):
            return False
        if new_generation:
            self.recent.clear()
            self.rewound = False
        record_digest = history.digest(payload)
        at_offset = changed.position.offset == offset
        self._tip_digest = record_digest if at_offset else 0
        if at_offset:
            self.recent.add(offset, record_digest, payload)
        if void is not None:
            self._voids.append(void)
        elif _is_snapshot(payload):
            self.snapshot_offset = offset
        self._replace(changed)
        return True

    def install(
        self,
        configuration: model.Configuration,
        record_digest: int,
    ) -> bool:
        """Replace the configuration by one from a snapshot, if it is later.

        ``record_digest`` is that of the record at the snapshot's position,
        0 when it is not known. Returns whether it was installed.
        """
        if configuration.position <= self.position:
            return False
        if configuration.position.generation > self.position.generation:
            self.rewound = False
        self.recent.clear()
        self._tip_digest = record_digest
        self.snapshot_offset = configuration.position.offset
        self._replace(configuration)
        return True

    async def wait_for(
        self,
        position: model.Position,
        timeout_ms: float,
    ) -> bool:
        """Wait until ``position`` is reached; returns whether it was."""
        try:
            async with asyncio.timeout(timeout_ms / _MS):
                while self.position < position:
                    await self._moved.wait()
        except TimeoutError:
            return self.position >= position
        return True

    def digest_at(self, offset: int) -> int:
        """Return the digest of the record at ``offset``, 0 if not known."""
        if offset == self.position.offset:
            return self._tip_digest
        return self.recent.digest_at(offset)

    def state_digest(self) -> int:
        """Return a digest of the configuration, computed once a position."""
        cached = self._state_digest
        if cached is None or cached[0] != self.position:
            cached = self.position, history.state_digest(self._current)
            self._state_digest = cached
        return cached[1]

    def _replace(self, changed: model.Configuration) -> None:
        event = ConfigurationChanged(self._current, changed)
        self._current = changed
        self._moved.set()
        self._moved = asyncio.Event()
        for listener in tuple(self._listeners):
            listener(event)


def _is_snapshot(payload: Any) -> bool:
    kind = payload.get('kind') if isinstance(payload, dict) else None
    return bool(kind == records.Kind.SNAPSHOT)
