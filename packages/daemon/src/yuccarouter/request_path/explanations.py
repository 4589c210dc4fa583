"""Decisions about recent requests, for operators who ask why."""

from __future__ import annotations

import collections
from typing import Any, Final

_KEPT_REQUESTS: Final = 2000


class Explanations:
    """Keeps the decisions of the newest requests."""

    def __init__(self, kept_requests: int = _KEPT_REQUESTS) -> None:
        self._kept_requests = kept_requests
        self._requests: collections.OrderedDict[str, dict[str, Any]] = (
            collections.OrderedDict()
        )

    def keep(self, request_id: str, explanation: dict[str, Any]) -> None:
        """Keep an explanation and drop the oldest one beyond the bound."""
        self._requests[request_id] = explanation
        self._requests.move_to_end(request_id)
        if len(self._requests) > self._kept_requests:
            self._requests.popitem(last=False)

    def find(self, request_id: str) -> dict[str, Any] | None:
        """Return the explanation of a request, if it is still kept."""
        return self._requests.get(request_id)
