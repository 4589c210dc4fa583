"""Stateful test of owners of one partition under faults of the log."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from yuccarouter.registry import owner, partitioning, replies
from yuccarouter_common.proto import router_pb2
from yuccarouter_testkit import memory_log, virtual_time

_KEYS = ('first',)
_OWNERS = 3
_WINDOW_MS = 3_600_000
# Attempts may be claimed again, at the same or another owner.
_ATTEMPTS = 5


class Claims(stateful.RuleBasedStateMachine):
    """Compares what claimants are told with what they may be told."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_time.VirtualTimeLoop()
        self.log = memory_log.MemoryLog()
        self.log.jitter = random.Random(1)
        self.log.delay_s = 0.003
        self.owners = [self._start() for _ in range(_OWNERS)]
        self.running: dict[str, set[str]] = {key: set() for key in _KEYS}
        self.ended: dict[str, set[str]] = {key: set() for key in _KEYS}
        self.outcomes: dict[str, str] = {}
        self.holders: dict[str, str] = {}

    def teardown(self) -> None:
        self.log.down = False
        for one in self.owners:
            self.loop.run_until_complete(one.stop())
        self.loop.close()

    @stateful.rule(
        calls=st.lists(
            st.tuples(
                st.integers(0, _OWNERS - 1),
                st.sampled_from(_KEYS),
                st.integers(0, _ATTEMPTS - 1),
                st.integers(1, 24),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def claim(self, calls: list[tuple[int, str, int, int]]) -> None:
        """Claimants call at the same time."""
        self.loop.run_until_complete(self._claim_all(calls))

    @stateful.rule(
        number=st.integers(0, _OWNERS - 1), key=st.sampled_from(_KEYS)
    )
    def release(self, number: int, key: str) -> None:
        """A winner that did not run gives its key back."""
        for attempt in sorted(self.running[key]):
            if key in self.outcomes:
                continue
            self.running[key].discard(attempt)
            self.ended[key].add(attempt)
            self._record(number, key, attempt, replies.RELEASE)

    @stateful.rule(
        number=st.integers(0, _OWNERS - 1), key=st.sampled_from(_KEYS)
    )
    def finish(self, number: int, key: str) -> None:
        """A winner that ran records its outcome."""
        for attempt in sorted(self.running[key]):
            reply = self._record(number, key, attempt, replies.OUTCOME)
            if reply is not None and reply.recorded:
                self.outcomes[key] = attempt

    @stateful.rule(lose=st.integers(0, 2), delay=st.integers(0, 2))
    def lose_answers(self, lose: int, delay: int) -> None:
        """The next appends lose their answers, before or after effect."""
        self.log.lose_answers = lose
        self.log.delay_appends = delay

    @stateful.rule(delay_ms=st.sampled_from([1, 3, 6]))
    def slow_log(self, delay_ms: int) -> None:
        """Each call of the log takes some time."""
        self.log.delay_s = delay_ms / 1000

    @stateful.rule()
    def deliver_late(self) -> None:
        """Delayed appends arrive, possibly a second time."""
        self.log.deliver_late()

    @stateful.rule(down=st.booleans())
    def switch_log(self, down: bool) -> None:
        """The log fails or returns."""
        self.log.down = down

    @stateful.rule(number=st.integers(0, _OWNERS - 1))
    def restart(self, number: int) -> None:
        """An owner's VM is replaced; its queue is lost."""
        self.loop.run_until_complete(self.owners[number].stop())
        self.owners[number] = self._start()

    @stateful.rule()
    def pause(self) -> None:
        """Time passes, so that queued releases can be written."""
        self.loop.run_until_complete(asyncio.sleep(0.05))

    @stateful.invariant()
    def one_winner(self) -> None:
        """At most one attempt runs for a key."""
        for attempts in self.running.values():
            assert len(attempts) <= 1

    def _start(self) -> owner.Owner:
        async def start() -> owner.Owner:
            one = owner.Owner(self.log, _WINDOW_MS, 4, 0, wait_ms=5, drain_s=0)
            await one.start()
            return one

        return self.loop.run_until_complete(start())

    async def _claim_all(self, calls: list[Any]) -> None:
        await asyncio.gather(*(self._claim_one(*call) for call in calls))

    async def _claim_one(
        self, number: int, key: str, attempt_number: int, timeout_ms: int
    ) -> None:
        attempt = f'attempt-{attempt_number}'
        if attempt in self.ended[key]:
            # An entry that has given a key back uses a new attempt id.
            return
        request = router_pb2.ClaimRequest(
            key=key,
            partition=partitioning.partition_of(key, 4),
            attempt_id=attempt,
            value=attempt,
            timeout_ms=timeout_ms,
        )
        reply = await self.owners[number].claim(request)
        if reply.state == replies.UNAVAILABLE:
            return
        assert reply.state in {replies.WON, replies.LOST}
        holder = reply.holder_attempt_id
        assert reply.value == holder
        if reply.state == replies.WON:
            assert holder == attempt
            assert attempt not in self.ended[key]
            self.running[key].add(attempt)
        if self.running[key] and reply.has_outcome:
            assert holder in self.running[key]
        if key in self.outcomes:
            # A value with an outcome never changes.
            assert holder == self.outcomes[key]

    def _record(
        self, number: int, key: str, attempt: str, item: str
    ) -> router_pb2.RecordReply | None:
        async def record() -> router_pb2.RecordReply | None:
            try:
                async with asyncio.timeout(0.05):
                    return await self.owners[number].record(
                        router_pb2.RecordRequest(
                            key=key,
                            partition=partitioning.partition_of(key, 4),
                            attempt_id=attempt,
                            item=item,
                        )
                    )
            except TimeoutError:
                return None

        return self.loop.run_until_complete(record())


class TestClaims(Claims.TestCase):
    """Guards against two runs for one key and against a value that changes."""

    settings = hypothesis.settings(
        max_examples=200,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
        # Shrinking many steps with time-outs takes longer than the limit.
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
