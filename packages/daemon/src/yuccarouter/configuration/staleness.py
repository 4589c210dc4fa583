"""What a process that may miss changes does, by organisation."""

from __future__ import annotations

from yuccarouter_common import model


def is_refused(
    organisation: model.Organisation,
    confirmed_age_ms: float,
) -> bool:
    """Whether an organisation's requests are refused as stale.

    ``confirmed_age_ms`` is the age of the last sight of the log's end, own or
    through a peer; infinite if there was none. With the policy ``serve`` the
    organisation accepts that a version withdrawn meanwhile still runs.
    """
    if organisation.stale_policy != model.REFUSE:
        return False
    return confirmed_age_ms > organisation.stale_limit_ms


def remaining_ms(
    organisation: model.Organisation,
    confirmed_age_ms: float,
) -> float:
    """Return the time until requests are refused, infinite if never."""
    if organisation.stale_policy != model.REFUSE:
        return float('inf')
    return max(0, organisation.stale_limit_ms - confirmed_age_ms)
