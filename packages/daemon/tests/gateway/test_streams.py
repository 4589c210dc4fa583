"""Tests of the splitting of event streams and of adaptive timeouts."""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import events, stream_timeouts


def make_event(number: int) -> bytes:
    return b'id: %d\ndata: text %d\n\n' % (number, number)


STREAM = b''.join(make_event(number) for number in range(1, 9))


@hypothesis.given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_do_not_depend_on_chunks(cuts: list[int]) -> None:
    """Guards against events that are lost or repeated between two reads."""
    buffer = events.EventBuffer()
    bounds = [0, *sorted(cuts), len(STREAM)]
    forwarded = b''.join(
        buffer.feed(STREAM[start:end])
        for start, end in zip(bounds, bounds[1:], strict=False)
    )
    assert forwarded == STREAM
    assert buffer.is_at_event_end


@hypothesis.given(cut=st.integers(0, len(STREAM)), repeated=st.integers(0, 8))
def test_resumed_stream_is_complete(cut: int, repeated: int) -> None:
    """Guards against missing and repeated events in a resumed stream."""
    buffer = events.EventBuffer()
    forwarded = buffer.feed(STREAM[:cut])
    last = buffer.last_id or 0
    buffer.discard_incomplete()
    # An endpoint may repeat events from before the requested one.
    first = max(1, last + 1 - repeated)
    rest = b''.join(make_event(number) for number in range(first, 9))
    assert forwarded + buffer.feed(rest) == STREAM


@pytest.mark.parametrize(
    ('last', 'chunk', 'passed', 'is_rejected'),
    [
        (None, make_event(1), make_event(1), False),
        (None, make_event(4), make_event(4), False),
        (3, make_event(4), make_event(4), False),
        (3, make_event(5), b'', True),
        (3, make_event(4) + make_event(6), make_event(4), True),
    ],
)
def test_missing_events(
    last: int | None, chunk: bytes, passed: bytes, is_rejected: bool
) -> None:
    """Guards against a stream that continues after missing events.

    An event before the gap counts as passed on: it must not be lost, as the
    stream is resumed after it.
    """
    buffer = events.EventBuffer(last_id=last)
    if passed:
        assert buffer.feed(chunk) == passed
    if is_rejected:
        assert passed == b'' or not buffer.is_at_event_end
        with pytest.raises(events.OrderError):
            buffer.feed(b'' if passed else chunk)
        assert buffer.last_id == (4 if passed else last)
        buffer.discard_incomplete()
        assert buffer.feed(b'') == b''


@pytest.mark.parametrize(
    ('unit', 'count', 'is_rejected'),
    [
        # A comment each second in a quarter of an hour.
        (b': keep-alive\n\n', 1000, False),
        (b'\n', 16_000, False),
        (b': keep-alive\n\n', 1300, True),
        (b'\n', 17_000, True),
        (b'event: x\n\n', 2000, True),
    ],
)
@pytest.mark.parametrize('chunk_bytes', [7, 16_384])
def test_bytes_between_events(
    unit: bytes, count: int, is_rejected: bool, chunk_bytes: int
) -> None:
    """Guards against a stream that goes on without an event with data.

    An event with data counts as progress, however many comments precede it.
    """
    buffer = events.EventBuffer()
    filler = unit * count

    def feed(data: bytes) -> bytes:
        starts = range(0, len(data), chunk_bytes)
        parts = [data[start : start + chunk_bytes] for start in starts]
        return b''.join(map(buffer.feed, parts))

    if is_rejected:
        with pytest.raises(events.NoProgressError):
            # What precedes the fault is returned first.
            feed(filler + unit * 2)
            buffer.feed(b'')
    else:
        for number in (1, 2, 3):
            sent = filler + make_event(number)
            assert feed(sent) == sent
        assert buffer.data_count == 3


def test_incomplete_event() -> None:
    """Guards against a truncated stream that is taken for a complete one."""
    buffer = events.EventBuffer()
    assert buffer.feed(make_event(1) + b'id: 2\ndata: te') == make_event(1)
    assert not buffer.is_at_event_end


@pytest.mark.parametrize(
    ('scenario', 'ratios', 'tokens', 'least_ms', 'most_ms'),
    [
        ('short prompts on fast engines', [1.0] * 40, 100, 1500, 1500),
        (
            'loaded engines take ten times as long',
            [10.0] * 40,
            5000,
            2300,
            3000,
        ),
        (
            'limited to leave time for another endpoint',
            [50.0] * 40,
            9000,
            3000,
            3000,
        ),
    ],
)
def test_timeout_follows_the_load(
    scenario: str,
    ratios: list[float],
    tokens: int,
    least_ms: float,
    most_ms: float,
) -> None:
    """Guards against retries that add load to engines that are slow already."""
    timeout = stream_timeouts.FirstEventTimeout()
    for ratio in ratios:
        timeout.record(ratio * stream_timeouts.expected_ms(tokens), tokens)
    assert least_ms <= timeout.timeout_ms(tokens, 2000) <= most_ms, scenario


def test_comments_are_no_progress() -> None:
    """Guards against a stalled stream that only sends comments."""
    buffer = events.EventBuffer()
    assert buffer.feed(b': on\n\n') == b': on\n\n'
    assert buffer.data_count == 0
    buffer.feed(make_event(1))
    assert buffer.data_count == 1


@pytest.mark.parametrize('size', [1, 4096, 65536])
def test_event_without_end(size: int) -> None:
    """Guards against an endless event that fills a daemon's memory."""
    buffer = events.EventBuffer()
    total = 0
    with pytest.raises(events.EventTooLongError):
        for _ in range(events.MAX_EVENT_BYTES // size + 2):
            buffer.feed(b'z' * size)
            total += size
    assert total <= events.MAX_EVENT_BYTES


def test_long_event_is_searched_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against time that is quadratic in the length of an event.

    Eight megabytes in small chunks blocked the event loop for 13 seconds.
    """
    searched: list[int] = []

    class Pattern:
        def finditer(self, data: bytearray, start: int) -> list[Any]:
            searched.append(len(data) - start)
            return []

    monkeypatch.setattr(events, '_EVENT_END', Pattern())
    buffer = events.EventBuffer()
    for _ in range(1000):
        buffer.feed(b'z' * 1000)
    assert sum(searched) <= 1000 * (1000 + 3)
