"""Tests of the directory of endpoints and their load."""

from __future__ import annotations

import gateway_makers as make
import pytest

from yuccarouter.gateway import endpoints, model


def names(directory: endpoints.Directory) -> list[str]:
    return sorted(view.name for view in directory)


@pytest.mark.parametrize(
    ('records', 'draining'),
    [
        # (start, heartbeat, draining) in the order of arrival.
        ([(1, 1, False), (1, 2, True)], True),
        # An earlier heartbeat does not end the draining.
        ([(1, 5, True), (1, 4, False)], True),
        # An endpoint that drains gets no requests until its next start.
        ([(1, 5, True), (1, 6, False)], True),
        ([(1, 5, True), (2, 1, False)], False),
        # A record of an earlier start is ignored.
        ([(2, 1, False), (1, 9, True)], False),
    ],
)
def test_announcements_out_of_order(
    clock: make.Clock, records: list[tuple[int, int, bool]], draining: bool
) -> None:
    """Guards against applying old records that arrive after newer ones."""
    directory = endpoints.Directory()
    for start, heartbeat, is_draining in records:
        directory.apply_announcement(
            make.announcement(
                incarnation=model.Incarnation(start, heartbeat),
                is_draining=is_draining,
            )
        )
    view = directory.get('e1')
    assert view is not None
    assert view.announced.is_draining is draining


def test_late_record_after_removal(clock: make.Clock) -> None:
    """Guards against a removed endpoint that an old record adds again."""
    directory = endpoints.Directory()
    directory.apply_announcement(
        make.announcement(incarnation=model.Incarnation(1, 7))
    )
    directory.remove('e1')
    directory.apply_announcement(
        make.announcement(incarnation=model.Incarnation(1, 6))
    )
    assert names(directory) == []
    directory.apply_announcement(
        make.announcement(incarnation=model.Incarnation(1, 8))
    )
    assert names(directory) == ['e1']


@pytest.mark.parametrize(
    ('outage_ms', 'is_reannounced', 'waited_ms', 'expected'),
    [
        # The outage was long enough for announcements to expire.
        (4000, True, 3000, ['e1']),
        (4000, False, 2000, ['e1']),
        (4000, False, 2300, []),
        # Announcements do not expire in a short outage.
        (400, False, 0, []),
    ],
)
def test_announcements_that_expired_in_an_outage(
    clock: make.Clock,
    outage_ms: float,
    is_reannounced: bool,
    waited_ms: float,
    expected: list[str],
) -> None:
    """Guards against removing live endpoints after an outage of the store."""
    directory = endpoints.Directory()
    directory.apply_announcement(
        make.announcement(incarnation=model.Incarnation(1, 1))
    )
    directory.on_store_reconnected(outage_ms)
    directory.remove('e1')
    if is_reannounced:
        clock.now_ms += 1500
        directory.apply_announcement(
            make.announcement(incarnation=model.Incarnation(1, 2))
        )
    clock.now_ms += waited_ms
    directory.expire()
    assert names(directory) == expected


def test_restart_clears_cache_and_failures(clock: make.Clock) -> None:
    """Guards against keeping the cache and failures of an earlier start."""
    directory = endpoints.Directory()
    directory.apply_announcement(make.announcement())
    view = directory.get('e1')
    assert view is not None
    view.record_cached('small', ['p'], clock.now_ms)
    view.record_no_answer(clock.now_ms)
    directory.apply_announcement(
        make.announcement(
            incarnation=model.Incarnation(2, 1), cold_remaining_ms=3000
        )
    )
    restarted = directory.get('e1')
    assert restarted is not None
    assert not restarted.cached
    assert restarted.consecutive_failures == 0
    assert restarted.is_cold(clock.now_ms)


@pytest.mark.parametrize(
    ('age_ms', 'expected'),
    [
        # Eight requests that the endpoint reported and one sent since then.
        (0, 9),
        (1000, 9),
        # An old report is ignored; two requests of this daemon remain.
        (2000, 2),
    ],
)
def test_occupancy(clock: make.Clock, age_ms: float, expected: int) -> None:
    """Guards against relying on stale load reports."""
    view = make.view(in_flight=2)
    view.record_load(model.Load(running=6, waiting=2, slots=64), clock.now_ms)
    view.sent_since_load = 1
    assert view.occupancy(clock.now_ms + age_ms) == expected


def test_backoff_grows(clock: make.Clock) -> None:
    """Guards against many attempts at an endpoint that does not answer."""
    view = make.view()
    backoffs = []
    for _ in range(6):
        view.record_no_answer(clock.now_ms)
        backoffs.append(view.avoid_until_ms - clock.now_ms)
    assert backoffs == [500, 1000, 2000, 4000, 4000, 4000]
    view.record_success()
    assert view.avoid_until_ms < clock.now_ms
