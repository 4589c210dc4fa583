"""The state of an entry that all its requests share."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import TYPE_CHECKING, Final

import attrs

from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.billing import ledger as ledgers
    from yuccarouter.configuration import store as stores
    from yuccarouter.membership import cancellation, channels
    from yuccarouter.membership import directory as directories
    from yuccarouter.request_path import (
        answer_cache as answer_caches,
    )
    from yuccarouter.request_path import (
        explanations as request_explanations,
    )
    from yuccarouter.request_path import (
        session_versions,
    )
    from yuccarouter.request_path import (
        settlements as attempt_settlements,
    )
    from yuccarouter.rollout import observations as rollout_observations
    from yuccarouter.routing import cascade, latency, views
    from yuccarouter.routing import retry_budget as retry_budgets
    from yuccarouter_common import model, settings
    from yuccarouter_common.platform import ratings as rating_clients

_BUSY_RETRY_MS: Final = 500


@attrs.define
class ConcurrencyLimiter:
    """Requests in progress, in all and by organisation."""

    max_requests: int
    total: int = 0
    by_organisation: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    is_drain_announced: bool = False
    is_draining: bool = False
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)

    def acquire(self, organisation: model.Organisation) -> None:
        """Count a request in.

        Raises ``RefusalError``: ``shutting_down``, ``overloaded`` or
        ``organisation_limit``.
        """
        if self.is_draining:
            raise refusals.RefusalError(
                'shutting_down',
                'this process is shutting down',
                retry_after_ms=_BUSY_RETRY_MS,
            )
        if self.total >= self.max_requests:
            raise refusals.RefusalError(
                'overloaded',
                'too many requests are in progress',
                retry_after_ms=_BUSY_RETRY_MS,
            )
        running = self.by_organisation[organisation.name]
        if running >= organisation.max_concurrent:
            raise refusals.RefusalError(
                'organisation_limit',
                f'{running} requests of the organisation are in progress',
                retry_after_ms=_BUSY_RETRY_MS,
            )
        self.total += 1
        self.by_organisation[organisation.name] += 1
        self.idle.clear()

    def release(self, organisation: model.Organisation) -> None:
        """Count a request out."""
        self.total -= 1
        self.by_organisation[organisation.name] -= 1
        if not self.by_organisation[organisation.name]:
            self.by_organisation.pop(organisation.name)
        if not self.total:
            self.idle.set()


@attrs.frozen
class EntryState:
    """What the request path works with."""

    conf: settings.Settings
    store: stores.Store
    fleet: views.Fleet
    daemons: channels.Channels
    directory: directories.Directory
    canceller: cancellation.CallCanceller
    ledger: ledgers.Ledger
    settlements: attempt_settlements.Settlements
    retry_budget: retry_budgets.RetryBudget
    latencies: latency.Latencies
    cascades: cascade.Cascades
    ratings: rating_clients.Client
    observations: rollout_observations.Observations
    answer_cache: answer_caches.AnswerCache
    explanations: request_explanations.Explanations
    limiter: ConcurrencyLimiter
    pin_cache: session_versions.PinCache
    rng: random.Random = attrs.field(factory=random.Random)

    @property
    def session_key(self) -> bytes:
        """The key that signs session tokens."""
        return self.conf.secrets.session_key.encode()
