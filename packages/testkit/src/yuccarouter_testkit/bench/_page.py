"""The results page: tables of figures, ratios and targets as Markdown."""

from __future__ import annotations

from typing import Any, Final

import attrs

from yuccarouter_testkit.bench import _rows

_MET: Final = 'met'
_NOT_MET: Final = '**not met**'
_NO_FIGURE: Final = '**no figure**'
_HEAD: Final = (
    '| | ours | naive | ratio | target | |',
    '|---|---|---|---|---|---|',
)
_COMMAND: Final = 'make bench'


@attrs.frozen
class Run:
    """What became of one benchmark; ``fault`` is empty when it ended well."""

    figures: dict[str, Any]
    seconds: float
    fault: str = ''


@attrs.frozen
class _Line:
    """A row with its figures."""

    row: _rows.Row
    ours: float | None
    naive: float | None
    ratio: float | None

    @property
    def is_met(self) -> bool:
        """Whether the target is met; a missing figure meets none."""
        target = self.row.target
        if target is None:
            return True
        compared = self.ratio if target.on_ratio else self.ours
        return compared is not None and target.is_met(compared)

    def cells(self) -> str:
        """Return the row as the table shows it."""
        target = self.row.target
        verdict = ''
        if self.ours is None:
            verdict = _NO_FIGURE
        elif target is not None:
            verdict = _MET if self.is_met else _NOT_MET
        cells = (
            self.row.title,
            _shown(self.ours),
            _shown(self.naive),
            _shown(self.ratio),
            '' if target is None else target.text,
            verdict,
        )
        return f'| {" | ".join(cells)} |'


def missed(runs: dict[str, Run]) -> list[str]:
    """Return failed benchmarks and missed targets of those that were run.

    Includes targets that only the benchmark itself knows, which it lists as
    ``missed``.
    """
    failed = [f'{name} failed: {run.fault}' for name, run in _failed(runs)]
    own = [
        f'{name}: {figure}'
        for name, run in runs.items()
        for figure in run.figures.get('missed', ())
    ]
    rows = [
        f'{line.row.measure}: {line.row.title}'
        for line in _lines(runs)
        if not line.is_met
    ]
    return failed + own + rows


def render(runs: dict[str, Run], seed: int, heading: str) -> str:
    """Return the page; ``heading`` says when and where the run was made."""
    lines = [
        '# Results',
        '',
        f'Run again: `{_COMMAND}`. Seed {seed}. {heading}',
        'Ours and naive are from the same run. All figures: `results.json`.',
        'A target is met or not met as computed from the figures.',
    ]
    shown = list(_lines(runs))
    for measure in _rows.MEASURES:
        cells = [one.cells() for one in shown if one.row.measure == measure]
        if cells:
            lines += ['', f'## {measure}', '', *_HEAD, *cells]
    lines += ['', '## Not met or failed', '']
    lines += [f'- {entry}' for entry in missed(runs)] or ['None.']
    lines += ['', '## Benchmarks', '', '| | seconds | |', '|---|---|---|']
    lines += [
        f'| {name} | {run.seconds:.0f} | {run.fault or "ended"} |'
        for name, run in runs.items()
    ]
    return '\n'.join((*lines, ''))


def _lines(runs: dict[str, Run]) -> list[_Line]:
    figures = {name: run.figures for name, run in runs.items()}
    return [
        _line(row, figures) for row in _rows.ROWS if row.benchmarks <= set(runs)
    ]


def _line(row: _rows.Row, figures: dict[str, Any]) -> _Line:
    parts = [_rows.find(figures, path) for path in row.ours]
    known = [part for part in parts if part is not None]
    ours = sum(known) if len(known) == len(parts) else None
    naive: float | None
    if isinstance(row.naive, str):
        naive = _rows.find(figures, row.naive)
    else:
        naive = row.naive
    ratio = _rows.find(figures, row.ratio) if row.ratio else None
    if not row.ratio and ours is not None and naive:
        ratio = ours / naive
    return _Line(row, ours, naive, ratio)


def _failed(runs: dict[str, Run]) -> list[tuple[str, Run]]:
    return [(name, run) for name, run in runs.items() if run.fault]


def _shown(figure: float | None) -> str:
    if figure is None:
        return ''
    if figure == int(figure):
        return f'{int(figure):,}'
    return f'{figure:,.4g}' if abs(figure) < 1000 else f'{figure:,.0f}'
