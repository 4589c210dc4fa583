"""The alerts over a seeded week, against a page on any slow reply.

Ordinary noise is the design's: VM failures and restarts every day, one rack
failure in the week, slow replies within the bound of their kind. Outages are
injected at random times, day and night. The counters are sampled as Prometheus
does, every 15 seconds.
"""

from __future__ import annotations

import collections
import functools
import itertools
import math
import random
from collections.abc import Iterator
from typing import Any, Final

import attrs

from yuccarouter_common import alerts

_STEP_S: Final = 15
_DAY_S: Final = 86_400
_WEEK_S: Final = 7 * _DAY_S
_KINDS: Final = (('critique', 0.5), ('notes', 0.3), ('check', 0.2))

_NIGHT_PER_S: Final = 10.0
_DAY_PER_S: Final = 60.0
# Shares of the requests on an ordinary day.
_USUAL: Final = {
    'rejected': 0.001,
    'lost': 0.0005,
    'late': 0.002,
    'wrong': 0.0005,
}
# Replies slower than usual, but within the bound of their kind.
_SLOW: Final = 0.01

_VM_FAILURES_A_DAY: Final = 18
_VM_FAILURE_S: Final = 15
_VM_FAILURE_SHARE: Final = 0.06
_RESTARTS_A_DAY: Final = 61
_RESTART_S: Final = 30
_RESTART_SHARE: Final = 0.01
_RACK_FAILURE_S: Final = 30
_RACK_FAILURE_SHARE: Final = 0.15

_OUTAGE_S: Final = (600, 1800)
# Two outages are at least so far apart, and so far from the start.
_OUTAGE_GAP_S: Final = 7200
_OUTAGES: Final = 14
_PAGE_WITHIN_S: Final = 120
# A page that ends is no new page when it is raised again so soon.
_PAGE_GAP_S: Final = 300
_LARGE_MEAN: Final = 30.0

_SILENT: Final = 'silent'
# The longest window that an alert looks at is 660 s.
_KEPT_SAMPLES: Final = 660 // _STEP_S + 1

# Requests by kind and outcome.
_Sample = dict[str, dict[str, int]]


@attrs.frozen
class Disturbance:
    """A time with more of one outcome; ``kind`` is empty for every kind."""

    from_s: int
    until_s: int
    outcome: str
    share: float
    kind: str = ''

    def concerns(self, kind: str, now_s: int) -> bool:
        """Whether requests of a kind meet it at a time."""
        in_time = self.from_s <= now_s < self.until_s
        return in_time and self.kind in {'', kind}


