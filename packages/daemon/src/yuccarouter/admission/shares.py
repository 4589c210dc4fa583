"""How many requests of each organisation are in flight at one endpoint."""

from __future__ import annotations

import collections

import attrs

from yuccarouter.admission import ports


@attrs.define
class Shares:
    """Slots held by each organisation, against its concurrency limit."""

    configuration: ports.ConfigurationView
    _held: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def allowance(self, organisation: str) -> int:
        """Return how many requests may be in flight; 0 when unknown."""
        known = self.configuration().organisations.get(organisation)
        return 0 if known is None else known.max_concurrent

    def may_start(self, organisation: str) -> bool:
        """Return whether one more request may be in flight."""
        return self._held[organisation] < self.allowance(organisation)

    def take(self, organisation: str) -> None:
        """Count one more request in flight."""
        self._held[organisation] += 1

    def give_back(self, organisation: str) -> None:
        """Count one request less in flight."""
        self._held[organisation] -= 1
        if not self._held[organisation]:
            self._held.pop(organisation)
