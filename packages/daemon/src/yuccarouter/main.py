"""The ``yuccarouter`` program."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING, Any, Final

from absl import app, flags

from yuccarouter import lifecycle
from yuccarouter_common import settings, telemetry

if TYPE_CHECKING:
    from collections.abc import Sequence

_EXIT_BAD_SETTINGS: Final = 2

_FLAGS = flags.FLAGS
flags.DEFINE_string('settings', '', 'path of the YAML settings')
flags.DEFINE_bool('check', False, 'check the settings and exit')


def run() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    app.run(_main)


def _main(arguments: Sequence[str]) -> int:
    path = _FLAGS.settings
    try:
        conf = settings.load(path)
    except settings.SettingsError as fault:
        sys.stderr.write(f'{fault.message}\n')
        return _EXIT_BAD_SETTINGS
    if _FLAGS.check:
        sys.stdout.write(f'{path}: no faults\n')
        return 0
    telemetry.start_logging()
    spans = telemetry.start_tracing(conf.name)
    return asyncio.run(_serve(conf, spans))


async def _serve(conf: settings.Settings, spans: telemetry.SpanStore) -> int:
    role = _create_role(conf, spans)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return await lifecycle.run_role(role, stop)


def _create_role(conf: settings.Settings, spans: telemetry.SpanStore) -> Any:
    # Imported here so that a process loads only the libraries of its role.
    if conf.role == settings.ENTRY:
        from yuccarouter.roles import entry  # noqa: PLC0415, WPS433

        return entry.Entry(conf, spans)
    from yuccarouter.roles import agent  # noqa: PLC0415, WPS433

    return agent.Agent(conf, spans)
