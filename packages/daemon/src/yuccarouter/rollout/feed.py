"""Reading evidence and ratings for the controller of roll-outs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final

import attrs
import mode

from yuccarouter.rollout import errors, evidence, observations
from yuccarouter_common.platform import errors as platform_errors

if TYPE_CHECKING:
    from yuccarouter.rollout import collectors
    from yuccarouter_common import history
    from yuccarouter_common.platform import ratings

_INTERVAL_S: Final = 0.5
_WAIT_MS: Final = 500
_MAX_PAIRS: Final = 20_000


@attrs.define
class Cursor:
    """How far a stream has been read; -1 before its end is known."""

    offset: int = -1


class Pairs:
    """Hands a rating on after the observation of its request.

    Entries send observations in batches, so that most ratings are published
    before them; a collector ignores a rating of a request it does not know.
    """

    def __init__(self, collected: collectors.Collectors) -> None:
        self._collected = collected
        self._early: collections.OrderedDict[str, ratings.Rating] = (
            collections.OrderedDict()
        )
        self._observed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def observe(self, one: observations.Observation) -> None:
        """Count a request, and its rating if that came earlier."""
        self._collected.add_request(one.version, one.request)
        if not one.request.is_rated:
            return
        request_id = one.request.request_id
        early = self._early.pop(request_id, None)
        if early is not None:
            self._add(early)
            return
        self._observed[request_id] = None
        if len(self._observed) > _MAX_PAIRS:
            self._observed.popitem(last=False)

    def rate(self, rating: ratings.Rating) -> None:
        """Count a rating now or when its request is observed."""
        if rating.request_id in self._observed:
            self._observed.pop(rating.request_id)
            self._add(rating)
            return
        self._early[rating.request_id] = rating
        if len(self._early) > _MAX_PAIRS:
            self._early.popitem(last=False)

    def _add(self, rating: ratings.Rating) -> None:
        self._collected.add_rating(
            f'{rating.model}@{rating.version}',
            evidence.Rating(
                request_id=rating.request_id,
                kind=rating.kind,
                is_new=False,
                score=rating.score,
                time_ms=rating.time_ms,
            ),
        )


class Feed(mode.Service):
    """Feeds collectors from the stream ``evidence`` and published ratings.

    It starts at the present ends: a controller that takes over goes on from
    the recorded step with new evidence.
    """

    def __init__(
        self,
        client: history.LogClient,
        rater: ratings.Client,
        collected: collectors.Collectors,
    ) -> None:
        super().__init__()
        self._client = client
        self._rater = rater
        self._pairs = Pairs(collected)
        self._seen = Cursor()
        self._rated = Cursor()

    async def read_observations(self) -> None:
        """Take what entries have observed; raises ``PlatformError``."""
        start = max(0, self._seen.offset)
        batch = await self._client.read(
            observations.STREAM, start, wait_ms=_WAIT_MS
        )
        if self._seen.offset < 0 or self._seen.offset > batch.end_offset:
            self._seen.offset = batch.end_offset
            return
        for entry in batch.records:
            self._seen.offset = entry.offset + 1
            try:
                observed = observations.decode(entry.payload)
            except errors.RolloutError:
                continue
            for one in observed:
                self._pairs.observe(one)

    async def read_ratings(self) -> None:
        """Take the ratings published since; raises ``PlatformError``."""
        batch = await self._rater.read(max(0, self._rated.offset))
        if self._rated.offset < 0 or self._rated.offset > batch.end_offset:
            self._rated.offset = batch.end_offset
            return
        for rating in batch.ratings:
            self._rated.offset = rating.offset + 1
            self._pairs.rate(rating)

    @mode.Service.task
    async def _follow_observations(self) -> None:
        while not self.should_stop:
            try:
                await self.read_observations()
            except platform_errors.PlatformError:
                await self.sleep(_INTERVAL_S)

    @mode.Service.task
    async def _follow_ratings(self) -> None:
        while not self.should_stop:
            try:
                await self.read_ratings()
            except platform_errors.PlatformError:
                # Missing ratings hold the share; nothing else is to be done.
                await self.sleep(_INTERVAL_S)
            await self.sleep(_INTERVAL_S)
