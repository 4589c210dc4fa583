"""Tests of the limit on the memory of all unfinished answers together."""

from __future__ import annotations

import contextlib

import pytest

from yuccarouter.gateway import process_memory

LIMIT_BYTES = 1000


def owner_of(endpoint: str) -> process_memory.Owner:
    return process_memory.Owner('endpoint', endpoint)


@pytest.mark.parametrize(
    ('held', 'ended'),
    [
        # Within the limit.
        ([('e1', 500), ('e2', 500)], []),
        # Many endless answers of one endpoint beside another's sound one.
        ([('e1', 300), ('e1', 400), ('e2', 200), ('e1', 200)], [('e1', 400)]),
        # A single large answer counts less than many of one endpoint.
        ([('e2', 450), ('e1', 200), ('e1', 200), ('e1', 200)], [('e1', 200)]),
        # One answer beyond the limit.
        ([('e2', 100), ('e1', 1001)], [('e1', 1001)]),
    ],
)
def test_which_answers_are_ended(
    held: list[tuple[str, int]], ended: list[tuple[str, int]]
) -> None:
    """Guards against answers that together exceed the memory of the process.

    Those of the endpoint that holds most are ended, and no others.
    """
    memory = process_memory.ProcessMemory(LIMIT_BYTES)
    found: list[tuple[str, int]] = []
    with contextlib.ExitStack() as stack:
        for endpoint, held_bytes in held:
            row = (endpoint, held_bytes)
            holding = stack.enter_context(
                memory.hold(
                    owner_of(endpoint),
                    process_memory.LARGEST_FIRST,
                    lambda row=row: found.append(row),
                )
            )
            memory.resize(holding, held_bytes)
        assert found[: len(ended)] == ended
        assert {name for name, _ in found} <= {name for name, _ in ended}
        assert memory.held_bytes <= LIMIT_BYTES
    assert memory.held_bytes == 0


def test_answer_that_was_ended_counts_no_more() -> None:
    """Guards against a limit that an ended answer's late bytes use up."""
    memory = process_memory.ProcessMemory(LIMIT_BYTES)
    ends: list[str] = []
    with memory.hold(
        owner_of('e1'),
        process_memory.LARGEST_FIRST,
        lambda: ends.append('e1'),
    ) as holding:
        memory.resize(holding, LIMIT_BYTES + 1)
        memory.resize(holding, LIMIT_BYTES + 2)
        assert memory.held_bytes == 0
    assert ends == ['e1']
    assert memory.held_bytes == 0


CALLERS = [('crowd', 6000), ('crowd', 5000), ('other', 4500)]


@pytest.mark.parametrize(
    ('held', 'resized', 'sent', 'ended'),
    [
        (CALLERS, ('other', 5000), '', []),
        # Of the organisation that holds most, the one that has stalled.
        (CALLERS, ('crowd', 11_000), '', [('crowd', 6000)]),
        (CALLERS, ('other', 10_000), '', [('crowd', 6000)]),
        # An organisation that behaves holds most.
        (CALLERS, ('other', 15_000), '', [('other', 4500)]),
        # Requests that endpoints may run are not ended.
        (CALLERS, ('crowd', 11_000), 'crowd', [('other', 4500)]),
        # Small requests are not ended.
        ([('crowd', 4000), ('small', 4000)], ('crowd', 17_000), 'crowd', []),
    ],
)
def test_which_callers_are_ended(
    held: list[tuple[str, int]],
    resized: tuple[str, int],
    sent: str,
    ended: list[tuple[str, int]],
) -> None:
    """Guards against callers that are ended for others that do not behave."""
    # Three quarters of it are for callers.
    memory = process_memory.ProcessMemory(26_668)
    found: list[tuple[str, int]] = []
    with contextlib.ExitStack() as stack:
        holdings = {}
        for name, held_bytes in held:
            holding = stack.enter_context(
                memory.hold(
                    process_memory.Owner('organisation', name),
                    process_memory.STALLED_FIRST,
                    lambda row=(name, held_bytes): found.append(row),
                )
            )
            memory.resize(holding, held_bytes)
            if name == sent:
                memory.protect(holding)
            holdings[name] = holding
        name, held_bytes = resized
        memory.resize(holdings[name], held_bytes)
    assert found == ended
    assert memory.held_bytes == 0


@pytest.mark.parametrize(
    ('held', 'is_sent', 'is_over'),
    [
        ([], False, False),
        ([('crowd', 13_000)], False, False),
        ([('crowd', 13_500)], False, True),
        ([('crowd', 8000), ('crowd', 8000)], False, True),
        ([('other', 14_000), ('crowd', 1000)], False, False),
        # Endpoints are working on these.
        ([('crowd', 8000), ('crowd', 8000)], True, False),
    ],
)
def test_share_of_an_organisation(
    held: list[tuple[str, int]], is_sent: bool, is_over: bool
) -> None:
    """Guards against answers that are ended for an organisation's new requests.

    It leaves its answers unread.
    """
    memory = process_memory.ProcessMemory(26_668)
    crowd = process_memory.Owner('organisation', 'crowd')
    with contextlib.ExitStack() as stack:
        for name, held_bytes in held:
            holding = stack.enter_context(
                memory.hold(
                    process_memory.Owner('organisation', name),
                    process_memory.STALLED_FIRST,
                    bool,
                )
            )
            memory.resize(holding, held_bytes)
            if is_sent:
                memory.protect(holding)
        assert memory.is_over_share(crowd) is is_over
    assert not memory.is_over_share(crowd)
    assert memory.held_bytes == 0


@pytest.mark.parametrize(
    ('request_bytes', 'answer_bytes', 'ended'),
    [
        (700, 300, []),
        (700, 400, ['answer']),
        (0, 1000, []),
        # Answers can't make up for requests that can't be ended.
        (1500, 10, []),
    ],
)
def test_answers_beside_requests(
    request_bytes: int, answer_bytes: int, ended: list[str]
) -> None:
    """Guards against answers that are ended for callers' requests."""
    memory = process_memory.ProcessMemory(LIMIT_BYTES)
    found: list[str] = []
    owner = process_memory.Owner('organisation', 'o')
    with memory.hold(owner, process_memory.STALLED_FIRST) as requests:
        memory.resize(requests, request_bytes)
        with memory.hold(
            owner_of('e1'),
            process_memory.LARGEST_FIRST,
            lambda: found.append('answer'),
        ) as answer:
            memory.resize(answer, answer_bytes)
    assert found == ended
