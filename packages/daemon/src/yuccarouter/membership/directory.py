"""The daemons of the fleet, from the platform's VM list.

The list lags behind the true state of the VMs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import eliot
import mode
import prometheus_client

from yuccarouter_common import errors
from yuccarouter_common.platform import vms as vm_lists

LIVE: Final = 'live'
_MS_PER_S: Final = 1000
# A listed VM has about 130 bytes, so a process reads at most 6.5 KB/s of lists.
_MS_PER_VM: Final = 20

_LISTED = prometheus_client.Gauge(
    'yuccarouter_vms_listed',
    'VMs in the newest VM list',
    ('role',),
)

Listener = Callable[[list[vm_lists.Vm]], Awaitable[None]]


class Directory(mode.Service):
    """Holds the newest VM list and passes each new list to the listeners.

    While the list can't be read the last one stays in use. It only names the
    daemons to contact, and each daemon reports its own state.
    """

    def __init__(
        self,
        fetch: Callable[[], Awaitable[list[vm_lists.Vm]]],
        interval_ms: int,
    ) -> None:
        super().__init__()
        self._fetch = fetch
        self._interval_ms = interval_ms
        self._vms: list[vm_lists.Vm] = []
        self._listeners: list[Listener] = []
        self._is_down = False

    def vms(self, role: str = '') -> list[vm_lists.Vm]:
        """Return the listed VMs, of one role if ``role`` is given."""
        return [vm for vm in self._vms if role in {'', vm.role}]

    def live(self, role: str) -> list[vm_lists.Vm]:
        """Return the VMs of a role in the state ``live``."""
        return [vm for vm in self.vms(role) if vm.state == LIVE]

    @property
    def interval_ms(self) -> int:
        """Time between two reads, which grows with the size of the list."""
        return max(self._interval_ms, len(self._vms) * _MS_PER_VM)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each list that is read."""
        self._listeners.append(listener)

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            listed = await self._fetch()
        except errors.RouterError as fault:
            self._set_availability(is_down=True, reason=fault.message)
            return
        self._set_availability(is_down=False, reason='')
        self._vms = listed
        for role in ('entry', 'agent'):
            _LISTED.labels(role).set(len(self.vms(role)))
        for listener in self._listeners:
            await listener(listed)

    async def on_start(self) -> None:
        """Read the first list before anything depends on it."""
        await self.refresh()

    @mode.Service.task
    async def _refresh_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(self.interval_ms / _MS_PER_S)
            await self.refresh()

    def _set_availability(self, *, is_down: bool, reason: str) -> None:
        if is_down is not self._is_down:
            self._is_down = is_down
            eliot.log_message('vm_list', is_down=is_down, reason=reason)
