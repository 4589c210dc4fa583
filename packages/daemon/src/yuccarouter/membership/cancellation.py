"""Telling attempts in progress that their endpoint is lost."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class CallCanceller:
    """Cancels the calls to an endpoint whose agent has gone silent.

    A frozen process keeps its connections open, so a call to it would wait
    for the request's whole deadline.
    """

    def __init__(self) -> None:
        self._cancels: dict[str, set[Callable[[], object]]] = {}

    @contextlib.contextmanager
    def cancel_on_loss(
        self, endpoint: str, cancel: Callable[[], object]
    ) -> Iterator[None]:
        """Have ``cancel`` called if the endpoint is lost meanwhile."""
        cancels = self._cancels.setdefault(endpoint, set())
        cancels.add(cancel)
        try:
            yield
        finally:
            cancels.discard(cancel)
            if not cancels and self._cancels.get(endpoint) is cancels:
                self._cancels.pop(endpoint)

    def cancel_calls(self, endpoint: str) -> int:
        """Cancel the calls to an endpoint; return how many there were."""
        cancels = self._cancels.pop(endpoint, set())
        for cancel in tuple(cancels):
            cancel()
        return len(cancels)
