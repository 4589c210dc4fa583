"""Tests of the results page."""

from __future__ import annotations

from typing import Any

import pytest
from yuccarouter_testkit.bench import _page, _rows


def _alerts(**own: Any) -> dict[str, _page.Run]:
    naive = {
        'false_pages': 1000,
        'missed_outages': 0,
        'longest_to_page_s': 240,
    }
    figures = {'own': {**naive, **own}, 'naive': naive}
    return {'alerts': _page.Run(figures, 1.0)}


def _line(page: str, start: str) -> str:
    [line] = [one for one in page.splitlines() if one.startswith(f'| {start}')]
    return line


@pytest.mark.parametrize(
    ('seconds', 'verdict'),
    [(120, '| met |'), (121, '| **not met** |')],
)
def test_verdict_follows_the_figure(seconds: int, verdict: str) -> None:
    """Guards against a missed target that the page shows as met."""
    runs = _alerts(false_pages=0, longest_to_page_s=seconds)
    line = _line(_page.render(runs, 1, ''), 'longest time to a page')
    assert line.endswith(verdict)
    assert f'| {seconds} | 240 | {seconds / 240:.4g} | at most 120' in line
    assert bool(_page.missed(runs)) == ('not' in verdict)


@pytest.mark.parametrize(
    ('target', 'met', 'not_met'),
    [
        (_rows.Target(0), 0, 1),
        (_rows.Target(0.98, at_least=True), 0.98, 0.97),
    ],
)
def test_bound_is_part_of_the_target(
    target: _rows.Target, met: float, not_met: float
) -> None:
    """Guards against bounds that are compared the wrong way round."""
    assert target.is_met(met)
    assert not target.is_met(not_met)


def test_target_on_the_ratio() -> None:
    """Guards against a ratio's bound that is compared with our figure."""
    group = {'router_p99_ms': 700, 'round_robin_p99_ms': 1000}
    runs = {'routing': _page.Run({'first_token_short': group}, 1.0)}
    page = _page.render(runs, 1, '')
    line = _line(page, 'p99 time to first token at 80% load, short')
    assert line.endswith(
        '| 700 | 1,000 | 0.7 | ratio at most 0.6 | **not met** |'
    )


def test_failed_benchmark_is_shown() -> None:
    """Guards against a failed benchmark whose rows just disappear."""
    runs = {'alerts': _page.Run({}, 2.0, 'ValueError: broken')}
    page = _page.render(runs, 1, '')
    assert '| alerts | 2 | ValueError: broken |' in page
    assert 'no figure' in _line(page, 'false pages')
    assert len(_page.missed(runs)) == 4


def test_targets_that_the_benchmark_lists() -> None:
    """Guards against a target known only to the benchmark being hidden."""
    runs = {'path': _page.Run({'missed': ['per_core_json.ratio']}, 1.0)}
    assert 'path: per_core_json.ratio' in _page.missed(runs)
    assert '- path: per_core_json.ratio' in _page.render(runs, 1, '')


def test_rows_name_existing_measures() -> None:
    """Guards against a row that no table shows."""
    assert {row.measure for row in _rows.ROWS} == set(_rows.MEASURES)
