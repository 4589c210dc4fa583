"""Double of the service that rates answers.

The score is the share of good words in the answer, so it follows the quality
that the engine emulator gives to a version.
"""

from __future__ import annotations

import collections
import functools
import time
from typing import Final

import attrs
import cattrs
import orjson
import xxhash
from aiohttp import web

from yuccarouter_common import clocks
from yuccarouter_common.platform import ratings
from yuccarouter_testkit.stand_ins import faults, serving, texts

_MAX_RATINGS: Final = 100_000
_MILLION: Final = 1_000_000


@attrs.frozen
class Settings:
    """Noise of the scores and delay of the publication of ratings.

    A score deviates by up to ``noise``, always by the same for a request id.
    """

    noise: float = 0
    lag_ms: float = 0


@attrs.frozen
class RatingFaults(faults.Faults):
    """Faults of the rating service.

    ``bias`` is added to every score and ``version_bias`` to those of a
    ``model@version``. ``lag_ms`` delays the publication of ratings.
    ``missing_share`` is the share of ratings that are never published.
    """

    bias: float = 0
    version_bias: dict[str, float] = attrs.field(factory=dict)
    lag_ms: float = 0
    missing_share: float = 0


@attrs.define(eq=False)
class _Ratings:
    settings: Settings
    injector: faults.Injector = attrs.field(init=False)
    published: list[tuple[float, ratings.Rating]] = attrs.field(factory=list)
    first_offset: int = 0
    # Scores by request id and version, so that a repeat gets the same score.
    rated: collections.OrderedDict[tuple[str, str], float] = attrs.field(
        factory=collections.OrderedDict
    )

    def __attrs_post_init__(self) -> None:
        initial = RatingFaults(lag_ms=self.settings.lag_ms)
        self.injector = faults.Injector(initial)

    def score(self, answer: ratings.Answer) -> float:
        current: RatingFaults = self.injector.current
        version = f'{answer.model}@{answer.version}'
        bias = current.bias + current.version_bias.get(version, 0)
        score = texts.score(answer.answer) + bias + self.noise(answer)
        return min(1, max(0, score))

    def noise(self, answer: ratings.Answer) -> float:
        draw = xxhash.xxh64_intdigest(answer.request_id.encode()) % _MILLION
        return (draw / _MILLION * 2 - 1) * self.settings.noise

    def rate(self, answer: ratings.Answer) -> float:
        key = (answer.request_id, f'{answer.model}@{answer.version}')
        previous_score = self.rated.get(key)
        if previous_score is not None:
            return previous_score
        score = self.score(answer)
        self.rated[key] = score
        if len(self.rated) > _MAX_RATINGS:
            self.rated.popitem(last=False)
        if not self.injector.chance(self.injector.current.missing_share):
            self.publish(answer, score)
        return score

    def publish(self, answer: ratings.Answer, score: float) -> None:
        rating = ratings.Rating(
            offset=self.first_offset + len(self.published),
            time_ms=clocks.wall_ms(),
            request_id=answer.request_id,
            model=answer.model,
            version=answer.version,
            kind=answer.kind,
            score=score,
        )
        self.published.append((time.monotonic(), rating))
        if len(self.published) > _MAX_RATINGS:
            self.published.pop(0)
            self.first_offset += 1

    def read(self, start: int) -> ratings.Batch:
        horizon_s = time.monotonic() - self.injector.current.lag_ms / 1000
        visible = [
            rating for time_s, rating in self.published if time_s <= horizon_s
        ]
        return ratings.Batch(
            [rating for rating in visible if rating.offset >= start],
            self.first_offset,
            self.first_offset + len(visible),
        )


def make_app(settings: Settings) -> web.Application:
    """Return the rating service as a web application."""
    service = _Ratings(settings)
    app = web.Application()
    faults.install(app, service.injector)
    app.router.add_post('/ratings', functools.partial(_rate, service))
    app.router.add_get('/ratings', functools.partial(_read, service))
    return app


async def _rate(service: _Ratings, request: web.Request) -> web.Response:
    try:
        answer = faults.converter.structure(
            orjson.loads(await request.read()), ratings.Answer
        )
    except (ValueError, cattrs.BaseValidationError) as error:
        return faults.error_response(400, 'invalid_answer', repr(error))
    return faults.json_response({'score': service.rate(answer)})


async def _read(service: _Ratings, request: web.Request) -> web.Response:
    start = request.query.get('from', '0')
    if not start.isdecimal():
        return faults.error_response(400, 'invalid_from', start)
    batch = service.read(int(start))
    return faults.json_response(faults.converter.unstructure(batch))


if __name__ == '__main__':
    serving.main(make_app, Settings)
