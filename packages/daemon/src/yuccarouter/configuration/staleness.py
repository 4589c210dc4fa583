"""Applies the organisations' policies on outdated configuration."""

from __future__ import annotations

from yuccarouter_common import model


def is_refused(
    organisation: model.Organisation,
    isolated_ms: float,
) -> bool:
    """Whether an organisation's requests are refused as stale.

    ``isolated_ms`` is the time since the log or a peer in another data centre
    was last reached, infinite if none ever was. With the policy ``serve``,
    the organisation accepts that a version withdrawn meanwhile is still used.
    """
    if organisation.stale_policy != model.REFUSE:
        return False
    return isolated_ms > organisation.stale_limit_ms


def remaining_ms(
    organisation: model.Organisation,
    isolated_ms: float,
) -> float:
    """Return the time until requests are refused, infinite if never."""
    if organisation.stale_policy != model.REFUSE:
        return float('inf')
    return max(0, organisation.stale_limit_ms - isolated_ms)
