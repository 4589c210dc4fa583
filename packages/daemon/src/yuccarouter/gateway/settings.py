"""Settings of a gateway: addresses, bounds and the store."""

from __future__ import annotations

import attrs

from yuccarouter.gateway import model


@attrs.frozen
class Bounds:
    """Bounds that the operators' agreements set, with their units."""

    config_apply_ms: float = 2000
    drain_ms: float = 2000
    grace_ms: float = 8000
    contact_ms: float = 3000
    evacuate_ms: float = 5000
    rollback_ms: float = 5000
    exposure_share: float = 0.15
    exposure_slack: float = 30
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    retry_ratio: float = 0.9
    retry_window_ms: float = 10_000
    retry_slack: float = 56
    cache_reuse_ms: float = 10_000


@attrs.frozen
class StoreSettings:
    """The store's address and the calls that all daemons may make a second."""

    address: model.Address
    reads_per_s: float
    writes_per_s: float


@attrs.frozen
class GatewaySettings:
    """What a gateway process is told at its start.

    ``data_centres`` maps each data centre to its region.
    """

    name: str
    host: str
    data_centre: str
    data_centres: dict[str, str]
    listen: model.Address
    ready: model.Address
    peer: model.Address
    metrics_port: int
    store: StoreSettings
    bounds: Bounds
    heartbeat_ms: float
