"""Settings of a gateway process."""

from __future__ import annotations

import attrs

from yuccarouter.gateway import model


@attrs.frozen
class Bounds:
    """Limits that are agreed with the users; the defaults are the current ones.

    ``drain_ms`` is the time within which requests to a draining endpoint must
    stop, and ``grace_ms`` the time to stop after SIGTERM. ``exposure_share``
    is the largest share of requests that a new version may get as a canary. A
    cold endpoint may get ``cold_overshoot`` times its rate plus ``cold_slack``
    requests per second. In a window of ``retry_window_ms``, as many retries
    are allowed as ``retry_ratio`` times the requests plus ``retry_slack``. A
    session ends ``session_ms`` after the end of its last request.
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


@attrs.frozen
class GatewaySettings:
    """The settings of a gateway process.

    ``listen`` is the callers' address, ``ready`` that of readiness probes, and
    ``peer`` the TCP and UDP address for other daemons. ``is_first_start`` is
    true only when the whole deployment starts for the first time.
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
