"""Cancellation of calls in progress whose endpoint is lost."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class CallCanceller:
    """Cancels the calls to an endpoint whose agent has stopped reporting.

    A frozen process keeps its connections open, so a call to it would
    otherwise wait until the request's deadline.
    """

    def __init__(self) -> None:
        self._cancels: dict[str, set[Callable[[], object]]] = {}

    @contextlib.contextmanager
    def cancel_on_loss(
        self, endpoint: str, cancel: Callable[[], object]
    ) -> Iterator[None]:
        """Call ``cancel`` if the endpoint is lost inside the block."""
        callbacks = self._cancels.setdefault(endpoint, set())
        callbacks.add(cancel)
        try:
            yield
        finally:
            callbacks.discard(cancel)
            if not callbacks and self._cancels.get(endpoint) is callbacks:
                self._cancels.pop(endpoint)

    def cancel_calls(self, endpoint: str) -> int:
        """Cancel all calls to an endpoint; return their number."""
        callbacks = self._cancels.pop(endpoint, set())
        for cancel in tuple(callbacks):
            cancel()
        return len(callbacks)
