"""Tests of the limit on the memory of all unfinished answers together."""

from __future__ import annotations

import contextlib

import pytest

from yuccarouter.gateway import answer_memory

LIMIT_BYTES = 1000


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
    memory = answer_memory.AnswerMemory(LIMIT_BYTES)
    found: list[tuple[str, int]] = []
    with contextlib.ExitStack() as stack:
        for endpoint, held_bytes in held:
            row = (endpoint, held_bytes)
            holding = stack.enter_context(
                memory.hold(endpoint, lambda row=row: found.append(row))
            )
            memory.resize(holding, held_bytes)
        assert found[: len(ended)] == ended
        assert {name for name, _ in found} <= {name for name, _ in ended}
        assert memory.held_bytes <= LIMIT_BYTES
    assert memory.held_bytes == 0


def test_answer_that_was_ended_counts_no_more() -> None:
    """Guards against a limit that an ended answer's late bytes use up."""
    memory = answer_memory.AnswerMemory(LIMIT_BYTES)
    ends: list[str] = []
    with memory.hold('e1', lambda: ends.append('e1')) as holding:
        memory.resize(holding, LIMIT_BYTES + 1)
        memory.resize(holding, LIMIT_BYTES + 2)
        assert memory.held_bytes == 0
    assert ends == ['e1']
    assert memory.held_bytes == 0
