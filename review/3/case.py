"""A worker drains while two gateways of a data centre are dark.

The third gateway of the data centre is in touch all the while. By the rule
DRAIN no request reaches the worker from it later than ``drainMs`` after the
store has acknowledged the worker's ``draining`` entry.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import paths  # noqa: E402

paths.set_up()

from stand_ins import callers, deployment, endpoints, record  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The phases of the processes' timers differ from round to round.
ROUNDS = 2
# Longer than ``contactMs``, so that all machines are in touch.
CALM_S = 4.0
# The killed processes are started again after this time.
DARK_S = 2.0
# From the worker's entry to the kill.
KILL_DELAY_S = 0.25
AFTER_S = 6.0
INTERVAL_S = 0.02
WORK_S = 0.2
# The worker serves on for a little longer than ``drainMs`` and then exits.
LINGER_S = 0.25


async def work(
    endpoint: endpoints.Endpoint,
    run: endpoints.Run,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer after the work of a short request."""
    await asyncio.sleep(WORK_S)
    writer.write(endpoint.complete(run, 200, b'done ' + run.request.encode()))
    await writer.drain()


async def send_all(
    log: record.Record, gateway: deployment.Gateway, until_s: float
) -> list[callers.Outcome]:
    """Send requests to a gateway at a steady rate."""
    calls = []
    while log.now_s() < until_s:
        calls.append(
            asyncio.create_task(
                callers.call(
                    log,
                    gateway,
                    'POST',
                    '/payouts/x',
                    deadline_ms=2500,
                    body=b'{}',
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*calls))


async def restart(
    place: deployment.Deployment, gateways: list[deployment.Gateway]
) -> None:
    """Kill gateways and start them again as the platform does."""
    for gateway in gateways:
        place.signal(gateway, signal.SIGKILL)
    await asyncio.sleep(DARK_S)
    for gateway in gateways:
        await place.kill(gateway)
        await place.launch(gateway)


async def play_round(
    place: deployment.Deployment, worker: endpoints.Endpoint
) -> tuple[list[float], int]:
    """Drain a worker; return how late requests reached it, and lost ones."""
    log = place.log
    gateways = place.gateways
    await asyncio.sleep(CALM_S)
    sending = asyncio.create_task(
        send_all(log, gateways[2], log.now_s() + AFTER_S)
    )
    await asyncio.sleep(0.5)
    worker.state = 'draining'
    worker.announce()
    acked_s = log.write('draining_acknowledged', worker=worker.name)
    await asyncio.sleep(KILL_DELAY_S)
    restarting = None
    if HAS_TROUBLE:
        restarting = asyncio.create_task(restart(place, gateways[:2]))
    exit_s = acked_s + deployment.DRAIN_MS / 1000 + LINGER_S
    await asyncio.sleep(exit_s - log.now_s())
    await worker.stop()
    log.write('worker_exited', worker=worker.name)
    outcomes = await sending
    if restarting is not None:
        await restarting
    if place.has_ended(gateways[2]):
        raise RuntimeError('the observed gateway has ended')
    late = {
        request: at_s - acked_s
        for at_s, name, request in endpoints.arrivals(log, 'run')
        if name == worker.name and at_s > acked_s + deployment.DRAIN_MS / 1000
    }
    lost = sum(each.request in late and each.status != 200 for each in outcomes)
    return list(late.values()), lost


async def play(log: record.Record) -> tuple[list[float], int]:
    """Return how late requests reached the workers, and how many were lost."""
    place = deployment.Deployment(log)
    route = deployment.route('payouts', 'app', 'unsafe', maxAttempts=1)
    service = {'name': 'app', 'maxConnections': 110}
    late: list[float] = []
    lost = 0
    try:
        await place.start(deployment.configuration([route], [service]))
        for _ in range(ROUNDS + 2):
            await endpoints.Endpoint(place, 'app', work, slots=24).start()
        for zone in ('zone-a',) * 4:
            await place.launch(place.add_gateway(zone))
        for gateway in place.gateways:
            await place.wait_until_ready(gateway)
        for worker in place.endpoints[:ROUNDS]:
            found = await play_round(place, worker)
            late.extend(found[0])
            lost += found[1]
    finally:
        await place.stop()
    return late, lost


def main() -> int:
    """Play the case and return its exit status."""
    log = record.Record(FOLDER / 'record.txt')
    late, lost = asyncio.run(record.limited(play(log)))
    text = (
        f'{len(late)} requests reached workers later than drainMs after the '
        f'ack, the last {max(late, default=0):.2f} s after it; {lost} of them '
        'were lost when the workers exited'
    )
    log.write('verdict', text=text, is_broken=bool(late))
    print(text)
    return int(bool(late))


if __name__ == '__main__':
    sys.exit(record.guarded(main))
