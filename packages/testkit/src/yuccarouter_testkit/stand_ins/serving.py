"""Serving a double, as a process of its own or within the caller's."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Final, TypeVar

import cattrs
import orjson
from absl import flags
from aiohttp import web

from yuccarouter_testkit.stand_ins import faults

_BAD_USAGE: Final = 2
_SHUTDOWN_S: Final = 0.1

_Settings = TypeVar('_Settings')


def main(
    make_app: Callable[[_Settings], web.Application],
    settings_type: type[_Settings],
) -> None:
    """Serve a double until SIGTERM or SIGINT.

    Flags: ``--host``, ``--port`` (0 chooses a free one) and ``--settings``, a
    JSON object with fields of the double's ``Settings``. The port is printed as
    the only line of standard output.
    """
    try:
        flag_values = _parse_flags(sys.argv)
        settings = faults.converter.structure(
            orjson.loads(flag_values.settings), settings_type
        )
    except (flags.Error, ValueError, cattrs.BaseValidationError) as error:
        sys.stderr.write(f'{error!r}\n')
        sys.exit(_BAD_USAGE)
    asyncio.run(_serve(make_app(settings), flag_values.host, flag_values.port))


def _parse_flags(arguments: list[str]) -> flags.FlagValues:
    # Not the global flags: the doubles are also imported together with the
    # daemon, which defines some flags with the same names.
    parsed = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string('host', '127.0.0.1', 'address', flag_values=parsed)
    flags.DEFINE_integer('port', 0, 'port; 0 chooses one', flag_values=parsed)
    flags.DEFINE_string(
        'settings', '{}', 'settings as a JSON object', flag_values=parsed
    )
    parsed(arguments)
    return parsed


async def start(
    app: web.Application,
    host: str = '127.0.0.1',
    port: int = 0,
) -> web.AppRunner:
    """Serve an application in this process until ``runner.cleanup()``.

    Unlike with aiohttp's own test server, a handler keeps running when its
    caller disconnects, as in a real service.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=_SHUTDOWN_S)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def url_of(runner: web.AppRunner) -> str:
    """Return the URL of a served application, without a slash at its end."""
    host, port = runner.addresses[0][:2]
    return f'http://{host}:{port}'


async def _serve(app: web.Application, host: str, port: int) -> None:
    runner = await start(app, host, port)
    sys.stdout.write(f'{runner.addresses[0][1]}\n')
    sys.stdout.flush()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    await runner.cleanup()
