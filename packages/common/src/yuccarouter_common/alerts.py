"""The single definition of the alerts, based on outcomes that callers see.

The Prometheus rules file, ``yuccactl show alerts`` and the evaluation over a
simulated week all use ``ALERTS``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import yaml

_REQUESTS_METRIC: Final = 'yuccarouter_requests_total'

_GROUP: Final = 'yuccarouter'
_INTERVAL: Final = '15s'
_SEVERITY: Final = 'page'
# With little traffic, fewer bad requests than this in the long window may be
# chance.
_MIN_BAD_REQUESTS: Final = 8
# A minute without requests raises a page only above this baseline per minute:
# the probability that it happens by chance is then below 1 in 10**8.
_MIN_BASELINE_REQUESTS: Final = 20
_SILENCE_S: Final = 60
_BASELINE_S: Final = 600

# Number of requests of one kind in a window, by outcome.
Counts = Mapping[str, float]
# Returns the counts of the given last number of seconds, by request kind.
Window = Callable[[int], Mapping[str, Counts]]


@attrs.frozen
class BurnAlert:
    """An alert on the burn rate of the error budget of one outcome.

    ``budget`` is the share of a kind's requests that may have the outcome.
    The page is raised while, for one kind, the share is at least ``burn_rate``
    times the budget over both the short and the long window. The long window
    avoids pages for short disturbances from which the system recovers by
    itself. The short window ends the page soon after the cause.
    """

    name: str
    outcome: str
    budget: float
    burn_rate: float
    summary: str
    command: str
    short_window_s: int = 60
    long_window_s: int = 600

    @property
    def threshold(self) -> float:
        """Lowest share of requests that raises the page."""
        return self.budget * self.burn_rate

    @property
    def expression(self) -> str:
        """The alert in PromQL, with one result for all kinds."""
        return (
            f'count(({self._share_query(self.short_window_s)} >= '
            f'{self.threshold:g}) and '
            f'({self._share_query(self.long_window_s)} >= '
            f'{self.threshold:g}) and '
            f'({self._bad_query(self.long_window_s)} >= '
            f'{_MIN_BAD_REQUESTS})) > 0'
        )

    @property
    def evidence(self) -> str:
        """Annotation template with the share of each kind, worst first."""
        query = f'sort_desc({self._share_query(self.short_window_s)} > 0)'
        return (
            f'{{{{ range query `{query}` }}}}{{{{ .Labels.kind }}}}: '
            '{{ .Value | humanizePercentage }} '
            f'{self.outcome} in the last {self.short_window_s} s. {{{{ end }}}}'
        )

    def is_raised(self, window: Window) -> bool:
        """Whether the page is raised, by the same rule as ``expression``."""
        short_window = window(self.short_window_s)
        long_window = window(self.long_window_s)
        return any(
            _share(short_window.get(kind, {}), self.outcome) >= self.threshold
            and _share(counts, self.outcome) >= self.threshold
            and counts.get(self.outcome, 0) >= _MIN_BAD_REQUESTS
            for kind, counts in long_window.items()
        )

    def _bad_query(self, window_s: int) -> str:
        selector = f'{_REQUESTS_METRIC}{{outcome="{self.outcome}"}}'
        return f'sum by (kind) (increase({selector}[{window_s}s]))'

    def _share_query(self, window_s: int) -> str:
        total = f'sum by (kind) (increase({_REQUESTS_METRIC}[{window_s}s]))'
        return f'{self._bad_query(window_s)} / {total}'


@attrs.frozen
class SilenceAlert:
    """An alert on the absence of requests after steady traffic.

    When every entry is down, no process counts outcomes, so that no
    ``BurnAlert`` is raised.
    """

    name: str
    summary: str
    command: str

    @property
    def expression(self) -> str:
        """The alert in PromQL."""
        baseline = (
            f'sum(increase({_REQUESTS_METRIC}[{_BASELINE_S}s] '
            f'offset {_SILENCE_S}s))'
        )
        return (
            f'(sum(increase({_REQUESTS_METRIC}[{_SILENCE_S}s])) '
            'or vector(0)) == 0 '
            f'and on() {baseline} / {_BASELINE_S // _SILENCE_S} '
            f'>= {_MIN_BASELINE_REQUESTS}'
        )

    @property
    def evidence(self) -> str:
        """Annotation template with the number of earlier requests."""
        baseline = (
            f'sum(increase({_REQUESTS_METRIC}[{_BASELINE_S}s] '
            f'offset {_SILENCE_S}s))'
        )
        return (
            f'{{{{ range query `{baseline}` }}}}{{{{ .Value | humanize }}}} '
            f'requests in the {_BASELINE_S} s before, none in the last '
            f'{_SILENCE_S} s.{{{{ end }}}}'
        )

    def is_raised(self, window: Window) -> bool:
        """Whether the page is raised, by the same rule as ``expression``."""
        recent = _total(window(_SILENCE_S))
        before = _total(window(_BASELINE_S + _SILENCE_S)) - recent
        baseline = before * _SILENCE_S / _BASELINE_S
        return recent == 0 and baseline >= _MIN_BASELINE_REQUESTS


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
    """Return one table row per alert."""
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
