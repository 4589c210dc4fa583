"""Refusing organisations that prefer no answer to an old configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarouter.configuration import staleness
from yuccarouter_common import refusals

if TYPE_CHECKING:
    from yuccarouter.request_path import entry_state
    from yuccarouter_common import model


def check(
    shared: entry_state.EntryState, organisation: model.Organisation
) -> None:
    """Raise ``RefusalError`` when the configuration is too old to be used.

    It may be when neither the log nor a peer in another data centre has been
    reached for a while: others may have withdrawn a version meanwhile.
    """
    isolated_ms = shared.store.freshness.isolated_ms()
    if staleness.is_refused(organisation, isolated_ms):
        raise refusals.RefusalError(
            'configuration_stale',
            'neither the log nor another data centre can be reached',
            retry_after_ms=organisation.stale_limit_ms,
        )
