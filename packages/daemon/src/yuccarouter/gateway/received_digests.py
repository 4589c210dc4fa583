"""Digests that were received in one turn of the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from yuccarouter_common import loop_threads


@attrs.define
class ReceivedDigests:
    """Passes on the newest fields of each sender.

    A digest holds totals, so that a later one of the same process replaces its
    fields. ``apply`` is called with the sender's name and these fields, by a
    function that ``schedule`` calls after what is due now.
    """

    apply: Callable[[str, dict[str, Any]], None]
    schedule: Callable[..., object] = loop_threads.call_now
    _newest: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def add(self, name: str, digest: dict[str, Any]) -> None:
        """Pass on a digest, or a part of one."""
        is_first = not self._newest
        before = self._newest.get(name, {})
        if before.get('process') != digest.get('process'):
            before = {}
        self._newest[name] = {**before, **digest}
        if is_first:
            self.schedule(self._apply_all)

    def _apply_all(self) -> None:
        newest = self._newest
        self._newest = {}
        for name, digest in newest.items():
            self.apply(name, digest)
