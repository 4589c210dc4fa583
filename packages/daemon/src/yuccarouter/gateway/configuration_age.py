"""Logs when the age of the configuration in use is no longer bounded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eliot

if TYPE_CHECKING:
    from yuccarouter.gateway import topics


@attrs.define
class AgeLog:
    """Logs when the replica of the orders passes its age limit, and returns.

    While neither the store nor a peer has confirmed it within the limit, known
    routes are served as before: an outage of the store must not end service.
    """

    is_confirmed: bool = True

    def record(self, topic: topics.Topic, version: int) -> None:
        """Log a change since the request before."""
        newest = topic.newest_confirmation()
        if newest.is_within(topic.max_age_ms) == self.is_confirmed:
            return
        self.is_confirmed = not self.is_confirmed
        eliot.log_message(
            'configuration_confirmed'
            if self.is_confirmed
            else 'configuration_unconfirmed',
            version=version,
            age_ms=newest.rounded_age_ms(),
            limit_ms=topic.max_age_ms,
            confirmed_by=newest.source,
            is_failing=topic.is_failing,
        )
