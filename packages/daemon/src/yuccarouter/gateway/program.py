"""Life cycle of the gateway process: start, signals and stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import eliot

from yuccarouter import lifecycle
from yuccarouter import release as releases
from yuccarouter.gateway import bootstrap, logs, metrics, reload

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarouter.gateway import daemon, settings


async def serve(
    conf: settings.GatewaySettings,
    make_daemon: Callable[[], daemon.Daemon],
    load: Callable[[], settings.GatewaySettings],
    settings_path: str,
    release: str = releases.UNKNOWN,
) -> int:
    """Run a gateway until SIGTERM or SIGINT and return its exit status.

    ``load`` reads the settings again and raises ``RouterError`` if they are
    invalid. ``release`` is named in the log and the metrics.
    """
    log = logs.start(conf.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    role = make_daemon()

    def begin_stop() -> None:
        # The daemon may still be starting and drain only later.
        role.gateway.stop.begin(role.gateway.conf.bounds.grace_ms)
        stop.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, begin_stop)
    metrics.BUILD.info({'release': release})
    eliot.log_message(
        'started',
        name=conf.name,
        data_centre=conf.data_centre,
        release=release,
    )
    log_task = asyncio.create_task(log.run())
    reloader = reload.Reloader(role.gateway, load, settings_path)
    loop.add_signal_handler(signal.SIGHUP, reloader.apply)
    if bootstrap.take_early_reloads():
        # The settings may have changed after they were read.
        reloader.apply()
    role.run(reloader.run)
    status = await lifecycle.run_role(role, stop)
    eliot.log_message('stopped', name=conf.name, status=status)
    log_task.cancel()
    log.flush()
    return status
