"""How many requests of each organisation are in flight at one endpoint."""

from __future__ import annotations

import collections

import attrs

from yuccarouter.admission import ports


@attrs.define
class OrganisationSlots:
    """Slots held by each organisation, against its concurrency limit."""

    configuration: ports.ConfigurationView
    _held: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def max_concurrent(self, name: str) -> int:
        """Return the organisation's concurrency limit; 0 when unknown."""
        organisation = self.configuration().organisations.get(name)
        return 0 if organisation is None else organisation.max_concurrent

    def may_start(self, name: str) -> bool:
        """Return whether the organisation may start one more request."""
        return self._held[name] < self.max_concurrent(name)

    def take_slot(self, name: str) -> None:
        """Count one more request in flight."""
        self._held[name] += 1

    def release_slot(self, name: str) -> None:
        """Count one request less in flight."""
        self._held[name] -= 1
        if not self._held[name]:
            self._held.pop(name)
