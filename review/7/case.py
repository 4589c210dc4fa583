"""A streamed request crashes each engine within its answer."""

from __future__ import annotations

import asyncio
import os
import pathlib
import time

import harness
from yuccarouter_testbed import callers, endpoints

import aiohttp
import attrs

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).resolve().parent
ENGINES = 5
GATEWAYS = 2
# From the first event of an answer to the crash; events come every 60 ms.
CRASH_AFTER_S = float(os.environ.get('CRASH_AFTER_S', '0.6'))
EVENT_S = 0.06
RESTART_S = 2.5
POISON_PATH = '/notes/poison'
REPEATS = 12
REPEAT_INTERVAL_S = 3.0
ALLOWED_RETRIES = 3


@attrs.define
class Engine(endpoints.Endpoint):
    """An engine that crashes some time after the first event of an answer."""

    heard_s: float = 0
    record: object = None
    poison_arrivals: list = attrs.field(factory=list)

    async def _stream(self, run, fault, writer) -> None:
        if run.target != POISON_PATH:
            await endpoints.Endpoint._stream(self, run, fault, writer)
            return
        self.record.write(f'{self.name} runs {run.request_id} (repeated one)')
        now_s = asyncio.get_running_loop().time()
        self.poison_arrivals.append((now_s, run.request_id))
        started_s = time.monotonic()
        first = int(run.headers.get('Last-Event-Id') or 0) + 1
        await endpoints._write(writer, endpoints._stream_head(run, self))
        for number in range(first, endpoints._STREAM_EVENTS * 4 + 1):
            event = endpoints.stream_event(run.request_id, number)
            await endpoints._write(writer, endpoints._chunk(event))
            await asyncio.sleep(EVENT_S)
            if TROUBLE and time.monotonic() - started_s >= CRASH_AFTER_S:
                self.record.write(f'{self.name} crashes')
                self._start_crash(POISON_PATH)
                await asyncio.sleep(3600)
        await endpoints._write(writer, b'0\r\n\r\n')


async def main(fleet: harness.Fleet, record: harness.Record) -> int:
    fleet.configure(harness.fleet.configuration())
    for _ in range(ENGINES):
        engine = Engine('engine', is_engine=True, event_s=0.02, record=record)
        engine.behaviour.restart_s = RESTART_S
        await engine.start()
        engine.heard_s = time.monotonic()
        fleet.started_endpoints.append(engine)
        fleet.announce(engine)
    await fleet.add_endpoint('app')
    for _ in range(GATEWAYS):
        await fleet.add_gateway()
    await asyncio.sleep(1)
    sound: list[callers.Outcome] = []
    poison = attrs.evolve(callers.STREAM, path=POISON_PATH, deadline_ms=8000)
    async with aiohttp.ClientSession() as session:

        async def send_sound(number: int) -> None:
            gateway = fleet.gateways[number % GATEWAYS]
            kind = attrs.evolve(
                callers.STREAM, prompt=f'aa:100,bb:300,c{number}:50'
            )
            outcome = await callers.call(session, gateway.base_url, kind)
            sound.append(outcome)
            record.write(
                f'sound {outcome.request_id} at {gateway.name}:'
                f' {outcome.status} served={outcome.is_served}'
            )

        async def send_poison(number: int) -> None:
            gateway = fleet.gateways[number % GATEWAYS]
            record.write(f'repeated request {number} sent to {gateway.name}')
            outcome = await callers.call(
                session, gateway.base_url, poison, prompt='aa:100,dd:200,ee:50'
            )
            record.write(
                f'repeated request {number} ({outcome.request_id}):'
                f' {outcome.status} incomplete={outcome.is_incomplete}'
            )

        tasks = []
        for number in range(int(REPEATS * REPEAT_INTERVAL_S * 4)):
            tasks.append(asyncio.create_task(send_sound(number)))
            if number % int(REPEAT_INTERVAL_S * 4) == 0:
                index = number // int(REPEAT_INTERVAL_S * 4)
                tasks.append(asyncio.create_task(send_poison(index)))
            await asyncio.sleep(0.25)
        await asyncio.wait(tasks, timeout=10)
    crashes = sorted(
        at_s for engine in fleet.started_endpoints for at_s, _ in engine.crashes
    )
    arrivals = sorted(
        arrival
        for engine in fleet.started_endpoints[:ENGINES]
        for arrival in engine.poison_arrivals
    )
    unserved = sum(not outcome.is_served for outcome in sound)
    record.write(
        f'{len(crashes)} crashes; {len(sound)} sound requests,'
        f' {unserved} of them not served'
    )
    if len(crashes) < 3:
        record.write('held: fewer than three crashes')
        return 0
    # A retry of the caller has its own id, and is counted once however many
    # engines it reaches.
    late_from_s = crashes[2] + harness.CONTACT_MS / 1000
    late = {request_id for at_s, request_id in arrivals if at_s > late_from_s}
    record.write(
        f'{len(late)} retries reached engines later than contactMs after the'
        f' third crash; {ALLOWED_RETRIES} are allowed'
    )
    return 1 if len(late) > ALLOWED_RETRIES else 0


harness.run(main, FOLDER)
