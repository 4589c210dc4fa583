"""Answers of keyed idempotent requests, held for repeats."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import plan


@attrs.frozen
class _Held:
    body_digest: str
    answer: plan.Answer


class AnswerCache:
    """Answers by request id, bounded by the bytes of their bodies."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._held: collections.OrderedDict[str, _Held] = (
            collections.OrderedDict()
        )

    def find(self, request_id: str, body_digest: str) -> plan.Answer | None:
        """Return the held answer of a request.

        Raises ``RefusalError`` with the code ``idempotency_conflict`` when the
        key was used for a request with another body.
        """
        held = self._held.get(request_id)
        if held is None:
            return None
        if held.body_digest != body_digest:
            raise refusals.RefusalError(
                'idempotency_conflict',
                'the Idempotency-Key was used with another request',
            )
        self._held.move_to_end(request_id)
        return attrs.evolve(held.answer, is_replayed=True)

    def keep(
        self, request_id: str, body_digest: str, answer: plan.Answer
    ) -> None:
        """Hold an answer and drop the least recently used ones."""
        size = len(answer.body)
        if size > self._max_bytes:
            return
        self._drop(request_id)
        self._held[request_id] = _Held(body_digest, answer)
        self._used_bytes += size
        while self._used_bytes > self._max_bytes:
            self._drop(next(iter(self._held)))

    def _drop(self, request_id: str) -> None:
        dropped = self._held.pop(request_id, None)
        if dropped is not None:
            self._used_bytes -= len(dropped.answer.body)
