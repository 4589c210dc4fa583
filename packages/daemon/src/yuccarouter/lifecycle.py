"""Start and stop of a process that has one role."""

from __future__ import annotations

import asyncio
import sys
from typing import Final, Protocol

_FAILED: Final = 1


class Role(Protocol):
    """A service that can finish its work before it stops."""

    @property
    def crash_reason(self) -> BaseException | None:
        """What ended the service, if it failed."""

    async def start(self) -> None:
        """Start; raises ``OSError`` where an address can not be used."""

    async def wait_until_stopped(self) -> None:
        """Wait until the service has stopped, by itself or not."""

    async def drain(self) -> None:
        """Finish what is in progress and take nothing new."""

    async def stop(self) -> None:
        """Stop at once."""


async def run_role(role: Role, stop: asyncio.Event) -> int:
    """Run a role until ``stop`` is set or it fails; return an exit status."""
    try:
        await role.start()
    except OSError as fault:
        sys.stderr.write(f'can not start: {fault}\n')
        await role.stop()
        return _FAILED
    crashed = asyncio.create_task(role.wait_until_stopped())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((crashed, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not crashed.done():
        await role.drain()
        await role.stop()
    return _FAILED if role.crash_reason else 0
