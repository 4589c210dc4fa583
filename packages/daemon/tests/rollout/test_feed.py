"""Tests of the evidence that reaches the controller of roll-outs."""

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
class _Rater:
    """The rating service: published ratings in order."""

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
    collected = collectors.Collectors(('k',), lambda: 1000, lambda _: True)
    collected.start_step(_ROLLOUT)
    return collected


@pytest.mark.parametrize('rating_first', [True, False])
async def test_bad_version_shows(rating_first: bool) -> None:
    """Guards against ratings that are lost as they overtake observations."""
    log: Any = memory_log.MemoryLog()
    rater: Any = _Rater()
    collected = _collectors()
    read = feed.Feed(log, rater, collected)
    await read.read_observations()
    await read.read_ratings()
    reads = [read.read_observations, read.read_ratings]
    if rating_first:
        reads.reverse()
    versions = itertools.cycle('11111112')
    for number in range(400):
        version = next(versions)
        batch = [_observation(number, version)]
        log.add(observations.STREAM, str(number), observations.encode(batch))
        rater.published.append(_rating(number, version))
        for step in reads:
            await step()
    assert collected.evidence(_ROLLOUT).harm > 100
    assert collected.evidence(_ROLLOUT).unrated == 0


async def test_foreign_record() -> None:
    """Guards against a foreign record that stops the controller."""
    log: Any = memory_log.MemoryLog()
    rater: Any = _Rater()
    read = feed.Feed(log, rater, _collectors())
    await read.read_observations()
    log.add(observations.STREAM, 'x', {'observations': 'no'})
    log.add(observations.STREAM, 'y', None)
    await read.read_observations()


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
    ('entries', 'wait_s'), [(0, 1), (2, 1), (20, 1), (400, 20)]
)
def test_interval(entries: int, wait_s: float) -> None:
    """Guards against more appends than the log takes for everything."""
    assert observations.interval_s(entries) == wait_s


async def test_observations_survive_an_outage() -> None:
    """Guards against evidence that is lost or doubled by the log."""
    log: Any = memory_log.MemoryLog()
    rater: Any = _Rater()
    held = observations.Observations(
        log, rater, lambda: _CONFIGURATION, random.Random(7), lambda: 1
    )
    version = model.ModelVersion('m', '2', 'p')
    held.record(observations.RequestResult('a', version, 'k', True, 5))
    log.down = True
    await held.flush()
    log.down = False
    log.lose_answers = 1
    await held.flush()
    await held.flush()
    [entry] = log.stream(observations.STREAM).entries
    [one] = observations.decode(entry.payload)
    assert one.request.failed
    other = model.ModelVersion('other', '2', 'p')
    held.record(observations.RequestResult('b', other, 'k', True, 5))
    await held.flush()
    assert len(log.stream(observations.STREAM).entries) == 1
