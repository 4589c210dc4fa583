"""Tests of the fair queue and of waiting for slots."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.admission import limiter as limiters
from yuccarouter.admission import request_tracker, queue, slots
from yuccarouter_common import model, refusals
from yuccarouter_common.proto import router_pb2


def _entry(
    name: str, priority: int = 1, weight: float = 1, cost: float = 1
) -> queue.Entry[str]:
    return queue.Entry(name, priority, weight, cost, name)


def _pop(waiting: queue.FairQueue[str]) -> queue.Entry[str]:
    popped = waiting.pop(lambda entry: True)
    assert popped is not None
    return popped


@hypothesis.given(
    pushes=st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=12)
)
def test_one_organisation_is_first_come(
    pushes: list[tuple[int, bool]],
) -> None:
    """Guards against reordering; a naive queue sorts by priority, stably."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    naive: list[queue.Entry[str]] = []
    for priority, is_popped in pushes:
        entry = _entry('o', priority)
        waiting.push(entry)
        naive.append(entry)
        naive.sort(key=lambda queued: -queued.priority)
        assert waiting.in_order() == naive
        if is_popped:
            assert _pop(waiting) is naive.pop(0)
    assert waiting.size == len(naive)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.1, 4)), min_size=3, max_size=40
    )
)
def test_share_of_backlogged_organisations(
    arrivals: list[tuple[int, float]],
) -> None:
    """Guards against an organisation getting more than its weighted share.

    The bound is that of start-time fair queueing: while two organisations
    have work queued, their service for their weight differs by at most one
    request of each.
    """
    weights = (1.0, 2.0, 4.0)
    waiting: queue.FairQueue[str] = queue.FairQueue()
    left: collections.Counter[str] = collections.Counter()
    for index, cost in arrivals:
        waiting.push(_entry(str(index), 1, weights[index], cost))
        left[str(index)] += 1
    served = dict.fromkeys(left, 0.0)
    while all(left.values()):
        popped = _pop(waiting)
        left[popped.organisation] -= 1
        served[popped.organisation] += popped.cost / popped.weight
        assert max(served.values()) - min(served.values()) <= 6.001


def test_large_organisation_does_not_starve_a_small_one() -> None:
    """Guards against a backlog delaying organisations that have none."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for _ in range(500):
        waiting.push(_entry('large'))
    for _ in range(20):
        _pop(waiting)
    waiting.push(_entry('small'))
    assert 'small' in {_pop(waiting).organisation for _ in range(2)}


def test_idle_time_earns_no_credit() -> None:
    """Guards against an organisation that returns starving the others."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for _ in range(100):
        waiting.push(_entry('steady'))
    for _ in range(50):
        _pop(waiting)
    for _ in range(50):
        waiting.push(_entry('returning'))
    served = [_pop(waiting).organisation for _ in range(10)]
    assert served.count('steady') == 5


@pytest.mark.parametrize(
    ('pushed', 'victim'),
    [
        ([('a', 1), ('a', 1), ('b', 1)], ('a', 1)),
        ([('a', 1), ('a', 1), ('b', 0)], ('b', 0)),
        ([('b', 1), ('a', 2), ('a', 2)], ('b', 1)),
        ([('b', 1), ('a', 1), ('a', 1)], ('a', 1)),
    ],
)
def test_shed(pushed: list[tuple[str, int]], victim: tuple[str, int]) -> None:
    """Guards against shedding urgent work or a small organisation's."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for name, priority in pushed:
        waiting.push(_entry(name, priority))
    assert waiting.shed(3) is None
    shed = waiting.shed(2)
    assert shed is not None
    assert (shed.organisation, shed.priority) == victim
    assert waiting.size == 2


def test_shed_work_is_not_charged() -> None:
    """Guards against punishing an organisation for work that never ran."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for _ in range(100):
        waiting.push(_entry('large'))
        waiting.shed(1)
    _pop(waiting)
    waiting.push(_entry('other', cost=2))
    waiting.push(_entry('other', cost=2))
    waiting.push(_entry('large'))
    assert 'large' in {_pop(waiting).organisation for _ in range(2)}


@attrs.define
class _Setting:
    """Slots with a limit of 2, of which tests hold some."""

    admission: slots.SlotQueue
    pool: model.Pool
    configuration: model.Configuration
    refused: set[str]

    def waits(
        self, name: str, deadline_s: float = 5, **fields: Any
    ) -> asyncio.Task[slots.Slot]:
        request = router_pb2.RunRequest(organisation=name, **fields)
        deadline = self.admission.limiter.clock() + deadline_s
        return asyncio.create_task(self.admission.acquire(request, deadline))


@pytest.fixture
async def setting() -> _Setting:
    loop = asyncio.get_running_loop()
    names = {'large': 8, 'small': 8, 'narrow': 1, 'none': 0}
    organisations = {
        name: model.Organisation(name, max_concurrent=most)
        for name, most in names.items()
    }
    pool = model.Pool('p', max_in_flight=2, cold_limit=2, max_queued=3)
    refused: set[str] = set()

    def check(request: router_pb2.RunRequest) -> None:
        if request.version in refused:
            raise refusals.RefusalError('version_not_allowed', 'withdrawn')

    configuration = model.Configuration(organisations=organisations)
    limiter = limiters.ConcurrencyLimiter(lambda: pool, loop.time)
    now = loop.time()
    limiter.apply_load(request_tracker.Load(0, 0, False, now, now))
    admission = slots.SlotQueue(lambda: configuration, limiter, check)
    return _Setting(admission, pool, configuration, refused)


