"""Rows of the results page: which figures it shows, and their targets.

A figure is named by a path of keys, ``benchmark.group.name``; a number in it
is the index of a list.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import attrs

from yuccarouter_testkit.bench import _cascade, versions

COST: Final = 'Cost at the quality target'
LATENCY: Final = 'Latency'
EXPOSURE: Final = 'Exposure to bad versions'
SERVICE: Final = 'Service while a data centre leaves and returns'
CONTROL: Final = 'Cost of control'
ALERTS: Final = 'Alerts'
MEASURES: Final = (COST, LATENCY, EXPOSURE, SERVICE, CONTROL, ALERTS)

_P99: Final = 'p99_ms'


@attrs.frozen
class Target:
    """A bound of the design page, on our figure or on the ratio."""

    bound: float
    at_least: bool = False
    on_ratio: bool = False

    @property
    def text(self) -> str:
        """The target as the page shows it."""
        word = 'at least' if self.at_least else 'at most'
        subject = 'ratio ' if self.on_ratio else ''
        return f'{subject}{word} {self.bound:g}'

    def is_met(self, figure: float) -> bool:
        """Return whether a figure is within the bound."""
        return figure >= self.bound if self.at_least else figure <= self.bound


@attrs.frozen
class Row:
    """One line of a measure's table.

    ``ours`` may name several figures, which are added. ``naive`` may be the
    number that the naive version has by definition. ``ratio`` names a figure
    to show instead of ours divided by the naive one.
    """

    measure: str
    title: str
    ours: tuple[str, ...]
    naive: str | float = ''
    target: Target | None = None
    ratio: str = ''

    @property
    def benchmarks(self) -> set[str]:
        """Names of the benchmarks that the figures are from."""
        return {path.partition('.')[0] for path in self.ours}


def find(figures: dict[str, Any], path: str) -> float | None:
    """Return the figure at a path; none when it is missing or no number."""
    found: Any = figures
    for key in path.split('.'):
        try:
            found = found[int(key) if isinstance(found, list) else key]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return float(found) if isinstance(found, int | float) else None


def _cost_rows() -> Iterator[Row]:
    yield Row(
        COST,
        'cost relative to always using the best model',
        ('routing.cascade_good.cascade_cost',),
        1.0,
        Target(0.5),
    )
    for ratings in _cascade.RATINGS:
        group = f'routing.cascade_{ratings.name}'
        if ratings.name != 'good':
            yield Row(
                COST,
                f'cost, ratings {ratings.name} in the second half',
                (f'{group}.cascade_cost',),
                1.0,
            )
        yield Row(
            COST,
            f'quality relative to the best model, ratings {ratings.name} '
            '(naive: always the cheapest)',
            (f'{group}.cascade_quality',),
            f'{group}.cheap_quality',
            Target(0.98, at_least=True),
        )


def _latency_rows() -> Iterator[Row]:
    for shape in ('short', 'long', 'mixed'):
        group = f'routing.first_token_{shape}'
        yield Row(
            LATENCY,
            f'p99 time to first token at 80% load, {shape} requests, ms',
            (f'{group}.router_p99_ms',),
            f'{group}.round_robin_p99_ms',
            Target(0.6, on_ratio=True),
        )
    yield Row(
        LATENCY,
        'routing decision at 810 endpoints, µs (naive: full scan)',
        ('routing.decision.decision_810_us',),
        'routing.decision.scan_810_us',
        Target(200),
    )
    yield Row(
        LATENCY,
        'routing decision at 810 endpoints (ours) and at 10, µs',
        ('routing.decision.decision_810_us',),
        'routing.decision.decision_10_us',
        Target(1.5, on_ratio=True),
    )
    yield Row(
        LATENCY,
        'attempts at the rest per request when a third of endpoints fails',
        ('routing.retries.router_load',),
        'routing.retries.blind_load',
        Target(1.1),
    )
    yield Row(
        LATENCY,
        'share answered in time when a third of endpoints fails',
        ('routing.retries.router_answered',),
        'routing.retries.blind_answered',
    )
    yield from _path_rows()


def _path_rows() -> Iterator[Row]:
    for form, part in (
        ('json', 'whole'),
        ('stream', 'first'),
        ('stream', 'whole'),
    ):
        group = f'path.latency_{form}.{part}_p50'
        yield Row(
            LATENCY,
            f'median added by the whole path, {form}, {part}, ms '
            '(ratio: to that added by a pass-through)',
            (f'{group}_added_ms',),
            target=Target(2.5, on_ratio=True),
            ratio=f'{group}_added_ratio',
        )
    for form in ('json', 'stream'):
        group = f'path.per_core_{form}'
        yield Row(
            LATENCY,
            f'requests per CPU second, {form} (naive: a pass-through)',
            (f'{group}.router_per_cpu_s',),
            f'{group}.pass_through_per_cpu_s',
            Target(0.4, at_least=True, on_ratio=True),
        )


def _exposure_rows() -> Iterator[Row]:
    for sort in versions.SORTS:
        if sort != versions.GOOD:
            yield Row(
                EXPOSURE,
                f'exposed requests, {sort} (naive: staged by the clock)',
                (f'rollouts.{sort}.exposed',),
                f'rollouts.{sort}.clock_exposed',
            )
    yield Row(
        EXPOSURE,
        'exposed requests relative to the roll-out by the clock, all bad',
        ('rollouts.exposure_ratio',),
        1.0,
        Target(0.1),
    )
    yield Row(
        EXPOSURE,
        'share of good versions withdrawn',
        ('rollouts.good_withdrawn_share',),
        target=Target(0.01),
    )


def _service_rows() -> Iterator[Row]:
    zero = Target(0)
    for scenario in ('one', 'two_at_once', 'log_down'):
        for name, target in (
            ('lost', zero),
            ('started_late', zero),
            ('cold_overloads', zero),
            ('refused', None),
            ('late', None),
            # Without any work, no cold overload proves nothing.
            ('started_after_return', Target(1, at_least=True)),
        ):
            yield _service_row(scenario, name, target)
        for phase in ('before', 'leaving', 'out', 'returning'):
            for percentile in ('p50_ms', _P99):
                yield _service_row(scenario, f'phases.{phase}.{percentile}')
    yield Row(
        SERVICE,
        'requests in flight at a cold endpoint that bears 2 (naive: no limit)',
        ('admission.slow_start.most_in_flight_cold',),
        'admission.no_limit.most_in_flight_cold',
        Target(2),
    )
    yield Row(
        SERVICE,
        'share answered when an endpoint turns cold under load',
        ('admission.slow_start.done_share',),
        'admission.no_limit.done_share',
    )


def _service_row(scenario: str, name: str, target: Target | None = None) -> Row:
    title = f'{scenario}: {name.removeprefix("phases.")}'
    group = f'data_centres.{scenario}'
    return Row(
        SERVICE,
        title.replace('_', ' '),
        (f'{group}.router.{name}',),
        f'{group}.naive.{name}',
        target,
    )


def _control_rows() -> Iterator[Row]:
    yield Row(
        CONTROL,
        'membership of one entry, KB/s (naive: follows all alike)',
        ('membership.entry.kb_per_s',),
        'membership.entry.naive_kb_per_s',
        Target(25),
    )
    yield Row(
        CONTROL,
        'membership of one entry, % of a core, both ends of each stream',
        ('membership.entry.both_ends_core_percent',),
        'membership.entry.naive_both_ends_core_percent',
        Target(1),
    )
    yield Row(
        CONTROL,
        'view of the fleet at one entry, MB',
        ('membership.entry.fleet_mb',),
        'membership.entry.naive_fleet_mb',
        Target(32),
    )
    yield Row(
        CONTROL,
        'configuration exchange of one of 1,210 processes, B/s',
        ('control.traffic.3.wire_bytes_per_s',),
    )
    yield Row(
        CONTROL,
        'change in effect at 1,210 processes, one reaches the log, longest s',
        ('control.spread.11.longest_s',),
        target=Target(13),
    )
    yield Row(
        CONTROL,
        'log appends a second of 400 senders (naive: one each)',
        ('membership.appends_per_s.relay_400',),
        'membership.appends_per_s.naive_400',
    )


def _alert_rows() -> Iterator[Row]:
    for name, title, bound in (
        ('false_pages', 'false pages in a week', 0),
        ('missed_outages', 'missed outages of 14', 0),
        ('longest_to_page_s', 'longest time to a page, s', 120),
    ):
        yield Row(
            ALERTS,
            f'{title} (naive: pages on any slow response)',
            (f'alerts.own.{name}',),
            f'alerts.naive.{name}',
            Target(bound),
        )


ROWS: Final = (
    *_cost_rows(),
    *_latency_rows(),
    *_exposure_rows(),
    *_service_rows(),
    *_control_rows(),
    *_alert_rows(),
)
