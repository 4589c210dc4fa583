"""Tests of events of streams and of how long silence is borne."""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter.gateway import events, stream_timeouts


def event(number: int) -> bytes:
    return b'id: %d\ndata: text %d\n\n' % (number, number)


STREAM = b''.join(event(number) for number in range(1, 9))


@hypothesis.given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_cut_gives_the_same_events(cuts: list[int]) -> None:
    """Guards against events that the borders of reads tear or double."""
    buffer = events.EventBuffer()
    edges = [0, *sorted(cuts), len(STREAM)]
    passed = b''.join(
        buffer.feed(STREAM[start:end])
        for start, end in zip(edges, edges[1:], strict=False)
    )
    assert passed == STREAM
    assert buffer.is_clean


@hypothesis.given(cut=st.integers(0, len(STREAM)), repeated=st.integers(0, 8))
def test_resumed_stream_is_whole(cut: int, repeated: int) -> None:
    """Guards against gaps and doubles where a stream is resumed."""
    buffer = events.EventBuffer()
    passed = buffer.feed(STREAM[:cut])
    last = buffer.last_id or 0
    buffer.restart()
    # An endpoint may repeat events that it is not asked for.
    first = max(1, last + 1 - repeated)
    rest = b''.join(event(number) for number in range(first, 9))
    assert passed + buffer.feed(rest) == STREAM


@pytest.mark.parametrize(
    ('last', 'chunk', 'faulty'),
    [
        (None, event(1), False),
        (None, event(4), False),
        (3, event(4), False),
        (3, event(5), True),
        (3, event(4) + event(6), True),
    ],
)
def test_missing_events(last: int | None, chunk: bytes, faulty: bool) -> None:
    """Guards against a stream that goes on behind a hole."""
    buffer = events.EventBuffer(last_id=last)
    if faulty:
        with pytest.raises(events.OrderError):
            buffer.feed(chunk)
    else:
        assert buffer.feed(chunk) == chunk


def test_cut_event_is_not_whole() -> None:
    """Guards against ending a stream within an event as if it were whole."""
    buffer = events.EventBuffer()
    assert buffer.feed(event(1) + b'id: 2\ndata: te') == event(1)
    assert not buffer.is_clean


@pytest.mark.parametrize(
    ('pattern', 'ratios', 'tokens', 'least_ms', 'most_ms'),
    [
        ('short prompts, quick engines', [1.0] * 40, 100, 1500, 1500),
        (
            'loaded engines take ten times as long',
            [10.0] * 40,
            5000,
            2300,
            3000,
        ),
        ('never longer than what leaves time', [50.0] * 40, 9000, 3000, 3000),
    ],
)
def test_patience_follows_the_load(
    pattern: str,
    ratios: list[float],
    tokens: int,
    least_ms: float,
    most_ms: float,
) -> None:
    """Guards against repeats of slow answers that make all others slower."""
    usual = stream_timeouts.FirstEventTimeout()
    for ratio in ratios:
        usual.record(ratio * stream_timeouts.expected_ms(tokens), tokens)
    assert least_ms <= usual.timeout_ms(tokens, 2000) <= most_ms, pattern


def test_comments_are_no_progress() -> None:
    """Guards against a stalled stream that sends a comment now and then."""
    buffer = events.EventBuffer()
    assert buffer.feed(b': on\n\n') == b': on\n\n'
    assert buffer.data_count == 0
    buffer.feed(event(1))
    assert buffer.data_count == 1


@pytest.mark.parametrize('size', [1, 4096, 65536])
def test_event_without_end(size: int) -> None:
    """Guards against an endpoint that fills a daemon's memory."""
    buffer = events.EventBuffer()
    total = 0
    with pytest.raises(events.EventTooLongError):
        for _ in range(events.MAX_EVENT_BYTES // size + 2):
            buffer.feed(b'z' * size)
            total += size
    assert total <= events.MAX_EVENT_BYTES


def test_long_event_is_searched_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against time that grows with the square of an event's length.

    Eight megabytes in pieces blocked the event loop for thirteen seconds.
    """
    searched: list[int] = []

    class Pattern:
        def finditer(self, data: bytearray, start: int) -> list[Any]:
            searched.append(len(data) - start)
            return []

    monkeypatch.setattr(events, '_END', Pattern())
    buffer = events.EventBuffer()
    for _ in range(1000):
        buffer.feed(b'z' * 1000)
    assert sum(searched) <= 1000 * (1000 + 3)
