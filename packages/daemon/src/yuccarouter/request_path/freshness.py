"""Refusing organisations that prefer no answer to an old configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarouter.configuration import staleness
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter_common import model
    from yuccarouter.request_path import router


def check(shared: router.Router, organisation: model.Organisation) -> None:
    """Raise ``RefusalError`` when the configuration is too old to be used.

    It is old when neither the log nor a peer has confirmed it lately.
    """
    age_ms = shared.store.freshness.age_ms()
    if staleness.is_refused(organisation, age_ms):
        raise refusals.RefusalError(
            'configuration_stale',
            'neither the log nor a peer has confirmed the configuration',
            retry_after_ms=organisation.stale_limit_ms,
        )
