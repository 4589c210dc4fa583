"""Tests of admission applied to the requests of a daemon."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import attrs
import gateway_makers as make
import pytest

from yuccarouter.gateway import (
    attempts,
    choice,
    model,
    stopping,
)
from yuccarouter.gateway.capacity import speeds
from yuccarouter.gateway.overload import current, gate
from yuccarouter_common import refusals

ROUTE = model.Route(
    name='r',
    host='h',
    path_prefix='/',
    kind=model.Kind.SAFE,
    timeout_ms=2000,
    objective_ms=400,
    gap_objective_ms=0,
    priority=0,
    max_attempts=2,
    shares=(model.ServiceShare('engine', 1),),
)


def make_gateway(*, controls_overload: bool = True) -> Any:
    view = make.view('e', slots=6)
    return types.SimpleNamespace(
        conf=attrs.evolve(make.conf(), controls_overload=controls_overload),
        overload=current.Overload(128_000_000),
        speeds=speeds.EndpointSpeeds(lambda endpoint: None),
        directory=[view],
        daemon_count=3,
        stop=stopping.Stop(),
        table=None,
        endpoints_topic=None,
        is_ready=bool,
        crash_evidence=types.SimpleNamespace(may_send=lambda *_: True),
        choose=lambda *_: choice.Choice(view, 0, 1, 0),
    )


def outgoing(
    gateway: Any, clock: make.Clock, left_ms: float = 2000, **fields: Any
) -> attempts.OutgoingCall:
    return attempts.OutgoingCall(
        gateway=gateway,
        call=make.call(),
        route=ROUTE,
        service='engine',
        organisation='',
        priority=0,
        body=b'',
        deadline_ms=clock.now_ms + left_ms,
        arrived_ms=clock.now_ms,
        **fields,
    )


def report(
    gateway: Any, clock: make.Clock, waiting: int, work_ms: float = 100
) -> None:
    """Record an answer that reports a load."""
    clock.now_ms += 1
    out = outgoing(gateway, clock)
    gate.record_report(out, 'e', model.Load(6, waiting, 6), clock.now_ms)
    elapsed_ms = work_ms * (1 + waiting / 6)
    gate.record_answer(out, 'e', elapsed_ms, waiting)


@pytest.fixture(autouse=True)
def lowest_draw(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each request be shed that may be."""
    monkeypatch.setattr(gate.random, 'random', lambda: 0)


@pytest.mark.parametrize(
    ('controls_overload', 'waiting', 'fails', 'is_admitted'),
    [
        (True, None, False, True),
        (True, 2, False, True),
        (True, 20, False, False),
        (False, 20, False, True),
        (True, 20, True, True),
    ],
)
async def test_admission(
    clock: make.Clock,
    controls_overload: bool,
    waiting: int | None,
    fails: bool,
    is_admitted: bool,
) -> None:
    """Guards against other behaviour where load is not controlled or known.

    A failure in the decision must not refuse requests.
    """
    gateway = make_gateway(controls_overload=controls_overload)
    if waiting is not None:
        report(gateway, clock, waiting)
    if fails:
        gateway.overload.admitted_share = None
    out = outgoing(gateway, clock)
    if is_admitted:
        await gate.admit(out)
        assert out.next_endpoint('') is not None
        return
    with pytest.raises(refusals.RefusalError) as refused:
        await gate.admit(out)
    assert refused.value.status == 503
    assert refused.value.outcome == refusals.NOT_RUN
    assert 100 <= refused.value.retry_after_ms <= 2000 / 3


@pytest.mark.parametrize('ending', ['sent', 'cancelled', 'full'])
async def test_waiting_request(clock: make.Clock, ending: str) -> None:
    """Guards against places that are not freed, and missed reports."""
    gateway = make_gateway()
    report(gateway, clock, 20)
    gateway.directory[0].in_flight = 1
    queue = gateway.overload.queue('engine')
    if ending == 'full':
        queue.max_bytes = -1
        with pytest.raises(refusals.RefusalError):
            await gate.admit(outgoing(gateway, clock))
        return
    admitting = asyncio.create_task(gate.admit(outgoing(gateway, clock)))
    await asyncio.sleep(0)
    assert len(queue.entries) == 1
    if ending == 'cancelled':
        admitting.cancel()
    else:
        for _ in range(3):
            clock.now_ms += 20
            report(gateway, clock, 0)
    await asyncio.wait((admitting,))
    assert admitting.cancelled() is (ending == 'cancelled')
    assert not queue.entries


@pytest.mark.parametrize(
    ('left_ms', 'sends', 'controls_overload', 'is_sent'),
    [
        (100, 1, True, False),
        (100, 1, False, True),
        (100, 0, True, True),
        (160, 1, True, True),
    ],
)
def test_second_attempt_without_time(
    clock: make.Clock,
    left_ms: float,
    sends: int,
    controls_overload: bool,
    is_sent: bool,
) -> None:
    """Guards against a second attempt that can't end before the deadline.

    One with 0.1 s left was sent.
    """
    gateway = make_gateway(controls_overload=controls_overload)
    report(gateway, clock, 0, work_ms=150)
    out = outgoing(gateway, clock, left_ms, sends=sends)
    assert (out.next_endpoint('') is not None) is is_sent


@pytest.mark.parametrize(
    ('code', 'controls_overload', 'expected_ms'),
    [
        ('no_endpoint', True, 500),
        ('no_endpoint', False, 2000),
        ('prompt_held', True, 2000),
    ],
)
def test_time_to_return_after_attempts(
    clock: make.Clock, code: str, controls_overload: bool, expected_ms: int
) -> None:
    """Guards against callers that are told to wait longer than they do.

    Those whose requests crash endpoints must not return early.
    """
    out = outgoing(
        make_gateway(controls_overload=controls_overload), clock, 1500
    )
    refusal = refusals.RefusalError(code, 'refused', retry_after_ms=2000)
    gate.limit_retry_after(out, refusal)
    assert refusal.retry_after_ms == expected_ms


async def test_hold_at_the_start() -> None:
    """Guards against refusals in a start while the store is away.

    Requests must go on as soon as the configuration and endpoints are known.
    """
    gateway = make_gateway()
    call = make.call(caller_deadline_ms=60_000)
    holding = asyncio.create_task(gate.hold_until_configured(gateway, call))
    await asyncio.sleep(0)
    assert not holding.done()
    gateway.overload.holds.end()
    await holding
    await gate.hold_until_configured(gateway, call)
    gateway = make_gateway(controls_overload=False)
    await gate.hold_until_configured(gateway, call)
