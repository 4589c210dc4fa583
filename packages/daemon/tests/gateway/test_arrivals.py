"""Tests of which attempts are charged to the retry budget.

They guard against refusals after a quarter of a service's endpoints crash at
once: the crashed ones look idle, so a call is sent to several of them before it
reaches a healthy one.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import types
from typing import Any

import aiohttp
import attrs
import gateway_makers as make
import pytest
from aiohttp import client_reqrep, web

from yuccarouter.gateway import (
    answer_progress,
    attempts,
    choice,
    crash_checks,
    crash_evidence,
    crash_suspicions,
    failure_reports,
    latency_judge,
    lost_answers,
    model,
    prefill_speeds,
    process_memory,
    rate_limits,
    retries,
    retry_budget,
    rollouts,
    stopping,
)
from yuccarouter.gateway.capacity import speeds
from yuccarouter_common import clocks, refusals

ROUTE = model.Route(
    name='r',
    host='h',
    path_prefix='/',
    kind=model.Kind.SAFE,
    timeout_ms=1000,
    objective_ms=100,
    gap_objective_ms=0,
    priority=0,
    max_attempts=2,
    shares=(model.ServiceShare('engine', 1),),
)
CALL = make.call()
NO_CONNECTION = aiohttp.ClientConnectorError(
    client_reqrep.ConnectionKey('h', 80, False, True, None, None, None),
    OSError('refused'),
)


class Session:
    """A client session whose requests return or raise prepared results."""

    def __init__(self, *results: Any) -> None:
        self._results = list(results)

    async def request(self, *args: Any, **fields: Any) -> Any:
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def answer(**fields: Any) -> Any:
    head = model.AnswerHead(
        **{
            'status': 200,
            'headers': (),
            'request_id': 'r1',
            'not_run': False,
            'is_signed': True,
            'load': None,
            'confidence': None,
            'is_encoded': False,
            **fields,
        }
    )
    return types.SimpleNamespace(head=head, close=lambda: None)


def outgoing(*results: Any, allowed_retries: float) -> attempts.OutgoingCall:
    """Return a call whose attempts end with ``results``, in order."""
    views = [make.view(f'e{number}') for number in range(9)]
    gateway = types.SimpleNamespace(
        table=None,
        conf=make.conf(),
        choose=lambda call, route, service, tried, name: choice.choose(
            views, make.need(tried=tried), clocks.monotonic_ms()
        ),
        retry_budget=retry_budget.RetryBudget(0, allowed_retries, 10_000),
        daemon_count=1,
        failure_reports=failure_reports.FailureReports('d0'),
        rate_limits=rate_limits.RateLimits('d0', lambda endpoint: 1, tuple),
        prefill_speeds=prefill_speeds.PrefillSpeeds(),
        control=types.SimpleNamespace(
            record_answers=_count,
            latencies=latency_judge.LatencyJudge(bool, _count),
        ),
        crash_evidence=crash_evidence.CrashEvidence(
            'd0', tuple, lambda service: 9
        ),
        process_id=1,
        gossip=None,
        session=Session(*results),
        stop=stopping.Stop(),
        memory=process_memory.ProcessMemory(math.inf),
        speeds=speeds.EndpointSpeeds(lambda endpoint: None),
        endpoint_waits_ms=lambda service: [],
        platform=types.SimpleNamespace(
            encode_attempt=lambda call, attempt: (),
            decode_answer=lambda response: response.head,
        ),
    )
    return attempts.OutgoingCall(
        gateway=gateway,  # type: ignore[arg-type]
        call=CALL,
        route=ROUTE,
        service='engine',
        organisation='',
        priority=0,
        body=b'',
        deadline_ms=clocks.monotonic_ms() + 1000,
    )


def _count(view: Any, route: str, tally: rollouts.Tally) -> None:
    """Ignore evidence."""


async def count_sends(out: attempts.OutgoingCall) -> int:
    """Return the number of sends until an answer or a spent budget."""
    count = 0
    while True:
        chosen = out.next_endpoint('')
        if chosen is None:
            return count
        count += 1
        with contextlib.suppress(attempts.AttemptError):
            async with attempts.open_attempt(out, chosen, '', '', 1000):
                return count


@pytest.mark.parametrize(
    ('case', 'results', 'allowed_retries', 'expected'),
    [
        ('unreachable endpoints are free', [NO_CONNECTION] * 4, 0, 5),
        (
            'a second delivery needs a retry from the budget',
            [answer(not_run=True, status=503)],
            0,
            1,
        ),
        (
            'a retry that reaches no endpoint is not used up',
            [answer(not_run=True, status=503), NO_CONNECTION, NO_CONNECTION],
            2,
            4,
        ),
    ],
)
async def test_only_deliveries_are_charged(
    case: str, results: list[Any], allowed_retries: float, expected: int
) -> None:
    """Guards against refusing callers while healthy endpoints are idle."""
    out = outgoing(*results, answer(), allowed_retries=allowed_retries)
    assert await count_sends(out) == expected, case


async def test_misdirected_call_marks_endpoint_unreachable() -> None:
    """Guards against calls to an address whose endpoint was replaced.

    The endpoint that listens there now refuses all calls to the old one, so
    that the old one looks idle and attracts more calls.
    """
    refusal = answer(not_run=True, status=421, is_misdirected=True)
    out = outgoing(refusal, allowed_retries=5)
    chosen = out.next_endpoint('')
    assert chosen is not None
    with pytest.raises(attempts.AttemptError):
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            pytest.fail('the call was refused')
    now_ms = clocks.monotonic_ms()
    assert chosen.endpoint.avoid_until_ms > now_ms
    assert out.gateway.failure_reports.message(100, now_ms) == {
        chosen.endpoint.name: {'d0': pytest.approx(0, abs=1000)}
    }


async def test_caller_who_leaves_within_an_answer() -> None:
    """Guards against a session that ends while its request still runs.

    The caller of a long stream leaves, and asks again at another gateway.
    """
    out = outgoing(answer(), allowed_retries=0)
    out.call = make.call(session='s')
    recorded: list[tuple[str, ...]] = []
    exchange: Any = types.SimpleNamespace(
        record_start=lambda *request: recorded.append(('start', *request)),
        record_end=lambda *request: recorded.append(('end', *request)),
    )
    out.gateway.session_exchange = exchange
    chosen = out.next_endpoint('')
    assert chosen is not None
    with pytest.raises(asyncio.CancelledError):
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            assert recorded == [('start', 'engine', 's', 'v1')]
            raise asyncio.CancelledError
    assert recorded == [
        ('start', 'engine', 's', 'v1'),
        ('end', 'engine', 's', 'v1'),
    ]


def crashing_call(*results: Any) -> attempts.OutgoingCall:
    """Return a call with the prompt parts ``sys`` and ``new``."""
    out = outgoing(*results, allowed_retries=9)
    out.gateway.crash_evidence.record_answer(
        'engine', ('sys',), clocks.monotonic_ms() - 1000
    )
    out.part_ids = ('sys', 'new')
    out.route = attrs.evolve(ROUTE, max_attempts=9)
    return out


@pytest.mark.parametrize(
    ('is_answered_before', 'sends'),
    [(False, 2), (True, 3)],
    ids=['never answered', 'answered before'],
)
async def test_crashes_by_one_request(
    monkeypatch: pytest.MonkeyPatch, is_answered_before: bool, sends: int
) -> None:
    """Guards against a request that crashes an engine with each attempt.

    One that was answered before may only have met the crashes.
    """

    async def has_crashed(checks: Any, view: Any) -> bool:
        return True

    monkeypatch.setattr(crash_checks.CrashChecks, 'has_crashed', has_crashed)
    out = crashing_call(*[aiohttp.ServerDisconnectedError()] * 9)
    if is_answered_before:
        out.part_ids = ('sys',)
        out.gateway.crash_evidence.record_answer(
            'engine', out.suspects, clocks.monotonic_ms() - 1000
        )

    async def attempt(chosen: choice.Choice) -> None:
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            pytest.fail('the engine has crashed')

    with pytest.raises(refusals.RefusalError) as refused:
        await retries.until_answered(
            out, lambda: out.next_endpoint(''), attempt
        )
    assert refused.value.status == 502
    assert out.sends == sends


async def test_retry_waits_for_the_evidence_of_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies of a request that crash all of three endpoints.

    Two daemons send one copy each at the same time; both would be sent again
    before either daemon learns of the other crash.
    """
    out = crashing_call(*[aiohttp.ServerDisconnectedError()] * 3)
    evidence = out.gateway.crash_evidence
    evidence.engine_count = lambda service: 3

    def merge_peer_evidence() -> None:
        now_ms = clocks.monotonic_ms()
        evidence.record_crash(
            crash_suspicions.CrashedAttempt(
                request=2,
                number=1,
                engine='other',
                service='engine',
                sent_ms=now_ms - 60,
                crashed_ms=now_ms - 40,
                suspects=frozenset(out.suspects),
                answered=frozenset(),
                changed_ms=now_ms,
            ),
            now_ms,
        )

    async def has_crashed(checks: Any, view: Any) -> bool:
        asyncio.get_running_loop().call_later(0.04, merge_peer_evidence)
        return True

    monkeypatch.setattr(crash_checks.CrashChecks, 'has_crashed', has_crashed)

    async def attempt(chosen: choice.Choice) -> None:
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            pytest.fail('the engine has crashed')

    with pytest.raises(refusals.RefusalError) as refused:
        await retries.until_answered(
            out, lambda: out.next_endpoint(''), attempt
        )
    assert refused.value.status == 502
    assert out.sends == 1


