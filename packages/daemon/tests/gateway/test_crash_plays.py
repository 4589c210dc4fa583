"""Tests of the judgement of crashes, in plays in virtual time.

``CRASH_PLAYS=all`` plays each row with three seeds, as for the table in
docs/incidents/crashes-within-answers.md.
"""

from __future__ import annotations

import os

import crash_plays
import pytest

SEEDS = range(3) if os.environ.get('CRASH_PLAYS') == 'all' else range(1)
# By the users' rule, more may not reach engines once the cause is known.
MAX_LATE = 3
CRASHES_UNTIL_KNOWN = {'request': 3, 'part': 5}
MAX_HELD_SHARE = 0.01
POWER_LOSSES = (
    (6000, 0.15),
    (14_000, 0.15),
    (22_000, 0.15),
    (30_000, 0.5),
    (38_000, 0.15),
)
# One engine after the other; the least share is that of one.
ROLLING_RESTART = tuple((6000.0 + 4000 * number, 0.0) for number in range(9))
CRASHES_MS = (0, 600, 1500, 3500, 10_000)
# Engines, and streams that each of them runs at once.
SIZES = ((3, 1), (3, 8), (3, 32), (5, 1), (5, 8), (5, 32), (20, 8), (120, 1))

PART_SIZES = ((3, 2), (5, 8), (20, 2))
PARTS = (1, 33, 200)
PLACES = (0, 0.5, 1)


def scene_id(scene: crash_plays.Scene) -> str:
    """Return a short name of a scene."""
    size = f'{scene.engines}x{scene.streams}'
    if not scene.bad:
        return f'{size}-{len(scene.outages)}'
    return f'{size}-{scene.parts}-{scene.bad_place}-{scene.crash_ms}'


BAD_REQUESTS = [
    crash_plays.Scene(
        engines=engines, streams=streams, bad='request', crash_ms=crash_ms
    )
    for engines, streams in SIZES
    for crash_ms in CRASHES_MS
]

BAD_PARTS = [
    crash_plays.Scene(
        engines=engines,
        streams=streams,
        parts=parts,
        bad='part',
        bad_place=place,
    )
    for engines, streams in PART_SIZES
    for parts in PARTS
    for place in PLACES
]

# Such requests overlap, so that no one is sent after the crash of another.
OVERLAPPING = [
    crash_plays.Scene(
        engines=engines,
        streams=streams,
        parts=33,
        bad='part',
        crash_ms=crash_ms,
    )
    for engines, streams in (*PART_SIZES, (120, 1))
    for crash_ms in (600, 10_000)
]


def late_sends(scene: crash_plays.Scene) -> list[int]:
    """Return the bad requests that were sent too late, by seed."""
    crashes = CRASHES_UNTIL_KNOWN[scene.bad]
    return [
        crash_plays.play(scene, seed).late_bad_sends(crashes) for seed in SEEDS
    ]


@pytest.mark.parametrize('scene', BAD_REQUESTS, ids=scene_id)
def test_request_that_crashes_engines(scene: crash_plays.Scene) -> None:
    """Guards against a request that crashes engines long after its first event.

    It comes again and again, beside streams that are lost with it.
    """
    assert max(late_sends(scene)) <= MAX_LATE


@pytest.mark.parametrize('scene', BAD_PARTS + OVERLAPPING, ids=scene_id)
def test_part_that_crashes_engines(scene: crash_plays.Scene) -> None:
    """Guards against a part that is no suspect because of its place."""
    assert max(late_sends(scene)) <= MAX_LATE


@pytest.mark.parametrize('outages', [POWER_LOSSES, ROLLING_RESTART])
@pytest.mark.parametrize(
    ('engines', 'streams'),
    [(3, 1), (3, 4), (3, 16), (5, 4), (5, 32), (20, 4), (60, 1)],
)
def test_sound_requests_beside_outages(
    engines: int, streams: int, outages: tuple[tuple[float, float], ...]
) -> None:
    """Guards against sound requests that are held for outages of engines."""
    scene = crash_plays.Scene(engines=engines, streams=streams, outages=outages)
    plays = [crash_plays.play(scene, seed) for seed in SEEDS]
    held = sum(len(each.held) for each in plays)
    assert held < MAX_HELD_SHARE * sum(each.sound for each in plays)
