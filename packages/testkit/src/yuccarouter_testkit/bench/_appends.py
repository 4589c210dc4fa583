"""Appends to the log with and without the relay, by number of senders."""

from __future__ import annotations

import asyncio
import types
from typing import Any, Final

from yuccarouter.billing import ledger
from yuccarouter.membership import relay
from yuccarouter_common import billing_rows
from yuccarouter_common.platform import vms
from yuccarouter_testkit import memory_log

_ZONES: Final = 7
_INTERVAL_S: Final = 0.2
_INTERVAL_MS: Final = 200
_WINDOW_S: Final = 3.0


class _Network:
    """Senders that reach the relay without gRPC."""

    metadata = ()

    def __init__(self, client: Any, senders: int) -> None:
        self.listed = [
            vms.Vm(
                f'v{number}',
                f'v{number}:1',
                f'zone-{number % _ZONES}',
                vms.State.LIVE,
                'entry',
            )
            for number in range(senders)
        ]
        self.gatherers = {
            vm.address: relay.AppendBatcher(client) for vm in self.listed
        }

    def live(self, role: str) -> list[vms.Vm]:
        """Return all senders."""
        return self.listed

    def at(self, address: str) -> Any:
        """Return a daemon that gathers appends."""

        async def append(request: Any, **_: Any) -> Any:
            return await relay.handle_append(self.gatherers[address], request)

        return types.SimpleNamespace(peer=types.SimpleNamespace(Append=append))


async def appends_per_s(senders: int, *, has_relay: bool) -> float:
    """Return the appends a second of entries that bill all the time."""
    client: Any = memory_log.MemoryLog()
    network: Any = _Network(client, senders)
    billed = [
        ledger.Ledger(
            _log_of(vm, client, network) if has_relay else client,
            _INTERVAL_MS,
            _ignore,
        )
        for vm in network.listed
    ]
    services = [*billed, *network.gatherers.values()]
    for service in services:
        await service.start()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    number = 0
    while loop.time() - started_s < _WINDOW_S:
        for entry in billed:
            number += 1
            entry.add(_row(number))
        await asyncio.sleep(_INTERVAL_S / 2)
    passed_s = loop.time() - started_s
    appends: int = client.appends
    for stopped in services:
        await stopped.stop()
    return appends / passed_s


def _log_of(vm: vms.Vm, client: Any, network: Any) -> relay.RelayedLog:
    conf: Any = types.SimpleNamespace(
        data_centre=vm.data_centre, peer=vm.address
    )
    return relay.RelayedLog(
        conf, client, network.gatherers[vm.address], network, network
    )


def _row(number: int) -> billing_rows.BillRow:
    return billing_rows.BillRow(
        f'r{number}', 'o', 'm', '1', 'k', 1, 2, 3, 'e', f'a{number}', 0
    )


async def _ignore(rows: list[billing_rows.BillRow]) -> None:
    """Nothing is settled here."""
