"""Settings of a gateway process."""

from __future__ import annotations

from typing import Final

import attrs

from yuccarouter.gateway import model

# The store answers within milliseconds; a slower one counts as unavailable.
_MAX_STORE_TIMEOUT_MS: Final = 1500.0
# A lost packet is sent again after 200 ms; and a timeout of 0 would be none.
_MIN_STORE_TIMEOUT_MS: Final = 200.0
# The memory of the smallest VM, for deployments that state none.
_DEFAULT_MEMORY_BYTES: Final = 128_000_000.0


@attrs.frozen
class Bounds:
    """Limits that are agreed with the users; the defaults are the current ones.

    ``drain_ms`` is the time within which requests to a draining endpoint must
    stop, and ``grace_ms`` the time to stop after SIGTERM. ``exposure_share``
    is the largest share of requests that a new version may get as a canary. A
    cold endpoint may get ``cold_overshoot`` times its rate plus ``cold_slack``
    requests per second. In a window of ``retry_window_ms``, as many retries
    are allowed as ``retry_ratio`` times the requests plus ``retry_slack``. A
    session ends ``session_ms`` after the end of its last request. A confirmed
    configuration is in force after ``apply_ms``, an evacuation after
    ``evacuate_ms``, and the end of a bad roll-out after ``rollback_ms``. After
    a failure of the store or of a network, that holds from ``contact_ms`` on.
    """

    drain_ms: float = 2000
    grace_ms: float = 8000
    exposure_share: float = 0.15
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    retry_ratio: float = 0.9
    retry_window_ms: float = 10_000
    retry_slack: float = 56
    session_ms: float = 5000
    apply_ms: float = 2000
    evacuate_ms: float = 5000
    rollback_ms: float = 5000
    contact_ms: float = 3000

    @property
    def orders_age_ms(self) -> float:
        """The greatest age of the operators' orders that are in force."""
        return min(self.apply_ms, self.evacuate_ms)

    @property
    def store_timeout_ms(self) -> float:
        """Time for an answer of the store.

        It leaves time for a second call before the daemon has to be in touch.
        """
        timeout_ms = min(_MAX_STORE_TIMEOUT_MS, self.contact_ms / 2)
        return max(_MIN_STORE_TIMEOUT_MS, timeout_ms)


@attrs.frozen
class GatewaySettings:
    """The settings of a gateway process.

    ``listen`` is the callers' address, ``ready`` that of readiness probes, and
    ``peer`` the TCP and UDP address for other daemons. ``is_first_start`` is
    true only when the whole deployment starts for the first time. A process
    that uses more than ``memory_bytes`` is ended. ``controls_overload`` turns
    on admission, fair shares and choice of models by load for all services.
    """

    name: str
    host: str
    data_centre: str
    listen: model.Address
    ready: model.Address
    peer: model.Address
    metrics_port: int
    store: model.Address
    bounds: Bounds
    is_first_start: bool = False
    memory_bytes: float = _DEFAULT_MEMORY_BYTES
    controls_overload: bool = False
