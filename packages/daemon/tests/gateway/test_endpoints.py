"""Tests of what is known of endpoints."""

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
        # A heartbeat that was late does not take an endpoint back.
        ([(1, 5, True), (1, 4, False)], True),
        # An endpoint that leaves stays away until its next start.
        ([(1, 5, True), (1, 6, False)], True),
        ([(1, 5, True), (2, 1, False)], False),
        # A record of an earlier start changes nothing.
        ([(2, 1, False), (1, 9, True)], False),
    ],
)
def test_order_of_announcements(
    clock: make.Clock, records: list[tuple[int, int, bool]], draining: bool
) -> None:
    """Guards against old records that overtake newer ones."""
    directory = endpoints.Directory()
    for start, heartbeat, is_draining in records:
        directory.apply_announcement(
            make.announcement(
                incarnation=model.Incarnation(start, heartbeat),
                is_draining=is_draining,
            )
        )
    found = directory.get('e1')
    assert found is not None
    assert found.announced.is_draining is draining


def test_late_record_after_removal(clock: make.Clock) -> None:
    """Guards against a removed endpoint that an old record brings back."""
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
    ('away_ms', 'returns', 'later_ms', 'expected'),
    [
        # The store was away long enough for announcements to lapse.
        (4000, True, 3000, ['e1']),
        (4000, False, 2000, ['e1']),
        (4000, False, 2300, []),
        # A short loss of contact explains no removal.
        (400, False, 0, []),
    ],
)
def test_lapse_while_the_store_is_away(
    clock: make.Clock,
    away_ms: float,
    returns: bool,
    later_ms: float,
    expected: list[str],
) -> None:
    """Guards against dropping live endpoints when the store comes back."""
    directory = endpoints.Directory()
    directory.apply_announcement(
        make.announcement(incarnation=model.Incarnation(1, 1))
    )
    directory.on_store_reconnected(away_ms)
    directory.remove('e1')
    if returns:
        clock.now_ms += 1500
        directory.apply_announcement(
            make.announcement(incarnation=model.Incarnation(1, 2))
        )
    clock.now_ms += later_ms
    directory.expire()
    assert names(directory) == expected


def test_new_start_forgets(clock: make.Clock) -> None:
    """Guards against caches and losses of an earlier start that live on."""
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
    fresh = directory.get('e1')
    assert fresh is not None
    assert not fresh.cached
    assert fresh.consecutive_failures == 0
    assert fresh.is_cold(clock.now_ms)


@pytest.mark.parametrize(
    ('age_ms', 'expected'),
    [
        # Two own requests, and eight that the endpoint told of.
        (0, 9),
        (1000, 9),
        # An old report says nothing any more.
        (2000, 2),
    ],
)
def test_occupancy(clock: make.Clock, age_ms: float, expected: int) -> None:
    """Guards against counting on stale reports of load."""
    view = make.view(in_flight=2)
    view.record_load(model.Load(running=6, waiting=2, slots=64), clock.now_ms)
    view.sent_since_load = 1
    assert view.occupancy(clock.now_ms + age_ms) == expected


def test_pauses_of_a_lost_endpoint_grow(clock: make.Clock) -> None:
    """Guards against hammering an endpoint that stays away."""
    view = make.view()
    pauses = []
    for _ in range(6):
        view.record_no_answer(clock.now_ms)
        pauses.append(view.avoid_until_ms - clock.now_ms)
    assert pauses == [500, 1000, 2000, 4000, 4000, 4000]
    view.record_success()
    assert view.avoid_until_ms < clock.now_ms