@attrs.define
class _Counters:
    """Counters as they were sampled at the end of each of the last steps."""

    samples: collections.deque[_Sample] = attrs.field(
        factory=lambda: collections.deque([_zeros()], maxlen=_KEPT_SAMPLES)
    )

    def add(self, step: _Sample) -> None:
        """Count the requests of one step."""
        last = self.samples[-1]
        self.samples.append(
            {
                kind: {
                    outcome: last[kind][outcome] + count
                    for outcome, count in counts.items()
                }
                for kind, counts in step.items()
            }
        )

    def window(self, length_s: int) -> _Sample:
        """Return the requests in the last seconds, by kind and outcome."""
        steps = min(length_s // _STEP_S, len(self.samples) - 1)
        start = self.samples[-1 - steps]
        return {
            kind: {
                outcome: count - start[kind][outcome]
                for outcome, count in counts.items()
            }
            for kind, counts in self.samples[-1].items()
        }


@attrs.define
class Pager:
    """Turns a condition that comes and goes into pages.

    A condition that goes on is one page, or with ``repeats`` one page in each
    ``_PAGE_GAP_S``.
    """

    repeats: bool = False
    pages_s: list[int] = attrs.field(factory=list)
    _last_s: int = -(10**9)

    def update(self, now_s: int, *, raised: bool) -> None:
        """Take note of the condition at a time."""
        if not raised:
            return
        is_new = now_s - self._last_s > _PAGE_GAP_S
        if is_new:
            self.pages_s.append(now_s)
        if is_new or not self.repeats:
            self._last_s = now_s


def run(seed: int, length_s: int = _WEEK_S) -> dict[str, Any]:
    """Return false pages, missed outages and times to page of both rules."""
    rng = random.Random(seed)
    outages = _outages(rng, length_s)
    noise = list(_noise(rng, length_s))
    pagers = {alert.name: Pager() for alert in alerts.ALERTS}
    # It is raised nearly always, and pages again and again.
    naive = Pager(repeats=True)
    counters = _Counters()
    for now_s in range(_STEP_S, length_s + _STEP_S, _STEP_S):
        step = _requests(rng, now_s - _STEP_S, [*outages, *noise])
        counters.add(step)
        _update(pagers, counters, now_s)
        naive.update(now_s, raised=_any_slow(rng, step))
    pages_s = itertools.chain.from_iterable(
        pager.pages_s for pager in pagers.values()
    )
    return {
        'outages': len(outages),
        'disturbances': len(noise),
        'pages_by_alert': {
            name: len(pager.pages_s) for name, pager in pagers.items()
        },
        'own': _score(sorted(pages_s), outages),
        'naive': _score(naive.pages_s, outages),
    }


def _update(pagers: dict[str, Pager], counters: _Counters, now_s: int) -> None:
    window = functools.cache(counters.window)
    for alert in alerts.ALERTS:
        pagers[alert.name].update(now_s, raised=alert.is_raised(window))


def _score(pages: list[int], outages: list[Disturbance]) -> dict[str, Any]:
    first_pages = [
        next(
            (
                page_s - outage.from_s
                for page_s in pages
                if outage.from_s < page_s <= outage.until_s
            ),
            math.inf,
        )
        for outage in outages
    ]
    # The windows still hold an outage for a while after its end.
    false_pages = [
        page_s
        for page_s in pages
        if not any(
            outage.from_s < page_s <= outage.until_s + _PAGE_GAP_S
            for outage in outages
        )
    ]
    found = [delay_s for delay_s in first_pages if delay_s < math.inf]
    return {
        'pages': len(pages),
        'false_pages': len(false_pages),
        'missed_outages': len(first_pages) - len(found),
        'paged_late': sum(delay_s > _PAGE_WITHIN_S for delay_s in found),
        'longest_to_page_s': max(found, default=0),
    }


def _outages(rng: random.Random, length_s: int) -> list[Disturbance]:
    slot_s = length_s // _OUTAGES
    kinds = [kind for kind, _ in _KINDS]
    sorts = (
        ('lost', 1.0, ''),
        ('lost', 0.2, ''),
        ('rejected', 0.3, ''),
        ('rejected', 1.0, rng.choice(kinds)),
        ('late', 0.3, rng.choice(kinds)),
        ('wrong', 0.2, rng.choice(kinds)),
        (_SILENT, 1.0, ''),
    )
    outages = []
    for number in range(_OUTAGES):
        outcome, share, kind = sorts[number % len(sorts)]
        lasts_s = rng.randrange(*_OUTAGE_S)
        earliest_s = number * slot_s + _OUTAGE_GAP_S
        latest_s = (number + 1) * slot_s - lasts_s
        from_s = rng.randrange(earliest_s, max(latest_s, earliest_s + 1))
        outages.append(
            Disturbance(from_s, from_s + lasts_s, outcome, share, kind)
        )
    return outages


def _noise(rng: random.Random, length_s: int) -> Iterator[Disturbance]:
    for _ in range(_VM_FAILURES_A_DAY * length_s // _DAY_S):
        from_s = rng.randrange(length_s)
        outcome = rng.choice(('lost', 'rejected', 'late'))
        yield Disturbance(
            from_s, from_s + _VM_FAILURE_S, outcome, _VM_FAILURE_SHARE
        )
    for _ in range(_RESTARTS_A_DAY * length_s // _DAY_S):
        from_s = rng.randrange(length_s)
        yield Disturbance(from_s, from_s + _RESTART_S, 'late', _RESTART_SHARE)
    from_s = rng.randrange(length_s)
    yield Disturbance(
        from_s, from_s + _RACK_FAILURE_S, 'lost', _RACK_FAILURE_SHARE
    )


def _requests(
    rng: random.Random,
    from_s: int,
    events: list[Disturbance],
) -> _Sample:
    """Return the counts of one step, by kind and outcome."""
    active = [
        event
        for event in events
        if event.from_s < from_s + _STEP_S and from_s < event.until_s
    ]
    usual = _requests_per_s(from_s) * _STEP_S
    seconds = range(from_s, from_s + _STEP_S)
    counts: _Sample = {}
    for kind, weight in _KINDS:
        shares = _shares(kind, seconds, active)
        arrived = 1 - shares.pop(_SILENT, 0)
        total = _poisson(rng, usual * weight * arrived)
        bad = {
            outcome: min(_poisson(rng, total * share), total)
            for outcome, share in shares.items()
        }
        counts[kind] = {'ok': max(total - sum(bad.values()), 0), **bad}
    return counts


def _requests_per_s(now_s: int) -> float:
    # Lowest at midnight, highest at noon.
    daily = (1 - math.cos(2 * math.pi * now_s / _DAY_S)) / 2
    return _NIGHT_PER_S + (_DAY_PER_S - _NIGHT_PER_S) * daily


def _zeros() -> _Sample:
    return {kind: dict.fromkeys(('ok', *_USUAL), 0) for kind, _ in _KINDS}


def _shares(
    kind: str,
    seconds: range,
    active: list[Disturbance],
) -> dict[str, float]:
    shares: dict[str, float] = dict(_USUAL)
    for event in active:
        part = sum(event.concerns(kind, now_s) for now_s in seconds)
        added = event.share * part / len(seconds)
        shares[event.outcome] = min(shares.get(event.outcome, 0) + added, 1)
    return shares


def _any_slow(rng: random.Random, step: _Sample) -> bool:
    """Whether the rule that pages on any slow reply would page."""
    late = sum(counts['late'] for counts in step.values())
    ok = sum(counts['ok'] for counts in step.values())
    return late > 0 or _poisson(rng, ok * _SLOW) > 0


def _poisson(rng: random.Random, mean: float) -> int:
    if mean > _LARGE_MEAN:
        return max(round(rng.gauss(mean, math.sqrt(mean))), 0)
    limit = math.exp(-mean)
    product = rng.random()
    count = 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count
