"""The interactive prompt."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable

import prompt_toolkit
from prompt_toolkit import completion, document, history

from yuccactl import parser

_PROMPT = 'yuccactl> '


class StatementCompleter(completion.Completer):
    """Completes the keywords that the grammar allows next."""

    def get_completions(
        self,
        document: document.Document,
        complete_event: completion.CompleteEvent,
    ) -> Iterable[completion.Completion]:
        """Yield the allowed keywords that start with the word typed so far."""
        typed = document.get_word_before_cursor(WORD=True)
        text = document.text_before_cursor
        preceding = text[: len(text) - len(typed)]
        for word in parser.next_words(preceding):
            if word.startswith(typed):
                yield completion.Completion(word, -len(typed))


async def lines() -> AsyncIterator[str]:
    """Yield the lines typed by the operator until the end of input.

    The history is kept in memory only, because VMs keep no state.
    """
    session: prompt_toolkit.PromptSession[str] = prompt_toolkit.PromptSession(
        _PROMPT,
        completer=StatementCompleter(),
        history=history.InMemoryHistory(),
    )
    while True:
        try:
            line = await session.prompt_async()
        except (EOFError, KeyboardInterrupt):
            return
        if line.strip():
            yield line
