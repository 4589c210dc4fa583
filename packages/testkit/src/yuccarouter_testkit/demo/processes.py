"""Starts and stops the processes of a fleet."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import attrs
import orjson
import yaml

if TYPE_CHECKING:
    from collections.abc import Iterator

_HOST: Final = '127.0.0.1'
_START_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 15.0
_POLL_INTERVAL_S: Final = 0.05
_HTTP_OK: Final = 200
_FIRST_PORT: Final = 10_000
_PORT_BLOCKS: Final = 88
_PORTS_PER_BLOCK: Final = 250


class StartError(Exception):
    """A process or fleet did not get ready, or no port was free."""


def _cycle_ports() -> Iterator[int]:
    """Yield ports below the ephemeral range, in an endless cycle.

    An outgoing connection could take an ephemeral port before the process
    that needs it starts to listen. The first port depends on the process id,
    so that launchers that run at once seldom try the same ports.
    """
    first = _FIRST_PORT + os.getpid() % _PORT_BLOCKS * _PORTS_PER_BLOCK
    for offset in itertools.count():
        yield _FIRST_PORT + (first + offset) % (_PORT_BLOCKS * _PORTS_PER_BLOCK)


_PORT_CANDIDATES: Final = _cycle_ports()


def free_port() -> int:
    """Return a port that nothing uses now on the loopback address."""
    for port in _PORT_CANDIDATES:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if probe.connect_ex((_HOST, port)) == 0:
                continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((_HOST, port))
                return port
    raise StartError('no port is free')


@attrs.define(eq=False)
class Process:
    """A child process and the path of its output."""

    name: str
    child: subprocess.Popen[bytes]
    log_path: pathlib.Path

    def terminate(self) -> None:
        """Send SIGTERM, which asks for a graceful shutdown, if it runs."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL to the process if it runs."""
        if self.child.poll() is None:
            self.child.kill()

    async def wait(self, limit_s: float = _STOP_TIMEOUT_S) -> int | None:
        """Wait for the exit and return its code; kill after ``limit_s``."""
        deadline_s = time.monotonic() + limit_s
        while self.child.poll() is None:
            if time.monotonic() > deadline_s:
                self.kill()
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self.child.returncode


@attrs.define(eq=False)
class Processes:
    """The running processes by name; their files are in ``folder``."""

    folder: pathlib.Path
    running: dict[str, Process] = attrs.field(factory=dict)

    def start_double(
        self, module: str, name: str, port: int, settings: dict[str, Any]
    ) -> Process:
        """Start a test double of a platform service or an endpoint."""
        return self._start(
            name,
            [
                '-m',
                f'yuccarouter_testkit.stand_ins.{module}',
                f'--port={port}',
                f'--settings={orjson.dumps(settings).decode()}',
            ],
        )

    def start_daemon(self, name: str, settings: dict[str, Any]) -> Process:
        """Write the settings to a file and start a daemon with it."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings), encoding='utf-8')
        return self._start(
            name,
            [
                '-c',
                'from yuccarouter import main; main.run()',
                f'--settings={path}',
            ],
        )

    async def stop_all(self) -> None:
        """Terminate all processes, newest first, and wait for their exit."""
        for process in reversed(self.running.values()):
            process.terminate()
        for process in self.running.values():
            await process.wait()
        self.running.clear()

    def _start(self, name: str, arguments: list[str]) -> Process:
        log_path = self.folder / f'{name}.log'
        with log_path.open('ab') as output:
            child = subprocess.Popen(  # noqa: S603
                [sys.executable, *arguments],
                stdout=output,
                stderr=output,
            )
        process = Process(name, child, log_path)
        self.running[name] = process
        return process


async def wait_ready(
    session: aiohttp.ClientSession, process: Process, url: str
) -> None:
    """Wait until ``url`` answers 200.

    Raises ``StartError`` with the last output of the process if it exits or
    does not answer 200 in time.
    """
    deadline_s = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if process.child.poll() is not None:
            break
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                if response.status == _HTTP_OK:
                    return
        await asyncio.sleep(_POLL_INTERVAL_S)
    tail = process.log_path.read_text(errors='replace')[-2000:]
    raise StartError(f'{process.name} is not ready at {url}:\n{tail}')
