"""Which route, organisation and service a call belongs to."""

from __future__ import annotations

from typing import Final

import attrs
import xxhash

from yuccarouter.gateway import model

_HASH_RANGE: Final = 2**64


@attrs.define
class RouteTable:
    """A configuration, indexed for look-ups by call."""

    configuration: model.Configuration
    _by_host: dict[str, dict[str, model.Route]] = attrs.field(init=False)
    _organisations: dict[str, model.Organisation] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the indexes."""
        self._by_host = {}
        for route in self.configuration.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._organisations = {
            key: organisation
            for organisation in self.configuration.organisations
            for key in organisation.keys
        }

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of ``path``.

        Prefixes begin and end with a slash, so that only the parts of the
        path up to a slash have to be looked up.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def organisation(self, key: str) -> model.Organisation | None:
        """Return the organisation that holds ``key``."""
        return self._organisations.get(key)

    @property
    def has_organisations(self) -> bool:
        """Whether requests must carry a key."""
        return bool(self.configuration.organisations)


def service_for(route: model.Route, draw: float) -> str:
    """Return the service for a uniform ``draw`` from 0 to 1, by weight."""
    total = sum(share.weight for share in route.shares)
    left = draw * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service


def hash_fraction(name: str) -> float:
    """Return a number from 0 to 1 that is the same in every daemon."""
    return xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE
