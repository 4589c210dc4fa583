"""``python -m yuccarouter_testkit.demo``: runs the demo on two fleets."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Final

import aiohttp

from yuccarouter_testkit.demo import (
    calls,
    deployments,
    fleet,
    processes,
    steps,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Step = Callable[[fleet.Fleet], Awaitable[str]]

_SERVE_FLAG: Final = '--serve'

_RATSELWERK_STEPS: Final[tuple[Step, ...]] = (
    steps.stream_grid_critique,
    steps.verify_answer,
    steps.keep_session,
    steps.withdraw_version,
)
# One streamed critique, one verification, three session requests and one
# cascade request after the withdrawal. The refused request has no row.
_RATSELWERK_ROWS: Final = 6
_THANUPP_STEPS: Final[tuple[Step, ...]] = (
    steps.hand_over_cylinder,
    steps.look_up_certificate,
    steps.take_out_data_centre,
)
# One handover, two look-ups and 20 requests with a data centre out of service.
_THANUPP_ROWS: Final = 23


def main(arguments: list[str]) -> int:
    """Run the demo and return its exit status."""
    return asyncio.run(_run(is_serving=_SERVE_FLAG in arguments))


async def _run(*, is_serving: bool) -> int:
    started_s = time.monotonic()
    _stop_on_signals()
    with tempfile.TemporaryDirectory() as folder:
        all_processes = processes.Processes(pathlib.Path(folder))
        async with aiohttp.ClientSession() as session:
            fleets = [
                fleet.Fleet(deployment, all_processes, session)
                for deployment in deployments.ALL
            ]
            try:
                await asyncio.gather(*(running.start() for running in fleets))
                _print_line(
                    'started', f'{len(all_processes.running)} processes'
                )
                if is_serving:
                    await _serve(fleets)
                else:
                    await _run_steps(fleets)
            except (calls.StepError, processes.StartError) as error:
                _print_line('FAILED', str(error))
                return 1
            finally:
                await all_processes.stop_all()
    _print_line('done', f'{time.monotonic() - started_s:.1f} s')
    return 0


def _stop_on_signals() -> None:
    """Cancel the current task on SIGTERM, so that it stops the fleets.

    By default SIGTERM ends only the launcher and its processes keep running.
    """
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)


async def _run_steps(fleets: list[fleet.Fleet]) -> None:
    plan = (
        (fleets[0], _RATSELWERK_STEPS, _RATSELWERK_ROWS),
        (fleets[1], _THANUPP_STEPS, _THANUPP_ROWS),
    )
    for running, fleet_steps, expected_rows in plan:
        name = running.deployment.name
        for step in fleet_steps:
            _print_line(f'{name}: {step.__name__}', await step(running))
        _print_line(
            f'{name}: bill', await steps.check_bill(running, expected_rows)
        )


async def _serve(fleets: list[fleet.Fleet]) -> None:
    running = fleets[0]
    await calls.operate(running, 'show organisations')
    key = deployments.organisation_key('ratsel-nord')
    settings_path = calls.settings_path(running, 'demo')
    _print_line(
        'try',
        f"""
  curl {running.entries[0]}/v1/chat/completions \\
    -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
    -d '{{"model": "clue", "messages": [{{"role": "user", "content": "Hi"}}]}}'
  yuccactl --settings={settings_path} show endpoints
Press Ctrl-C to stop.""",
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()


def _print_line(title: str, text: str) -> None:
    sys.stdout.write(f'[{title}] {text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    try:
        sys.exit(main(sys.argv[1:]))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(1)
