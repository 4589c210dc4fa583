"""Look-up of the route, organisation and service of a call."""

from __future__ import annotations

from typing import Final

import attrs
import xxhash

from yuccarouter.gateway import model

_HASH_RANGE: Final = 2**64


@attrs.define
class RouteTable:
    """A configuration with indexes by host and path, and by API key."""

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

        Prefixes begin and end with a slash, so that only the parts of the path
        that end with a slash have to be looked up.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        slash = path.rfind('/')
        while slash >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind('/', 0, slash)
        return None

    def organisation(self, key: str) -> model.Organisation | None:
        """Return the organisation that the API key belongs to."""
        return self._organisations.get(key)

    @property
    def has_organisations(self) -> bool:
        """Whether requests to routes that aren't anonymous need an API key."""
        return bool(self.configuration.organisations)


def service_for(route: model.Route, draw: float) -> str:
    """Return a service of the route, selected by weight.

    ``draw`` is a uniformly distributed number from 0 to 1.
    """
    total = sum(share.weight for share in route.shares)
    remaining = draw * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service


def hash_fraction(name: str) -> float:
    """Return the hash of a name as a fraction, the same in every daemon."""
    # Callers may send bytes that are not UTF-8, decoded as surrogates.
    encoded = name.encode(errors='surrogateescape')
    return xxhash.xxh3_64_intdigest(encoded) / _HASH_RANGE
