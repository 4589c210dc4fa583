"""Reloading of the settings while the process runs."""

from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING, Final

import attrs
import eliot

from yuccarouter_common import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import settings, state

_CHECK_INTERVAL_S: Final = 1.0


@attrs.define
class Reloader:
    """Reloads the settings on a signal or when their file changes."""

    gateway: state.Gateway
    load: Callable[[], settings.GatewaySettings]
    path: str

    def apply(self) -> None:
        """Reload the settings; keep the old ones if the new are invalid."""
        try:
            conf = self.load()
        except errors.RouterError as fault:
            eliot.log_message('settings_rejected', reason=fault.message)
            return
        self.gateway.conf = conf
        eliot.log_message('settings_reloaded', name=conf.name)

    async def run(self) -> None:
        """Reload the settings when their file changes, until cancelled."""
        loaded_ns = self._modified_ns()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            modified_ns = self._modified_ns()
            if modified_ns != loaded_ns:
                loaded_ns = modified_ns
                self.apply()

    def _modified_ns(self) -> int:
        try:
            return pathlib.Path(self.path).stat().st_mtime_ns
        except OSError:
            return 0
