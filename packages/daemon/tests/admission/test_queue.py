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
from yuccarouter.admission import queue, request_tracker, slots
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
    """Guards against reordering the requests of one organisation.

    The expected order is that of a stable sort by priority.
    """
    waiting: queue.FairQueue[str] = queue.FairQueue()
    expected: list[queue.Entry[str]] = []
    for priority, is_popped in pushes:
        entry = _entry('o', priority)
        waiting.push(entry)
        expected.append(entry)
        expected.sort(key=lambda queued: -queued.priority)
        assert waiting.in_service_order() == expected
        if is_popped:
            assert _pop(waiting) is expected.pop(0)
    assert waiting.size == len(expected)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2), st.floats(0.1, 4)), min_size=3, max_size=40
    )
)
def test_weighted_shares_under_backlog(
    arrivals: list[tuple[int, float]],
) -> None:
    """Guards against an organisation getting more than its weighted share.

    The bound is that of start-time fair queueing: while two organisations
    have requests queued, their served cost per weight differs by at most one
    request of each.
    """
    weights = (1.0, 2.0, 4.0)
    waiting: queue.FairQueue[str] = queue.FairQueue()
    queued_counts: collections.Counter[str] = collections.Counter()
    for index, cost in arrivals:
        waiting.push(_entry(str(index), 1, weights[index], cost))
        queued_counts[str(index)] += 1
    served = dict.fromkeys(queued_counts, 0.0)
    while all(queued_counts.values()):
        popped = _pop(waiting)
        queued_counts[popped.organisation] -= 1
        served[popped.organisation] += popped.cost / popped.weight
        assert max(served.values()) - min(served.values()) <= 6.001


def test_large_organisation_does_not_starve_a_small_one() -> None:
    """Guards against one backlog delaying organisations without one."""
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for _ in range(500):
        waiting.push(_entry('large'))
    for _ in range(20):
        _pop(waiting)
    waiting.push(_entry('small'))
    assert 'small' in {_pop(waiting).organisation for _ in range(2)}


def test_idle_time_earns_no_credit() -> None:
    """Guards against a returning organisation starving the others.

    Idle time must not lower the start tags of its later requests.
    """
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
    """Guards against shedding the wrong request from a full queue.

    The victim has the lowest priority and the largest backlog.
    """
    waiting: queue.FairQueue[str] = queue.FairQueue()
    for name, priority in pushed:
        waiting.push(_entry(name, priority))
    assert waiting.shed(3) is None
    shed = waiting.shed(2)
    assert shed is not None
    assert (shed.organisation, shed.priority) == victim
    assert waiting.size == 2


def test_shed_work_is_not_charged() -> None:
    """Guards against charging an organisation for requests that never ran."""
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
class _QueueSetup:
    """A slot queue with 2 slots, some of which the tests hold."""

    slot_queue: slots.SlotQueue
    pool: model.Pool
    configuration: model.Configuration
    refused_versions: set[str]

    def acquire(
        self, name: str, deadline_s: float = 5, **fields: Any
    ) -> asyncio.Task[slots.Slot]:
        request = router_pb2.RunRequest(organisation=name, **fields)
        deadline = self.slot_queue.limiter.clock() + deadline_s
        return asyncio.create_task(self.slot_queue.acquire(request, deadline))


@pytest.fixture
async def queue_setup() -> _QueueSetup:
    loop = asyncio.get_running_loop()
    names = {'large': 8, 'small': 8, 'narrow': 1, 'none': 0}
    organisations = {
        name: model.Organisation(name, max_concurrent=most)
        for name, most in names.items()
    }
    pool = model.Pool('p', max_in_flight=2, cold_limit=2, max_queued=3)
    refused_versions: set[str] = set()

    def check(request: router_pb2.RunRequest) -> None:
        if request.version in refused_versions:
            raise refusals.RefusalError('version_not_allowed', 'withdrawn')

    configuration = model.Configuration(organisations=organisations)
    limiter = limiters.ConcurrencyLimiter(lambda: pool, loop.time)
    now = loop.time()
    limiter.apply_load(request_tracker.Load(0, 0, False, now, now))
    admission = slots.SlotQueue(lambda: configuration, limiter, check)
    return _QueueSetup(admission, pool, configuration, refused_versions)


async def _code(waiting: asyncio.Task[slots.Slot]) -> str:
    with pytest.raises(refusals.RefusalError) as caught:
        await asyncio.wait_for(waiting, 1)
    assert caught.value.outcome == refusals.NOT_RUN
    assert caught.value.retry_after_ms > 0 or caught.value.status < 500
    return caught.value.code


async def _settled() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


