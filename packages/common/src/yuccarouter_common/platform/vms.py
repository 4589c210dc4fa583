"""Client of the platform's list of VMs."""

from __future__ import annotations

import enum
from typing import Final

import aiohttp
import attrs

from yuccarouter_common.platform import exchanges

_SERVICE: Final = 'VM list'
_TIMEOUT_S: Final = 2.0


class State(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Vm:
    """One VM of the platform's list, which may be out of date.

    ``endpoint`` names the endpoint beside an agent and is empty otherwise.
    """

    vm: str
    address: str
    data_centre: str
    state: State
    role: str
    endpoint: str = ''


@attrs.frozen
class Client:
    """Access to the VM list at one URL over a shared HTTP session."""

    session: aiohttp.ClientSession
    url: str

    async def fetch(self, timeout_s: float = _TIMEOUT_S) -> list[Vm]:
        """Return all listed VMs.

        Raises ``UnavailableError`` when the list can't be read.
        """
        answer = await exchanges.send(
            self.session,
            exchanges.Request(_SERVICE, 'GET', f'{self.url}/vms', timeout_s),
        )
        return exchanges.structure(_SERVICE, answer, list[Vm])
