"""Taking in settings that change while the process runs."""

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

_SETTINGS_CHECK_S: Final = 1.0


@attrs.define
class Reload:
    """Takes in settings that changed, told by a signal or by the file."""

    gateway: state.Gateway
    load: Callable[[], settings.GatewaySettings]
    path: str

    def apply(self) -> None:
        """Take in the settings, or keep the old ones if they are faulty."""
        try:
            conf = self.load()
        except errors.RouterError as fault:
            eliot.log_message('settings_rejected', reason=fault.message)
            return
        self.gateway.conf = conf
        eliot.log_message('settings_reloaded', name=conf.name)

    async def run(self) -> None:
        """Look for a change of the file, until cancelled."""
        seen = self._changed_ns()
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_S)
            changed = self._changed_ns()
            if changed != seen:
                seen = changed
                self.apply()

    def _changed_ns(self) -> int:
        try:
            return pathlib.Path(self.path).stat().st_mtime_ns
        except OSError:
            return 0
