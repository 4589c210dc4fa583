"""The one definition of the alerts, derived from outcomes callers see."""

from __future__ import annotations

from typing import Any, Final

import attrs

_REQUESTS: Final = 'yuccarouter_requests_total'


@attrs.frozen
class Alert:
    """A page about one cause.

    ``outcomes`` are the values of the label ``outcome`` that spend the error
    budget; ``budget`` is the share of requests that may have them. The page
    is raised while the share is over ``burn_rate`` times the budget in the
    short and in the long window.
    """

    name: str
    outcomes: tuple[str, ...]
    budget: float
    burn_rate: float
    short_s: int
    long_s: int
    summary: str
    command: str


ALERTS: Final[tuple[Alert, ...]] = ()


def rows() -> list[dict[str, Any]]:
    """Return the alerts as rows of a table."""
    return [attrs.asdict(alert) for alert in ALERTS]
