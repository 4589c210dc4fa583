"""Client of the service that rates answers."""

from __future__ import annotations

from typing import Final

import aiohttp
import attrs
import orjson

from yuccarouter_common import records
from yuccarouter_common.platform import errors, exchanges

_SERVICE: Final = 'rating service'
_TIMEOUT_S: Final = 2.0


@attrs.frozen
class Answer:
    """An answer to be rated; ``version`` is without the model's name."""

    request_id: str
    model: str
    version: str
    kind: str
    prompt: str
    answer: str


@attrs.frozen
class Rating:
    """A published rating of an earlier answer; ``score`` is from 0 to 1."""

    offset: int
    time_ms: int
    request_id: str
    model: str
    version: str
    kind: str
    score: float


@attrs.frozen
class Batch:
    """Ratings from an offset on.

    ``first_offset`` is the oldest that the service keeps and ``end_offset``
    the one that the next rating will get.
    """

    ratings: list[Rating]
    first_offset: int
    end_offset: int


@attrs.frozen
class _Score:
    score: float


@attrs.frozen
class Client:
    """Access to the rating service over a shared HTTP session."""

    session: aiohttp.ClientSession
    url: str

    async def score(
        self,
        answer: Answer,
        timeout_s: float = _TIMEOUT_S,
    ) -> float:
        """Return the score of an answer, from 0 to 1.

        Raises ``UnavailableError`` when there is none in time. Retries are
        safe: the service keeps one rating per request and version.
        """
        reply = await exchanges.send(
            self.session,
            exchanges.Request(
                _SERVICE,
                'POST',
                f'{self.url}/ratings',
                timeout_s,
                orjson.dumps(records.converter.unstructure(answer)),
            ),
        )
        score = exchanges.structure(_SERVICE, reply, _Score).score
        return _checked_score(score)

    async def read(self, start: int, timeout_s: float = _TIMEOUT_S) -> Batch:
        """Return the ratings published so far, from offset ``start`` on.

        Raises ``UnavailableError`` when they can't be read.
        """
        reply = await exchanges.send(
            self.session,
            exchanges.Request(
                _SERVICE,
                'GET',
                f'{self.url}/ratings',
                timeout_s,
                query={'from': str(start)},
            ),
        )
        batch = exchanges.structure(_SERVICE, reply, Batch)
        for rating in batch.ratings:
            _checked_score(rating.score)
        return batch


def _checked_score(score: float) -> float:
    # Also rejects NaN, for which every comparison is false.
    if 0 <= score <= 1:
        return score
    raise errors.BadAnswerError(f'score {score} is not from 0 to 1')
