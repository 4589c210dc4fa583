"""Figures of a load run, as a table and as JSON."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Any, Final

import attrs
import tabulate
from hdrh import histogram

from yuccarouter_testkit import answers, load_run

_LOWEST_US: Final = 1
# Ten minutes; longer times count as this.
_HIGHEST_US: Final = 600_000_000
_DIGITS: Final = 3
_US: Final = 1000
_ALL: Final = 'all'


@attrs.frozen
class Latency:
    """Percentiles of complete answers, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


@attrs.frozen
class Line:
    """Figures of one kind of request.

    ``late`` counts requests of any outcome that took longer than the bound.
    """

    kind: str
    requests: int
    outcomes: dict[str, int]
    late: int
    total: Latency
    first_token: Latency


@attrs.frozen
class Report:
    """Figures of a run; ``reasons`` counts those of all incomplete requests.

    ``session_moves`` counts answers in a session by another version than the
    answer before. ``max_send_lag_ms`` is how far this program fell behind its
    own schedule; large values mean that it was the bottleneck.
    """

    lines: list[Line]
    reasons: dict[str, int]
    versions: dict[str, int]
    session_moves: int
    max_send_lag_ms: float

    def is_good(self, allow_session_moves: bool) -> bool:
        """Return whether nothing was wrong, lost, not sent or moved."""
        outcomes = self.lines[0].outcomes
        bad = (
            answers.Outcome.WRONG,
            answers.Outcome.LOST,
            answers.Outcome.NOT_SENT,
        )
        if self.session_moves and not allow_session_moves:
            return False
        return not any(outcomes[outcome] for outcome in bad)


def summarise(results: Sequence[load_run.Result]) -> Report:
    """Return the figures of a run; the first line is of all kinds."""
    kinds = sorted({entry.kind for entry in results})
    lines = [_line(_ALL, results)]
    for kind in kinds:
        lines.append(
            _line(kind, [entry for entry in results if entry.kind == kind])
        )
    reasons = collections.Counter(
        f'{entry.verdict.outcome}: {entry.verdict.reason}'
        for entry in results
        if entry.verdict.reason
    )
    versions = collections.Counter(
        entry.served_version for entry in results if entry.served_version
    )
    return Report(
        lines,
        dict(reasons),
        dict(versions),
        _session_moves(results),
        max((entry.send_lag_ms for entry in results), default=0),
    )


def table(report: Report) -> str:
    """Return the figures as text."""
    rows = [_row(line) for line in report.lines]
    parts = [
        tabulate.tabulate(rows, headers='keys', floatfmt='.1f'),
        f'session moves: {report.session_moves}',
        f'largest send lag: {report.max_send_lag_ms:.1f} ms',
    ]
    for reason, count in sorted(report.reasons.items()):
        parts.append(f'{count} x {reason}')
    return '\n'.join(parts)


def _row(line: Line) -> dict[str, Any]:
    return {
        'kind': line.kind,
        'requests': line.requests,
        **line.outcomes,
        'late': line.late,
        'p50 ms': line.total.p50_ms,
        'p95 ms': line.total.p95_ms,
        'p99 ms': line.total.p99_ms,
        'max ms': line.total.max_ms,
        'first token p95 ms': line.first_token.p95_ms,
        'first token p99 ms': line.first_token.p99_ms,
    }


def _line(kind: str, results: Sequence[load_run.Result]) -> Line:
    counts = collections.Counter(entry.verdict.outcome for entry in results)
    complete = [
        entry
        for entry in results
        if entry.verdict.outcome is answers.Outcome.COMPLETE
    ]
    return Line(
        kind=kind,
        requests=len(results),
        outcomes={
            outcome.value: counts[outcome] for outcome in answers.Outcome
        },
        late=sum(entry.is_late for entry in results),
        total=_latency([entry.total_ms for entry in complete]),
        first_token=_latency([entry.first_token_ms for entry in complete]),
    )


def _latency(times_ms: Sequence[float]) -> Latency:
    values = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for time_ms in times_ms:
        values.record_value(min(int(time_ms * _US), _HIGHEST_US))
    return Latency(
        count=len(times_ms),
        p50_ms=values.get_value_at_percentile(50) / _US,
        p95_ms=values.get_value_at_percentile(95) / _US,
        p99_ms=values.get_value_at_percentile(99) / _US,
        max_ms=values.get_max_value() / _US,
    )


def _session_moves(results: Sequence[load_run.Result]) -> int:
    seen: dict[str, str] = {}
    moves = 0
    for entry in results:
        if not entry.session or not entry.served_version:
            continue
        before = seen.setdefault(entry.session, entry.served_version)
        if before != entry.served_version:
            moves += 1
            seen[entry.session] = entry.served_version
    return moves
