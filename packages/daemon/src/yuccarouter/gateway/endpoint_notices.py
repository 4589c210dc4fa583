"""What endpoints ask of this daemon in their answers, until they restart."""

from __future__ import annotations

import collections
import math
from typing import Final

import attrs

from yuccarouter.gateway import model

_MAX_ENDPOINTS: Final = 1000


@attrs.frozen
class Notice:
    """What an endpoint that started at ``started_ms`` asks for.

    With ``is_leaving`` it wants no more requests at all, and none from this
    daemon until ``paused_until_ms``.
    """

    started_ms: int
    is_leaving: bool = False
    paused_until_ms: float = -math.inf


@attrs.define
class EndpointNotices:
    """The newest notices by endpoint.

    They outlast the removal of an endpoint from the directory: a record that
    lapsed while the store was unavailable may return.
    """

    _notices: collections.OrderedDict[str, Notice] = attrs.field(
        factory=collections.OrderedDict
    )

    def of(self, announced: model.Announcement) -> Notice:
        """Return the notice of an endpoint, an empty one if it gave none."""
        started_ms = announced.incarnation.started_ms
        notice = self._notices.get(announced.endpoint)
        if notice is None or notice.started_ms != started_ms:
            return Notice(started_ms)
        return notice

    def record(
        self,
        announced: model.Announcement,
        *,
        is_leaving: bool,
        paused_until_ms: float,
    ) -> None:
        """Record what an answer asks for.

        It neither revokes a departure nor shortens a pause.
        """
        known = self.of(announced)
        notice = attrs.evolve(
            known,
            is_leaving=is_leaving or known.is_leaving,
            paused_until_ms=max(paused_until_ms, known.paused_until_ms),
        )
        self._notices[announced.endpoint] = notice
        self._notices.move_to_end(announced.endpoint)
        if len(self._notices) > _MAX_ENDPOINTS:
            self._notices.popitem(last=False)
