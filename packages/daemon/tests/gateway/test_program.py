"""Tests of the signals that a gateway process gets."""

from __future__ import annotations

import asyncio
import os
import signal
import types
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import logs, program, stopping


@attrs.define
class Daemon:
    """A daemon that gets signals while it starts and while it drains."""

    ends_ms: list[float] = attrs.field(factory=list)
    gateway: Any = attrs.field(
        factory=lambda: types.SimpleNamespace(
            conf=make.conf(), stop=stopping.Stop()
        )
    )
    crash_reason: BaseException | None = None

    def run(self, work: Any) -> None:
        """Ignore background work."""

    async def start(self) -> None:
        await self._signal(signal.SIGTERM)

    async def wait_until_stopped(self) -> None:
        await asyncio.Event().wait()

    async def drain(self) -> None:
        await self._signal(signal.SIGHUP)
        await self._signal(signal.SIGTERM)

    async def stop(self) -> None:
        """Do nothing."""

    async def _signal(self, signal_number: signal.Signals) -> None:
        os.kill(os.getpid(), signal_number)
        # The event loop runs the handler within the next steps.
        for _ in range(5):
            await asyncio.sleep(0)
        self.ends_ms.append(self.gateway.stop.requests_end_ms)


async def test_grace_is_counted_from_the_first_signal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that outlast the grace of a stop.

    The signal came while the daemon was starting, which takes up to a second,
    and the grace was counted from the end of the start.
    """
    role = Daemon()
    log = types.SimpleNamespace(run=asyncio.Event().wait, flush=bool)
    monkeypatch.setattr(logs, 'start', lambda name: log)
    status = await program.serve(make.conf(), lambda: role, make.conf, '')
    assert status == 0
    assert role.gateway.stop.has_begun
    assert len(set(role.ends_ms)) == 1