async def test_waiting_prompt_is_withdrawn() -> None:
    """Guards against a prompt that crashes an engine after its part is held.

    It may wait for seconds at an engine before its answer starts.
    """
    out = crashing_call()
    started = asyncio.Event()

    async def request(*args: Any, **fields: Any) -> None:
        started.set()
        await asyncio.sleep(3600)

    out.gateway.session = types.SimpleNamespace(request=request)
    chosen = out.next_endpoint('')
    assert chosen is not None

    async def attempt() -> None:
        async with attempts.open_attempt(out, chosen, '', '', 60_000):
            pytest.fail('the engine does not answer')

    waiting = asyncio.create_task(attempt())
    await started.wait()
    for number in range(3):
        now_ms = clocks.monotonic_ms() + 10 * number
        out.gateway.crash_evidence.record_crash(
            crash_suspicions.CrashedAttempt(
                request=number,
                number=1,
                engine=f'other{number}',
                service='engine',
                sent_ms=now_ms - 5,
                crashed_ms=now_ms,
                suspects=frozenset(('new', f'own{number}')),
                answered=frozenset(),
                changed_ms=now_ms,
            ),
            now_ms,
        )
    with pytest.raises(attempts.AttemptError) as fault:
        await asyncio.wait_for(waiting, 5)
    assert fault.value.code == 'withdrawn'
    assert fault.value.may_have_run
    assert chosen.endpoint.consecutive_failures == 0


