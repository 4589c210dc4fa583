"""Tests of the evaluation of the alerts; bounds are the design's targets."""

from __future__ import annotations

from yuccarouter_testkit.bench import alerts


def test_week() -> None:
    """Guards against a muted pager: false pages, or an outage unnoticed."""
    figures = alerts.run(1)
    own = figures['own']
    assert own['false_pages'] == 0
    assert own['missed_outages'] == 0
    assert own['longest_to_page_s'] <= 120
    assert figures['outages'] == 14
    assert figures['disturbances'] > 500
    assert figures['naive']['false_pages'] > 100
