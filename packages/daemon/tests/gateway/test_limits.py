"""Tests of limits that apply to the sum of all daemons."""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import cold_limit, retry_budget, senders

RATIO = 0.9
SLACK = 56.0
WINDOW_MS = 10_000.0


@hypothesis.given(
    daemons=st.integers(1, 40),
    events=st.lists(
        st.tuples(st.integers(0, 39), st.integers(0, 300), st.integers(0, 3)),
        max_size=400,
    ),
)
def test_sum_of_retries_stays_within_the_bound(
    daemons: int, events: list[tuple[int, int, int]]
) -> None:
    """Guards against daemons whose sum of retries exceeds the bound."""
    budgets = [
        retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS)
        for _ in range(daemons)
    ]
    now_ms = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for daemon, pause_ms, wanted_retries in events:
        now_ms += pause_ms
        budget = budgets[daemon % daemons]
        budget.record_request('s', now_ms)
        requests.append(now_ms)
        for _ in range(wanted_retries):
            if budget.take('s', now_ms, daemons):
                retries.append(now_ms)
        since_ms = now_ms - WINDOW_MS
        recent_requests = sum(1 for time_ms in requests if time_ms > since_ms)
        recent_retries = sum(1 for time_ms in retries if time_ms > since_ms)
        assert recent_retries <= RATIO * recent_requests + SLACK


@pytest.mark.parametrize('restart_ms', [0, 1500, 9000])
@pytest.mark.parametrize('daemons', [1, 4])
def test_restarts_do_not_renew_the_slack(
    daemons: int, restart_ms: float
) -> None:
    """Guards against a retry budget that each restart grants anew.

    All daemons spend their budget, restart and spend it again, as after a loss
    of power in the middle of a wave of failures.
    """
    requests: list[float] = []
    retries: list[float] = []
    for start_ms in (0.0, restart_ms):
        budgets = [
            retry_budget.RetryBudget(
                RATIO, SLACK, WINDOW_MS, slack_from_ms=start_ms + WINDOW_MS
            )
            for _ in range(daemons)
        ]
        for now_ms in (start_ms + 1, start_ms + 900):
            for budget in budgets:
                for _ in range(10):
                    budget.record_request('s', now_ms)
                    requests.append(now_ms)
                while budget.take('s', now_ms, daemons):
                    retries.append(now_ms)
    assert len(retries) <= RATIO * len(requests) + SLACK


def test_slack_after_a_window() -> None:
    """Guards against a daemon that never gets its share of the slack."""
    budget = retry_budget.RetryBudget(
        RATIO, SLACK, WINDOW_MS, slack_from_ms=WINDOW_MS
    )
    assert not budget.take('s', WINDOW_MS - 1, 1)
    assert budget.take('s', WINDOW_MS, 1)


def test_optional_retries_leave_a_reserve() -> None:
    """Guards against escalations that spend the budget of failures."""
    budget = retry_budget.RetryBudget(RATIO, SLACK, WINDOW_MS)
    while budget.take('s', 0, 1, reserve_share=0.3):
        continue
    assert budget.take('s', 0, 1)


@pytest.mark.parametrize('daemons', [1, 4, 17, 30, 68, 400])
@pytest.mark.parametrize('cold_per_s', [0.5, 7.8])
def test_sum_of_cold_shares_stays_within_the_limit(
    daemons: int, cold_per_s: float
) -> None:
    """Guards against a cold endpoint that all daemons use at once."""
    names = [f'd{number}' for number in range(daemons)]
    share = cold_limit.share_per_daemon(cold_per_s, 1.5, 5, daemons)
    sends: dict[str, collections.deque[float]] = {
        name: collections.deque()
        for name in names
        if senders.is_sender(
            'e',
            name,
            tuple(other for other in names if other != name),
            share.senders,
        )
    }
    deliveries: list[float] = []
    for now_ms in range(0, 5000, 20):
        for send_times in sends.values():
            if cold_limit.may_send(send_times, share.per_s, now_ms):
                send_times.append(now_ms)
                deliveries.append(now_ms)
    assert deliveries
    for start_ms in range(0, 4000, 100):
        within = [at for at in deliveries if start_ms <= at < start_ms + 1000]
        assert len(within) <= cold_per_s * 1.5 + 5


@pytest.mark.parametrize('restart_ms', [100, 600, 1000])
def test_restarts_do_not_renew_cold_shares(restart_ms: float) -> None:
    """Guards against a cold endpoint that gets two shares of each daemon.

    All daemons send as much as they may, restart and do so again.
    """
    share = cold_limit.share_per_daemon(7.8, 1.5, 5, 4)
    deliveries: list[float] = []
    for start_ms in (-1000.0, restart_ms):
        for _ in range(4):
            send_times: collections.deque[float] = collections.deque()
            for now_ms in range(int(max(0, start_ms)), 2200, 50):
                if start_ms < 0 and now_ms >= restart_ms:
                    break
                allowed = cold_limit.share_after_start(share, now_ms - start_ms)
                if cold_limit.may_send(send_times, allowed.per_s, now_ms):
                    send_times.append(now_ms)
                    deliveries.append(now_ms)
    for start_ms in range(0, 2200, 50):
        within = [at for at in deliveries if start_ms <= at < start_ms + 1000]
        assert len(within) <= 7.8 * 1.5 + 5


def test_cold_endpoints_have_different_senders() -> None:
    """Guards against only a few daemons that may use cold endpoints."""
    names = tuple(f'd{number}' for number in range(68))
    counts = [
        sum(
            senders.is_sender(f'e{endpoint}', name, names, 13)
            for endpoint in range(60)
        )
        for name in names
    ]
    assert min(counts) > 0
    assert max(counts) < 30