async def test_withdrawal_of_an_expired_attempt() -> None:
    """Guards against an error that ends the exchange with peers.

    The attempt's own timeout expires just before its prompt is held.
    """
    out = crashing_call()
    loop = asyncio.get_running_loop()
    progress = answer_progress.Progress(make.view(), 'r', '', 0, 0)
    failures: list[Exception] = []

    async def wait() -> None:
        async with asyncio.timeout(0) as timeout:
            with attempts._follow_waiting(out, progress, timeout):
                (waiting,) = out.gateway.crash_evidence._waiting
                timeout.reschedule(loop.time())
                loop.call_soon(try_withdrawal, waiting)
                await asyncio.sleep(3600)

    def try_withdrawal(waiting: crash_evidence.WaitingRequest) -> None:
        try:
            waiting.withdraw()
            waiting.withdraw()
        except RuntimeError as fault:
            failures.append(fault)

    with pytest.raises(TimeoutError):
        await asyncio.wait_for(wait(), 5)
    assert failures == []


async def test_evidence_about_an_engine_with_a_long_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against digests that all peers reject for a long name in them."""

    async def has_crashed(checks: Any, view: Any) -> bool:
        return True

    monkeypatch.setattr(crash_checks.CrashChecks, 'has_crashed', has_crashed)
    out = crashing_call(aiohttp.ServerDisconnectedError())
    view = make.view('e' * 250)
    chosen = choice.Choice(view, 0, 1, 0)
    with pytest.raises(attempts.AttemptError) as fault:
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            pytest.fail('the engine has crashed')
    assert fault.value.lost is not None
    await lost_answers.investigate(out, fault.value.lost)
    peer = crash_evidence.CrashEvidence('d1', tuple, lambda service: 9)
    now_ms = clocks.monotonic_ms()
    peer.merge(out.gateway.crash_evidence.message(now_ms), now_ms)
    assert len(peer.message(now_ms)) == 1


@pytest.mark.parametrize(
    ('remaining_ms', 'is_port_closed', 'expected'),
    [
        (5000, False, True),
        (500, False, True),
        (50, False, False),
        (5000, True, True),
        (500, True, False),
    ],
)
def test_time_that_a_stop_leaves(
    remaining_ms: float, is_port_closed: bool, expected: bool
) -> None:
    """Guards against sending calls that a stop cuts before their answer.

    The call has 1,000 ms and an objective of 100 ms.
    """
    out = outgoing(allowed_retries=0)
    stop = out.gateway.stop
    stop.requests_end_ms = clocks.monotonic_ms() + remaining_ms
    stop.is_port_closed = is_port_closed
    assert out.can_end_before_stop() is expected


@pytest.mark.parametrize(
    ('remaining_ms', 'result', 'status', 'outcome'),
    [
        (5000, answer(is_signed=False), 200, ''),
        (50, answer(is_signed=False), 502, refusals.UNKNOWN),
        (50, NO_CONNECTION, 503, refusals.NOT_RUN),
    ],
)
async def test_retries_before_a_stop(
    remaining_ms: float, result: Any, status: int, outcome: str
) -> None:
    """Guards against a retry that the stop cuts before its answer.

    The caller can ask another daemon if it is told at once.
    """
    out = outgoing(result, answer(), allowed_retries=2)
    stop = out.gateway.stop
    stop.requests_end_ms = clocks.monotonic_ms() + remaining_ms

    async def attempt(chosen: choice.Choice) -> web.StreamResponse:
        async with attempts.open_attempt(out, chosen, '', '', 1000):
            return web.Response(status=200)

    def choose() -> choice.Choice | None:
        return out.next_endpoint('')

    try:
        answered = await retries.until_answered(out, choose, attempt)
    except refusals.RefusalError as refusal:
        assert (refusal.status, refusal.outcome) == (status, outcome)
        assert out.sends == 1
    else:
        assert answered.status == status
