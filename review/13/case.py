"""A grey worker runs payouts and answers some of them with a failure, 503."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import time

from yuccarouter_testbed import endpoints, fleet

import review_harness as harness

_PLAY_S = 38.0
# Spells of the disruption: when they begin, and how long each lasts.
_SPELLS_S = (2.0, 14.0, 26.0)
_SPELL_S = 6.5
_PAYOUTS_PER_S = 6.4
_FAILED_SHARE = 0.4
_TIME_BUDGET_S = 2.5
_PROMISES = frozenset((408, 421, 429, 503))


class GreyWorker(endpoints.Endpoint):
    """Runs each request, and fails a share of them afterwards.

    A failure bears the request's id and the worker's seal, and no
    X-Yuccarouter-Not-Executed: the worker does not say that it hasn't run.
    """

    is_grey = False

    async def _process(self, run, fault, writer) -> None:
        if not self.is_grey or self.rng.random() >= _FAILED_SHARE:
            await super()._process(run, fault, writer)
            return
        await asyncio.sleep(self.work_s)
        run.fault = 'failed with 503'
        await endpoints._write(
            writer, endpoints._complete_answer(run, self, 503, b'failed')
        )


async def play(
    deployment: harness.Deployment, record: harness.Record, has_trouble: bool
) -> int:
    configuration = fleet.configuration()
    for route in configuration['routes']:
        if route['routeType'] == 'unsafe':
            route.update(timeoutMs=1200, targetLatencyMs=150, maxAttempts=1)
    deployment.configure(configuration)
    workers = [
        GreyWorker(
            'app', slots=6, queue=24, work_s=0.045, rng=random.Random(number)
        )
        for number in range(3)
    ]
    for worker in workers:
        await worker.start()
        deployment.started_endpoints.append(worker)
        deployment.announce(worker)
    await deployment.add_endpoint('engine', is_engine=True)
    gateways = [await deployment.add_gateway() for _ in range(2)]
    await asyncio.sleep(4)
    began_s = time.monotonic()

    async def disturb() -> None:
        for worker, at_s in zip(workers, _SPELLS_S, strict=True):
            await asyncio.sleep(max(0, began_s + at_s - time.monotonic()))
            worker.is_grey = True
            record.say(
                f'{worker.name}, one of three, fails {_FAILED_SHARE:.0%} of its'
                f' requests after it has run them, for {_SPELL_S} s'
            )
            await asyncio.sleep(_SPELL_S)
            worker.is_grey = False

    disturbing = asyncio.create_task(disturb()) if has_trouble else None
    answers: list[harness.Answer] = []
    payouts: dict[str, str] = {}

    async def pay(number: int) -> None:
        """Send a payout; send it once more after a promise, as consumers do."""
        left_s = _TIME_BUDGET_S
        for attempt in range(2):
            gateway = gateways[(number + attempt) % 2]
            caller = harness.Caller(gateway)
            began_s = time.monotonic()
            answer = await caller.send(
                'POST',
                '/payouts/x',
                body=f'payout {number}'.encode(),
                deadline_ms=round(left_s * 1000),
            )
            caller.close()
            answers.append(answer)
            payouts[answer.request_id] = f'payout {number}'
            record.write(
                f'payout {number} attempt {attempt + 1} {answer.request_id} to'
                f' {gateway.name} status {answer.status}'
                f' seal {answer.headers.get(harness.SEAL.lower(), "none")}'
                f' {answer.ended or "complete"}'
            )
            if answer.status not in _PROMISES:
                return
            left_s -= time.monotonic() - began_s
            pause_s = float(answer.headers.get('retry-after', '0.05'))
            pause_s = min(pause_s, left_s / 3)
            left_s -= pause_s
            await asyncio.sleep(pause_s)

    tasks = []
    for number in range(int(_PLAY_S * _PAYOUTS_PER_S)):
        tasks.append(asyncio.create_task(pay(number)))
        await asyncio.sleep(1 / _PAYOUTS_PER_S)
    await asyncio.gather(*tasks)
    if disturbing is not None:
        await disturbing
    runs = collections.Counter(run.request_id for run in deployment.runs)
    for run in deployment.runs:
        record.write(
            f'run {run.request_id} {run.body.decode()} at {run.endpoint}'
            f' {run.fault or "served"}'
        )
    broken = [
        answer
        for answer in answers
        if answer.status in _PROMISES and runs[answer.request_id]
    ]
    paid = collections.Counter(run.body for run in deployment.runs)
    twice = sum(count > 1 for count in paid.values())
    statuses = collections.Counter(answer.status for answer in answers)
    record.say(f'statuses: {dict(statuses)}')
    record.say(f'{len(broken)} requests were answered as not run, and have run')
    record.say(f'{twice} payouts ran twice, as their consumers trusted that')
    if broken:
        return harness.BROKEN
    return harness.HELD if statuses[200] else harness.NOT_RUN


if __name__ == '__main__':
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), play))
