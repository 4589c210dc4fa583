"""Tests of the results page."""

from __future__ import annotations

from typing import Any

import pytest

from yuccarouter_testkit.bench import _page, _rows, data_centres


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


@pytest.mark.parametrize(
    ('figure', 'missed'),
    [
        ({}, []),
        ({'lost': 1}, ['one.router.lost']),
        ({'started_late': 1}, ['one.router.started_late']),
        ({'cold_overloads': 1}, ['one.router.cold_overloads']),
        ({'started_after_return': 0}, ['one.router.started_after_return']),
    ],
)
def test_data_centre_targets(figure: dict[str, int], missed: list[str]) -> None:
    """Guards against a missed target of data centres that is not listed."""
    good = {
        'lost': 0,
        'started_late': 0,
        'cold_overloads': 0,
        'started_after_return': 5,
    }
    figures = {
        scenario.name: {'router': good} for scenario in data_centres.SCENARIOS
    }
    figures['one'] = {'router': {**good, **figure}}
    assert data_centres.missed(figures) == missed
