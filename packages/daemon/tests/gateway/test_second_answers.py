"""Tests of endpoints that send more than one answer on a connection."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from typing import Any

import aiohttp
import eliot
import hypothesis
import pytest
from hypothesis import strategies as st

from yuccarouter import answer_ends
from yuccarouter.gateway import connections

_EVENTS = b''.join(b'id: %d\ndata: event %d\n\n' % (n, n) for n in range(1, 5))
_TEXT = b'the text of an answer. ' * 8
_FIELDS = b'X-Request: r-1\r\nX-Signature: e-1.%d\r\n'
_STREAM_TYPE = b'Content-Type: text/event-stream\r\n'
_FORMLESS = b'\x00\xff no answer \r\n of any form\n'
_DELAYS_S = [0, 0.06]
_ENDED_S = 0.12
# How the end of the first answer is stated.
_FRAMINGS = ('length', 'chunks', 'none')
_SECONDS = (
    'itself',
    'error',
    'error without length',
    'error in lower case',
    'refusal',
    "another's",
    'interim',
    'formless',
    'cut in its status line',
    'cut in its head',
)


def make_answer(
    body: bytes, framing: str, status: int = 200, fields: bytes = b''
) -> bytes:
    """Return an answer whose end is stated as ``framing`` says."""
    head = b'HTTP/1.1 %d X\r\n' % status + _FIELDS % status + fields
    if framing == 'length':
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    if framing == 'chunks':
        chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
    return head + b'\r\n' + body


def make_second(kind: str, first: bytes) -> bytes:
    """Return the bytes that an endpoint sends after its first answer."""
    error = make_answer(b'failed', 'length', 500)
    seconds = {
        'itself': first,
        'error': error,
        'error without length': make_answer(b'failed', 'none', 500),
        'error in lower case': error.lower().replace(b'http/', b'HTTP/'),
        'refusal': make_answer(b'', 'length', 503, b'Not-Run: 1\r\n'),
        "another's": first.replace(b'r-1', b'r-2').replace(b'e', b'E'),
        'interim': b'HTTP/1.1 100 Continue\r\n\r\n',
        'formless': _FORMLESS,
        'cut in its status line': first[: len('HTTP/1.1 2')],
        'cut in its head': first[: first.index(b'\r\n\r\n') + 2],
    }
    return seconds[kind]


def make_late_reader(delay_s: float) -> type[aiohttp.ClientResponse]:
    """Return a class of responses that read their head after a delay."""

    class LateReader(aiohttp.ClientResponse):
        async def start(self, connection: Any) -> aiohttp.ClientResponse:
            await asyncio.sleep(delay_s)
            return await super().start(connection)

    return LateReader


async def receive(
    first: bytes, second: bytes, delay_s: float, method: str = 'POST'
) -> bytes | None:
    """Return the body that arrives, ``None`` if it breaks off.

    It must not depend on whether the head or the body is read at once, or when
    all has arrived and the connection has ended.
    """
    bodies = await asyncio.gather(
        *(
            receive_once(first, second, delay_s, method, *read_delays_s)
            for read_delays_s in ((0, 0), (0, _ENDED_S), (_ENDED_S, 0))
        )
    )
    assert len(set(bodies)) == 1
    return bodies[0]


async def receive_once(
    first: bytes,
    second: bytes,
    delay_s: float,
    method: str,
    head_delay_s: float,
    body_delay_s: float,
) -> bytes | None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if delay_s:
            writer.write(first)
            await asyncio.sleep(delay_s)
            writer.write(second)
        else:
            writer.write(first + second)
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    session = connections.make_session()
    session._response_class = make_late_reader(head_delay_s)
    try:
        # The session's own timeout is for an idle machine.
        async with session.request(
            method,
            f'http://127.0.0.1:{port}/',
            timeout=aiohttp.ClientTimeout(total=60),
        ) as response:
            await asyncio.sleep(body_delay_s)
            return await response.read()
    except aiohttp.ClientPayloadError:
        return None
    finally:
        await session.close()
        server.close()


@pytest.mark.parametrize('delay_s', _DELAYS_S)
@pytest.mark.parametrize('kind', _SECONDS)
@pytest.mark.parametrize('framing', _FRAMINGS)
async def test_stream_before_other_bytes(
    framing: str, kind: str, delay_s: float
) -> None:
    """Guards against callers' streams that contain bytes of another answer.

    A stream that states its end is whole. One without a length or chunks ends
    where a status line follows its last event; with other bytes after it,
    it breaks off, as these may stand in place of its events.
    """
    first = make_answer(_EVENTS, framing, fields=_STREAM_TYPE)
    received = await receive(first, make_second(kind, first), delay_s)
    if framing == 'none' and kind == 'formless':
        assert received is None
    elif framing == 'none' and kind == 'cut in its status line':
        # The end of an incomplete line is the end within an event.
        assert received == _EVENTS + b'HTTP/1.1 2'
    else:
        assert received == _EVENTS


@pytest.mark.parametrize('delay_s', _DELAYS_S)
@pytest.mark.parametrize('kind', _SECONDS)
@pytest.mark.parametrize('framing', _FRAMINGS)
async def test_body_before_other_bytes(
    framing: str, kind: str, delay_s: float
) -> None:
    """Guards against a body with another answer in it that looks complete.

    A body without a length may contain any text, so that it is known to be
    whole only if the same answer follows once more. Bytes of no form after it
    can't be told from its text.
    """
    first = make_answer(_TEXT, framing)
    second = make_second(kind, first)
    received = await receive(first, second, delay_s)
    if framing != 'none' or kind == 'itself':
        assert received == _TEXT
    elif kind == 'formless':
        assert received == _TEXT + second
    else:
        assert received is None


@pytest.mark.parametrize('delay_s', _DELAYS_S)
@pytest.mark.parametrize(
    'cut', ['id: 5\n', 'id: 5\ndata: ev', 'id: 5\ndata:\n']
)
async def test_stream_that_breaks_off_before_another_answer(
    cut: str, delay_s: float
) -> None:
    """Guards against a broken stream that looks complete or goes on wrongly.

    The endpoint stops within an event and then sends another answer.
    """
    first = make_answer(_EVENTS + cut.encode(), 'none', fields=_STREAM_TYPE)
    second = make_answer(b'failed', 'length', 500).lower()
    formless = b'\x00 no answer\r\n\r\n\x01'
    for other in (second, second.replace(b'http/', b'HTTP/'), formless):
        assert await receive(first, other, delay_s) is None


@pytest.mark.parametrize(
    ('body', 'is_stream'),
    [
        (b'see "HTTP/1.1 200 OK" in RFC 9112', False),
        (b'HTTP/1.1 200 OK\r\nno header follows', False),
        (b'HTTP/1.1 200 OK\r\nA: b\r\nno header follows', False),
        (b'a body may end with H', False),
        (b'or with HTTP', False),
        (b'', False),
        (b'id: 1\ndata: HTTP/1.1 200 OK\n\n', True),
        (b': HTTP/1.1 200 OK\n\nid: 1\ndata\n\n', True),
        (
            b'event: HTTP/1.1 200 OK\r\nid: 1\r\nretry: 3\r\ndata: a\r\n\r\n',
            True,
        ),
        (b'', True),
    ],
)
async def test_bodies_that_mention_the_protocol(
    body: bytes, is_stream: bool
) -> None:
    """Guards against sound answers without a length that are rejected."""
    fields = _STREAM_TYPE if is_stream else b''
    for cut in range(len(body) + 1):
        first = make_answer(body, 'none', fields=fields)
        split = len(first) - cut
        received = await receive(first[:split], first[split:], 0.001)
        assert received == body


@pytest.mark.parametrize('delay_s', _DELAYS_S)
@pytest.mark.parametrize(
    ('method', 'status', 'framing'),
    [
        ('HEAD', 200, 'length'),
        ('HEAD', 200, 'none'),
        ('GET', 204, 'none'),
        ('GET', 304, 'length'),
    ],
)
async def test_answer_without_a_body(
    method: str, status: int, framing: str, delay_s: float
) -> None:
    """Guards against bytes that pass for the body of an answer without one."""
    head = make_answer(b'', framing, status)
    second = make_answer(_TEXT, 'length')
    assert await receive(head, second, delay_s, method) == b''


@pytest.mark.parametrize('interim_count', [1, 3])
async def test_answer_after_interim_ones(interim_count: int) -> None:
    """Guards against an interim answer that counts as the first of two."""
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' * interim_count
    answer = make_answer(_TEXT, 'length')
    assert await receive(interim, answer, 0) == _TEXT


_HEAD = make_answer(b'', 'none')


def feed(
    answer_end: answer_ends.AnswerEnd, received: bytes, cuts: list[int]
) -> tuple[bytes, answer_ends.End]:
    """Return what is passed on of bytes that arrive in several reads."""
    bounds = [0, *sorted(cuts), len(received)]
    passed = [
        answer_end.feed(received[start:end])
        for start, end in zip(bounds, bounds[1:], strict=False)
    ]
    return b''.join((*passed, answer_end.close())), answer_end.end


@hypothesis.given(
    text=st.lists(
        st.sampled_from(
            [
                *(b'HTTP/1.1 200 OK\r\n', b'HTTP/1.1 2', b'A: b\r\n', b'\r\n'),
                *(b'id: 1\n', b'data: HTTP', b'\n', b'text', _HEAD),
            ]
        ),
        max_size=8,
    ).map(b''.join),
    cuts=st.lists(st.integers(0, 120), max_size=8),
    is_stream=st.booleans(),
)
def test_ends_do_not_depend_on_reads(
    text: bytes, cuts: list[int], is_stream: bool
) -> None:
    """Guards against an end that is found or missed by where reads end."""

    def make() -> answer_ends.AnswerEnd:
        if is_stream:
            return answer_ends.StreamEnd()
        return answer_ends.BodyEnd(_HEAD)

    in_one = feed(make(), text, [])
    in_parts = feed(make(), text, [min(cut, len(text)) for cut in cuts])
    assert in_parts[1] is in_one[1]
    if in_one[1] is not answer_ends.End.UNKNOWN:
        assert in_parts[0] == in_one[0]


@pytest.mark.parametrize(
    ('field', 'end'),
    [
        (b'versions', answer_ends.End.OPEN),
        (b'version', answer_ends.End.UNKNOWN),
        (b'Versions', answer_ends.End.UNKNOWN),
    ],
)
def test_fields_of_the_platform(field: bytes, end: answer_ends.End) -> None:
    """Guards against sound streams that break off at a field of their own."""
    stream = answer_ends.StreamEnd(frozenset((b'versions',)))
    event = field + b': 2\nid: 1\ndata: a\n\n'
    passed = stream.feed(event)
    assert stream.end is end
    assert passed == (event if end is answer_ends.End.OPEN else b'')


@pytest.mark.parametrize(
    'reason',
    [b'Error 12', b'Failed (queue)', b'Caf\xc3\xa9', b'I/O', b'a\rb', b''],
)
def test_reasons_between_reads(reason: bytes) -> None:
    """Guards against another answer that is missed if a read ends within it.

    Its status line may have any reason.
    """
    text = _TEXT + make_answer(b'failed', 'length').replace(b'X', reason, 1)
    for cut in range(len(_TEXT), len(text)):
        passed, end = feed(answer_ends.BodyEnd(_HEAD), text, [cut])
        assert end is answer_ends.End.UNKNOWN
        assert _TEXT.startswith(passed)


@pytest.mark.parametrize(
    ('repeated', 'read_bytes'),
    [
        (b'HTTP/1.1 200 ', 262144),
        (b'HTTP/1.1 200\r', 262144),
        (b'a' * 13, 1460),
        (b'A: b\r\n', 1460),
    ],
)
def test_time_is_linear(repeated: bytes, read_bytes: int) -> None:
    """Guards against bytes in whose search the process stands still.

    Searching the reads took seconds to minutes. The limit is far above the
    tenth of a second that it takes.
    """
    start = b'HTTP/1.1 200 OK\r\n' if b':' in repeated else b'HTTP/1.1 200 '
    text = start + repeated * (1_000_000 // len(repeated))
    answer_end = answer_ends.BodyEnd(_HEAD)
    started_s = time.process_time()
    for position in range(0, len(text), read_bytes):
        answer_end.feed(text[position : position + read_bytes])
        assert time.process_time() - started_s < 10


@pytest.mark.parametrize('delay_s', _DELAYS_S)
async def test_heads_of_two_answers(delay_s: float) -> None:
    """Guards against an empty success if two answers end after their heads."""
    head = make_answer(b'', 'none')
    other = make_second("another's", head)
    assert await receive(head, other, delay_s) is None


@pytest.mark.parametrize('start', [b'', b': open\n\n', b'\n'])
async def test_stream_without_events_before_another_answer(
    start: bytes,
) -> None:
    """Guards against a resumed stream that ends as complete without its rest.

    The endpoint that resumes it sends the head of one answer and then another.
    """
    first = make_answer(start, 'none', fields=_STREAM_TYPE)
    assert await receive(first, make_second('error', first), 0) is None


@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('fields', [b'', _STREAM_TYPE])
@pytest.mark.parametrize(
    ('second', 'count'), [(b'', 0), (_FORMLESS, 1), (_HEAD, 1)]
)
async def test_counts_only_bytes_after_answers(
    framing: str, fields: bytes, second: bytes, count: int
) -> None:
    """Guards against an alarm for each answer, and a log with answers in it."""
    logged: list[dict[str, Any]] = []
    eliot.add_destinations(logged.append)
    # The first destination receives what was logged before.
    logged.clear()
    try:
        first = make_answer(_EVENTS, framing, fields=fields)
        await receive_once(first, second, 0, 'POST', 0, 0)
        await asyncio.sleep(0.05)
    finally:
        eliot.remove_destination(logged.append)
    lines = [
        line
        for line in logged
        if line.get('message_type') == 'bytes_after_answer'
    ]
    # Bytes of no form can't be told from the text of a whole answer.
    is_text = framing == 'none' and not fields and second == _FORMLESS
    assert len(lines) == (0 if is_text else count)
    assert 'no answer' not in str(lines)


@pytest.mark.parametrize('fields', [b'', _STREAM_TYPE])
async def test_own_close_within_an_answer(fields: bytes) -> None:
    """Guards against an answer that looks complete as this side closed."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(make_answer(_EVENTS, 'none', fields=fields))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    session = connections.make_session()
    async with session.get(f'http://127.0.0.1:{port}/') as response:
        await response.content.readany()
        await session.close()
        with pytest.raises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(response.read(), 5)
    server.close()


@pytest.mark.parametrize('is_stream', [True, False])
def test_held_bytes_are_bounded(is_stream: bool) -> None:
    """Guards against memory that grows with bytes that never form a line."""
    answer_end: answer_ends.AnswerEnd = answer_ends.BodyEnd(_HEAD)
    if is_stream:
        answer_end = answer_ends.StreamEnd()
    answer_end.feed(b'' if is_stream else b'HTTP/1.1 200 OK\r\nA: ')
    for _ in range(answer_ends.MAX_REPEAT_BYTES // 65536 + 1):
        answer_end.feed(b'x' * 65536)
    assert answer_end.end is answer_ends.End.UNKNOWN


def test_memory_of_a_long_body() -> None:
    """Guards against memory that grows with a body without an end."""
    answer_end = answer_ends.BodyEnd(_HEAD)
    received = b'x' * 65536
    tracemalloc.start()
    for _ in range(512):
        assert answer_end.feed(received) == received
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 3 * answer_ends.MAX_REPEAT_BYTES
    # The body is too long to be compared with a second one.
    answer_end.feed(_HEAD + received)
    answer_end.close()
    assert answer_end.end is answer_ends.End.UNKNOWN
