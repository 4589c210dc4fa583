"""Tests of the path benchmark, without its processes and without times."""

from __future__ import annotations

from typing import Any

import aiohttp
import pytest

from yuccarouter_testkit.bench import _path_calls as calls
from yuccarouter_testkit.bench import path, targets
from yuccarouter_testkit.stand_ins import instant, pass_through, serving


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('is_direct', [False, True])
async def test_call(is_direct: bool, is_stream: bool) -> None:
    """Guards against a pass-through that loses or adds parts."""
    engine = await serving.start(instant.make_app(instant.Settings()))
    plain = await serving.start(
        pass_through.make_app(pass_through.Settings(serving.url_of(engine)))
    )
    way = calls.Way('', serving.url_of(engine if is_direct else plain))
    async with aiohttp.ClientSession() as session:
        times = await calls.call(session, way, calls.Form('', 3, is_stream))
        assert 0 < times.first_ms <= times.whole_ms
    await plain.cleanup()
    await engine.cleanup()


@pytest.mark.parametrize(
    ('status', 'body', 'is_stream'),
    [
        (503, b'token token ', False),
        (200, b'token ', False),
        (200, b'token token ', True),
        (200, b'token token token [DONE]', True),
    ],
)
def test_bad_answer(status: int, body: bytes, is_stream: bool) -> None:
    """Guards against a refusal or a cut answer that counts as a fast one."""
    with pytest.raises(calls.BadAnswerError):
        calls.check(status, body, calls.Form('', 2, is_stream))


@pytest.mark.parametrize(
    ('added', 'per_core', 'missed'),
    [(2.5, 0.4, 0), (2.6, 0.4, 3), (2.5, 0.39, 2)],
)
def test_missed(added: float, per_core: float, missed: int) -> None:
    """Guards against a missed target that is reported as met."""
    latency = {'whole_p50_added_ratio': added, 'first_p50_added_ratio': added}
    figures: dict[str, Any] = {
        'latency_json': latency,
        'latency_stream': latency,
        'per_core_json': {'ratio': per_core},
        'per_core_stream': {'ratio': per_core},
    }
    assert len(targets.checked(figures, path.TARGETS)['missed']) == missed