async def test_full_queue_sheds(queue_setup: _QueueSetup) -> None:
    """Guards against a shed request that waits until its deadline.

    It must be refused as soon as a full queue displaces it.
    """
    held = [await queue_setup.acquire('large') for _ in range(2)]
    queued = [queue_setup.acquire('large', priority=1) for _ in range(3)]
    await _settled()
    assert queue_setup.slot_queue.queued == 3
    urgent = queue_setup.acquire('large', priority=2)
    assert await _code(queued[2]) == 'overloaded'
    assert await _code(queue_setup.acquire('large')) == 'overloaded'
    small = queue_setup.acquire('small', priority=1)
    assert await _code(queued[1]) == 'overloaded'
    for slot in held:
        slot.release(served=True)
    assert (await urgent).queued_ms >= 0
    await asyncio.wait({queued[0], small}, return_when='FIRST_COMPLETED')
    queue_setup.slot_queue.start_draining()


async def test_refusal_on_arrival(queue_setup: _QueueSetup) -> None:
    """Guards against queueing requests that can't start in time."""
    for _ in range(4):
        queue_setup.slot_queue.limiter.service_times.add('', 10)
    held = [await queue_setup.acquire('large') for _ in range(2)]
    assert await _code(queue_setup.acquire('large', 1)) == 'deadline_too_short'
    long_wait = queue_setup.acquire('large', 60)
    await _settled()
    assert not long_wait.done()
    for slot in held:
        slot.release(served=False)
    assert await long_wait


async def test_refusals_after_the_limit_falls(queue_setup: _QueueSetup) -> None:
    """Guards against keeping requests that can no longer start in time.

    The limit falls while they are queued.
    """
    for _ in range(4):
        queue_setup.slot_queue.limiter.service_times.add('', 2)
    for _ in range(2):
        await queue_setup.acquire('large')
    queued = [queue_setup.acquire('large', 4) for _ in range(3)]
    await _settled()
    assert not any(task.done() for task in queued)
    object.__setattr__(queue_setup.pool, 'max_in_flight', 1)
    queue_setup.slot_queue.reevaluate_queue()
    await _settled()
    assert [task.done() for task in queued] == [False, False, True]
    assert await _code(queued[2]) == 'deadline_too_short'
    queue_setup.slot_queue.start_draining()
    assert await _code(queued[0]) == 'shutting_down'


async def test_organisation_limits(queue_setup: _QueueSetup) -> None:
    """Guards against one organisation taking all slots."""
    first = await queue_setup.acquire('narrow')
    second = queue_setup.acquire('narrow')
    await _settled()
    other = await asyncio.wait_for(queue_setup.acquire('large'), 1)
    assert not second.done()
    first.release(served=True)
    await asyncio.wait_for(second, 1)
    other.release(served=True)
    assert await _code(queue_setup.acquire('none')) == 'organisation_limit'


async def test_wait_behind_a_limited_organisation(
    queue_setup: _QueueSetup,
) -> None:
    """Guards against counting requests that can't take the next slot.

    Queued requests of an organisation at its limit must not make the estimated
    wait of other organisations longer.
    """
    for _ in range(4):
        queue_setup.slot_queue.limiter.service_times.add('', 10)
    await queue_setup.acquire('narrow')
    blocked = [queue_setup.acquire('narrow', 60) for _ in range(2)]
    await _settled()
    assert (
        await _code(queue_setup.acquire('narrow', 12)) == 'deadline_too_short'
    )
    await asyncio.wait_for(queue_setup.acquire('large', 1), 1)
    queue_setup.slot_queue.reevaluate_queue()
    assert not any(task.done() for task in blocked)


async def test_cancelled_waits(queue_setup: _QueueSetup) -> None:
    """Guards against slots that cancelled callers never release."""
    held = [await queue_setup.acquire('large') for _ in range(2)]
    queued = [queue_setup.acquire('large') for _ in range(2)]
    await _settled()
    queued[0].cancel()
    await _settled()
    assert queue_setup.slot_queue.queued == 1
    held[0].release(served=True)
    # The slot was granted, but the waiting task has not run since.
    queued[1].cancel()
    held[1].release(served=True)
    await _settled()
    assert queue_setup.slot_queue.limiter.in_flight == 0
    running = [await queue_setup.acquire('large') for _ in range(2)]
    assert (
        await _code(queue_setup.acquire('large', 0.05)) == 'deadline_too_short'
    )
    assert len(running) == queue_setup.slot_queue.limiter.in_flight


async def test_draining_and_withdrawal(queue_setup: _QueueSetup) -> None:
    """Guards against queued requests of a withdrawn version or leaving VM."""
    held = [await queue_setup.acquire('large') for _ in range(2)]
    withdrawn = queue_setup.acquire('large', version='1')
    allowed = queue_setup.acquire('large', version='2')
    await _settled()
    queue_setup.refused_versions.add('1')
    queue_setup.slot_queue.reevaluate_queue()
    assert await _code(withdrawn) == 'version_not_allowed'
    queue_setup.slot_queue.start_draining()
    assert await _code(allowed) == 'shutting_down'
    assert await _code(queue_setup.acquire('large')) == 'shutting_down'
    assert queue_setup.slot_queue.limiter.own_in_flight == len(held)
