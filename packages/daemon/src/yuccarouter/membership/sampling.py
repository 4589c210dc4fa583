"""Sampling of the endpoints in a receiver's digest."""

from __future__ import annotations

from typing import Final

import xxhash

# Average time that an endpoint stays in a sample. The rotation shows a receiver
# all endpoints in turn, slowly enough that its counts of its own requests to
# the sampled endpoints stay useful.
_DWELL_MS: Final = 30_000
# Sampled endpoints of a pool, over all other data centres. A routing decision
# draws at most 3 of them, and a retry excludes those already tried.
_MIN_SAMPLE: Final = 16
_HASH_RANGE: Final = 2**64
ALL_PPM: Final = 1_000_000


def share_ppm(endpoints: int) -> int:
    """Return the sampled share, in millionths, of a pool of ``endpoints``.

    ``endpoints`` counts those in other data centres. The share is 1 divided
    by a power of 2, so that it seldom changes. The expected sample has at
    least ``_MIN_SAMPLE`` endpoints, or all endpoints of a smaller pool.
    """
    share = ALL_PPM
    while share // 2 * endpoints >= _MIN_SAMPLE * ALL_PPM:
        share //= 2
    return share


def is_sampled(receiver: str, endpoint: str, share: int, time_ms: int) -> bool:
    """Return whether an endpoint is in a receiver's sample.

    A hash of receiver and endpoint is a point on a circle, and the sample is
    an arc that moves with the wall clock. So each endpoint is sampled for
    ``share`` millionths of the time, whatever its load or data centre, and
    senders whose clocks agree choose nearly the same sample for a receiver.
    """
    if share >= ALL_PPM:
        return True
    width = _HASH_RANGE * share // ALL_PPM
    start = width * time_ms // _DWELL_MS
    point = xxhash.xxh3_64_intdigest(f'{receiver}/{endpoint}'.encode())
    return (point - start) % _HASH_RANGE < width
