"""Sending requests at a stated rate, whatever the answers do."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import attrs

from yuccarouter_testkit import answers, mixes

# A request is given up at this multiple of its kind's bound, so that late
# answers are still measured.
_GIVE_UP_FACTOR: Final = 2
_MS: Final = 1000


@attrs.frozen
class Plan:
    """What to send; requests beyond ``max_open`` open ones are not sent."""

    url: str
    mix: mixes.Mix
    model: str
    organisation_key: str
    run_id: str
    rate: float
    duration_s: float
    max_open: int
    seed: int

    @property
    def count(self) -> int:
        """Number of requests."""
        return round(self.rate * self.duration_s)


@attrs.frozen
class Result:
    """What became of one request.

    Times count from the scheduled time of sending, so that a request that had
    to wait for its turn in this program shows the wait.
    """

    kind: str
    verdict: answers.Verdict
    total_ms: float
    first_token_ms: float
    send_lag_ms: float
    is_late: bool
    session: str = ''
    served_version: str = ''


@attrs.define(eq=False)
class _Timer:
    scheduled_s: float
    sent_ms: float = 0
    first_token_ms: float = 0

    def elapsed_ms(self) -> float:
        return (time.monotonic() - self.scheduled_s) * _MS


async def run(plan: Plan) -> list[Result]:
    """Send all requests of a plan and return what became of them."""
    draws = random.Random(plan.seed)
    results: list[Result] = []
    open_tasks: set[asyncio.Task[None]] = set()
    # No limit of connections: waiting for one would close the loop.
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async for number, timer in _schedule(plan):
            request = mixes.make_request(
                plan.mix, plan.model, plan.run_id, number, draws
            )
            if len(open_tasks) >= plan.max_open:
                results.append(_not_sent(request, timer))
                continue
            task = asyncio.create_task(
                _send(plan, session, request, timer, results)
            )
            open_tasks.add(task)
            task.add_done_callback(open_tasks.discard)
        # Each request is bounded by its own timeout.
        await asyncio.gather(*open_tasks)
    return results


async def _schedule(plan: Plan) -> AsyncIterator[tuple[int, _Timer]]:
    start_s = time.monotonic()
    number = 0
    while number < plan.count:
        timer = _Timer(start_s + number / plan.rate)
        await asyncio.sleep(timer.scheduled_s - time.monotonic())
        yield number, timer
        number += 1


def _not_sent(request: mixes.Request, timer: _Timer) -> Result:
    verdict = answers.Verdict(answers.Outcome.NOT_SENT, 'too many open')
    elapsed_ms = timer.elapsed_ms()
    return Result(request.kind, verdict, elapsed_ms, 0, elapsed_ms, True)


async def _send(
    plan: Plan,
    session: aiohttp.ClientSession,
    request: mixes.Request,
    timer: _Timer,
    results: list[Result],
) -> None:
    timer.sent_ms = timer.elapsed_ms()
    version = ''
    try:
        answer = await _exchange(plan, session, request, timer)
    except asyncio.TimeoutError:
        verdict = answers.Verdict(answers.Outcome.LOST, 'no answer in time')
    except (aiohttp.ClientError, OSError, ValueError) as fault:
        verdict = answers.Verdict(
            answers.Outcome.LOST, f'connection: {type(fault).__name__}'
        )
    else:
        verdict = answers.check(request, answer)
        version = answer.served_version
    total_ms = timer.elapsed_ms()
    results.append(
        Result(
            request.kind,
            verdict,
            total_ms,
            timer.first_token_ms or total_ms,
            timer.sent_ms,
            total_ms > request.bound_ms,
            request.session,
            version,
        )
    )


async def _exchange(
    plan: Plan,
    session: aiohttp.ClientSession,
    request: mixes.Request,
    timer: _Timer,
) -> answers.Answer:
    total_s = request.bound_ms * _GIVE_UP_FACTOR / _MS
    async with session.request(
        request.method,
        plan.url + request.path,
        data=request.body or None,
        headers=_headers(plan, request),
        timeout=aiohttp.ClientTimeout(total=total_s),
    ) as response:
        headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        answer = answers.Answer(response.status, headers)
        if response.content_type == 'text/event-stream':
            await _read_stream(response, answer, timer)
        else:
            answer.body = await response.read()
        return answer


async def _read_stream(
    response: aiohttp.ClientResponse,
    answer: answers.Answer,
    timer: _Timer,
) -> None:
    async for line in response.content:
        stripped = line.strip()
        if not stripped:
            continue
        answer.lines.append(stripped)
        if not timer.first_token_ms and answers.is_token(stripped):
            timer.first_token_ms = timer.elapsed_ms()


def _headers(plan: Plan, request: mixes.Request) -> dict[str, str]:
    headers = {
        'Authorization': f'Bearer {plan.organisation_key}',
        'Content-Type': 'application/json',
        'X-Request-Kind': request.kind,
        'X-Deadline-Ms': str(request.bound_ms),
    }
    if request.key:
        headers['Idempotency-Key'] = request.key
    if request.session:
        headers['X-Session-Id'] = request.session
    return headers
