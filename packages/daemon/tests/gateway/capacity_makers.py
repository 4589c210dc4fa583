"""Factories of gateways with endpoints, without network access."""

from __future__ import annotations

import gateway_makers as make

from yuccarouter.gateway import model, rollout_control, state

ROUTE = model.Route('r', 'h', '/', model.Kind.SAFE, 1000, 200, 0, 0, 2, ())


def gateway(
    *announced: model.Announcement, name: str = 'gateway-1'
) -> state.Gateway:
    control = rollout_control.RolloutControl(
        lambda order, phase: ('k', b''), 0.15, lambda: 0
    )
    made = state.Gateway(
        make.conf(name),
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        control,
    )
    for announcement in announced:
        made.directory.apply_announcement(announcement)
    return made