async def _code(waiting: asyncio.Task[slots.Slot]) -> str:
    with pytest.raises(refusals.RefusalError) as caught:
        await asyncio.wait_for(waiting, 1)
    assert caught.value.outcome == refusals.NOT_RUN
    assert caught.value.retry_after_ms > 0 or caught.value.status < 500
    return caught.value.code


async def _settled() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_full_queue_sheds(setting: _Setting) -> None:
    """Guards against a shed request that waits for its deadline."""
    held = [await setting.waits('large') for _ in range(2)]
    queued = [setting.waits('large', priority=1) for _ in range(3)]
    await _settled()
    assert setting.admission.queued == 3
    urgent = setting.waits('large', priority=2)
    assert await _code(queued[2]) == 'overloaded'
    assert await _code(setting.waits('large')) == 'overloaded'
    small = setting.waits('small', priority=1)
    assert await _code(queued[1]) == 'overloaded'
    for slot in held:
        slot.release(served=True)
    assert (await urgent).queued_ms >= 0
    await asyncio.wait({queued[0], small}, return_when='FIRST_COMPLETED')
    setting.admission.start_draining()


async def test_early_rejection(setting: _Setting) -> None:
    """Guards against queueing work that can't start before its deadline."""
    for _ in range(4):
        setting.admission.limiter.service_times.add('', 10)
    held = [await setting.waits('large') for _ in range(2)]
    assert await _code(setting.waits('large', 1)) == 'deadline_too_short'
    patient = setting.waits('large', 60)
    await _settled()
    assert not patient.done()
    for slot in held:
        slot.release(served=False)
    assert await patient


async def test_review_after_a_fall(setting: _Setting) -> None:
    """Guards against holding requests that a fallen limit makes late."""
    for _ in range(4):
        setting.admission.limiter.service_times.add('', 2)
    for _ in range(2):
        await setting.waits('large')
    queued = [setting.waits('large', 4) for _ in range(3)]
    await _settled()
    assert not any(task.done() for task in queued)
    object.__setattr__(setting.pool, 'max_in_flight', 1)
    setting.admission.reevaluate_queue()
    await _settled()
    assert [task.done() for task in queued] == [False, False, True]
    assert await _code(queued[2]) == 'deadline_too_short'
    setting.admission.start_draining()
    assert await _code(queued[0]) == 'shutting_down'


async def test_organisation_limits(setting: _Setting) -> None:
    """Guards against one organisation taking every slot."""
    first = await setting.waits('narrow')
    second = setting.waits('narrow')
    await _settled()
    other = await asyncio.wait_for(setting.waits('large'), 1)
    assert not second.done()
    first.release(served=True)
    await asyncio.wait_for(second, 1)
    other.release(served=True)
    assert await _code(setting.waits('none')) == 'organisation_limit'


async def test_wait_behind_a_limited_organisation(setting: _Setting) -> None:
    """Guards against rejecting requests for work that is held back."""
    for _ in range(4):
        setting.admission.limiter.service_times.add('', 10)
    await setting.waits('narrow')
    held_back = [setting.waits('narrow', 60) for _ in range(2)]
    await _settled()
    assert await _code(setting.waits('narrow', 12)) == 'deadline_too_short'
    await asyncio.wait_for(setting.waits('large', 1), 1)
    setting.admission.reevaluate_queue()
    assert not any(task.done() for task in held_back)


async def test_abandoned_waits(setting: _Setting) -> None:
    """Guards against slots lost to callers who have left."""
    held = [await setting.waits('large') for _ in range(2)]
    queued = [setting.waits('large') for _ in range(2)]
    await _settled()
    queued[0].cancel()
    await _settled()
    assert setting.admission.queued == 1
    held[0].release(served=True)
    # The slot was granted, but the waiter has not run since.
    queued[1].cancel()
    held[1].release(served=True)
    await _settled()
    assert setting.admission.limiter.in_flight == 0
    late = [await setting.waits('large') for _ in range(2)]
    assert await _code(setting.waits('large', 0.05)) == 'deadline_too_short'
    assert len(late) == setting.admission.limiter.in_flight


async def test_leaving_and_withdrawal(setting: _Setting) -> None:
    """Guards against queued work on a withdrawn version or leaving VM."""
    held = [await setting.waits('large') for _ in range(2)]
    withdrawn = setting.waits('large', version='1')
    allowed = setting.waits('large', version='2')
    await _settled()
    setting.refused.add('1')
    setting.admission.reevaluate_queue()
    assert await _code(withdrawn) == 'version_not_allowed'
    setting.admission.start_draining()
    assert await _code(allowed) == 'shutting_down'
    assert await _code(setting.waits('large')) == 'shutting_down'
    assert setting.admission.limiter.own == len(held)
