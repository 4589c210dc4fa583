"""Tests of observations and ratings for the controller of roll-outs."""

from __future__ import annotations

import itertools
import random
from typing import Any

import attrs
import pytest

from yuccarouter.rollout import collectors, evidence, feed, observations
from yuccarouter_common import model
from yuccarouter_common.platform import ratings
from yuccarouter_testkit import memory_log

_ROLLOUT = model.Rollout('r', 'm', '2', '1', state='rolling', share=0.1)
_CONFIGURATION = model.Configuration(rollouts={'r': _ROLLOUT})


@attrs.define
class _RatingService:
    """Stand-in for the rating service, with its published ratings."""

    published: list[ratings.Rating] = attrs.field(factory=list)

    async def read(self, start: int) -> ratings.Batch:
        return ratings.Batch(self.published[start:], 0, len(self.published))


def _observation(number: int, version: str) -> observations.Observation:
    request = evidence.Request(str(number), 'k', False, False, 5, number)
    return observations.Observation(f'm@{version}', request)


def _rating(number: int, version: str) -> ratings.Rating:
    score = 0.2 if version == '2' else 0.9
    return ratings.Rating(
        number, number + 1, str(number), 'm', version, 'k', score
    )


def _collectors() -> collectors.Collectors:
    evidence_collectors = collectors.Collectors(
        ('k',), lambda: 1000, lambda _: True
    )
    evidence_collectors.start_step(_ROLLOUT)
    return evidence_collectors


@pytest.mark.parametrize('rating_first', [True, False])
async def test_bad_version_is_detected(rating_first: bool) -> None:
    """Guards against losing ratings that arrive before the observations."""
    log: Any = memory_log.MemoryLog()
    rating_service: Any = _RatingService()
    evidence_collectors = _collectors()
    evidence_feed = feed.Feed(log, rating_service, evidence_collectors)
    await evidence_feed.read_observations()
    await evidence_feed.read_ratings()
    reads = [evidence_feed.read_observations, evidence_feed.read_ratings]
    if rating_first:
        reads.reverse()
    versions = itertools.cycle('11111112')
    for number in range(400):
        version = next(versions)
        batch = [_observation(number, version)]
        log.add(observations.STREAM, str(number), observations.encode(batch))
        rating_service.published.append(_rating(number, version))
        for step in reads:
            await step()
    assert evidence_collectors.evidence(_ROLLOUT).harm > 100
    assert evidence_collectors.evidence(_ROLLOUT).unrated == 0


async def test_undecodable_record() -> None:
    """Guards against an undecodable record that stops the controller."""
    log: Any = memory_log.MemoryLog()
    rating_service: Any = _RatingService()
    evidence_feed = feed.Feed(log, rating_service, _collectors())
    await evidence_feed.read_observations()
    log.add(observations.STREAM, 'x', {'observations': 'no'})
    log.add(observations.STREAM, 'y', None)
    await evidence_feed.read_observations()


@pytest.mark.parametrize(
    ('share', 'state', 'shares'),
    [
        (0.1, 'withdrawn', {}),
        (0.0, 'rolling', {'m@2': 1, 'm@1': 0.02}),
        (0.5, 'rolling', {'m@2': 1, 'm@1': 1}),
    ],
)
def test_rated_shares(
    share: float, state: str, shares: dict[str, float]
) -> None:
    """Guards against rating every answer of the baseline."""
    rollout = attrs.evolve(_ROLLOUT, share=share, state=state)
    configuration = attrs.evolve(_CONFIGURATION, rollouts={'r': rollout})
    assert observations.rated_shares(configuration) == shares


@pytest.mark.parametrize(
    ('entries', 'interval_s'), [(0, 1), (2, 1), (20, 1), (400, 20)]
)
def test_interval(entries: int, interval_s: float) -> None:
    """Guards against an append rate that grows with the number of entries."""
    assert observations.append_interval_s(entries) == interval_s


async def test_observations_survive_an_outage() -> None:
    """Guards against observations that are lost or duplicated.

    A refused append must be sent again. One whose answer is lost must not,
    since it may have been written.
    """
    log: Any = memory_log.MemoryLog()
    rating_service: Any = _RatingService()
    recorder = observations.Observations(
        log, rating_service, lambda: _CONFIGURATION, random.Random(7), lambda: 1
    )
    version = model.ModelVersion('m', '2', 'p')
    recorder.record(observations.RequestResult('a', version, 'k', True, 5))
    log.down = True
    await recorder.flush()
    log.down = False
    log.lose_answers = 1
    await recorder.flush()
    await recorder.flush()
    [entry] = log.stream(observations.STREAM).entries
    [observation] = observations.decode(entry.payload)
    assert observation.request.failed
    other = model.ModelVersion('other', '2', 'p')
    recorder.record(observations.RequestResult('b', other, 'k', True, 5))
    await recorder.flush()
    assert len(log.stream(observations.STREAM).entries) == 1
