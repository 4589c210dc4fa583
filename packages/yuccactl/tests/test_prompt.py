"""Tests of the interactive prompt."""

from __future__ import annotations

import pytest
from prompt_toolkit import application, completion, document, input, output

from yuccactl import prompt


@pytest.mark.parametrize(
    ('typed', 'offered'),
    [
        ('take o', [('out', -1)]),
        ('take out ', [('data_centre', 0)]),
        ('show end', [('endpoints', -3)]),
        ('show endpoints where a = "x', []),
    ],
)
def test_completion(typed: str, offered: list[tuple[str, int]]) -> None:
    """Guards against a completion that replaces the wrong part of the line."""
    completions = prompt.StatementCompleter().get_completions(
        document.Document(typed), completion.CompleteEvent()
    )
    assert [(each.text, each.start_position) for each in completions] == offered


async def test_lines() -> None:
    """Guards against a prompt that does not end, or yields empty lines."""
    with input.create_pipe_input() as keys:
        keys.send_text('show bill\n\n')
        keys.send_text('withdraw c@2\n\x04')
        with application.create_app_session(keys, output.DummyOutput()):
            typed = [line async for line in prompt.lines()]
    assert typed == ['show bill', 'withdraw c@2']
