"""Settings of a gateway: addresses, bounds and the store."""

from __future__ import annotations

import attrs

from yuccarouter.gateway import model


@attrs.frozen
class Bounds:
    """Bounds that the users' agreements set; the defaults are today's."""

    drain_ms: float = 2000
    grace_ms: float = 8000
    exposure_share: float = 0.15
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    retry_ratio: float = 0.9
    retry_window_ms: float = 10_000
    retry_slack: float = 56
    session_ms: float = 5000


@attrs.frozen
class GatewaySettings:
    """What a gateway process is told at its start."""

    name: str
    host: str
    data_centre: str
    listen: model.Address
    ready: model.Address
    peer: model.Address
    metrics_port: int
    store: model.Address
    bounds: Bounds
