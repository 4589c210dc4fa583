"""Tests of the alerts and of the files made from them."""

from __future__ import annotations

import pathlib
from collections.abc import Mapping

import pytest
import yaml

from yuccarouter_common import alerts

_BY_NAME = {alert.name: alert for alert in alerts.ALERTS}


def test_committed_rules() -> None:
    """Guards against a committed rules file that differs from ``ALERTS``."""
    rules_path = pathlib.Path(__file__).parents[3] / 'docs' / 'alerts.yaml'
    assert rules_path.read_text() == alerts.rules_file()


def test_rules() -> None:
    """Guards against alerts with one cause, no evidence or no command.

    Also guards against unbalanced brackets in the PromQL expressions.
    """
    rules = yaml.safe_load(alerts.rules_file())['groups'][0]['rules']
    causes = [rule['labels']['cause'] for rule in rules]
    assert len(set(causes)) == len(causes)
    for rule in rules:
        assert rule['annotations']['command'].startswith('yuccactl ')
        assert rule['annotations']['evidence'].count('{{ end }}') == 1
        for opening, closing in ('()', '[]', '{}'):
            expression = rule['expr']
            assert expression.count(opening) == expression.count(closing)
    outcomes = {getattr(alert, 'outcome', 'none') for alert in alerts.ALERTS}
    assert outcomes == {'lost', 'rejected', 'late', 'wrong', 'none'}


def _window(
    short: dict[str, float], long: dict[str, float], kind: str = 'a'
) -> alerts.Window:
    by_length: dict[int, Mapping[str, alerts.Counts]] = {
        60: {'other': {'ok': 100_000}, kind: short},
        600: {'other': {'ok': 1000_000}, kind: long},
    }
    return by_length.__getitem__


@pytest.mark.parametrize(
    ('short', 'long', 'raised'),
    [
        ({'ok': 98, 'lost': 2}, {'ok': 980, 'lost': 20}, True),
        ({'ok': 99, 'lost': 1}, {'ok': 980, 'lost': 20}, False),
        ({'ok': 98, 'lost': 2}, {'ok': 981, 'lost': 19}, False),
        ({'ok': 0, 'lost': 7}, {'ok': 0, 'lost': 7}, False),
        ({'ok': 0, 'lost': 8}, {'ok': 0, 'lost': 8}, True),
        ({'ok': 10, 'late': 90}, {'ok': 10, 'late': 900}, False),
        ({}, {}, False),
    ],
)
def test_burn_alert(
    short: dict[str, float], long: dict[str, float], raised: bool
) -> None:
    """Guards against a page by chance and against a hidden failing kind.

    A few bad requests may be chance. The kind ``other`` has much good traffic,
    which must not lower the share of bad requests of the other kind.
    """
    window = _window(short, long)
    assert _BY_NAME['RequestsLost'].is_raised(window) is raised


@pytest.mark.parametrize(
    ('recent', 'longer', 'raised'),
    [(0, 200, True), (0, 199, False), (1, 5000, False)],
)
def test_silence_alert(recent: int, longer: int, raised: bool) -> None:
    """Guards against no page when all entries are down and nothing counts."""
    by_length: dict[int, Mapping[str, alerts.Counts]] = {
        60: {'a': {'ok': recent}},
        660: {'a': {'ok': longer}},
    }
    alert = _BY_NAME['RequestsStopped']
    assert alert.is_raised(by_length.__getitem__) is raised
