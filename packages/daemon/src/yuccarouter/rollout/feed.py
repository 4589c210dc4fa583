"""Reads observations and ratings for the controller of roll-outs."""

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
_MAX_UNMATCHED: Final = 20_000


@attrs.define
class Cursor:
    """Next offset to read from a stream; -1 before its end is known."""

    offset: int = -1


class RatingMatcher:
    """Passes a rating on after the observation of its request.

    Entries send observations in batches, so that most ratings are published
    first. A collector ignores ratings of requests that it does not know.
    """

    def __init__(self, evidence_collectors: collectors.Collectors) -> None:
        self._collectors = evidence_collectors
        self._unmatched_ratings: collections.OrderedDict[
            str, ratings.Rating
        ] = collections.OrderedDict()
        self._unrated_requests: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def add_observation(self, observation: observations.Observation) -> None:
        """Pass on a request, and its rating if that arrived first."""
        self._collectors.add_request(observation.version, observation.request)
        if not observation.request.is_rated:
            return
        request_id = observation.request.request_id
        rating = self._unmatched_ratings.pop(request_id, None)
        if rating is not None:
            self._collect(rating)
            return
        self._unrated_requests[request_id] = None
        if len(self._unrated_requests) > _MAX_UNMATCHED:
            self._unrated_requests.popitem(last=False)

    def add_rating(self, rating: ratings.Rating) -> None:
        """Pass on a rating, now or once its request is observed."""
        if rating.request_id in self._unrated_requests:
            self._unrated_requests.pop(rating.request_id)
            self._collect(rating)
            return
        self._unmatched_ratings[rating.request_id] = rating
        if len(self._unmatched_ratings) > _MAX_UNMATCHED:
            self._unmatched_ratings.popitem(last=False)

    def _collect(self, rating: ratings.Rating) -> None:
        self._collectors.add_rating(
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

    It starts at the present ends of both, since a controller that takes over
    continues from the recorded step with new evidence.
    """

    def __init__(
        self,
        log_client: history.LogClient,
        rating_client: ratings.Client,
        evidence_collectors: collectors.Collectors,
    ) -> None:
        super().__init__()
        self._log_client = log_client
        self._rating_client = rating_client
        self._matcher = RatingMatcher(evidence_collectors)
        self._observation_cursor = Cursor()
        self._rating_cursor = Cursor()

    async def read_observations(self) -> None:
        """Read the next observations of entries; raises ``PlatformError``."""
        start = max(0, self._observation_cursor.offset)
        batch = await self._log_client.read(
            observations.STREAM, start, wait_ms=_WAIT_MS
        )
        if (
            self._observation_cursor.offset < 0
            or self._observation_cursor.offset > batch.end_offset
        ):
            self._observation_cursor.offset = batch.end_offset
            return
        for entry in batch.records:
            self._observation_cursor.offset = entry.offset + 1
            try:
                observed = observations.decode(entry.payload)
            except errors.RolloutError:
                continue
            for observation in observed:
                self._matcher.add_observation(observation)

    async def read_ratings(self) -> None:
        """Read the next published ratings; raises ``PlatformError``."""
        batch = await self._rating_client.read(
            max(0, self._rating_cursor.offset)
        )
        if (
            self._rating_cursor.offset < 0
            or self._rating_cursor.offset > batch.end_offset
        ):
            self._rating_cursor.offset = batch.end_offset
            return
        for rating in batch.ratings:
            self._rating_cursor.offset = rating.offset + 1
            self._matcher.add_rating(rating)

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
                # While ratings are missing, the policy does not advance.
                await self.sleep(_INTERVAL_S)
            await self.sleep(_INTERVAL_S)
