"""Routing decisions of recent requests, for operators."""

from __future__ import annotations

import collections
from typing import Any, Final

_MAX_REQUESTS: Final = 2000


class Explanations:
    """Keeps the explanations of the newest requests."""

    def __init__(self, max_requests: int = _MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._requests: collections.OrderedDict[str, dict[str, Any]] = (
            collections.OrderedDict()
        )

    def store(self, request_id: str, explanation: dict[str, Any]) -> None:
        """Store an explanation and evict the oldest one beyond the bound."""
        self._requests[request_id] = explanation
        self._requests.move_to_end(request_id)
        if len(self._requests) > self._max_requests:
            self._requests.popitem(last=False)

    def find(self, request_id: str) -> dict[str, Any] | None:
        """Return the explanation of a request; ``None`` if it is not kept."""
        return self._requests.get(request_id)
