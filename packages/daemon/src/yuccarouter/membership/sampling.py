"""Which endpoints of a data centre are in a receiver's digest."""

from __future__ import annotations

from typing import Final

import xxhash

# An endpoint stays in a sample for this time on average. A receiver then sees
# all endpoints in turn, and its counts of own requests stay of use meanwhile.
_DWELL_MS: Final = 30_000
# Sampled endpoints of a pool, over all other data centres. A choice draws at
# most 3 of them, and a retry excludes those that were tried.
_WANTED: Final = 16
_HASH_RANGE: Final = 2**64
ALL_PPM: Final = 1_000_000


def share_ppm(endpoints: int) -> int:
    """Return the share of a pool with that many endpoints elsewhere.

    Shares are halves of one another, so that they seldom change. At least
    ``_WANTED`` endpoints, where there are so many, are expected in the sample.
    """
    share = ALL_PPM
    while share // 2 * endpoints >= _WANTED * ALL_PPM:
        share //= 2
    return share


def is_sampled(receiver: str, endpoint: str, share: int, time_ms: int) -> bool:
    """Return whether an endpoint is in the sample of a receiver.

    Each endpoint has a place on a circle, which the receiver and the endpoint
    decide alone, and the sample is an arc that moves with the wall clock. So
    the probability is the share for every endpoint, in every data centre,
    whatever its load, and all senders give a receiver nearly the same sample.
    """
    if share >= ALL_PPM:
        return True
    width = _HASH_RANGE * share // ALL_PPM
    start = width * time_ms // _DWELL_MS
    place = xxhash.xxh3_64_intdigest(f'{receiver}/{endpoint}'.encode())
    return (place - start) % _HASH_RANGE < width
