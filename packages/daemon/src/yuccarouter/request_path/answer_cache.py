"""Cache of answers to idempotent requests with an idempotency key."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import request_types


@attrs.frozen
class _CachedAnswer:
    body_digest: str
    answer: request_types.Answer


class AnswerCache:
    """LRU cache of answers by request id, bounded by total body size."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._cached: collections.OrderedDict[str, _CachedAnswer] = (
            collections.OrderedDict()
        )

    def find(
        self, request_id: str, body_digest: str
    ) -> request_types.Answer | None:
        """Return the cached answer of a request, marked as replayed.

        Raises ``RefusalError`` with the code ``idempotency_conflict`` when the
        key was used for a request with another body.
        """
        cached = self._cached.get(request_id)
        if cached is None:
            return None
        if cached.body_digest != body_digest:
            raise refusals.RefusalError(
                'idempotency_conflict',
                'the Idempotency-Key was used with another request',
            )
        self._cached.move_to_end(request_id)
        return attrs.evolve(cached.answer, is_replayed=True)

    def store(
        self, request_id: str, body_digest: str, answer: request_types.Answer
    ) -> None:
        """Store an answer and evict the least recently used ones."""
        size = len(answer.body)
        if size > self._max_bytes:
            return
        self._remove(request_id)
        self._cached[request_id] = _CachedAnswer(body_digest, answer)
        self._used_bytes += size
        while self._used_bytes > self._max_bytes:
            self._remove(next(iter(self._cached)))

    def _remove(self, request_id: str) -> None:
        removed = self._cached.pop(request_id, None)
        if removed is not None:
            self._used_bytes -= len(removed.answer.body)
