"""Start and graceful shutdown of a process with one role."""

from __future__ import annotations

import asyncio
import sys
from typing import Final, Protocol

_EXIT_FAILURE: Final = 1


class Role(Protocol):
    """A service that can drain before it stops."""

    @property
    def crash_reason(self) -> BaseException | None:
        """The exception that ended the service, if it failed."""

    async def start(self) -> None:
        """Start; raises ``OSError`` if an address can not be used."""

    async def wait_until_stopped(self) -> None:
        """Wait until the service has stopped, for any reason."""

    async def drain(self) -> None:
        """Finish the work in progress and accept no more."""

    async def stop(self) -> None:
        """Stop at once."""


async def run_role(role: Role, stop: asyncio.Event) -> int:
    """Run a role until ``stop`` is set or it fails; return an exit status."""
    try:
        await role.start()
    except OSError as fault:
        sys.stderr.write(f'can not start: {fault}\n')
        await role.stop()
        return _EXIT_FAILURE
    ended = asyncio.create_task(role.wait_until_stopped())
    requested = asyncio.create_task(stop.wait())
    await asyncio.wait((ended, requested), return_when=asyncio.FIRST_COMPLETED)
    if not ended.done():
        await role.drain()
        await role.stop()
    return _EXIT_FAILURE if role.crash_reason else 0
