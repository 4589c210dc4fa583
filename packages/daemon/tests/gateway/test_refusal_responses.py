"""Tests of the time after which refused callers are told to retry."""

from __future__ import annotations

import math

import pytest

from yuccarouter.gateway import refusal_responses


@pytest.mark.parametrize(
    ('wait_ms', 'least_ms', 'most_ms'),
    [
        (None, 600, 1000),
        (20, 225, 375),
        (1200, 900, 1500),
        (9000, 1500, 2500),
        (math.inf, 1500, 2500),
    ],
)
def test_retry_after_a_rate_limit(
    wait_ms: float | None, least_ms: float, most_ms: float
) -> None:
    """Guards against callers that return before a limit allows a request.

    With a longer time than theirs, most callers don't return at all.
    """
    for _ in range(50):
        refusal = refusal_responses.no_endpoint('app', wait_ms)
        assert refusal.status == 503
        assert least_ms <= refusal.retry_after_ms <= most_ms + 1
