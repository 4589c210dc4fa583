"""Index of the endpoints by service, for decisions that look at a few."""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING, Final

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from yuccarouter.gateway import endpoints

# Points of each endpoint on the ring. The endpoint with the most parts gets
# less than twice the mean with this many.
_POINTS: Final = 16
# Endpoints that come first for a part: the others stand in for those that are
# not usable.
_MAX_HOMES: Final = 3


@attrs.frozen
class Ring:
    """Endpoints at hashed points of a ring (consistent hashing).

    All daemons agree on the first endpoints of a prompt part, and it takes no
    scan of the endpoints to find them.
    """

    points: list[int]
    views: list[endpoints.EndpointView]

    def first(self, part: str) -> list[endpoints.EndpointView]:
        """Return the first endpoints of a part in their order."""
        start = bisect.bisect(self.points, _hash(part))
        found: dict[str, endpoints.EndpointView] = {}
        # A copy of a part of the list would take longer than the rest.
        for step in range(start - len(self.points), start):
            view = self.views[step]
            found.setdefault(view.name, view)
            if len(found) == _MAX_HOMES:
                break
        return list(found.values())


@attrs.frozen
class ServiceEndpoints:
    """The endpoints of a service, and their rings.

    ``local`` are those of this daemon's data centre and ``remote`` the others.
    """

    every: tuple[endpoints.EndpointView, ...]
    local: tuple[endpoints.EndpointView, ...]
    remote: tuple[endpoints.EndpointView, ...]
    ring: Ring
    local_ring: Ring


_NONE: Final = ServiceEndpoints((), (), (), Ring([], []), Ring([], []))


@attrs.define
class ServiceIndex:
    """The endpoints of each service, indexed again after changes."""

    directory: endpoints.Directory
    data_centre: str
    _changes: int = -1
    _services: dict[str, ServiceEndpoints] = attrs.field(factory=dict)

    def of(self, service: str) -> ServiceEndpoints:
        """Return the endpoints of a service."""
        if self._changes != self.directory.changes:
            self._services.clear()
            self._changes = self.directory.changes
        known = self._services.get(service)
        if known is None:
            known = self._make(service)
            if known.every:
                self._services[service] = known
        return known

    def _make(self, service: str) -> ServiceEndpoints:
        every = [
            view for view in self.directory if view.announced.service == service
        ]
        if not every:
            return _NONE
        local = [
            view
            for view in every
            if view.announced.data_centre == self.data_centre
        ]
        remote = [
            view
            for view in every
            if view.announced.data_centre != self.data_centre
        ]
        return ServiceEndpoints(
            tuple(every),
            tuple(local),
            tuple(remote),
            _make_ring(every),
            _make_ring(local),
        )


def in_random_order(
    views: Sequence[endpoints.EndpointView],
) -> Iterator[endpoints.EndpointView]:
    """Iterate over endpoints in an order of few random numbers.

    A caller that stops early has looked only at the first ones.
    """
    # Places of the shuffled sequence that differ from the given one: a copy of
    # hundreds of endpoints would take longer than the examination of a few.
    moved: dict[int, int] = {}
    for last in range(len(views) - 1, -1, -1):
        place = int(random.random() * (last + 1))
        yield views[moved.get(place, place)]
        moved[place] = moved.get(last, last)


def _make_ring(views: Sequence[endpoints.EndpointView]) -> Ring:
    points = sorted(
        (_hash(f'{view.name}/{number}'), index)
        for index, view in enumerate(views)
        for number in range(_POINTS)
    )
    return Ring(
        [point for point, _ in points], [views[index] for _, index in points]
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode('utf-8', 'surrogateescape'))
