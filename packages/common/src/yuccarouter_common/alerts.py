"""The one definition of the alerts, derived from outcomes that callers see.

The Prometheus rules file, ``yuccactl show alerts`` and the evaluation over a
seeded week are all made from ``ALERTS``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import yaml

REQUESTS: Final = 'yuccarouter_requests_total'

_GROUP: Final = 'yuccarouter'
_INTERVAL: Final = '15s'
_SEVERITY: Final = 'page'
# Fewer bad requests than this in the long window may be chance where there is
# little traffic.
_MIN_BAD: Final = 8
# A minute without requests is a page only where so many are usual that chance
# explains none at all with a probability below 1 in 10**8.
_MIN_USUAL: Final = 20
_SILENT_S: Final = 60
_USUAL_S: Final = 600

# Requests of one kind in a window, by outcome.
Counts = Mapping[str, float]
# Returns the requests in the last seconds, by kind.
Window = Callable[[int], Mapping[str, Counts]]


@attrs.frozen
class BurnAlert:
    """A page because one outcome uses up its error budget too fast.

    ``budget`` is the share of a kind's requests that may have the outcome.
    The page is raised while the share is at least ``burn_rate`` times the
    budget for one kind, over the short and over the long window (seconds). The
    long window keeps short disturbances, from which the system recovers
    itself, off the pager. The short window ends the page soon after the cause.
    """

    name: str
    outcome: str
    budget: float
    burn_rate: float
    summary: str
    command: str
    short_s: int = 60
    long_s: int = 600

    @property
    def threshold(self) -> float:
        """Share of requests from which on the page is raised."""
        return self.budget * self.burn_rate

    @property
    def expression(self) -> str:
        """The alert in PromQL; one result for all kinds."""
        return (
            f'count(({self._share(self.short_s)} >= {self.threshold:g}) and '
            f'({self._share(self.long_s)} >= {self.threshold:g}) and '
            f'({self._bad(self.long_s)} >= {_MIN_BAD})) > 0'
        )

    @property
    def evidence(self) -> str:
        """Template of the share of each kind, worst first."""
        query = f'sort_desc({self._share(self.short_s)} > 0)'
        return (
            f'{{{{ range query `{query}` }}}}{{{{ .Labels.kind }}}}: '
            '{{ .Value | humanizePercentage }} '
            f'{self.outcome} in the last {self.short_s} s. {{{{ end }}}}'
        )

    def is_raised(self, window: Window) -> bool:
        """Whether the page is raised, by the same rule as ``expression``."""
        recent = window(self.short_s)
        longer = window(self.long_s)
        return any(
            _share(recent.get(kind, {}), self.outcome) >= self.threshold
            and _share(counts, self.outcome) >= self.threshold
            and counts.get(self.outcome, 0) >= _MIN_BAD
            for kind, counts in longer.items()
        )

    def _bad(self, window_s: int) -> str:
        selector = f'{REQUESTS}{{outcome="{self.outcome}"}}'
        return f'sum by (kind) (increase({selector}[{window_s}s]))'

    def _share(self, window_s: int) -> str:
        total = f'sum by (kind) (increase({REQUESTS}[{window_s}s]))'
        return f'{self._bad(window_s)} / {total}'


@attrs.frozen
class SilenceAlert:
    """A page because no request has any outcome, where many are usual.

    When every entry is down, nobody counts what callers see.
    """

    name: str
    summary: str
    command: str

    @property
    def expression(self) -> str:
        """The alert in PromQL."""
        usual = f'sum(increase({REQUESTS}[{_USUAL_S}s] offset {_SILENT_S}s))'
        return (
            f'(sum(increase({REQUESTS}[{_SILENT_S}s])) or vector(0)) == 0 '
            f'and on() {usual} / {_USUAL_S // _SILENT_S} >= {_MIN_USUAL}'
        )

    @property
    def evidence(self) -> str:
        """Template of the usual number of requests."""
        usual = f'sum(increase({REQUESTS}[{_USUAL_S}s] offset {_SILENT_S}s))'
        return (
            f'{{{{ range query `{usual}` }}}}{{{{ .Value | humanize }}}} '
            f'requests in the {_USUAL_S} s before, none in the last '
            f'{_SILENT_S} s.{{{{ end }}}}'
        )

    def is_raised(self, window: Window) -> bool:
        """Whether the page is raised, by the same rule as ``expression``."""
        recent = _total(window(_SILENT_S))
        before = _total(window(_USUAL_S + _SILENT_S)) - recent
        usual = before * _SILENT_S / _USUAL_S
        return recent == 0 and usual >= _MIN_USUAL


Alert = BurnAlert | SilenceAlert

ALERTS: Final[tuple[Alert, ...]] = (
    BurnAlert(
        name='RequestsLost',
        outcome='lost',
        budget=0.005,
        burn_rate=4,
        summary='Callers lose requests: no complete response, no rejection.',
        command='yuccactl show endpoints where state = down',
    ),
    BurnAlert(
        name='RequestsRejected',
        outcome='rejected',
        budget=0.005,
        burn_rate=4,
        summary='Callers are rejected although their requests are allowed.',
        command='yuccactl show endpoints',
    ),
    BurnAlert(
        name='RequestsLate',
        outcome='late',
        budget=0.005,
        burn_rate=4,
        summary='Responses arrive after the bound of their request kind.',
        command='yuccactl show endpoints where state = cold',
    ),
    BurnAlert(
        name='ResponsesWrong',
        outcome='wrong',
        budget=0.005,
        burn_rate=4,
        summary='Callers get wrong responses.',
        command='yuccactl show rollouts where state = rolling',
    ),
    SilenceAlert(
        name='RequestsStopped',
        summary='No request arrives any more, where many are usual.',
        command='yuccactl show configuration',
    ),
)


def rows() -> list[dict[str, Any]]:
    """Return the alerts as rows of a table."""
    return [
        {
            'alert': alert.name,
            'summary': alert.summary,
            'command': alert.command,
            'expression': alert.expression,
        }
        for alert in ALERTS
    ]


def rules_file() -> str:
    """Return the Prometheus rules file."""
    group = {
        'name': _GROUP,
        'interval': _INTERVAL,
        'rules': [_rule(alert) for alert in ALERTS],
    }
    text = yaml.safe_dump({'groups': [group]}, sort_keys=False, width=10**6)
    return (
        f'# Made from yuccarouter_common.alerts; a test compares them.\n{text}'
    )


def _rule(alert: Alert) -> dict[str, Any]:
    return {
        'alert': alert.name,
        'expr': alert.expression,
        'labels': {'severity': _SEVERITY, 'cause': alert.name},
        'annotations': {
            'summary': alert.summary,
            'evidence': alert.evidence,
            'command': alert.command,
        },
    }


def _share(counts: Counts, outcome: str) -> float:
    return counts.get(outcome, 0) / max(sum(counts.values()), 1)


def _total(window: Mapping[str, Counts]) -> float:
    return sum(sum(counts.values()) for counts in window.values())
