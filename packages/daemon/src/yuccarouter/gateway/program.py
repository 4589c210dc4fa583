"""The gateway program: start, signals and stop."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING, Final

import eliot

from yuccarouter.gateway import daemon, logs, ports, reload

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import settings

_FAILED: Final = 1


async def serve(
    conf: settings.GatewaySettings,
    platform: ports.Platform,
    make_store: daemon.MakeStore,
    load: Callable[[], settings.GatewaySettings],
    settings_path: str,
) -> int:
    """Run a gateway until SIGTERM and return its exit status.

    ``load`` reads the settings anew; it raises ``RouterError`` for faulty
    ones.
    """
    log = logs.start(conf.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    eliot.log_message('started', name=conf.name, data_centre=conf.data_centre)
    writing = asyncio.create_task(log.run())
    role = daemon.Daemon(conf, platform, make_store)
    reloading = reload.Reload(role.gateway, load, settings_path)
    loop.add_signal_handler(signal.SIGHUP, reloading.apply)
    status = await _run(role, reloading, stop)
    eliot.log_message('stopped', name=conf.name, status=status)
    writing.cancel()
    log.flush()
    return status


async def _run(
    role: daemon.Daemon, reloading: reload.Reload, stop: asyncio.Event
) -> int:
    try:
        await role.start()
    except OSError as fault:
        sys.stderr.write(f'can not start: {fault}\n')
        await role.stop()
        return _FAILED
    await role.watch_settings(reloading)
    crashed = asyncio.create_task(role.wait_until_stopped())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((crashed, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not crashed.done():
        await role.drain()
        await role.stop()
    return _FAILED if role.crash_reason else 0
