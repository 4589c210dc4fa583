"""Double of the platform's lagged list of VMs.

Tests put VMs in with ``PUT /vms/{vm}`` and take them out with
``DELETE /vms/{vm}``; ``GET /vms`` returns the list as it was ``lag_ms`` ago.
"""

from __future__ import annotations

import collections
import functools
import time
from typing import Any, Final

import attrs
import cattrs
import orjson
from aiohttp import web

from yuccarouter_common.platform import vms
from yuccarouter_testkit.stand_ins import faults, serving

_VM: Final = '/vms/{vm}'
_MAX_HISTORY: Final = 10_000


@attrs.frozen
class Settings:
    """Initial VMs of the list, and the age of the answers."""

    vms: list[vms.Vm] = attrs.field(factory=list)
    lag_ms: float = 0


@attrs.frozen
class VmFaults(faults.Faults):
    """Faults of the VM list.

    ``lag_ms`` is the age of the list. ``frozen`` keeps returning the list of
    the time at which the fault is injected. ``missing`` names VMs to omit.
    """

    lag_ms: float = 0
    frozen: bool = False
    missing: list[str] = attrs.field(factory=list)


_Listed = dict[str, vms.Vm]


@attrs.define(eq=False)
class _VmList:
    settings: Settings
    injector: faults.Injector = attrs.field(init=False)
    frozen: _Listed = attrs.field(factory=dict)
    history: collections.deque[tuple[float, _Listed]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        initial = VmFaults(lag_ms=self.settings.lag_ms)
        self.injector = faults.Injector(initial, self.on_fault)
        listed = {entry.vm: entry for entry in self.settings.vms}
        # Changed at 0 s, so that the initial VMs are listed at any lag.
        self.history = collections.deque([(0, listed)], maxlen=_MAX_HISTORY)

    def on_fault(self, changes: dict[str, Any]) -> None:
        if changes.get('frozen'):
            self.frozen = self.lagged()

    def change(self, name: str, entry: vms.Vm | None) -> None:
        listed = dict(self.history[-1][1])
        listed.pop(name, None)
        if entry is not None:
            listed[name] = entry
        self.history.append((time.monotonic(), listed))

    def lagged(self) -> _Listed:
        horizon_s = time.monotonic() - self.injector.current.lag_ms / 1000
        visible = self.history[0][1]
        for changed_s, listed in self.history:
            if changed_s > horizon_s:
                break
            visible = listed
        return visible

    def visible(self) -> list[vms.Vm]:
        current = self.injector.current
        listed = self.frozen if current.frozen else self.lagged()
        return [
            entry
            for entry in listed.values()
            if entry.vm not in current.missing
        ]


def make_app(settings: Settings) -> web.Application:
    """Return the VM list as a web application."""
    vm_list = _VmList(settings)
    app = web.Application()
    faults.install(app, vm_list.injector)
    app.router.add_get('/vms', functools.partial(_show, vm_list))
    app.router.add_put(_VM, functools.partial(_put, vm_list))
    app.router.add_delete(_VM, functools.partial(_delete, vm_list))
    return app


async def _show(vm_list: _VmList, _: web.Request) -> web.Response:
    return faults.json_response(faults.converter.unstructure(vm_list.visible()))


async def _put(vm_list: _VmList, request: web.Request) -> web.Response:
    try:
        entry = faults.converter.structure(
            orjson.loads(await request.read()), vms.Vm
        )
    except (ValueError, cattrs.BaseValidationError) as error:
        return faults.error_response(400, 'invalid_vm', repr(error))
    vm_list.change(request.match_info['vm'], entry)
    return faults.json_response({})


async def _delete(vm_list: _VmList, request: web.Request) -> web.Response:
    vm_list.change(request.match_info['vm'], None)
    return faults.json_response({})


if __name__ == '__main__':
    serving.main(make_app, Settings)
